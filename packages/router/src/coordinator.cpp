#include "bilberry/router/coordinator.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::router {

namespace {

constexpr Duration probePeriod = std::chrono::milliseconds(500);
/// Every second probe carries lists, well within the time for which peers use them.
constexpr Duration reachabilityListPeriod = std::chrono::milliseconds(900);
constexpr Duration stampPeriod = std::chrono::milliseconds(500);
constexpr Duration expirePeriod = std::chrono::seconds(1);
constexpr std::size_t maxProbesPerPeriod = 8;
constexpr std::uint32_t noProof = 0xffffffffU;

std::string rendezvousKey(const decision::ServiceKey &key)
{
    return key.customer.text();
}

} // namespace

Coordinator::Coordinator(const RouterSettings &settings, Incarnation incarnation,
                         CoordinatorHooks hooks)
    : m_settings(settings), m_incarnation(incarnation), m_hooks(std::move(hooks)),
      m_membership(settings.router, {}), m_freshness(settings.freshness), m_probeAges(incarnation),
      m_reportPlanner(settings.reports), m_liveRouters{settings.router.text()}
{
    std::vector<store::Vm> vms = settings.peers;
    vms.insert(vms.end(), settings.agents.begin(), settings.agents.end());
    setKnownVms(vms);
}

void Coordinator::setKnownVms(const std::vector<store::Vm> &vms)
{
    std::set<RouterId> routers;
    std::set<ServerId> servers;
    for (const store::Vm &vm : vms) {
        if (vm.role == store::VmRole::Router)
            routers.emplace(vm.name);
        else
            servers.emplace(vm.name);
    }
    m_membership.setKnownProcesses(std::move(routers), std::move(servers));
}

wire::GossipSender Coordinator::localSender() const
{
    return {m_settings.router, m_incarnation, m_settings.zone};
}

void Coordinator::receive(const wire::GossipMessage &message, TimePoint now)
{
    std::visit([&](const auto &alternative) { handle(alternative, now); }, message);
}

void Coordinator::handle(const wire::Probe &probe, TimePoint now)
{
    if (probe.hasLists || probe.leaving)
        m_membership.recordContact({probe.sender.router, probe.sender.incarnation,
                                    probe.platformReachable, probe.leaving, probe.reachablePeers,
                                    probe.reachableServers},
                                   now);
    else
        m_membership.recordContact(probe.sender.router, probe.sender.incarnation,
                                   probe.platformReachable, now);
    m_hooks.send(probe.sender.router,
                 wire::ProbeAck{localSender(), probe.sequence, stamp(now), platformReachable(now)});
    fetchIfNewer(probe.sender.router, probe.stamp);
    recordReportedProof(probe.stamp, now);
}

void Coordinator::handle(const wire::ProbeAck &ack, TimePoint now)
{
    m_membership.recordContact(ack.sender.router, ack.sender.incarnation, ack.platformReachable,
                               now);
    fetchIfNewer(ack.sender.router, ack.stamp);
    recordReportedProof(ack.stamp, now);
    // A datagram may wait in a buffer, for example while this process is paused. Only the ack of a
    // probe with a known send time bounds that delay, so proofs are accepted from acks only.
    const auto sinceSent = m_probeAges.maxAge(ack.sequence, Duration(), now);
    if (sinceSent && ack.stamp.proofAgeMs != noProof)
        m_freshness.recordProof(ack.stamp.revision,
                                std::chrono::milliseconds(ack.stamp.proofAgeMs) + *sinceSent, now);
}

void Coordinator::fetchIfNewer(const RouterId &from, const wire::ConfigurationStamp &stamp)
{
    if (stamp.revision > m_freshness.revision())
        m_hooks.fetchConfiguration(from, stamp.proofAgeMs != noProof);
}

void Coordinator::handle(const wire::ServiceReport &report, TimePoint now)
{
    aggregate(report, now);
}

void Coordinator::aggregate(const wire::ServiceReport &report, TimePoint now)
{
    const decision::ReportOrigin origin{report.sender.router, report.sender.incarnation};
    wire::ServiceTotals reply{localSender(), {}, {}};
    for (const wire::ServiceCounter &counter : report.counters) {
        const decision::ServiceKey key{counter.pool, counter.customer};
        m_aggregator.applyReport(origin, report.sequence,
                                 {key, counter.service, counter.offset, counter.backlogged}, now);
        const auto total = m_aggregator.totalFor(key, origin, now);
        if (total)
            reply.totals.push_back({counter.customer, counter.pool, total->normalisedMs,
                                    total->ratePerSecond, total->offset});
    }
    if (reply.totals.empty())
        return;
    if (report.sender.router == m_settings.router)
        handle(reply, now);
    else
        m_hooks.send(report.sender.router, reply);
}

