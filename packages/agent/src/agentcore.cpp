#include "bilberry/agent/agentcore.h"

#include "bilberry/model/configurationcodec.h"

namespace bilberry::agent {

namespace {

constexpr Duration heartbeatPeriod = std::chrono::milliseconds(1000);
/// A change of load is told at most this often; answers carry it anyway.
constexpr Duration shortestHeartbeatGap = std::chrono::milliseconds(100);

/// How long a router may hold a grant; covers the creation of a claim by the platform.
constexpr Duration grantLifetime = std::chrono::seconds(2);

/// Tells what a router must know soon, other than mere numbers.
bool stateDiffers(const wire::ServerLoad &left, const wire::ServerLoad &right)
{
    return left.accepting != right.accepting || left.cold != right.cold
           || left.contended != right.contended || left.window != right.window;
}

} // namespace

AgentCore::AgentCore(AgentSettings settings, Incarnation incarnation, AgentHooks hooks)
    : m_settings(std::move(settings)), m_incarnation(incarnation), m_hooks(std::move(hooks)),
      m_admission({{}, grantLifetime, m_settings.ahead, incarnation}),
      m_freshness(m_settings.freshness), m_echoes(incarnation),
      m_cost(decision::makeCostFunction({}))
{
}

void AgentCore::linkUp(decision::LinkId link, TimePoint now)
{
    m_links[link] = {};
    m_hooks.send(link,
                 wire::AgentHello{m_settings.server, m_incarnation, m_settings.pool,
                                  m_settings.zone, stamp(now), load(), m_echoes.recordSent(now)});
}

void AgentCore::linkDown(decision::LinkId link, TimePoint now)
{
    m_links.erase(link);
    m_admission.removeLink(link);
    std::vector<AttemptId> held;
    for (auto &[attempt, state] : m_attempts) {
        if (state.link != link)
            continue;
        if (!state.started)
            held.push_back(attempt);
        else if (state.mayRepeat)
            m_hooks.backend(StopRequest{attempt});
        else // Cut off, it would be neither done nor undone. Its answer is dropped.
            m_hooks.backend(CreditRequest{attempt, wire::unlimitedCredit});
    }
    for (const AttemptId attempt : held) {
        m_admission.removeHeld(attempt);
        m_attempts.erase(attempt);
    }
    advance(now);
}

void AgentCore::received(decision::LinkId link, wire::LinkMessage &&message, TimePoint now)
{
    if (!m_links.contains(link))
        return;
    std::visit([&](auto &alternative) { handle(link, alternative, now); }, message);
    advance(now);
}

void AgentCore::backend(BackendEvent &&event, TimePoint now)
{
    std::visit([&](auto &alternative) { this->event(alternative, now); }, event);
    advance(now);
}

void AgentCore::handle(decision::LinkId link, wire::RouterHello &message, TimePoint now)
{
    m_links[link].router = message.router;
    m_links[link].greeted = true;
    takeStamp(link, message.stamp, std::nullopt, now);
}

void AgentCore::handle(decision::LinkId link, wire::RouterHeartbeat &message, TimePoint now)
{
    const Duration held = std::chrono::milliseconds(message.echoDelayMs);
    takeStamp(link, message.stamp, m_echoes.maxAge(message.echoedSequence, held, now), now);
}

void AgentCore::handle(decision::LinkId link, wire::Demand &message, TimePoint)
{
    m_admission.setDemand(link, message.waiting, std::move(message.nextVirtualTimes));
}

void AgentCore::handle(decision::LinkId link, wire::Dispatch &message, TimePoint now)
{
    if (m_attempts.contains(message.attempt)) {
        ++m_counts.repeatedDispatches;
        return;
    }
    m_admission.setDemand(link, message.demand.waiting, message.demand.nextVirtualTimes);
    if (m_quarantine.isQuarantined(message.fingerprint)) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, wire::RefusalReason::Quarantined);
        return;
    }
    if (const auto reason = closedReason(now)) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, *reason);
        return;
    }
    const bool otherLife
            = message.agentIncarnation != 0 && message.agentIncarnation != m_incarnation;
    if (otherLife) {
        refuse(link, message.attempt, wire::RefusalReason::StaleGrant);
        return;
    }
    // Suspects run one at a time, so that the next crash shows which of them causes it.
    if (m_quarantine.isSuspect(message.fingerprint) && suspectRuns()) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, wire::RefusalReason::Full);
        return;
    }
    m_admission.setOpen(true);
    const auto verdict = m_admission.tryAdmit(
            {message.attempt, link, message.grantId, message.virtualTime}, now);
    if (verdict != decision::AdmissionDecision::Run
        && verdict != decision::AdmissionDecision::Hold) {
        refuse(link, message.attempt,
               verdict == decision::AdmissionDecision::StaleGrant ? wire::RefusalReason::StaleGrant
                                                                  : wire::RefusalReason::Full);
        return;
    }
    Attempt &state = m_attempts[message.attempt];
    state.link = link;
    state.fingerprint = message.fingerprint;
    state.mayRepeat = message.mayRepeat;
    state.request = {message.attempt, std::move(message.method), std::move(message.target),
                     std::move(message.headers), std::move(message.body)};
    if (verdict == decision::AdmissionDecision::Run)
        start(message.attempt, state, now);
}

