#ifndef BILBERRY_DECISION_PLACEMENT_H
#define BILBERRY_DECISION_PLACEMENT_H

#include "bilberry/model/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberry::decision {

/// A router's view of one agent, which may be outdated.
struct AgentView
{
    PoolId pool;
    ZoneId zone;
    std::uint32_t window = 0;  ///< requests that the server may run at the same time
    std::uint32_t running = 0; ///< requests that it runs
    std::uint32_t held = 0;    ///< admitted requests that wait at the agent, and open grants
    bool accepting = false;    ///< false while the agent takes no new requests
    bool contended = false;    ///< some router has unmet demand for the agent
    bool operator==(const AgentView &) const = default;

    /// @return number of requests that the agent can take, according to this view
    std::uint32_t freeSlots() const
    {
        const std::uint32_t used = running + held;
        return accepting && !contended && used < window ? window - used : 0;
    }
    /// @return used fraction of the window, 1 when the window is empty
    double load() const { return window == 0 ? 1.0 : double(running + held) / window; }
};

/// @param bound exclusive upper bound, at least 1
/// @return a random index less than `bound`
using RandomIndexHook = std::function<std::size_t(std::size_t bound)>;

/// Chooses agents by the power of two choices: the less loaded one of two random candidates.
class Placement
{
public:
    explicit Placement(RandomIndexHook random) : m_random(std::move(random)) {}

    /// Adds an agent or replaces its view.
    void update(const ServerId &server, const AgentView &view);
    void remove(const ServerId &server);

    /// Counts a dispatched request until the agent's next load report.
    void recordDispatch(const ServerId &server);

    /// @param excluded agents that have refused this request
    /// @param zoneUsable returns whether a zone may receive new requests
    /// @return an agent with a free slot, or std::nullopt
    std::optional<ServerId> choose(const PoolId &pool, const std::set<ServerId> &excluded,
                                   const std::function<bool(const ZoneId &)> &zoneUsable);

    /// @return the servers of all known agents of the pool
    std::vector<ServerId> agents(const PoolId &pool) const;
    /// @return the view of the server's agent, or nullptr when it is unknown
    const AgentView *view(const ServerId &server) const;
    const std::map<ServerId, AgentView> &views() const { return m_views; }

private:
    RandomIndexHook m_random;
    std::map<ServerId, AgentView> m_views;
};

} // namespace bilberry::decision

#endif
