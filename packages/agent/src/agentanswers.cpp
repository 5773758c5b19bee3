#include "bilberry/agent/agentcore.h"

#include <algorithm>

/// Part of AgentCore that handles the backend server's answers, health and crashes.
namespace bilberry::agent {

void AgentCore::handleEvent(BackendAnswerHead &head, TimePoint now)
{
    const auto found = m_attempts.find(head.attempt);
    if (found == m_attempts.end())
        return;
    found->second.firstByteAt = now;
    send(found->second.link, wire::AnswerHead{head.attempt, head.status, std::move(head.headers)});
}

void AgentCore::handleEvent(BackendAnswerChunk &chunk, TimePoint)
{
    const auto found = m_attempts.find(chunk.attempt);
    if (found == m_attempts.end())
        return;
    send(found->second.link,
         wire::AnswerChunk{chunk.attempt, found->second.chunks++, std::move(chunk.data)});
}

void AgentCore::handleEvent(BackendAnswerEnd &end, TimePoint now)
{
    const auto found = m_attempts.find(end.attempt);
    if (found == m_attempts.end())
        return;
    switch (end.outcome) {
    case BackendOutcome::NotSent: {
        const decision::LinkId link = found->second.link;
        m_attempts.erase(found);
        m_admission.finishAttempt(end.attempt, std::nullopt);
        refuse(link, end.attempt, wire::RefusalReason::ServerDown);
        return;
    }
    case BackendOutcome::Complete:
        m_quarantine.recordCompletion(found->second.fingerprint);
        finish(end.attempt, wire::AttemptEnd::Complete, now);
        return;
    case BackendOutcome::Broken:
        m_health.addBrokenRequest(found->second.fingerprint);
        finish(end.attempt, wire::AttemptEnd::Truncated, now);
        return;
    case BackendOutcome::Stopped:
        finish(end.attempt, wire::AttemptEnd::Cancelled, now);
        return;
    }
}

decision::AnswerKind AgentCore::answerKind(const Attempt &attempt, TimePoint now)
{
    // Most of a streamed answer's time comes after its first byte.
    const bool streamed = attempt.chunks > 1 && attempt.firstByteAt
                          && now - *attempt.firstByteAt > *attempt.firstByteAt - attempt.startedAt;
    return streamed ? decision::AnswerKind::Streamed : decision::AnswerKind::Whole;
}

void AgentCore::finish(AttemptId attempt, wire::AttemptEnd end, TimePoint now)
{
    const Attempt state = m_attempts[attempt];
    m_attempts.erase(attempt);
    const bool complete = end == wire::AttemptEnd::Complete;
    std::optional<Duration> firstByte;
    if (complete && state.firstByteAt)
        firstByte = *state.firstByteAt - state.startedAt;
    m_admission.finishAttempt(attempt, firstByte, answerKind(state, now));
    if (complete)
        ++m_counters.completed;
    const double cost = m_costFunction({now - state.startedAt, state.chunks});
    send(state.link, wire::AnswerEnd{attempt, end, state.chunks, cost, load()});
}

void AgentCore::handleEvent(BackendHealth &health, TimePoint now)
{
    if (m_health.update(health, now))
        serverCrashed(now);
    if (health.reachable)
        m_admission.handleServerReport(health.cold, health.running);
    updateAdmission(now);
}

void AgentCore::serverCrashed(TimePoint now)
{
    ++m_counters.crashes;
    ++m_crashCount;
    m_log.warning("The backend server crashed or restarted.");
    m_admission.handleServerCrash();
    std::vector<decision::Fingerprint> inFlight = m_health.takeBrokenRequests();
    std::vector<AttemptId> running;
    for (const auto &[attempt, state] : m_attempts) {
        if (!state.started)
            continue;
        inFlight.push_back(state.fingerprint);
        running.push_back(attempt);
    }
    m_quarantine.recordCrash({m_incarnation, m_crashCount}, inFlight, now);
    for (const auto &[link, state] : m_links) {
        for (const decision::Fingerprint fingerprint : inFlight) {
            m_hooks.sendMessage(
                    link, wire::QuarantineNotice{fingerprint, m_quarantine.crashes(fingerprint)});
        }
    }
    for (const AttemptId attempt : running) {
        m_hooks.sendCommand(StopCommand{attempt});
        finish(attempt, wire::AttemptEnd::ServerCrash, now);
    }
}

bool AgentCore::isSuspectRunning() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [this](const auto &entry) {
        return m_quarantine.isSuspect(entry.second.fingerprint);
    });
}

} // namespace bilberry::agent