void AgentCore::handle(decision::LinkId link, wire::GrantReturn &message, TimePoint)
{
    m_admission.returnGrant(message.grantId, link);
    m_admission.setDemand(link, message.demand.waiting, message.demand.nextVirtualTimes);
}

void AgentCore::handle(decision::LinkId link, wire::Cancel &message, TimePoint)
{
    const auto found = m_attempts.find(message.attempt);
    if (found == m_attempts.end() || found->second.link != link)
        return;
    if (found->second.started) {
        m_hooks.backend(StopRequest{message.attempt});
        return;
    }
    m_admission.removeHeld(message.attempt);
    m_attempts.erase(found);
    refuse(link, message.attempt, wire::RefusalReason::Cancelled);
}

void AgentCore::handle(decision::LinkId link, wire::AnswerCredit &message, TimePoint)
{
    const auto found = m_attempts.find(message.attempt);
    if (found != m_attempts.end() && found->second.link == link)
        m_hooks.backend(CreditRequest{message.attempt, message.bytes});
}

void AgentCore::handle(decision::LinkId, wire::QuarantineNotice &message, TimePoint now)
{
    m_quarantine.merge(message.fingerprint, message.crashes, now);
}

void AgentCore::handle(decision::LinkId link, wire::ConfigurationRequest &, TimePoint)
{
    if (m_configuration)
        m_hooks.send(link, wire::ConfigurationOffer{encodeConfiguration(*m_configuration)});
}

void AgentCore::handle(decision::LinkId link, wire::ConfigurationOffer &message, TimePoint now)
{
    m_links[link].asked = false;
    const Result<Configuration> configuration = decodeConfiguration(message.document);
    if (configuration)
        offerConfiguration(configuration.value(), now);
    else
        m_log.warning("Configuration offer refused: " + configuration.error().message() + ".");
}

void AgentCore::offerConfiguration(const Configuration &configuration, TimePoint now)
{
    if (m_configuration && configuration.revision() <= m_configuration->revision())
        return;
    m_configuration = std::make_shared<const Configuration>(configuration);
    m_freshness.setActiveRevision(configuration.revision());
    if (const BackendPool *pool = m_configuration->pool(m_settings.pool)) {
        m_admission.setLimits({pool->coldLimit, pool->fullLimit});
        m_cost = decision::makeCostFunction(*pool);
    }
    m_log.info("Configuration revision " + std::to_string(configuration.revision())
               + " is in force.");
    updateOpen(now);
}

void AgentCore::takeStamp(decision::LinkId link, const wire::ConfigurationStamp &stamp,
                          std::optional<Duration> sinceMade, TimePoint now)
{
    const Revision own = m_configuration ? m_configuration->revision() : 0;
    Link &sender = m_links[link];
    if (stamp.revision > own && !sender.asked) {
        sender.asked = true;
        m_hooks.send(link, wire::ConfigurationRequest{});
    }
    // A stamp may have waited in a buffer, for example while this process was paused; without a
    // bound on that time it proves nothing.
    if (!sinceMade)
        return;
    constexpr std::uint32_t noProof = 0xffffffffU;
    if (stamp.proofAgeMs != noProof)
        m_freshness.recordProof(stamp.revision,
                                std::chrono::milliseconds(stamp.proofAgeMs) + *sinceMade, now);
    if (stamp.frozen && stamp.revision <= own)
        m_freshness.recordFreeze(now - *sinceMade);
}

