#ifndef BILBERRY_DECISION_MEMBERSHIP_H
#define BILBERRY_DECISION_MEMBERSHIP_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bilberry::decision {

/// What a router says about itself and its surroundings.
struct PeerReport
{
    RouterId router;
    Incarnation incarnation = 0;
    bool platformReachable = false;
    bool leaving = false;
    std::vector<RouterId> reachablePeers;
    std::vector<ServerId> reachableServers;
    bool operator==(const PeerReport &) const = default;
};

struct MembershipSettings
{
    /// A peer that was not heard for longer is no longer used.
    Duration livenessTimeout = std::chrono::milliseconds(1500);
    /// A router that is in no list is forgotten after this time.
    Duration removalTimeout = std::chrono::minutes(1);
    bool operator==(const MembershipSettings &) const = default;
};

/// A router's view of the other routers. Addresses come from lists, liveness from probes.
class Membership
{
public:
    Membership(RouterId self, MembershipSettings settings);

    /// Replaces the routers and servers that the platform's list or the settings name.
    void setKnownProcesses(std::set<RouterId> routers, std::set<ServerId> servers);

    /// A datagram came from a router.
    void recordContact(const PeerReport &report, TimePoint now);

    /// A datagram without a report came from a router.
    void recordContact(const RouterId &router, Incarnation incarnation, bool platformReachable,
                       TimePoint now);

    /// @return names of the live routers with this one, sorted; leaving ones are left out
    std::vector<std::string> liveRouterNames(TimePoint now) const;

    /// @return routers heard from lately, without this one
    std::vector<RouterId> reachableRouters(TimePoint now) const;

    /// @return all known routers but this one, whether live or not
    std::vector<RouterId> knownPeers() const;

    /// @return incarnation of a peer, 0 when unknown
    Incarnation incarnation(const RouterId &router) const;

    /// Decides whether the configuration counts as frozen: the processes connected to this one,
    /// also through others, are a majority of the last known ones, and none of them reaches the
    /// platform.
    /// @param linkedServers servers whose agents are linked to this router
    /// @param platformReachable whether this router reaches the platform
    bool isFrozenMajority(const std::vector<ServerId> &linkedServers, bool platformReachable,
                          TimePoint now) const;

    /// Forgets routers that left the list and are silent.
    void expire(TimePoint now);

private:
    struct Peer
    {
        PeerReport report;
        TimePoint heardAt{};
        TimePoint reportedAt{}; ///< of the report's lists
    };

    bool isLive(const Peer &peer, TimePoint now) const;
    bool isReported(const Peer &peer, TimePoint now) const;

    RouterId m_self;
    MembershipSettings m_settings;
    std::set<RouterId> m_routers;
    std::set<ServerId> m_servers;
    std::map<RouterId, Peer> m_peers;
};

} // namespace bilberry::decision

#endif
