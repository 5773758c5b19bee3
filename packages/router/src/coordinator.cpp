#include "bilberry/router/coordinator.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::router {

namespace {

constexpr Duration probePeriod = std::chrono::milliseconds(500);
/// Every second probe carries lists, well within the time that peers count on them.
constexpr Duration listPeriod = std::chrono::milliseconds(900);
constexpr Duration stampPeriod = std::chrono::milliseconds(500);
constexpr Duration expirePeriod = std::chrono::seconds(1);
/// Peers probed in one period.
constexpr std::size_t maxProbes = 8;
constexpr std::uint32_t noProof = 0xffffffffU;

std::string ownerKey(const decision::ServiceKey &key)
{
    return key.customer.text();
}

} // namespace

Coordinator::Coordinator(const RouterSettings &settings, Incarnation incarnation,
                         CoordinatorHooks hooks)
    : m_settings(settings), m_incarnation(incarnation), m_hooks(std::move(hooks)),
      m_membership(settings.router, {}), m_freshness(settings.freshness), m_echoes(incarnation),
      m_planner(settings.reports), m_live{settings.router.text()}
{
    std::vector<store::Vm> vms = settings.peers;
    vms.insert(vms.end(), settings.agents.begin(), settings.agents.end());
    setKnown(vms);
}

void Coordinator::setKnown(const std::vector<store::Vm> &vms)
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

wire::GossipSender Coordinator::self() const
{
    return {m_settings.router, m_incarnation, m_settings.zone};
}

void Coordinator::received(const wire::GossipMessage &message, TimePoint now)
{
    std::visit([&](const auto &alternative) { handle(alternative, now); }, message);
}

void Coordinator::handle(const wire::Probe &probe, TimePoint now)
{
    const bool withLists = !probe.reachablePeers.empty() || !probe.reachableServers.empty();
    if (withLists || probe.leaving)
        m_membership.recordContact({probe.sender.router, probe.sender.incarnation,
                                    probe.platformReachable, probe.leaving, probe.reachablePeers,
                                    probe.reachableServers},
                                   now);
    else
        m_membership.recordContact(probe.sender.router, probe.sender.incarnation,
                                   probe.platformReachable, now);
    m_hooks.send(probe.sender.router,
                 wire::ProbeAck{self(), probe.sequence, stamp(now), platformReachable(now)});
    hintRevision(probe.sender.router, probe.stamp);
    noteProof(probe.stamp, now);
}

void Coordinator::handle(const wire::ProbeAck &ack, TimePoint now)
{
    m_membership.recordContact(ack.sender.router, ack.sender.incarnation, ack.platformReachable,
                               now);
    hintRevision(ack.sender.router, ack.stamp);
    noteProof(ack.stamp, now);
    // A datagram may wait in a buffer, for example while this process is paused. Only the answer
    // to a probe of known age bounds that time, so that proofs travel in answers alone.
    const auto sinceMade = m_echoes.maxAge(ack.sequence, Duration(), now);
    if (sinceMade && ack.stamp.proofAgeMs != noProof)
        m_freshness.recordProof(ack.stamp.revision,
                                std::chrono::milliseconds(ack.stamp.proofAgeMs) + *sinceMade, now);
}

void Coordinator::hintRevision(const RouterId &from, const wire::ConfigurationStamp &stamp)
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
    wire::ServiceTotals answer{self(), {}, {}};
    for (const wire::ServiceCounter &counter : report.counters) {
        const decision::ServiceKey key{counter.pool, counter.customer};
        m_aggregator.applyReport(origin, report.sequence,
                                 {key, counter.service, counter.offset, counter.backlogged}, now);
        const auto total = m_aggregator.totalFor(key, origin, now);
        if (total)
            answer.totals.push_back({counter.customer, counter.pool, total->normalisedMs,
                                     total->ratePerSecond, total->offset});
    }
    if (answer.totals.empty())
        return;
    if (report.sender.router == m_settings.router)
        handle(answer, now);
    else
        m_hooks.send(report.sender.router, answer);
}

void Coordinator::handle(const wire::ServiceTotals &totals, TimePoint now)
{
    static_cast<void>(now);
    for (const wire::ServiceTotal &total : totals.totals) {
        const decision::ServiceKey key{total.pool, total.customer};
        const RouterId &from = totals.sender.router;
        if (from != ownerOf(key))
            continue;
        const auto last = m_lastOwner.find(key);
        const bool changed = last == m_lastOwner.end() || last->second != from;
        m_lastOwner[key] = from;
        m_hooks.remoteService(key, {total.remoteService, total.remoteRate, total.offset}, changed);
    }
}

void Coordinator::handle(const wire::QuarantineGossip &gossip, TimePoint)
{
    for (const wire::QuarantineNotice &notice : gossip.notices)
        m_hooks.quarantine(notice);
}

RouterId Coordinator::ownerOf(const decision::ServiceKey &key) const
{
    return RouterId(m_live[decision::rendezvousOwner(ownerKey(key), m_live)]);
}

void Coordinator::refreshOwners(TimePoint now)
{
    std::vector<std::string> live = m_membership.liveRouterNames(now);
    if (live == m_live)
        return;
    std::vector<decision::ServiceKey> moved;
    const std::vector<std::string> before = std::exchange(m_live, std::move(live));
    for (const auto &[key, owner] : m_lastOwner) {
        if (ownerOf(key) != owner)
            moved.push_back(key);
    }
    for (const decision::ServiceKey &key : moved)
        m_planner.markUnreported(key);
    m_aggregator.keepOnly(
            [this](const decision::ServiceKey &key) { return ownerOf(key) == m_settings.router; });
    m_log.info("Live routers: " + std::to_string(m_live.size()) + ", before "
               + std::to_string(before.size()) + ".");
}

