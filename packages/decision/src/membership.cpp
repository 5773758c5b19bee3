#include "bilberry/decision/membership.h"

#include <algorithm>
#include <deque>

namespace bilberry::decision {

Membership::Membership(RouterId self, MembershipSettings settings)
    : m_self(std::move(self)), m_settings(settings)
{
}

void Membership::setKnownProcesses(std::set<RouterId> routers, std::set<ServerId> servers)
{
    // With no known routers or servers, any process would be a majority.
    if (routers.empty() || servers.empty()) {
        m_routers.merge(routers);
        m_servers.merge(servers);
        return;
    }
    m_routers = std::move(routers);
    m_servers = std::move(servers);
}

void Membership::recordContact(const PeerReport &report, TimePoint now)
{
    if (report.router != m_self)
        m_peers[report.router] = {report, now, now};
}

void Membership::recordContact(const RouterId &router, Incarnation incarnation,
                               bool platformReachable, TimePoint now)
{
    if (router == m_self)
        return;
    Peer &peer = m_peers[router];
    if (peer.report.incarnation != incarnation)
        peer = {};
    peer.report.router = router;
    peer.report.incarnation = incarnation;
    peer.report.platformReachable = platformReachable;
    peer.lastContactAt = now;
}

void Membership::expire(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const auto &[router, peer] = entry;
        return !m_routers.contains(router) && now - peer.lastContactAt > m_settings.removalTimeout;
    });
}

bool Membership::hasCurrentReport(const Peer &peer, TimePoint now) const
{
    return now - peer.reportedAt <= m_settings.livenessTimeout;
}

bool Membership::isLive(const Peer &peer, TimePoint now) const
{
    return now - peer.lastContactAt <= m_settings.livenessTimeout;
}

std::vector<std::string> Membership::liveRouterNames(TimePoint now) const
{
    std::vector<std::string> names{m_self.text()};
    for (const auto &[router, peer] : m_peers) {
        if (isLive(peer, now) && !peer.report.leaving)
            names.push_back(router.text());
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<RouterId> Membership::reachableRouters(TimePoint now) const
{
    std::vector<RouterId> routers;
    for (const auto &[router, peer] : m_peers) {
        if (isLive(peer, now))
            routers.push_back(router);
    }
    return routers;
}

std::vector<RouterId> Membership::knownPeers() const
{
    std::vector<RouterId> routers;
    for (const RouterId &router : m_routers) {
        if (router != m_self)
            routers.push_back(router);
    }
    return routers;
}

Incarnation Membership::incarnation(const RouterId &router) const
{
    const auto found = m_peers.find(router);
    return found == m_peers.end() ? 0 : found->second.report.incarnation;
}

bool Membership::isFrozenMajority(const std::vector<ServerId> &linkedServers,
                                  bool platformReachable, TimePoint now) const
{
    if (platformReachable)
        return false;
    std::set<RouterId> routers{m_self};
    std::set<ServerId> servers(linkedServers.begin(), linkedServers.end());
    std::deque<RouterId> pending;
    const auto visit = [&](const RouterId &router) {
        if (routers.insert(router).second)
            pending.push_back(router);
    };
    for (const RouterId &router : reachableRouters(now))
        visit(router);
    while (!pending.empty()) {
        const auto peer = m_peers.find(pending.front());
        pending.pop_front();
        // A router known only through others is connected, but the processes it reaches are
        // unknown.
        if (peer == m_peers.end() || !isLive(peer->second, now))
            continue;
        const PeerReport &report = peer->second.report;
        if (report.platformReachable)
            return false;
        // Replies to this router's probes keep a peer live, but only the peer's own probes contain
        // its lists.
        if (!hasCurrentReport(peer->second, now))
            continue;
        for (const RouterId &router : report.reachablePeers)
            visit(router);
        servers.insert(report.reachableServers.begin(), report.reachableServers.end());
    }
    std::set<RouterId> knownRouters = m_routers;
    knownRouters.insert(m_self);
    const auto countKnown = [&](const auto &known, const auto &members) {
        return std::count_if(members.begin(), members.end(),
                             [&](const auto &member) { return known.contains(member); });
    };
    const auto connected = static_cast<std::size_t>(countKnown(knownRouters, routers)
                                                    + countKnown(m_servers, servers));
    return 2 * connected > knownRouters.size() + m_servers.size();
}

} // namespace bilberry::decision
