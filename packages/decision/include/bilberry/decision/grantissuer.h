#ifndef BILBERRY_DECISION_GRANTISSUER_H
#define BILBERRY_DECISION_GRANTISSUER_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bilberry::decision {

/// Identifies a router's connection at an agent; a router that reconnects gets a new one.
using LinkId = std::uint64_t;

/// A grant that an agent sends to a router: permission to dispatch one request.
struct IssuedGrant
{
    std::uint64_t grant = 0;
    LinkId link = 0;
    double virtualTime = 0.0; ///< of the request that the grant is for, normalised milliseconds
    bool operator==(const IssuedGrant &) const = default;
};

/// Stores the routers' demand at an agent, and issues and redeems grants. Grants expire by this
/// process's clock. A grant's number is never reused within one incarnation of the agent.
class GrantIssuer
{
public:
    /// @param lifetime time after which a grant expires
    /// @param grantIdBase the first grant gets the number after this one
    explicit GrantIssuer(Duration lifetime, std::uint64_t grantIdBase = 0)
        : m_lifetime(lifetime), m_lastGrant(grantIdBase)
    {
    }

    /// Replaces a router's demand.
    /// @param waiting number of requests that wait at the router; 0 removes the demand
    /// @param nextVirtualTimes virtual times of the next requests, ascending
    void setDemand(LinkId link, std::uint32_t waiting, std::vector<double> nextVirtualTimes);

    /// Removes the demand and the open grants of a router that disconnected.
    void removeLink(LinkId link);

    /// Issues a grant for the smallest virtual time of all demands.
    /// @return the grant, or nothing without demand
    std::optional<IssuedGrant> issue(TimePoint now);

    /// Consumes a grant.
    /// @return false when it expired, was used, or belongs to another link
    bool redeem(std::uint64_t grant, LinkId link, TimePoint now);

    /// Removes an unused grant that the router returns.
    void returnGrant(std::uint64_t grant, LinkId link);

    /// Removes expired grants.
    void expire(TimePoint now);

    /// @return the smallest virtual time of all demands, or nothing without demand
    std::optional<double> smallestVirtualTime() const;

    /// @return number of open grants
    std::size_t openCount() const { return m_grants.size(); }
    /// @return true while a router's demand is not met
    bool hasDemand() const { return smallestVirtualTime().has_value(); }

private:
    struct Demand
    {
        std::uint32_t waiting = 0;
        std::deque<double> nextVirtualTimes;
        double lastVirtualTime = 0.0; ///< applies when more requests wait than have virtual times

        double virtualTime() const
        {
            return nextVirtualTimes.empty() ? lastVirtualTime : nextVirtualTimes.front();
        }
    };
    struct OpenGrant
    {
        LinkId link = 0;
        TimePoint expiresAt{};
    };

    std::map<LinkId, Demand>::iterator mostUrgent();

    Duration m_lifetime;
    std::uint64_t m_lastGrant;
    std::map<LinkId, Demand> m_demands;
    std::map<std::uint64_t, OpenGrant> m_grants;
};

} // namespace bilberry::decision

#endif
