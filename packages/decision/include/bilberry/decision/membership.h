#ifndef BILBERRY_DECISION_MEMBERSHIP_H
#define BILBERRY_DECISION_MEMBERSHIP_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bilberry::decision {

/// A router's report on its own state and on the processes that it reaches.
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
    /// Time without a message after which a peer is no longer considered live.
    Duration livenessTimeout = std::chrono::milliseconds(1500);
    /// Time without a message after which a router that is in no list is removed.
    Duration removalTimeout = std::chrono::minutes(1);
    bool operator==(const MembershipSettings &) const = default;
};

/// A router's view of the other routers: which are known, from lists, and which are live, from
/// probes.
class Membership
{
public:
    Membership(RouterId self, MembershipSettings settings);

    /// Replaces the known routers and servers, from the platform's list or the settings. If
    /// either set is empty, adds to the known ones instead.
    void setKnownProcesses(std::set<RouterId> routers, std::set<ServerId> servers);

    /// Records a datagram with a report.
    void recordContact(const PeerReport &report, TimePoint now);

    /// Records a datagram without a report.
    void recordContact(const RouterId &router, Incarnation incarnation, bool platformReachable,
                       TimePoint now);

    /// @return sorted names of the live routers, including this one, without those that are leaving
    std::vector<std::string> liveRouterNames(TimePoint now) const;

    /// @return live routers, including those that are leaving, without this one
    std::vector<RouterId> reachableRouters(TimePoint now) const;

    /// @return all known routers without this one, live or not
    std::vector<RouterId> knownPeers() const;

    /// @return incarnation of a peer, 0 when the peer is unknown
    Incarnation incarnation(const RouterId &router) const;

    /// Decides whether the configuration is frozen: no change can be accepted while a connected
    /// majority of the processes doesn't reach the platform.
    /// @param linkedServers servers whose agents are linked to this router
    /// @param platformReachable whether this router reaches the platform
    /// @return true when the processes connected to this router, directly or through others, are a
    ///         majority of the known ones and none of them reaches the platform
    bool isFrozenMajority(const std::vector<ServerId> &linkedServers, bool platformReachable,
                          TimePoint now) const;

    /// Removes routers that are in no list and haven't sent a message for the removal timeout.
    void expire(TimePoint now);

private:
    struct Peer
    {
        PeerReport report;
        TimePoint lastContactAt{};
        TimePoint reportedAt{}; ///< when the report with its lists was received
    };

    bool isLive(const Peer &peer, TimePoint now) const;
    bool hasCurrentReport(const Peer &peer, TimePoint now) const;

    RouterId m_self;
    MembershipSettings m_settings;
    std::set<RouterId> m_routers;
    std::set<ServerId> m_servers;
    std::map<RouterId, Peer> m_peers;
};

} // namespace bilberry::decision

#endif
