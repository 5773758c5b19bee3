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

/// A router's possibly stale view of one agent.
struct AgentView
{
    PoolId pool;
    ZoneId zone;
    std::uint32_t window = 0;
    std::uint32_t running = 0;
    std::uint32_t held = 0;
    bool accepting = false;
    bool contended = false; ///< demand of some router stands there
    bool operator==(const AgentView &) const = default;

    /// @return requests that fit in, as far as the router knows
    std::uint32_t room() const
    {
        const std::uint32_t used = running + held;
        return accepting && !contended && used < window ? window - used : 0;
    }
    /// @return used part of the window, 0 to 1
    double load() const { return window == 0 ? 1.0 : double(running + held) / window; }
};

/// @param bound exclusive upper end, at least 1
/// @return a random number below the bound
using RandomIndexHook = std::function<std::size_t(std::size_t bound)>;

/// Chooses agents by two random candidates, the less loaded one of them.
class Placement
{
public:
    explicit Placement(RandomIndexHook random) : m_random(std::move(random)) {}

    /// Replaces what is known of an agent.
    void update(const ServerId &server, const AgentView &view);
    void remove(const ServerId &server);

    /// Notes a dispatch until the agent's next load report.
    void recordDispatch(const ServerId &server);

    /// @param excluded agents that refused this request already
    /// @param zoneUsable tells whether a zone may get new work
    /// @return an agent with room, or nothing
    std::optional<ServerId> choose(const PoolId &pool, const std::set<ServerId> &excluded,
                                   const std::function<bool(const ZoneId &)> &zoneUsable);

    /// @return all linked agents of the pool
    std::vector<ServerId> agents(const PoolId &pool) const;
    const AgentView *view(const ServerId &server) const;
    const std::map<ServerId, AgentView> &views() const { return m_views; }

private:
    RandomIndexHook m_random;
    std::map<ServerId, AgentView> m_views;
};

} // namespace bilberry::decision

#endif
