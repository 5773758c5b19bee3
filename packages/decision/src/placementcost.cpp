#include "bilberry/decision/placementcost.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>
#include <limits>

namespace bilberry::decision {

namespace {

/// Probability that the rendezvous owner of a shared prefix has it cached, when no router's request
/// is known to have put it into any cache.
constexpr double ownerCacheProbability = 0.8;
/// Delay that each running request adds to an engine's answers, in milliseconds.
constexpr double runningRequestCostMs = 0.3;
/// Expected duration of a request to a service without an engine, in milliseconds.
constexpr double plainRequestMs = 30.0;
/// Latency objective for which the backlog limits are given, in milliseconds.
constexpr double referenceObjectiveMs = 600.0;
/// Mean backlog of a pool's servers, relative to the limit, below which the pool has capacity to
/// spare.
constexpr double spareCapacityBacklog = 0.4;
/// Weight of recomputed prefill work against the backlog limit while the pool has capacity to
/// spare.
constexpr double spareCapacityRecomputeWeight = 2.0;
/// Cost of a server in a cold start: it is chosen only when no other server may receive the
/// request.
constexpr double coldCostMs = 1000.0;

} // namespace

void PlacementCost::estimate(std::vector<PlacementCandidate> &candidates,
                             const Prompt &prompt) const
{
    std::uint32_t mostCachedTokens = 0;
    for (const PlacementCandidate &candidate : candidates)
        mostCachedTokens = std::max(mostCachedTokens, candidate.choice.cachedTokens);
    if (mostCachedTokens < prompt.sharedPrefixTokens())
        assumeOwnerCache(candidates, prompt);
    for (PlacementCandidate &candidate : candidates) {
        candidate.choice.server = candidate.server->id;
        candidate.choice.backlogMs = candidate.load.backlogMs;
        candidate.choice.prefillMs = prefillMs(prompt, candidate.choice.cachedTokens);
        candidate.choice.mostCachedTokens = mostCachedTokens;
    }
}

/// Assumes that the rendezvous owner has the shared prefix cached, so that routers that know
/// nothing of the prefix choose the same server.
void PlacementCost::assumeOwnerCache(std::vector<PlacementCandidate> &candidates,
                                     const Prompt &prompt)
{
    const std::uint64_t key = prompt.sharedPrefixKey();
    const auto owner = std::max_element(
            candidates.begin(), candidates.end(),
            [key](const PlacementCandidate &left, const PlacementCandidate &right) {
                return rendezvousWeight(key, left.key) < rendezvousWeight(key, right.key);
            });
    if (key == 0 || owner == candidates.end())
        return;
    const auto expectedTokens = static_cast<std::uint32_t>(
            ownerCacheProbability * static_cast<double>(prompt.sharedPrefixTokens()));
    owner->choice.cachedTokens = std::max(owner->choice.cachedTokens, expectedTokens);
}

const PlacementCandidate *PlacementCost::cheapest(const std::vector<PlacementCandidate> &candidates,
                                                  const RequestTraits &traits,
                                                  const DirectPool *pool, bool standalone) const
{
    const double limitMs = backlogLimitMs(traits, standalone);
    double minPrefillMs = std::numeric_limits<double>::max();
    double loadSum = 0.0;
    for (const PlacementCandidate &candidate : candidates) {
        minPrefillMs = std::min(minPrefillMs, candidate.choice.prefillMs);
        loadSum += std::min(1.0, candidate.choice.backlogMs / limitMs);
    }
    // Under overload, moving a prompt away from the server that has it cached would only add load.
    const bool hasSpareCapacity
            = loadSum < spareCapacityBacklog * static_cast<double>(candidates.size());
    const double recomputeWeight
            = hasSpareCapacity ? std::min(spareCapacityRecomputeWeight, m_settings.recomputeWeight)
                               : m_settings.recomputeWeight;
    const PlacementCandidate *best = nullptr;
    double bestScore = 0.0;
    for (const PlacementCandidate &candidate : candidates) {
        const double recomputeMs = recomputeWeight * (candidate.choice.prefillMs - minPrefillMs);
        if (pool && pool->engine && candidate.choice.backlogMs + recomputeMs > limitMs)
            continue;
        const double score = this->score(candidate, minPrefillMs, pool)
                             + (candidate.isCold ? coldCostMs : 0.0);
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

/// @return expected time to prefill the prompt, in milliseconds
double PlacementCost::prefillMs(const Prompt &prompt, std::uint32_t cachedTokens) const
{
    const double uncachedTokens = static_cast<double>(prompt.tokens() - cachedTokens);
    const double meanContext = static_cast<double>(cachedTokens) + uncachedTokens / 2.0;
    return uncachedTokens / m_settings.prefillTokensPerMs
           + m_settings.attentionMsPerMillionPairs * uncachedTokens * meanContext / 1e6;
}

/// @return cost of choosing the server, in milliseconds: queueing time, weighted recomputed prefill
/// work and penalties; lower is better
double PlacementCost::score(const PlacementCandidate &candidate, double minPrefillMs,
                            const DirectPool *pool) const
{
    const DirectServer &server = *candidate.server;
    const auto inFlight = static_cast<double>(candidate.load.inFlight);
    const double zoneMs
            = server.zone == m_settings.zone ? 0.0 : toMilliseconds(m_settings.zonePenalty);
    if (!pool || !pool->engine)
        return zoneMs + plainRequestMs * inFlight / std::max(1U, server.slots);
    const ServerChoice &choice = candidate.choice;
    return zoneMs + choice.backlogMs
           + m_settings.recomputeWeight * (choice.prefillMs - minPrefillMs)
           + runningRequestCostMs * inFlight;
}

double PlacementCost::backlogLimitMs(const RequestTraits &traits, bool standalone) const
{
    double limit = toMilliseconds(standalone ? m_settings.standaloneBacklogLimit
                                             : m_settings.backlogLimit);
    limit *= toMilliseconds(traits.latencyObjective) / referenceObjectiveMs;
    if (traits.previouslyRefused)
        limit *= m_settings.previouslyRefusedFactor;
    return limit * overuseFactor(traits);
}

double PlacementCost::overuseFactor(const RequestTraits &traits) const
{
    const double overuse = std::max(0.0, traits.customerUsageRatio - 1.0);
    return std::max(m_settings.minOveruseFactor, 1.0 - m_settings.overuseSlope * overuse);
}

} // namespace bilberry::decision