void Coordinator::setOwnService(const std::vector<decision::LocalServiceCounter> &own,
                                TimePoint now)
{
    if (m_settings.fairness != FairnessMode::Fleet)
        return;
    std::map<RouterId, wire::ServiceReport> reports;
    const auto isLocal
            = [this](const decision::ServiceKey &key) { return ownerOf(key) == m_settings.router; };
    for (const decision::LocalServiceCounter &service : m_planner.plan(own, isLocal, now)) {
        wire::ServiceReport &report = reports[ownerOf(service.key)];
        report.counters.push_back({service.key.customer, service.key.pool, service.normalisedMs,
                                   service.offset, service.backlogged});
    }
    for (auto &[owner, report] : reports) {
        report.sender = self();
        report.sequence = ++m_sequence;
        if (owner == m_settings.router)
            aggregate(report, now);
        else
            m_hooks.send(owner, report);
    }
}

void Coordinator::spreadQuarantine(const std::vector<wire::QuarantineNotice> &notices,
                                   TimePoint now)
{
    if (notices.empty())
        return;
    for (const RouterId &router : m_membership.reachableRouters(now))
        m_hooks.send(router, wire::QuarantineGossip{self(), notices});
}

void Coordinator::inForce(Revision revision, std::optional<TimePoint> provenAt, TimePoint now)
{
    m_freshness.setActiveRevision(revision);
    // The proof goes out with the news, so that peers need not ask the platform themselves.
    if (provenAt)
        proof(revision, *provenAt, now);
    sendStamp(now);
    sendProbes(now);
}

void Coordinator::proof(Revision revision, TimePoint at, TimePoint now)
{
    m_platformAnsweredAt = now;
    m_freshness.recordProof(revision, now - at, now);
}

bool Coordinator::platformReachable(TimePoint now) const
{
    // A call that hangs says nothing until its limit. Half of the proof's limit leaves the other
    // half to tell peers and agents that the configuration is frozen.
    return m_platformAnsweredAt
           && now - *m_platformAnsweredAt <= m_settings.freshness.maxProofAge / 2;
}

void Coordinator::leave(TimePoint now)
{
    m_leaving = true;
    sendProbes(now);
}

void Coordinator::agentStamp(const wire::ConfigurationStamp &stamp, TimePoint now)
{
    noteProof(stamp, now);
}

void Coordinator::noteProof(const wire::ConfigurationStamp &stamp, TimePoint now)
{
    if (stamp.proofAgeMs == noProof)
        return;
    m_newestProven = std::max(m_newestProven, stamp.revision);
    // Time on the way makes the proof seem younger here, which only delays the word "frozen".
    const TimePoint at = now - std::chrono::milliseconds(stamp.proofAgeMs);
    if (!m_newestProofKnown || at > *m_newestProofKnown)
        m_newestProofKnown = at;
}

bool Coordinator::isFrozen(TimePoint now) const
{
    // Reachability is no equivalence: an agent or a peer may reach both this router and one that
    // reaches the platform. Its proof shows that orders can be accepted beyond this view.
    if (m_newestProven > m_freshness.revision())
        return false;
    if (m_newestProofKnown && now - *m_newestProofKnown <= m_settings.freshness.maxProofAge / 2)
        return false;
    return m_membership.isFrozenMajority(m_linked, platformReachable(now), now);
}

wire::ConfigurationStamp Coordinator::stamp(TimePoint now) const
{
    wire::ConfigurationStamp stamp;
    stamp.revision = m_freshness.revision();
    const auto age = m_freshness.proofAge(now);
    stamp.proofAgeMs = age ? wire::ageMilliseconds(*age) : noProof;
    stamp.frozen = isFrozen(now);
    return stamp;
}

void Coordinator::sendProbes(TimePoint now)
{
    m_probedAt = now;
    wire::Probe probe{
            self(),   m_echoes.recordSent(now), stamp(now), platformReachable(now), {}, {},
            m_leaving};
    // The lists serve the word "frozen" alone, which nobody says while a proof is fresh.
    const auto age = m_freshness.proofAge(now);
    const bool needed = !age || *age > m_settings.freshness.maxProofAge / 2;
    if (needed && now - m_listedAt > listPeriod) {
        m_listedAt = now;
        probe.reachablePeers = m_membership.reachableRouters(now);
        probe.reachableServers = m_linked;
    }
    const std::vector<RouterId> peers = m_membership.knownPeers();
    const std::size_t count = std::min(maxProbes, peers.size());
    for (std::size_t i = 0; i < count; ++i)
        m_hooks.send(peers[(m_nextProbe + i) % peers.size()], probe);
    m_nextProbe += count;
}

void Coordinator::sendStamp(TimePoint now)
{
    m_stampedAt = now;
    m_hooks.stamp(stamp(now), now);
}

void Coordinator::decideWatch(TimePoint now)
{
    const auto chosen
            = decision::rendezvousSubset("configuration watch", m_live, m_settings.watchers);
    const bool isChosen = std::any_of(chosen.begin(), chosen.end(), [&](std::size_t index) {
        return m_live[index] == m_settings.router.text();
    });
    const auto age = m_freshness.proofAge(now);
    const bool proofIsOld = !age || *age > m_settings.freshness.maxProofAge / 2;
    m_hooks.watch(isChosen || proofIsOld);
}

void Coordinator::tick(TimePoint now)
{
    refreshOwners(now);
    if (now - m_probedAt >= probePeriod) {
        sendProbes(now);
        decideWatch(now);
    }
    if (now - m_stampedAt >= stampPeriod)
        sendStamp(now);
    if (now - m_expiredAt >= expirePeriod) {
        m_expiredAt = now;
        m_aggregator.expire(now);
        m_membership.expire(now);
    }
}

} // namespace bilberry::router
