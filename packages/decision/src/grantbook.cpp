#include "bilberry/decision/grantbook.h"

#include <utility>

namespace bilberry::decision {

void GrantBook::setDemand(LinkId link, std::uint32_t waiting, std::vector<double> nextVirtualTimes)
{
    if (waiting == 0) {
        m_demands.erase(link);
        return;
    }
    Standing &standing = m_demands[link];
    standing.waiting = waiting;
    standing.last = nextVirtualTimes.empty() ? standing.last : nextVirtualTimes.back();
    standing.next.assign(nextVirtualTimes.begin(), nextVirtualTimes.end());
}

void GrantBook::removeLink(LinkId link)
{
    m_demands.erase(link);
    std::erase_if(m_grants, [&](const auto &entry) { return entry.second.link == link; });
}

std::map<LinkId, GrantBook::Standing>::iterator GrantBook::neediest()
{
    auto best = m_demands.begin();
    for (auto demand = m_demands.begin(); demand != m_demands.end(); ++demand) {
        if (demand->second.head() < best->second.head())
            best = demand;
    }
    return best;
}

std::optional<IssuedGrant> GrantBook::issue(TimePoint now)
{
    if (m_demands.empty())
        return std::nullopt;
    const auto demand = neediest();
    const IssuedGrant issued{++m_lastGrant, demand->first, demand->second.head()};
    m_grants[issued.grant] = {issued.link, now + m_lifetime};
    if (!demand->second.next.empty())
        demand->second.next.pop_front();
    if (--demand->second.waiting == 0)
        m_demands.erase(demand);
    return issued;
}

bool GrantBook::redeem(std::uint64_t grant, LinkId link, TimePoint now)
{
    const auto found = m_grants.find(grant);
    if (found == m_grants.end() || found->second.link != link)
        return false;
    const bool inTime = now < found->second.expires;
    m_grants.erase(found);
    return inTime;
}

void GrantBook::returnGrant(std::uint64_t grant, LinkId link)
{
    const auto found = m_grants.find(grant);
    if (found != m_grants.end() && found->second.link == link)
        m_grants.erase(found);
}

void GrantBook::expire(TimePoint now)
{
    std::erase_if(m_grants, [&](const auto &entry) { return entry.second.expires <= now; });
}

std::optional<double> GrantBook::smallestVirtualTime() const
{
    std::optional<double> smallest;
    for (const auto &[link, standing] : m_demands) {
        if (!smallest || standing.head() < *smallest)
            smallest = standing.head();
    }
    return smallest;
}

} // namespace bilberry::decision