wire::ConfigurationStamp AgentCore::stamp(TimePoint now) const
{
    wire::ConfigurationStamp stamp;
    stamp.revision = m_configuration ? m_configuration->revision() : 0;
    const auto age = m_freshness.proofAge(now);
    stamp.proofAgeMs = age ? wire::ageMilliseconds(*age) : 0xffffffffU;
    return stamp;
}

std::optional<wire::RefusalReason> AgentCore::closedReason(TimePoint now) const
{
    if (m_draining || m_health.health().leaving)
        return wire::RefusalReason::Leaving;
    if (!m_health.health().reachable)
        return wire::RefusalReason::ServerDown;
    if (!m_configuration || !m_freshness.mayAdmit(now))
        return wire::RefusalReason::CutOff;
    if (m_configuration->zoneIsOut(m_settings.zone) || !m_configuration->pool(m_settings.pool))
        return wire::RefusalReason::Leaving;
    return std::nullopt;
}

void AgentCore::send(decision::LinkId link, wire::LinkMessage &&message)
{
    // An attempt may outlive its link.
    if (m_links.contains(link))
        m_hooks.send(link, std::move(message));
}

void AgentCore::refuse(decision::LinkId link, AttemptId attempt, wire::RefusalReason reason)
{
    ++m_counts.refused[reason];
    send(link, wire::Refusal{attempt, reason, load()});
}

void AgentCore::refuseHeld(wire::RefusalReason reason)
{
    for (const AttemptId attempt : m_admission.takeHeld()) {
        const decision::LinkId link = m_attempts[attempt].link;
        m_attempts.erase(attempt);
        refuse(link, attempt, reason);
    }
}

void AgentCore::start(AttemptId attempt, Attempt &state, TimePoint now)
{
    state.started = true;
    state.startedAt = now;
    ++m_counts.started;
    send(state.link, wire::AttemptStarted{attempt});
    m_hooks.backend(std::move(state.request));
}

void AgentCore::updateOpen(TimePoint now)
{
    const auto reason = closedReason(now);
    m_admission.setOpen(!reason);
    if (reason)
        refuseHeld(*reason);
}

void AgentCore::advance(TimePoint now)
{
    for (const AttemptId attempt : m_admission.startReady()) {
        const auto found = m_attempts.find(attempt);
        if (found != m_attempts.end())
            start(attempt, found->second, now);
    }
    for (const decision::IssuedGrant &grant : m_admission.issueGrants(now)) {
        const auto lifetimeMs = static_cast<std::uint32_t>(toMilliseconds(grantLifetime));
        m_hooks.send(grant.link, wire::Grant{grant.grant, lifetimeMs, load()});
    }
}

void AgentCore::tick(TimePoint now)
{
    updateOpen(now);
    advance(now);
    m_quarantine.expire(now);
    heartbeat(now);
}

void AgentCore::heartbeat(TimePoint now)
{
    const wire::ServerLoad present = load();
    const bool changed = stateDiffers(present, m_sentLoad);
    const Duration gap = now - m_heartbeatAt;
    if (gap < heartbeatPeriod && !(changed && gap >= shortestHeartbeatGap))
        return;
    m_heartbeatAt = now;
    m_sentLoad = present;
    const std::uint64_t sequence = m_echoes.recordSent(now);
    for (const auto &[link, state] : m_links)
        m_hooks.send(link, wire::AgentHeartbeat{stamp(now), present, sequence});
}

void AgentCore::drain(TimePoint now)
{
    m_draining = true;
    updateOpen(now);
    m_heartbeatAt = {};
    heartbeat(now);
}

wire::ServerLoad AgentCore::load() const
{
    const decision::AdmissionLoad load = m_admission.load();
    return {load.window, load.running, load.held,     load.virtualTime,
            load.cold,   load.open,    load.contended};
}

} // namespace bilberry::agent
