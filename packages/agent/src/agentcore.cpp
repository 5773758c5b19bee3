#include "bilberry/agent/agentcore.h"

#include "bilberry/model/configurationcodec.h"

namespace bilberry::agent {

namespace {

constexpr Duration heartbeatPeriod = std::chrono::milliseconds(1000);
/// Minimum time between heartbeats sent because of a load change; answers carry the load anyway.
constexpr Duration minHeartbeatInterval = std::chrono::milliseconds(100);

/// Time until an unused grant expires; long enough for the platform to create a claim.
constexpr Duration grantLifetime = std::chrono::seconds(2);

/// @return true when a change must reach routers soon; running and held counts need not
bool stateDiffers(const wire::ServerLoad &left, const wire::ServerLoad &right)
{
    return left.accepting != right.accepting || left.cold != right.cold
           || left.contended != right.contended || left.window != right.window;
}

} // namespace

AgentCore::AgentCore(AgentSettings settings, Incarnation incarnation, AgentHooks hooks)
    : m_settings(std::move(settings)), m_incarnation(incarnation), m_hooks(std::move(hooks)),
      m_admission({{}, grantLifetime, m_settings.grantsBeyondWindow, incarnation}),
      m_freshness(m_settings.freshness), m_messageAges(incarnation),
      m_costFunction(decision::makeCostFunction({}))
{
}

void AgentCore::addLink(decision::LinkId link, TimePoint now)
{
    m_links[link] = {};
    m_hooks.sendMessage(link, wire::AgentHello{m_settings.server, m_incarnation, m_settings.pool,
                                               m_settings.zone, stamp(now), load(),
                                               m_messageAges.recordSent(now)});
}

void AgentCore::removeLink(decision::LinkId link, TimePoint now)
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
            m_hooks.sendCommand(StopCommand{attempt});
        else // Stopped halfway, its effect would be unknown. Its answer is dropped.
            m_hooks.sendCommand(CreditCommand{attempt, wire::unlimitedCredit});
    }
    for (const AttemptId attempt : held) {
        m_admission.removeHeld(attempt);
        m_attempts.erase(attempt);
    }
    processAdmissions(now);
}

void AgentCore::handleMessage(decision::LinkId link, wire::LinkMessage &&message, TimePoint now)
{
    if (!m_links.contains(link))
        return;
    std::visit([&](auto &alternative) { handle(link, alternative, now); }, message);
    processAdmissions(now);
}

void AgentCore::handleBackendEvent(BackendEvent &&event, TimePoint now)
{
    std::visit([&](auto &alternative) { this->handleEvent(alternative, now); }, event);
    processAdmissions(now);
}

void AgentCore::handle(decision::LinkId link, wire::RouterHello &message, TimePoint now)
{
    m_links[link].router = message.router;
    m_links[link].helloReceived = true;
    processStamp(link, message.stamp, std::nullopt, now);
}

void AgentCore::handle(decision::LinkId link, wire::RouterHeartbeat &message, TimePoint now)
{
    const Duration echoDelay = std::chrono::milliseconds(message.echoDelayMs);
    processStamp(link, message.stamp, m_messageAges.maxAge(message.echoedSequence, echoDelay, now),
                 now);
}

void AgentCore::handle(decision::LinkId link, wire::Demand &message, TimePoint)
{
    m_admission.setDemand(link, message.waiting, std::move(message.nextVirtualTimes));
}

