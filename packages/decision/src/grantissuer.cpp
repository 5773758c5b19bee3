#include "bilberry/decision/grantissuer.h"

#include <utility>

namespace bilberry::decision {

void GrantIssuer::setDemand(LinkId link, std::uint32_t waiting,
                            std::vector<double> nextVirtualTimes)
{
    if (waiting == 0) {
        m_demands.erase(link);
        return;
    }
    Demand &demand = m_demands[link];
    demand.waiting = waiting;
    demand.lastVirtualTime
            = nextVirtualTimes.empty() ? demand.lastVirtualTime : nextVirtualTimes.back();
    demand.nextVirtualTimes.assign(nextVirtualTimes.begin(), nextVirtualTimes.end());
}

void GrantIssuer::removeLink(LinkId link)
{
    m_demands.erase(link);
    std::erase_if(m_grants, [&](const auto &grant) { return grant.second.link == link; });
}

std::map<LinkId, GrantIssuer::Demand>::iterator GrantIssuer::mostUrgent()
{
    auto best = m_demands.begin();
    for (auto demand = m_demands.begin(); demand != m_demands.end(); ++demand) {
        if (demand->second.virtualTime() < best->second.virtualTime())
            best = demand;
    }
    return best;
}

std::optional<IssuedGrant> GrantIssuer::issue(TimePoint now)
{
    if (m_demands.empty())
        return std::nullopt;
    const auto demand = mostUrgent();
    const IssuedGrant issued{++m_lastGrant, demand->first, demand->second.virtualTime()};
    m_grants[issued.grant] = {issued.link, now + m_lifetime};
    if (!demand->second.nextVirtualTimes.empty())
        demand->second.nextVirtualTimes.pop_front();
    if (--demand->second.waiting == 0)
        m_demands.erase(demand);
    return issued;
}

bool GrantIssuer::redeem(std::uint64_t grant, LinkId link, TimePoint now)
{
    const auto found = m_grants.find(grant);
    if (found == m_grants.end() || found->second.link != link)
        return false;
    const bool inTime = now < found->second.expiresAt;
    m_grants.erase(found);
    return inTime;
}

void GrantIssuer::returnGrant(std::uint64_t grant, LinkId link)
{
    const auto found = m_grants.find(grant);
    if (found != m_grants.end() && found->second.link == link)
        m_grants.erase(found);
}

void GrantIssuer::expire(TimePoint now)
{
    std::erase_if(m_grants, [&](const auto &grant) { return grant.second.expiresAt <= now; });
}

std::optional<double> GrantIssuer::smallestVirtualTime() const
{
    std::optional<double> smallest;
    for (const auto &[link, demand] : m_demands) {
        if (!smallest || demand.virtualTime() < *smallest)
            smallest = demand.virtualTime();
    }
    return smallest;
}

} // namespace bilberry::decision
