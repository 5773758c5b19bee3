#include "request/requestadmission.h"

#include "headerfields.h"

#include "bilberry/base/digest.h"
#include "bilberry/http/requestrules.h"

#include <algorithm>

namespace bilberry::direct {

namespace http = boost::beast::http;

namespace {

/// A request with less than this fraction of its route's time limit remaining counts as a repeat of
/// a refused one.
constexpr double returningTimeFraction = 0.93;
/// Cost of an output token in prompt tokens, the unit in which the fleet's capacity is given.
constexpr double outputTokenCost = 2.0;
/// Time, in latency objectives, in which nearly all requests end, streams included.
constexpr double usualTimeObjectives = 5.0;

/// @return one of the route's pools, chosen at random by weight
const PoolId &selectPool(const DirectRoute &route, std::mt19937_64 &random)
{
    double total = 0.0;
    for (const PoolWeight &poolWeight : route.pools)
        total += poolWeight.weight;
    double threshold = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(random);
    for (const PoolWeight &poolWeight : route.pools) {
        threshold -= poolWeight.weight;
        if (threshold < 0.0 && poolWeight.weight > 0.0)
            return poolWeight.pool;
    }
    return route.pools.front().pool;
}

/// Finds the customer by the request's key.
/// @param customer set when the key is valid
/// @return why the request is refused, absent when it is not
std::optional<RefusalReason> checkKey(const RequestContext &context, const CallerRequest &request,
                                      const TrafficPlan &plan, CustomerId &customer)
{
    const std::string key = bearerToken(request);
    if (key.empty())
        return RefusalReason::MissingKey;
    const CustomerId *found = plan.customerByKeyDigest(sha256Hex(key));
    // An outdated plan may lack a new key.
    if (!found)
        return context.planIsFresh() ? RefusalReason::UnknownKey : RefusalReason::StalePlan;
    if (!context.planIsFresh())
        return RefusalReason::StalePlan;
    customer = *found;
    return std::nullopt;
}

/// @return true when the router stops before the request usually ends
bool mayOutlastRouter(const RequestContext &context, const AdmittedRequest &admitted,
                      TimePoint receivedAt)
{
    const auto stopsAt = context.stopsAt();
    const Duration usualTime = fromMilliseconds(usualTimeObjectives
                                                * toMilliseconds(admitted.route->latencyObjective));
    return stopsAt && std::min(receivedAt + usualTime, admitted.deadline) > *stopsAt;
}

} // namespace

std::variant<AdmittedRequest, RefusalReason>
admitRequest(const RequestContext &context, const CallerRequest &request, TimePoint receivedAt)
{
    if (!bilberry::http::hasValidHostCount(request) || bilberry::http::hasAmbiguousFraming(request))
        return RefusalReason::Malformed;
    AdmittedRequest admitted;
    admitted.plan = context.currentPlan();
    if (!admitted.plan)
        return RefusalReason::NoPlan;
    admitted.route = admitted.plan->routeFor(std::string_view(request[http::field::host]),
                                             bilberry::http::pathOf(request.target()));
    if (!admitted.route)
        return RefusalReason::UnknownRoute;
    if (!admitted.route->isPublic && admitted.plan->requiresKeys()) {
        if (const auto reason = checkKey(context, request, *admitted.plan, admitted.customer))
            return *reason;
    }
    const auto limitMs = static_cast<std::uint64_t>(toMilliseconds(admitted.route->timeLimit));
    const std::uint64_t remainingMs
            = parseNumber(request[context.headerNames.remainingMs], limitMs);
    admitted.previouslyRefused = static_cast<double>(remainingMs)
                                 < returningTimeFraction * static_cast<double>(limitMs);
    admitted.deadline = receivedAt + std::chrono::milliseconds(std::min(remainingMs, limitMs));
    if (mayOutlastRouter(context, admitted, receivedAt))
        return RefusalReason::Stopping;
    return admitted;
}

decision::RequestTraits takeTraits(RequestContext &context, const CallerRequest &request,
                                   const AdmittedRequest &admitted, TimePoint receivedAt)
{
    decision::RequestTraits traits;
    traits.previouslyRefused = admitted.previouslyRefused;
    traits.latencyObjective = admitted.route->latencyObjective;
    traits.pool = selectPool(*admitted.route, context.random);
    const std::string_view parts = request[context.headerNames.promptParts];
    if (!parts.empty())
        traits.prompt = decision::Prompt(std::string(request[context.headerNames.model]),
                                         promptParts(parts));
    const auto tokenCounts = split(request[context.headerNames.tokenCounts], ',');
    if (tokenCounts.size() == 2)
        traits.outputTokens = static_cast<std::uint32_t>(parseNumber(tokenCounts[1], 0));
    context.retryBudgets.try_emplace(traits.pool, context.settings.retryBudget)
            .first->second.recordRequest(receivedAt);
    if (admitted.customer.empty())
        return traits;
    traits.customerUsageRatio = context.usageMeter.usageRatio(admitted.customer, receivedAt);
    context.usageMeter.recordRequested(admitted.customer, requestCost(traits), receivedAt);
    return traits;
}

double requestCost(const decision::RequestTraits &traits)
{
    return traits.prompt.tokens() + outputTokenCost * traits.outputTokens;
}

} // namespace bilberry::direct