void AgentCore::handle(decision::LinkId link, wire::Dispatch &message, TimePoint now)
{
    if (m_attempts.contains(message.attempt)) {
        ++m_counters.duplicateDispatches;
        return;
    }
    m_admission.setDemand(link, message.demand.waiting, message.demand.nextVirtualTimes);
    if (m_quarantine.isQuarantined(message.fingerprint)) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, wire::RefusalReason::Quarantined);
        return;
    }
    if (const auto reason = currentRefusalReason(now)) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, *reason);
        return;
    }
    const bool wrongIncarnation
            = message.agentIncarnation != 0 && message.agentIncarnation != m_incarnation;
    if (wrongIncarnation) {
        refuse(link, message.attempt, wire::RefusalReason::StaleGrant);
        return;
    }
    // Suspected requests run one at a time, so that the next crash identifies its cause.
    if (m_quarantine.isSuspect(message.fingerprint) && isSuspectRunning()) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, wire::RefusalReason::Full);
        return;
    }
    if (!hasMemory()) {
        m_admission.returnGrant(message.grantId, link);
        refuse(link, message.attempt, wire::RefusalReason::Full);
        return;
    }
    m_admission.setOpen(true);
    const auto admissionDecision = m_admission.tryAdmit(
            {message.attempt, link, message.grantId, message.virtualTime}, now);
    if (admissionDecision != decision::AdmissionDecision::Run
        && admissionDecision != decision::AdmissionDecision::Hold) {
        refuse(link, message.attempt,
               admissionDecision == decision::AdmissionDecision::StaleGrant
                       ? wire::RefusalReason::StaleGrant
                       : wire::RefusalReason::Full);
        return;
    }
    Attempt &state = m_attempts[message.attempt];
    state.link = link;
    state.fingerprint = message.fingerprint;
    state.mayRepeat = message.mayRepeat;
    state.request = {message.attempt, std::move(message.method), std::move(message.target),
                     std::move(message.headers), std::move(message.body)};
    if (m_hooks.holdMemory)
        state.request.memory = m_hooks.holdMemory(state.request.body.capacity());
    if (admissionDecision == decision::AdmissionDecision::Run)
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
        m_hooks.sendCommand(StopCommand{message.attempt});
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
        m_hooks.sendCommand(CreditCommand{message.attempt, message.bytes});
}

void AgentCore::handle(decision::LinkId, wire::QuarantineNotice &message, TimePoint now)
{
    m_quarantine.merge(message.fingerprint, message.crashes, now);
}

void AgentCore::handle(decision::LinkId link, wire::ConfigurationRequest &, TimePoint)
{
    if (m_configuration)
        m_hooks.sendMessage(link, wire::ConfigurationOffer{encodeConfiguration(*m_configuration)});
}

void AgentCore::handle(decision::LinkId link, wire::ConfigurationOffer &message, TimePoint now)
{
    m_links[link].configurationRequested = false;
    const Result<Configuration> configuration = decodeConfiguration(message.document);
    if (configuration)
        applyConfiguration(configuration.value(), now);
    else
        m_log.warning("Configuration offer rejected: " + configuration.error().message() + ".");
}

void AgentCore::applyConfiguration(const Configuration &configuration, TimePoint now)
{
    if (m_configuration && configuration.revision() <= m_configuration->revision())
        return;
    m_configuration = std::make_shared<const Configuration>(configuration);
    m_freshness.setActiveRevision(configuration.revision());
    if (const BackendPool *pool = m_configuration->pool(m_settings.pool)) {
        m_admission.setLimits({pool->coldLimit, pool->fullLimit});
        m_costFunction = decision::makeCostFunction(*pool);
    }
    m_log.info("Configuration revision " + std::to_string(configuration.revision())
               + " is in force.");
    updateAdmission(now);
}

void AgentCore::processStamp(decision::LinkId link, const wire::ConfigurationStamp &stamp,
                             std::optional<Duration> maxStampAge, TimePoint now)
{
    const Revision ownRevision = m_configuration ? m_configuration->revision() : 0;
    Link &sender = m_links[link];
    if (stamp.revision > ownRevision && !sender.configurationRequested) {
        sender.configurationRequested = true;
        m_hooks.sendMessage(link, wire::ConfigurationRequest{});
    }
    // A stamp may have been buffered, for example while this process was paused; without a bound on
    // its age it proves nothing.
    if (!maxStampAge)
        return;
    constexpr std::uint32_t noProof = 0xffffffffU;
    if (stamp.proofAgeMs != noProof)
        m_freshness.recordProof(stamp.revision,
                                std::chrono::milliseconds(stamp.proofAgeMs) + *maxStampAge, now);
    if (stamp.frozen && stamp.revision <= ownRevision)
        m_freshness.recordFreeze(now - *maxStampAge);
}

