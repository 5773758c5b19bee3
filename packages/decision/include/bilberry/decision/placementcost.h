#ifndef BILBERRY_DECISION_PLACEMENTCOST_H
#define BILBERRY_DECISION_PLACEMENTCOST_H

#include "bilberry/decision/peerloads.h"
#include "bilberry/decision/serverchoice.h"

#include <vector>

namespace bilberry::decision {

/// A server that may receive a request, and the estimates for it.
struct PlacementCandidate
{
    const DirectServer *server = nullptr;
    ServerKey key = 0;
    RouterLoad load; ///< of all routers
    bool isCold = false;
    ServerChoice choice;
};

/// Compares servers for a request by queued prefill work, prefill work that would be repeated,
/// availability zone and running requests.
class PlacementCost
{
public:
    explicit PlacementCost(const ServerSelectorSettings &settings) : m_settings(settings) {}

    /// Completes the choices of the candidates from their loads and cached tokens.
    void estimate(std::vector<PlacementCandidate> &candidates, const Prompt &prompt) const;

    /// @param pool of the request; nullptr when it is unknown
    /// @param standalone true when no report of another router is valid
    /// @return the candidate with the lowest cost whose backlog is within the limit, or nullptr
    const PlacementCandidate *cheapest(const std::vector<PlacementCandidate> &candidates,
                                       const RequestTraits &traits, const DirectPool *pool,
                                       bool standalone) const;

    /// @return factor of the backlog limit, 1 up to the customer's fair level; above it decreases
    ///         steeply. The level itself rises while all other customers get what they request, so
    ///         that no capacity stays idle.
    double overuseFactor(const RequestTraits &traits) const;

private:
    static void assumeOwnerCache(std::vector<PlacementCandidate> &candidates, const Prompt &prompt);
    double prefillMs(const Prompt &prompt, std::uint32_t cachedTokens) const;
    double score(const PlacementCandidate &candidate, double minPrefillMs,
                 const DirectPool *pool) const;
    double backlogLimitMs(const RequestTraits &traits, bool standalone) const;

    const ServerSelectorSettings &m_settings;
};

} // namespace bilberry::decision

#endif
