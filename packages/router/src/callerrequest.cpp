#include "callerrequest.h"

#include "bilberry/base/digest.h"
#include "bilberry/http/requestrules.h"

#include <charconv>

namespace bilberry::router {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr char costHintHeader[] = "Bilberry-Cost-Hint";
constexpr char idempotencyHeader[] = "Idempotency-Key";
constexpr char apiKeyHeader[] = "X-Api-Key";
constexpr std::size_t maxIdempotencyKeyBytes = 256;

/// @return true for a header that is not forwarded: the router uses it or sets it itself
bool isConsumedHere(const HttpRequest &request, http::field field, beast::string_view name)
{
    return field == http::field::authorization || field == http::field::host
           || bilberry::http::isHopByHop(request, field, name) || beast::iequals(name, apiKeyHeader)
           || beast::iequals(name, costHintHeader);
}

std::string apiKey(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = request[http::field::authorization];
    if (authorization.starts_with(scheme))
        return std::string(authorization.substr(scheme.size()));
    return std::string(request[apiKeyHeader]);
}

std::optional<double> parseCostHint(const HttpRequest &request)
{
    const std::string_view text = request[costHintHeader];
    double hint = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), hint);
    if (text.empty() || parsed.ec != std::errc() || !(hint > 0.0))
        return std::nullopt;
    return hint;
}

wire::Headers forwardedHeaders(const HttpRequest &request)
{
    wire::Headers headers;
    for (const auto &field : request.base()) {
        const beast::string_view name = field.name_string();
        if (!isConsumedHere(request, field.name(), name))
            headers.push_back({std::string(name), std::string(field.value())});
    }
    return headers;
}

} // namespace

bool isWellFormed(const HttpRequest &request)
{
    return bilberry::http::hasValidHostCount(request)
           && !bilberry::http::hasAmbiguousFraming(request)
           && !bilberry::http::hasDotSegments(bilberry::http::pathOf(request.target()))
           && request.count(idempotencyHeader) <= 1
           && request[idempotencyHeader].size() <= maxIdempotencyKeyBytes;
}

std::optional<RefusalKind> authorize(HttpRequest &request, const Configuration *configuration,
                                     SubmittedRequest &submitted)
{
    const std::string key = apiKey(request);
    if (key.empty())
        return RefusalKind::MissingKey;
    if (!configuration || configuration->revision() == 0)
        return RefusalKind::NoConfiguration;
    const Customer *customer = configuration->customerByKeyDigest(sha256Hex(key));
    if (!customer)
        return RefusalKind::UnknownKey;
    const Route *route = configuration->routeFor(bilberry::http::pathOf(request.target()));
    if (!route)
        return RefusalKind::UnknownRoute;
    submitted.customer = customer->id;
    submitted.pool = route->pool;
    submitted.method = std::string(request.method_string());
    submitted.mayRepeat = mayRepeat(*route, submitted.method);
    submitted.idempotencyKey = std::string(request[idempotencyHeader]);
    submitted.costHint = parseCostHint(request);
    submitted.target = std::string(request.target());
    submitted.headers = forwardedHeaders(request);
    submitted.body = std::move(request.body());
    return std::nullopt;
}

bool hasNoBody(std::uint16_t status, http::verb method)
{
    return method == http::verb::head || status == 204 || status == 304;
}

} // namespace bilberry::router