void Coordinator::handle(const wire::ServiceTotals &totals, TimePoint now)
{
    static_cast<void>(now);
    for (const wire::ServiceTotal &total : totals.totals) {
        const decision::ServiceKey key{total.pool, total.customer};
        const RouterId &from = totals.sender.router;
        if (from != aggregatorOf(key))
            continue;
        const auto lastAggregator = m_lastAggregator.find(key);
        const bool aggregatorChanged
                = lastAggregator == m_lastAggregator.end() || lastAggregator->second != from;
        m_lastAggregator[key] = from;
        m_hooks.applyRemoteService(key, {total.remoteService, total.remoteRate, total.offset},
                                   aggregatorChanged);
    }
}

void Coordinator::handle(const wire::QuarantineGossip &gossip, TimePoint)
{
    for (const wire::QuarantineNotice &notice : gossip.notices)
        m_hooks.mergeQuarantine(notice);
}

RouterId Coordinator::aggregatorOf(const decision::ServiceKey &key) const
{
    return RouterId(m_liveRouters[decision::rendezvousOwner(rendezvousKey(key), m_liveRouters)]);
}

void Coordinator::updateAggregators(TimePoint now)
{
    std::vector<std::string> live = m_membership.liveRouterNames(now);
    if (live == m_liveRouters)
        return;
    std::vector<decision::ServiceKey> movedKeys;
    const std::vector<std::string> previous = std::exchange(m_liveRouters, std::move(live));
    for (const auto &[key, aggregator] : m_lastAggregator) {
        if (aggregatorOf(key) != aggregator)
            movedKeys.push_back(key);
    }
    for (const decision::ServiceKey &key : movedKeys)
        m_reportPlanner.markUnreported(key);
    m_aggregator.keepOnly([this](const decision::ServiceKey &key) {
        return aggregatorOf(key) == m_settings.router;
    });
    m_log.info("Live routers: " + std::to_string(m_liveRouters.size()) + ", previously "
               + std::to_string(previous.size()) + ".");
}

void Coordinator::reportLocalService(const std::vector<decision::LocalServiceCounter> &own,
                                     TimePoint now)
{
    if (m_settings.fairness != FairnessMode::Fleet)
        return;
    std::map<RouterId, wire::ServiceReport> reports;
    const auto isAggregatedHere = [this](const decision::ServiceKey &key) {
        return aggregatorOf(key) == m_settings.router;
    };
    for (const decision::LocalServiceCounter &service :
         m_reportPlanner.plan(own, isAggregatedHere, now)) {
        wire::ServiceReport &report = reports[aggregatorOf(service.key)];
        report.counters.push_back({service.key.customer, service.key.pool, service.normalisedMs,
                                   service.offset, service.backlogged});
    }
    for (auto &[aggregator, report] : reports) {
        report.sender = localSender();
        report.sequence = ++m_reportSequence;
        if (aggregator == m_settings.router)
            aggregate(report, now);
        else
            m_hooks.send(aggregator, report);
    }
}

void Coordinator::broadcastQuarantine(const std::vector<wire::QuarantineNotice> &notices,
                                      TimePoint now)
{
    if (notices.empty())
        return;
    for (const RouterId &router : m_membership.reachableRouters(now))
        m_hooks.send(router, wire::QuarantineGossip{localSender(), notices});
}

void Coordinator::setActiveRevision(Revision revision, std::optional<TimePoint> provenAt,
                                    TimePoint now)
{
    m_freshness.setActiveRevision(revision);
    // The probes carry the proof with the new revision, so peers need not ask the platform.
    if (provenAt)
        recordProof(revision, *provenAt, now);
    sendStamp(now);
    sendProbes(now);
}

void Coordinator::recordProof(Revision revision, TimePoint provenAt, TimePoint now)
{
    m_platformAnsweredAt = now;
    m_freshness.recordProof(revision, now - provenAt, now);
}

