#ifndef BILBERRY_ROUTER_COORDINATOR_H
#define BILBERRY_ROUTER_COORDINATOR_H

#include "bilberry/base/log.h"
#include "bilberry/decision/membership.h"
#include "bilberry/decision/messageagetracker.h"
#include "bilberry/decision/serviceaggregator.h"
#include "bilberry/router/routersettings.h"
#include "bilberry/wire/gossipmessages.h"

#include <functional>
#include <map>
#include <set>

namespace bilberry::router {

/// Outputs of Coordinator, called synchronously.
struct CoordinatorHooks
{
    std::function<void(const RouterId &, const wire::GossipMessage &)> send;
    std::function<void(const decision::ServiceKey &, const decision::RemoteService &,
                       bool aggregatorChanged)>
            applyRemoteService;
    std::function<void(const wire::QuarantineNotice &)> mergeQuarantine;
    /// Sends a stamp to the agents; the time is when its proof age was computed.
    std::function<void(const wire::ConfigurationStamp &, TimePoint)> publishStamp;
    /// Fetches the newer configuration of a peer.
    /// @param proven whether the peer has a proof from the platform for it
    std::function<void(const RouterId &, bool proven)> fetchConfiguration;
    /// Starts or stops watching the configuration at the platform.
    std::function<void(bool)> setWatchEnabled;
};

/// Coordinates a router with its peers: membership, fleet-wide service totals, configuration
/// freshness and quarantine. Does no I/O.
class Coordinator
{
public:
    Coordinator(const RouterSettings &settings, Incarnation incarnation, CoordinatorHooks hooks);

    void receive(const wire::GossipMessage &message, TimePoint now);

    /// @param vms routers and agents listed by the platform or the settings
    void setKnownVms(const std::vector<store::Vm> &vms);
    void setLinkedServers(std::vector<ServerId> servers) { m_linkedServers = std::move(servers); }
    void reportLocalService(const std::vector<decision::LocalServiceCounter> &own, TimePoint now);
    void broadcastQuarantine(const std::vector<wire::QuarantineNotice> &notices, TimePoint now);

    /// Records that this router applied a revision, and announces it to peers and agents.
    /// @param provenAt when the platform was asked and named the revision as the newest; nothing
    ///        when it did not
    void setActiveRevision(Revision revision, std::optional<TimePoint> provenAt, TimePoint now);
    /// Records that the platform named a revision as the newest.
    /// @param provenAt when the platform was asked
    void recordProof(Revision revision, TimePoint provenAt, TimePoint now);
    /// Records the revision and proof that an agent reported.
    void recordAgentStamp(const wire::ConfigurationStamp &stamp, TimePoint now);
    /// Records that a call to the platform failed.
    void recordPlatformFailure() { m_platformAnsweredAt.reset(); }
    /// Announces the shutdown of this router to its peers.
    void leave(TimePoint now);

    /// Sends due probes and stamps, and removes expired peers and totals; called every 50 ms.
    void tick(TimePoint now);

    wire::ConfigurationStamp stamp(TimePoint now) const;
    std::vector<std::string> liveRouters(TimePoint now) const
    {
        return m_membership.liveRouterNames(now);
    }
    /// @return whether the platform answered this router within half of the proof limit
    bool platformReachable(TimePoint now) const;

private:
    void handle(const wire::Probe &probe, TimePoint now);
    void handle(const wire::ProbeAck &ack, TimePoint now);
    void handle(const wire::ServiceReport &report, TimePoint now);
    void handle(const wire::ServiceTotals &totals, TimePoint now);
    void handle(const wire::QuarantineGossip &gossip, TimePoint now);
    /// Ignored: only routers that reach their servers directly exchange these reports.
    void handle(const wire::DirectRouterReport &, TimePoint) {}
    void handle(const wire::PlanProofQuery &, TimePoint) {}
    void handle(const wire::PlanProofReply &, TimePoint) {}
    void handle(const wire::CrashSuspectGossip &, TimePoint) {}
    void handle(const wire::ServerNoticeGossip &, TimePoint) {}
    void handle(const wire::StoreNotice &, TimePoint) {}
    void handle(const wire::RestoredStateQuery &, TimePoint) {}
    void handle(const wire::RestoredStateReply &, TimePoint) {}

    wire::GossipSender localSender() const;
    bool isConfigurationFrozen(TimePoint now) const;
    void recordReportedProof(const wire::ConfigurationStamp &stamp, TimePoint now);
    void fetchIfNewer(const RouterId &from, const wire::ConfigurationStamp &stamp);
    RouterId aggregatorOf(const decision::ServiceKey &key) const;
    void updateAggregators(TimePoint now);
    void aggregate(const wire::ServiceReport &report, TimePoint now);
    void sendProbes(TimePoint now);
    void sendStamp(TimePoint now);
    void updateWatch(TimePoint now);

    RouterSettings m_settings;
    Incarnation m_incarnation;
    CoordinatorHooks m_hooks;
    Log m_log{"router.coordinator"};
    decision::Membership m_membership;
    decision::ConfigurationFreshness m_freshness;
    decision::MessageAgeTracker
            m_probeAges; ///< numbers the probes and bounds the age of their acks
    decision::ServiceAggregator m_aggregator{{}};
    decision::ReportPlanner m_reportPlanner;
    std::vector<std::string> m_liveRouters;
    std::map<decision::ServiceKey, RouterId> m_lastAggregator; ///< router whose totals are applied
    std::vector<ServerId> m_linkedServers;
    std::optional<TimePoint> m_platformAnsweredAt;
    Revision m_newestProvenRevision = 0;      ///< that any process reported
    std::optional<TimePoint> m_newestProofAt; ///< of the newest proof that any process reported
    bool m_leaving = false;
    std::uint64_t m_reportSequence = 0;
    std::size_t m_nextProbedPeer = 0;
    TimePoint m_probesSentAt{};
    TimePoint m_listsSentAt{};
    TimePoint m_stampSentAt{};
    TimePoint m_expiredAt{};
};

} // namespace bilberry::router

#endif
