// RouterCore: refusals, answers, failures and crashes of attempts.

#include "bilberry/router/routercore.h"

#include "bilberry/base/freestring.h"

#include <algorithm>

namespace bilberry::router {

namespace {

/// Attempts without a grant before a request is queued for one.
constexpr std::size_t maxUngrantedAttempts = 2;

} // namespace

RouterCore::Requests::iterator RouterCore::findRequest(const ServerId &server, AttemptId attempt)
{
    const auto id = m_requestByAttempt.find(attempt);
    if (id == m_requestByAttempt.end()) {
        ++m_counters.droppedParts;
        return m_requests.end();
    }
    const auto found = m_requests.find(id->second);
    if (found != m_requests.end() && found->second.server == server)
        return found;
    ++m_counters.droppedParts;
    return m_requests.end();
}

void RouterCore::handle(const ServerId &server, wire::Refusal &message, TimePoint now)
{
    applyLoad(server, message.load);
    const auto found = findRequest(server, message.attempt);
    if (found == m_requests.end())
        return;
    const RequestId id = found->first;
    Request &request = found->second;
    m_requestByAttempt.erase(message.attempt);
    m_inFlightCharges.chargeFinal(message.attempt, 0.0);
    if (request.callerDisconnected) {
        endClaim(request, false);
        m_requests.erase(found);
        return;
    }
    if (message.reason == wire::RefusalReason::Quarantined) {
        refuse(id, RefusalKind::Quarantined, RequestOutcome::NotRun, 0, now);
        return;
    }
    request.refusedBy.insert(server);
    const bool mayDispatch = request.grantId == 0 && request.refusedBy.size() < maxUngrantedAttempts
                             && poolQueue(request.submitted.pool).queue.empty();
    if (!mayDispatch || !dispatchWithoutGrant(id, request, now)) {
        request.refusedBy.clear();
        requeue(id, request, now);
    }
}

void RouterCore::handle(const ServerId &server, wire::AttemptStarted &message, TimePoint now)
{
    if (findRequest(server, message.attempt) != m_requests.end())
        m_inFlightCharges.markStarted(message.attempt, now);
}

void RouterCore::handle(const ServerId &server, wire::AnswerHead &message, TimePoint now)
{
    const auto found = findRequest(server, message.attempt);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    if (request.sequence.receiveHead() != decision::SequenceVerdict::Accept) {
        ++m_counters.droppedParts;
        return;
    }
    request.headSent = true;
    releaseBody(request);
    request.status = message.status;
    const BackendPool *pool
            = m_configuration ? m_configuration->pool(request.submitted.pool) : nullptr;
    const Objective objective = pool ? pool->objective : Objective{};
    const bool good = message.status < 500
                      && toMilliseconds(now - request.arrivedAt) <= objective.firstByteMilliseconds;
    m_burn.record(keyOf(request), good, now);
    if (!request.callerDisconnected)
        m_hooks.replyToCaller(ReplyHead{found->first, message.status, std::move(message.headers)});
}

void RouterCore::handle(const ServerId &server, wire::AnswerChunk &message, TimePoint now)
{
    const auto found = findRequest(server, message.attempt);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    switch (request.sequence.receiveChunk(message.number)) {
    case decision::SequenceVerdict::Accept:
        if (!request.callerDisconnected)
            m_hooks.replyToCaller(ReplyChunk{found->first, std::move(message.data)});
        return;
    case decision::SequenceVerdict::Drop:
        ++m_counters.droppedParts;
        return;
    case decision::SequenceVerdict::Incomplete:
        m_hooks.sendToAgent(server, wire::Cancel{message.attempt});
        failAttempt(found->first, request, now);
        return;
    }
}

void RouterCore::handle(const ServerId &server, wire::AnswerEnd &message, TimePoint now)
{
    applyLoad(server, message.load);
    const auto found = findRequest(server, message.attempt);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    const bool whole = message.end == wire::AttemptEnd::Complete
                       && request.sequence.receiveEnd(message.chunkCount)
                                  == decision::SequenceVerdict::Accept;
    if (whole) {
        completeAttempt(found, message);
        return;
    }
    m_inFlightCharges.chargeFinal(message.attempt, message.cost);
    failAttempt(found->first, request, now);
}

void RouterCore::completeAttempt(Requests::iterator found, const wire::AnswerEnd &end)
{
    Request &request = found->second;
    m_requestByAttempt.erase(end.attempt);
    m_inFlightCharges.chargeFinal(end.attempt, end.cost);
    m_estimator.addSample(keyOf(request), end.cost);
    m_quarantine.recordCompletion(request.fingerprint);
    endClaim(request, true);
    ++m_counters.answered;
    if (!request.callerDisconnected)
        m_hooks.replyToCaller(ReplyEnd{found->first, true});
    m_requests.erase(found);
}

/// Frees the body of a request that is sent to no other server: its answer has begun, or its caller
/// has left.
void RouterCore::releaseBody(Request &request)
{
    freeString(request.submitted.body);
    request.submitted.memory.reset();
}

void RouterCore::failAttempt(RequestId id, Request &request, TimePoint now)
{
    m_requestByAttempt.erase(request.attempt);
    m_inFlightCharges.keepCharge(request.attempt);
    request.attemptMayHaveRun = true;
    if (request.callerDisconnected) {
        endClaim(request, true);
        m_requests.erase(id);
        return;
    }
    if (request.headSent) {
        endClaim(request, true);
        m_hooks.replyToCaller(ReplyEnd{id, false});
        m_requests.erase(id);
        return;
    }
    if (m_quarantine.isQuarantined(request.fingerprint)) {
        refuse(id, RefusalKind::Quarantined, RequestOutcome::Unknown, 0, now);
        return;
    }
    if (request.submitted.mayRepeat && m_retryBudgets[request.submitted.pool].tryAcquire()) {
        ++m_counters.retries;
        requeue(id, request, now);
        return;
    }
    ++m_counters.unknownOutcomes;
    refuse(id, RefusalKind::ServerFailed, RequestOutcome::Unknown, 0, now);
}

void RouterCore::refuse(RequestId id, RefusalKind kind, RequestOutcome outcome,
                        std::uint32_t retryAfterSeconds, TimePoint now, const std::string &detail)
{
    const auto found = m_requests.find(id);
    Request &request = found->second;
    // An earlier attempt may have run, so NotRun would be wrong.
    const RequestOutcome reportedOutcome
            = request.attemptMayHaveRun ? RequestOutcome::Unknown : outcome;
    ++m_counters.refused[kind];
    const bool countsAsBad = kind != RefusalKind::Quarantined && kind != RefusalKind::AlreadyClaimed
                             && kind != RefusalKind::CustomerQueueFull;
    if (countsAsBad)
        m_burn.record(keyOf(request), false, now);
    endClaim(request, reportedOutcome == RequestOutcome::Unknown);
    if (!request.callerDisconnected)
        m_hooks.replyToCaller(ReplyRefusal{id, kind, reportedOutcome, retryAfterSeconds, detail});
    m_requests.erase(found);
}

void RouterCore::handle(const ServerId &, wire::QuarantineNotice &message, TimePoint now)
{
    const bool refusedBefore = m_quarantine.isQuarantined(message.fingerprint);
    const bool changed = m_quarantine.merge(message.fingerprint, message.crashes, now);
    const wire::QuarantineNotice merged{message.fingerprint,
                                        m_quarantine.crashes(message.fingerprint)};
    const bool newlyQuarantined = !refusedBefore && m_quarantine.isQuarantined(message.fingerprint);
    // Every router linked to the agent receives the notice. Only the router that runs the request
    // gossips it, so that a crash causes one round of gossip per request.
    if (changed && (newlyQuarantined || isRunning(message.fingerprint)))
        m_hooks.gossipQuarantine(merged);
    if (!newlyQuarantined)
        return;
    m_log.warning("A request is quarantined because it crashed backend servers.");
    for (const auto &[server, agent] : m_agents)
        m_hooks.sendToAgent(server, wire::QuarantineNotice(merged));
}

bool RouterCore::isRunning(decision::Fingerprint fingerprint) const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [&](const auto &idAndRequest) {
        return idAndRequest.second.stage == Stage::Running
               && idAndRequest.second.fingerprint == fingerprint;
    });
}

void RouterCore::mergeQuarantine(const wire::QuarantineNotice &notice, TimePoint now)
{
    const bool refusedBefore = m_quarantine.isQuarantined(notice.fingerprint);
    m_quarantine.merge(notice.fingerprint, notice.crashes, now);
    if (refusedBefore || !m_quarantine.isQuarantined(notice.fingerprint))
        return;
    const wire::QuarantineNotice merged{notice.fingerprint,
                                        m_quarantine.crashes(notice.fingerprint)};
    for (const auto &[server, agent] : m_agents)
        m_hooks.sendToAgent(server, wire::QuarantineNotice(merged));
}

std::vector<wire::QuarantineNotice> RouterCore::quarantineEntries() const
{
    std::vector<wire::QuarantineNotice> notices;
    for (const auto &[fingerprint, crashes] : m_quarantine.entries())
        notices.push_back({fingerprint, crashes});
    return notices;
}

} // namespace bilberry::router
