#ifndef BILBERRY_DECISION_GRANTBOOK_H
#define BILBERRY_DECISION_GRANTBOOK_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bilberry::decision {

/// Number of a router's link at an agent; a reconnected router gets a new one.
using LinkId = std::uint64_t;

/// A grant that was just made.
struct IssuedGrant
{
    std::uint64_t grant = 0;
    LinkId link = 0;
    double virtualTime = 0.0; ///< that the grant was made for
    bool operator==(const IssuedGrant &) const = default;
};

/// Demand that routers left at an agent, and the open grants. Grants expire by this process's
/// clock, and their numbers are never used twice in one life of the agent.
class GrantBook
{
public:
    /// @param lifetime how long a grant may be used
    /// @param firstGrant number before the first grant
    explicit GrantBook(Duration lifetime, std::uint64_t firstGrant = 0)
        : m_lifetime(lifetime), m_lastGrant(firstGrant)
    {
    }

    /// Replaces a router's demand.
    /// @param waiting requests that wait there; 0 withdraws the demand
    /// @param nextVirtualTimes of the requests that the next grants would serve, ascending
    void setDemand(LinkId link, std::uint32_t waiting, std::vector<double> nextVirtualTimes);

    /// The router is gone: its demand and open grants end.
    void removeLink(LinkId link);

    /// Makes a grant for the smallest virtual time among the demands.
    std::optional<IssuedGrant> issue(TimePoint now);

    /// Uses a grant up.
    /// @return false when it expired, was used, or belongs to another link
    bool redeem(std::uint64_t grant, LinkId link, TimePoint now);

    /// Takes a grant back unused.
    void returnGrant(std::uint64_t grant, LinkId link);

    /// Drops expired grants.
    void expire(TimePoint now);

    /// @return smallest virtual time that a demand stands for
    std::optional<double> smallestVirtualTime() const;

    /// @return grants that may still be used
    std::size_t open() const { return m_grants.size(); }
    /// @return true when some router's demand is not met yet
    bool contended() const { return smallestVirtualTime().has_value(); }

private:
    struct Standing
    {
        std::uint32_t waiting = 0;
        std::deque<double> next;
        double last = 0.0;

        double head() const { return next.empty() ? last : next.front(); }
    };
    struct Open
    {
        LinkId link = 0;
        TimePoint expires{};
    };

    std::map<LinkId, Standing>::iterator neediest();

    Duration m_lifetime;
    std::uint64_t m_lastGrant;
    std::map<LinkId, Standing> m_demands;
    std::map<std::uint64_t, Open> m_grants;
};

} // namespace bilberry::decision

#endif
