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

/// Where the coordinator's output goes.
struct CoordinatorHooks
{
    std::function<void(const RouterId &, const wire::GossipMessage &)> send;
    std::function<void(const decision::ServiceKey &, const decision::RemoteService &,
                       bool aggregatorChanged)>
            applyRemoteService;
    std::function<void(const wire::QuarantineNotice &)> mergeQuarantine;
    /// The stamp for the agents changed or is due again; it was made at the given time.
    std::function<void(const wire::ConfigurationStamp &, TimePoint)> publishStamp;
    /// A peer has a newer configuration, with or without a proof from the platform.
    std::function<void(const RouterId &, bool proven)> fetchConfiguration;
    /// Whether this router shall watch the configuration at the platform.
    std::function<void(bool)> setWatchEnabled;
};

/// What a router does together with the other routers: membership, service counters,
/// configuration freshness, quarantine. No I/O.
class Coordinator
{
public:
    Coordinator(const RouterSettings &settings, Incarnation incarnation, CoordinatorHooks hooks);

    void receive(const wire::GossipMessage &message, TimePoint now);

    /// @param vms routers and agents of the platform's list or the settings
    void setKnownVms(const std::vector<store::Vm> &vms);
    void setLinkedServers(std::vector<ServerId> servers) { m_linkedServers = std::move(servers); }
    void reportOwnService(const std::vector<decision::LocalServiceCounter> &own, TimePoint now);
    void broadcastQuarantine(const std::vector<wire::QuarantineNotice> &notices, TimePoint now);

    /// A revision was put in force here.
    /// @param provenAt when the platform named it as the newest one, if it did
    void setActiveRevision(Revision revision, std::optional<TimePoint> provenAt, TimePoint now);
    /// The platform proved a revision to be the newest.
    /// @param at when the platform was asked
    void recordProof(Revision revision, TimePoint provenAt, TimePoint now);
    /// An agent told its revision and proof.
    void recordAgentStamp(const wire::ConfigurationStamp &stamp, TimePoint now);
    /// A call to the platform failed.
    void recordPlatformFailure() { m_platformAnsweredAt.reset(); }
    /// The router is shutting down.
    void leave(TimePoint now);

    /// Probes and stamps; called every 50 ms.
    void tick(TimePoint now);

    wire::ConfigurationStamp stamp(TimePoint now) const;
    std::vector<std::string> liveRouters(TimePoint now) const
    {
        return m_membership.liveRouterNames(now);
    }
    /// @return whether the platform answered this router lately
    bool platformReachable(TimePoint now) const;

private:
    void handle(const wire::Probe &probe, TimePoint now);
    void handle(const wire::ProbeAck &ack, TimePoint now);
    void handle(const wire::ServiceReport &report, TimePoint now);
    void handle(const wire::ServiceTotals &totals, TimePoint now);
    void handle(const wire::QuarantineGossip &gossip, TimePoint now);
    /// Only routers that reach their servers directly send and use it.
    void handle(const wire::DirectRouterReport &, TimePoint) {}

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
    decision::MessageAgeTracker m_probeClock; ///< numbers the probes
    decision::ServiceAggregator m_aggregator{{}};
    decision::ReportPlanner m_reportPlanner;
    std::vector<std::string> m_liveRouters;
    std::map<decision::ServiceKey, RouterId> m_lastAggregator; ///< whose totals are in force
    std::vector<ServerId> m_linkedServers;
    std::optional<TimePoint> m_platformAnsweredAt;
    Revision m_newestProvenRevision = 0;      ///< that any process told
    std::optional<TimePoint> m_newestProofAt; ///< time of the newest proof that any told
    bool m_leaving = false;
    std::uint64_t m_reportSequence = 0;
    std::size_t m_nextProbe = 0;
    TimePoint m_probesSentAt{};
    TimePoint m_listsSentAt{};
    TimePoint m_stampSentAt{};
    TimePoint m_expiredAt{};
};

} // namespace bilberry::router

#endif