wire::ConfigurationStamp AgentCore::stamp(TimePoint now) const
{
    wire::ConfigurationStamp stamp;
    stamp.revision = m_configuration ? m_configuration->revision() : 0;
    const auto age = m_freshness.proofAge(now);
    stamp.proofAgeMs = age ? wire::ageMilliseconds(*age) : 0xffffffffU;
    return stamp;
}

std::optional<wire::RefusalReason> AgentCore::currentRefusalReason(TimePoint now) const
{
    if (m_draining || m_health.health().leaving)
        return wire::RefusalReason::Leaving;
    if (!m_health.health().reachable)
        return wire::RefusalReason::ServerDown;
    if (!m_configuration || !m_freshness.mayAdmit(now))
        return wire::RefusalReason::CutOff;
    if (m_configuration->isZoneOutOfService(m_settings.zone)
        || !m_configuration->pool(m_settings.pool))
        return wire::RefusalReason::Leaving;
    return std::nullopt;
}

void AgentCore::send(decision::LinkId link, wire::LinkMessage &&message)
{
    // An attempt may outlive its link.
    if (m_links.contains(link))
        m_hooks.sendMessage(link, std::move(message));
}

void AgentCore::refuse(decision::LinkId link, AttemptId attempt, wire::RefusalReason reason)
{
    ++m_counters.refused[reason];
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
    ++m_counters.started;
    send(state.link, wire::AttemptStarted{attempt});
    m_hooks.sendCommand(std::move(state.request));
}

void AgentCore::updateAdmission(TimePoint now)
{
    const auto reason = currentRefusalReason(now);
    m_admission.setOpen(!reason);
    if (reason)
        refuseHeld(*reason);
}

void AgentCore::processAdmissions(TimePoint now)
{
    for (const AttemptId attempt : m_admission.startReady()) {
        const auto found = m_attempts.find(attempt);
        if (found != m_attempts.end())
            start(attempt, found->second, now);
    }
    // A request that comes by a grant would be refused.
    if (!hasMemory())
        return;
    for (const decision::IssuedGrant &grant : m_admission.issueGrants(now)) {
        const auto lifetimeMs = static_cast<std::uint32_t>(toMilliseconds(grantLifetime));
        m_hooks.sendMessage(grant.link, wire::Grant{grant.grant, lifetimeMs, load()});
    }
}

void AgentCore::tick(TimePoint now)
{
    updateAdmission(now);
    processAdmissions(now);
    m_quarantine.expire(now);
    sendHeartbeatIfDue(now);
}

void AgentCore::sendHeartbeatIfDue(TimePoint now)
{
    const wire::ServerLoad current = load();
    const bool changed = stateDiffers(current, m_lastSentLoad);
    const Duration elapsed = now - m_lastHeartbeatAt;
    if (elapsed < heartbeatPeriod && !(changed && elapsed >= minHeartbeatInterval))
        return;
    m_lastHeartbeatAt = now;
    m_lastSentLoad = current;
    const std::uint64_t sequence = m_messageAges.recordSent(now);
    for (const auto &[link, state] : m_links)
        m_hooks.sendMessage(link, wire::AgentHeartbeat{stamp(now), current, sequence});
}

void AgentCore::drain(TimePoint now)
{
    m_draining = true;
    updateAdmission(now);
    m_lastHeartbeatAt = {};
    sendHeartbeatIfDue(now);
}

wire::ServerLoad AgentCore::load() const
{
    const decision::AdmissionLoad load = m_admission.load();
    return {load.window, load.running, load.held,     load.virtualTime,
            load.cold,   load.open,    load.contended};
}

} // namespace bilberry::agent
