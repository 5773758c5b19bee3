#include "bilberry/decision/placement.h"

namespace bilberry::decision {

void Placement::update(const ServerId &server, const AgentView &view)
{
    m_views[server] = view;
}

void Placement::remove(const ServerId &server)
{
    m_views.erase(server);
}

void Placement::recordDispatch(const ServerId &server)
{
    const auto found = m_views.find(server);
    if (found != m_views.end())
        ++found->second.running;
}

std::optional<ServerId> Placement::choose(const PoolId &pool, const std::set<ServerId> &excluded,
                                          const std::function<bool(const ZoneId &)> &zoneUsable)
{
    std::vector<const std::pair<const ServerId, AgentView> *> candidates;
    for (const auto &entry : m_views) {
        const AgentView &view = entry.second;
        const bool eligible = view.pool == pool && view.freeSlots() > 0 && zoneUsable(view.zone)
                              && !excluded.contains(entry.first);
        if (eligible)
            candidates.push_back(&entry);
    }
    if (candidates.empty())
        return std::nullopt;
    const auto *first = candidates[m_random(candidates.size())];
    const auto *second = candidates[m_random(candidates.size())];
    return second->second.load() < first->second.load() ? second->first : first->first;
}

std::vector<ServerId> Placement::agents(const PoolId &pool) const
{
    std::vector<ServerId> servers;
    for (const auto &[server, view] : m_views) {
        if (view.pool == pool)
            servers.push_back(server);
    }
    return servers;
}

const AgentView *Placement::view(const ServerId &server) const
{
    const auto found = m_views.find(server);
    return found == m_views.end() ? nullptr : &found->second;
}

} // namespace bilberry::decision