bool Coordinator::platformReachable(TimePoint now) const
{
    // A hanging call fails only at its timeout. Half of the proof limit leaves the other half to
    // report to peers and agents that the configuration is frozen.
    return m_platformAnsweredAt
           && now - *m_platformAnsweredAt <= m_settings.freshness.maxProofAge / 2;
}

void Coordinator::leave(TimePoint now)
{
    m_leaving = true;
    sendProbes(now);
}

void Coordinator::recordAgentStamp(const wire::ConfigurationStamp &stamp, TimePoint now)
{
    recordReportedProof(stamp, now);
}

void Coordinator::recordReportedProof(const wire::ConfigurationStamp &stamp, TimePoint now)
{
    if (stamp.proofAgeMs == noProof)
        return;
    m_newestProvenRevision = std::max(m_newestProvenRevision, stamp.revision);
    // The transfer time makes the proof look younger here, which only delays the frozen state.
    const TimePoint provenAt = now - std::chrono::milliseconds(stamp.proofAgeMs);
    if (!m_newestProofAt || provenAt > *m_newestProofAt)
        m_newestProofAt = provenAt;
}

bool Coordinator::isConfigurationFrozen(TimePoint now) const
{
    // Reachability is not transitive: an agent or a peer may reach both this router and one that
    // reaches the platform. Its proof shows that changes may be accepted that this router can't
    // see.
    if (m_newestProvenRevision > m_freshness.revision())
        return false;
    if (m_newestProofAt && now - *m_newestProofAt <= m_settings.freshness.maxProofAge / 2)
        return false;
    return m_membership.isFrozenMajority(m_linkedServers, platformReachable(now), now);
}

wire::ConfigurationStamp Coordinator::stamp(TimePoint now) const
{
    wire::ConfigurationStamp stamp;
    stamp.revision = m_freshness.revision();
    const auto age = m_freshness.proofAge(now);
    stamp.proofAgeMs = age ? wire::ageMilliseconds(*age) : noProof;
    stamp.frozen = isConfigurationFrozen(now);
    return stamp;
}

void Coordinator::sendProbes(TimePoint now)
{
    m_probesSentAt = now;
    wire::Probe probe{localSender(),
                      m_probeAges.recordSent(now),
                      stamp(now),
                      platformReachable(now),
                      {},
                      {},
                      m_leaving,
                      false};
    // The lists are used to detect a frozen configuration only, which requires an aged proof.
    const auto age = m_freshness.proofAge(now);
    const bool needsLists = !age || *age > m_settings.freshness.maxProofAge / 2;
    if (needsLists && now - m_listsSentAt > reachabilityListPeriod) {
        m_listsSentAt = now;
        probe.reachablePeers = m_membership.reachableRouters(now);
        probe.reachableServers = m_linkedServers;
        probe.hasLists = true;
    }
    const std::vector<RouterId> peers = m_membership.knownPeers();
    const std::size_t count = std::min(maxProbesPerPeriod, peers.size());
    for (std::size_t i = 0; i < count; ++i)
        m_hooks.send(peers[(m_nextProbedPeer + i) % peers.size()], probe);
    m_nextProbedPeer += count;
}

void Coordinator::sendStamp(TimePoint now)
{
    m_stampSentAt = now;
    m_hooks.publishStamp(stamp(now), now);
}

void Coordinator::updateWatch(TimePoint now)
{
    const auto chosen = decision::rendezvousSubset("configuration watch", m_liveRouters,
                                                   m_settings.configurationWatchers);
    const bool isWatcher = std::any_of(chosen.begin(), chosen.end(), [&](std::size_t index) {
        return m_liveRouters[index] == m_settings.router.text();
    });
    const auto age = m_freshness.proofAge(now);
    const bool proofIsOutdated = !age || *age > m_settings.freshness.maxProofAge / 2;
    m_hooks.setWatchEnabled(isWatcher || proofIsOutdated);
}

void Coordinator::tick(TimePoint now)
{
    updateAggregators(now);
    if (now - m_probesSentAt >= probePeriod) {
        sendProbes(now);
        updateWatch(now);
    }
    if (now - m_stampSentAt >= stampPeriod)
        sendStamp(now);
    if (now - m_expiredAt >= expirePeriod) {
        m_expiredAt = now;
        m_aggregator.expire(now);
        m_membership.expire(now);
    }
}

} // namespace bilberry::router
