#include "request/requesthandler.h"

#include "headerfields.h"
#include "server/serverrequest.h"
#include "server/serverstatement.h"

#include <algorithm>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using decision::AttemptOutcome;

namespace {

/// Limit of attempts of one request, including those that reached no server.
constexpr std::uint32_t maxAttemptsPerRequest = 4;
/// Remaining time of a request below which it is not retried.
constexpr Duration minTimeForRetry = std::chrono::milliseconds(40);
/// Time without a response, in latency objectives, after which kept connections to the server count
/// as silent, and an idempotent request is sent to another server.
constexpr double silenceTimeoutObjectives = 3.0;
constexpr unsigned misdirected = 421;

bool isServerError(unsigned status)
{
    return status >= 500;
}

/// @return memory that a request takes
std::size_t heldBytes(const CallerRequest &request)
{
    std::size_t bytes = sizeof(RequestHandler) + request.body().capacity();
    for (const auto &field : request)
        bytes += field.name_string().size() + field.value().size()
                 + bilberry::http::fieldOverheadBytes;
    return bytes;
}

} // namespace

RequestHandler::RequestHandler(RequestContext &context, CallerConnectionPtr caller,
                               CallerRequest &&request)
    : m_context(context), m_caller(std::move(caller)),
      m_sharedRequest(std::make_shared<const CallerRequest>(std::move(request))),
      m_request(*m_sharedRequest), m_requestBytes(heldBytes(m_request)),
      m_memory(context.memory, &context,
               [this](MemoryUse, ReleaseCause) {
                   asio::post(m_context.io, [weak = weak_from_this()] {
                       if (const auto self = weak.lock())
                           self->releaseMemory();
                   });
               }),
      m_requestId(m_request[context.headerNames.requestId]), m_receivedAt(Clock::now()),
      m_deadlineTimer(context.io), m_silenceTimer(context.io),
      m_crashGuard(context.crashSuspicion, context.crashDetector, context.serverSelector,
                   m_admitted, m_request, context.headerNames)
{
}

void RequestHandler::start()
{
    ++m_context.counters.received;
    reportMemory();
    if (m_caller->isClosed()) {
        handleCallerDisconnect();
        return;
    }
    m_caller->onDisconnected = [self = shared_from_this()] { self->handleCallerDisconnect(); };
    m_caller->onShutdown = [self = shared_from_this()] { self->handleDeadline(); };
    auto admission = admitRequest(m_context, m_request, m_receivedAt);
    if (const auto *reason = std::get_if<RefusalReason>(&admission))
        refuse(*reason);
    else
        admit(std::get<AdmittedRequest>(std::move(admission)));
}

void RequestHandler::admit(AdmittedRequest &&admitted)
{
    m_admitted = std::move(admitted);
    m_traits = takeTraits(m_context, m_request, m_admitted, m_receivedAt);
    reportMemory();
    m_relay.emplace(m_caller, m_context.headerNames, route().kind == RequestKind::Stream,
                    route().resumable);
    m_relay->onCallerReady = [this] {
        if (m_attempt)
            m_attempt->setPaused(false);
    };
    m_deadlineTimer.expires_at(m_admitted.deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->handleDeadline();
    });
    selectServer();
}

void RequestHandler::selectServer()
{
    if (m_finished)
        return;
    const auto admission = m_crashGuard.admission();
    if (admission == decision::CrashSuspicion::Admission::Refuse) {
        if (m_attemptCount > 0)
            failRequest();
        else
            refuse(RefusalReason::CrashesServers);
        return;
    }
    const TimePoint now = Clock::now();
    const Result<decision::ServerChoice> choice = m_context.serverSelector.choose(m_traits, now);
    if (!choice) {
        if (m_attemptCount > 0)
            failRequest();
        else
            refuse(choice.error() == decision::ServerChoiceErrc::Overloaded
                           ? RefusalReason::Overloaded
                           : RefusalReason::NoServer);
        return;
    }
    if (m_attemptCount == 0 && !m_admitted.customer.empty())
        m_context.usageMeter.recordDispatched(m_admitted.customer, requestCost(m_traits), now);
    m_crashGuard.startAttempt(*m_context.serverSelector.server(choice.value().server), admission);
    sendToServer(choice.value());
}

void RequestHandler::sendToServer(const decision::ServerChoice &choice)
{
    const DirectServer *server = m_context.serverSelector.server(choice.server);
    m_choice = choice;
    ++m_attemptCount;
    m_sentAt = Clock::now();
    m_attemptNumber = m_context.serverSelector.startAttempt(choice, m_traits, Clock::now());
    m_relay->beginAttempt();
    m_context.log.decision("Sent to a server.",
                           {{"request", m_requestId},
                            {"server", choice.server.text()},
                            {"try", std::to_string(m_attemptCount)},
                            {"backlogMs", std::to_string(static_cast<int>(choice.backlogMs))},
                            {"readMs", std::to_string(static_cast<int>(choice.prefillMs))},
                            {"cachedTokens", std::to_string(choice.cachedTokens)},
                            {"mostCachedTokens", std::to_string(choice.mostCachedTokens)},
                            {"plan", std::to_string(m_admitted.plan->version())},
                            {"suspectCrashes", std::to_string(m_crashGuard.knownCrashes().crashes)},
                            {"remainingMs", toMillisecondsText(remainingTime())}});
    m_attempt = std::make_shared<ServerAttempt>(m_context.connections, choice.server,
                                                m_context.headerNames.requestId, m_requestId,
                                                expectsBody());
    const auto self = shared_from_this();
    AttemptHooks hooks;
    hooks.onConnected = [self] { self->handleConnected(); };
    hooks.onStatement = [self](const ResponseHeader &header) { self->recordStatement(header); };
    hooks.onHeader = [self](const ResponseHeader &header) { self->handleResponseHeader(header); };
    hooks.onBody = [self](std::string &&data) { self->handleResponseBody(std::move(data)); };
    hooks.onInvalid = [self](const std::string &reason) {
        self->m_context.log.decision("A server's bytes are no valid response.",
                                     {{"request", self->m_requestId},
                                      {"server", self->m_choice.server.text()},
                                      {"error", reason}});
    };
    hooks.onEnd = [self](AttemptResult result) { self->handleAttemptEnd(result); };
    ServerRequestFields fields;
    fields.server = server->id;
    fields.customer = m_admitted.customer;
    fields.remainingTime = remainingTime();
    fields.lastEventId = m_relay->lastEventId();
    m_attempt->start({serializeServerRequestHeader(m_request, fields, m_context.headerNames),
                      {m_sharedRequest, &m_request.body()}},
                     std::move(hooks));
    reportMemory();
    startSilenceTimer();
}

/// The connect may have taken long enough for the caller to leave.
void RequestHandler::handleConnected()
{
    m_context.serverSelector.recordConnection(m_attemptNumber);
    if (m_caller->hasDisconnected())
        handleCallerDisconnect();
}

bool RequestHandler::expectsBody() const
{
    return m_request.method() != http::verb::head;
}

void RequestHandler::handleResponseHeader(const ResponseHeader &header)
{
    m_silenceTimer.cancel();
    const auto progress = m_relay->addHeader(header, expectsBody());
    if (progress == ResponseRelay::Progress::Continue && !m_relay->isStreaming()) {
        m_firstByteAt = Clock::now();
        m_context.serverSelector.recordFirstByte(m_attemptNumber, m_firstByteAt);
    }
    handleProgress(progress);
}

/// Tells the server selector what the server says of itself.
void RequestHandler::recordStatement(const ResponseHeader &header)
{
    const ServerStatement statement = readServerStatement(header, m_context.headerNames);
    const ServerId &server = m_choice.server;
    const TimePoint now = Clock::now();
    for (const std::string &field : statement.invalid)
        m_context.log.decision("Ignored an invalid field of a server.",
                               {{"server", server.text()},
                                {"field", field},
                                {"value", std::string(header[field])}});
    if (statement.leaving && m_context.serverSelector.recordLeaving(server, now)) {
        m_context.connections.dropIdle(server);
        m_context.log.decision("A server says that it is leaving.", {{"server", server.text()}});
    }
    if (statement.wait) {
        m_context.serverSelector.recordWait(server, now + *statement.wait, now);
        m_context.log.decision(
                "A server asks this router to wait.",
                {{"server", server.text()}, {"waitMs", toMillisecondsText(*statement.wait)}});
    }
    const bool saysLimit = statement.perSecond || statement.endsLimit;
    if (saysLimit && m_context.serverSelector.recordLimit(server, statement.perSecond, now))
        m_context.log.decision(
                "A server's request limit has changed.",
                {{"server", server.text()},
                 {"perSecond",
                  statement.perSecond ? std::to_string(*statement.perSecond) : "none"}});
}

void RequestHandler::handleResponseBody(std::string &&data)
{
    m_crashGuard.recordBody();
    if (m_relay->isStreaming()) {
        const TimePoint now = Clock::now();
        if (!m_relay->hasStarted())
            m_context.recordFirstByteLatency(m_traits.pool, now - m_receivedAt);
        if (m_firstByteAt == TimePoint())
            m_firstByteAt = now;
        m_context.serverSelector.recordFirstByte(m_attemptNumber, now);
    }
    const auto progress = m_relay->addBody(std::move(data));
    if (m_attempt && m_relay->isCallerBehind())
        m_attempt->setPaused(true);
    reportMemory();
    handleProgress(progress);
}

void RequestHandler::handleProgress(ResponseRelay::Progress progress)
{
    if (!m_attempt || progress == ResponseRelay::Progress::Continue)
        return;
    if (progress == ResponseRelay::Progress::Invalid)
        abandonAttempt(AttemptOutcome::BrokenAnswer, true);
    else
        abandonAttempt(m_relay->status() == misdirected ? AttemptOutcome::WrongServer
                                                        : AttemptOutcome::Shed,
                       false);
}

/// Gives up an attempt whose response can't become valid any more.
void RequestHandler::abandonAttempt(AttemptOutcome outcome, bool mayHaveRun)
{
    m_sentCount += m_attempt->mayHaveSent() ? 1 : 0;
    m_attempt->cancel();
    m_attempt.reset();
    handleAttemptFailure(outcome, mayHaveRun);
}

void RequestHandler::handleAttemptEnd(AttemptResult result)
{
    m_attempt.reset();
    switch (result) {
    case AttemptResult::Complete:
        handleCompleteResponse();
        return;
    case AttemptResult::ConnectFailed:
        handleAttemptFailure(AttemptOutcome::ConnectFailed, false);
        return;
    case AttemptResult::NothingSent:
        ++m_sentCount;
        handleAttemptFailure(AttemptOutcome::BrokenAnswer, false);
        return;
    case AttemptResult::Broken:
        ++m_sentCount;
        if (!m_relay->isRefusal())
            m_crashGuard.recordBroken();
        handleAttemptFailure(AttemptOutcome::BrokenAnswer, !m_relay->isRefusal());
        return;
    }
}

void RequestHandler::handleCompleteResponse()
{
    ++m_sentCount;
    const unsigned status = m_relay->status();
    if (m_relay->isRefusal()) {
        handleAttemptFailure(
                status == misdirected ? AttemptOutcome::WrongServer : AttemptOutcome::Shed, false);
        return;
    }
    const bool brokenOff = m_relay->isBrokenOff();
    if (brokenOff)
        m_crashGuard.recordBroken();
    if (brokenOff || !m_relay->isAuthentic()) {
        handleAttemptFailure(AttemptOutcome::BrokenAnswer, true);
        return;
    }
    // A faulty server may answer 5xx before it has begun to run the request.
    if (!isServerError(status))
        m_crashGuard.recordAnswer();
    else if (mayRetryServerError()) {
        m_relay->keepAsServerError();
        handleAttemptFailure(AttemptOutcome::ServerError, true);
        return;
    }
    recordAttemptOutcome(isServerError(status) ? AttemptOutcome::ServerError
                                               : AttemptOutcome::Answered);
    ++m_context.counters.answered;
    m_context.log.decision("Answered.",
                           {{"request", m_requestId},
                            {"server", m_choice.server.text()},
                            {"status", std::to_string(status)},
                            {"framing", m_relay->framing()},
                            {"insideEvent", m_relay->isInsideEvent() ? "true" : "false"},
                            {"firstByteMs", toMillisecondsText(m_firstByteAt - m_receivedAt)},
                            {"tookMs", toMillisecondsText(Clock::now() - m_receivedAt)}});
    if (!m_relay->hasStarted() && !m_relay->isStreaming())
        m_context.recordFirstByteLatency(m_traits.pool, Clock::now() - m_receivedAt);
    finish();
    m_relay->finish();
}

/// @return true when a 5xx response is kept for the case that no other attempt succeeds
bool RequestHandler::mayRetryServerError() const
{
    return route().mayRepeat() && !m_relay->hasStarted()
           && m_possibleRunCount + 1 < route().maxAttempts && remainingTime() > minTimeForRetry;
}

void RequestHandler::handleAttemptFailure(AttemptOutcome outcome, bool mayHaveRun)
{
    m_silenceTimer.cancel();
    recordAttemptOutcome(outcome);
    m_possibleRunCount += mayHaveRun ? 1 : 0;
    m_traits.excluded.insert(m_choice.server);
    m_context.log.decision("An attempt failed.",
                           {{"request", m_requestId},
                            {"server", m_choice.server.text()},
                            {"outcome", std::to_string(static_cast<int>(outcome))},
                            {"mayHaveRun", mayHaveRun ? "true" : "false"},
                            {"framing", m_relay->framing()},
                            {"insideEvent", m_relay->isInsideEvent() ? "true" : "false"},
                            {"parts", std::string(m_request[m_context.headerNames.promptParts])},
                            {"remainingMs", toMillisecondsText(remainingTime())}});
    if (!m_relay->canBeReplaced()) {
        failRequest();
        return;
    }
    m_relay->discardPartialEvent();
    if (!mayRetry(outcome != AttemptOutcome::ConnectFailed)) {
        failRequest();
        return;
    }
    m_context.counters.retries += 1;
    m_context.counters.resumed += m_relay->hasStarted() ? 1 : 0;
    selectServer();
}

bool RequestHandler::mayRetry(bool needsBudget)
{
    if (m_possibleRunCount > 0
        && (!route().mayRepeat() || m_possibleRunCount >= route().maxAttempts))
        return false;
    if (m_attemptCount >= maxAttemptsPerRequest || remainingTime() < minTimeForRetry
        || m_crashGuard.mustNotRepeat())
        return false;
    // As long as no attempt has reached a server, a failed connect uses no retry budget.
    if (!needsBudget && m_sentCount == 0)
        return true;
    return m_context.retryBudgets.at(m_traits.pool).tryAcquire(Clock::now());
}

void RequestHandler::startSilenceTimer()
{
    if (m_finished || !m_attempt)
        return;
    const Duration limit
            = fromMilliseconds(silenceTimeoutObjectives * toMilliseconds(route().latencyObjective));
    m_silenceTimer.expires_after(std::min(limit, remainingTime() / 2));
    m_silenceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_finished && self->m_attempt && !self->m_relay->hasHeader())
            self->handleSilence();
    });
}

/// Sends an idempotent request to another server when its server does not respond in time.
void RequestHandler::handleSilence()
{
    dropSilentConnections();
    const bool mayTryOtherServer = route().kind == RequestKind::Idempotent
                                   && m_possibleRunCount + 1 < route().maxAttempts;
    if (!mayTryOtherServer)
        return;
    const bool mayHaveRun = m_attempt->mayHaveSent();
    abandonAttempt(mayHaveRun ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectFailed,
                   mayHaveRun);
}

/// The connections that were idle when the request was sent may be as silent as its own, so that
/// no other request is lost on them.
void RequestHandler::dropSilentConnections()
{
    if (m_attempt->isOnKeptConnection())
        m_context.connections.dropIdleSince(m_choice.server, m_sentAt);
}

/// Ends the request after its last attempt: cuts off a started response, otherwise forwards the
/// last 5xx response of a server, or refuses the request.
void RequestHandler::failRequest()
{
    if (m_relay->hasStarted()) {
        ++m_context.counters.truncated;
        m_context.log.decision("Cut an answer that is not whole.", {{"request", m_requestId}});
        finish();
        m_relay->abort();
        return;
    }
    if (m_relay->hasServerError()) {
        ++m_context.counters.answered;
        finish();
        m_relay->sendServerError();
        return;
    }
    refuse(m_possibleRunCount > 0 ? RefusalReason::ServerFailed : RefusalReason::NotAccepted);
}

void RequestHandler::refuse(RefusalReason reason)
{
    ++m_context.counters.refused[reason];
    const unsigned status = httpStatus(reason);
    CallerResponseHeader header;
    header.result(status);
    header.set(http::field::content_type, "application/problem+json");
    if (!m_requestId.empty())
        header.set(m_context.headerNames.requestId, m_requestId);
    const auto retryAfter = retryAfterDelay(reason);
    if (retryAfter)
        header.set(http::field::retry_after, retryAfterText(*retryAfter));
    m_context.log.decision("Refused.",
                           {{"request", m_requestId},
                            {"reason", toText(reason)},
                            {"parts", reason == RefusalReason::CrashesServers ? std::string(
                                              m_request[m_context.headerNames.promptParts])
                                                                              : ""},
                            {"customer", m_admitted.customer.text()},
                            {"customerUse", std::to_string(m_traits.customerUsageRatio)},
                            {"tries", std::to_string(m_attemptCount)},
                            {"retryAfterMs", retryAfter ? toMillisecondsText(*retryAfter) : ""},
                            {"tookMs", toMillisecondsText(Clock::now() - m_receivedAt)}});
    finish();
    if (m_context.shouldCloseAfterRefusal())
        m_caller->closeAfterResponse();
    m_caller->sendResponse(header, problemBody(reason));
}

/// @return delay for Retry-After, absent when the status is not 503
std::optional<Duration> RequestHandler::retryAfterDelay(RefusalReason reason)
{
    if (httpStatus(reason) != 503)
        return std::nullopt;
    if (reason == RefusalReason::CrashesServers)
        return m_crashGuard.retryDelay();
    const Duration remaining = m_admitted.route ? remainingTime() : Duration::max();
    return reason == RefusalReason::Overloaded
                   ? overloadRetryAfter(route().latencyObjective, remaining, m_context.random)
                   : defaultRetryAfter(remaining, m_context.random);
}

void RequestHandler::handleCallerDisconnect()
{
    if (m_finished)
        return;
    ++m_context.counters.callerDisconnects;
    m_context.log.decision("The caller disconnected.",
                           {{"request", m_requestId},
                            {"server", m_choice.server.text()},
                            {"tookMs", toMillisecondsText(Clock::now() - m_receivedAt)}});
    if (m_attempt) {
        m_attempt->cancel();
        m_attempt.reset();
        recordAttemptOutcome(AttemptOutcome::Cancelled);
    }
    finish();
}

void RequestHandler::handleDeadline()
{
    if (m_finished)
        return;
    if (m_attempt && !m_relay->hasHeader())
        dropSilentConnections();
    const bool mayHaveRun = m_attempt && m_attempt->mayHaveSent();
    endUnanswered(mayHaveRun ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectFailed,
                  RefusalReason::TimedOut);
}

/// Ends the request without waiting for the rest of its response.
/// @param outcome of an attempt in progress whose response has not been passed on
/// @param reason told to a caller whose request may have run
void RequestHandler::endUnanswered(AttemptOutcome outcome, RefusalReason reason)
{
    if (m_attempt) {
        m_possibleRunCount += m_attempt->mayHaveSent() ? 1 : 0;
        m_attempt->cancel();
        m_attempt.reset();
        recordAttemptOutcome(m_relay->hasStarted() ? AttemptOutcome::Cancelled : outcome);
    }
    if (m_relay->hasStarted() || m_relay->hasServerError())
        failRequest();
    else
        refuse(m_possibleRunCount > 0 ? reason : RefusalReason::NotAccepted);
}

/// Ends the request because others need its memory and nobody else holds as much.
void RequestHandler::releaseMemory()
{
    if (m_finished || !m_relay)
        return;
    m_context.log.decision("Ended a request to free its memory.", {{"request", m_requestId}});
    endUnanswered(AttemptOutcome::Cancelled, RefusalReason::ServerFailed);
}

void RequestHandler::reportMemory()
{
    std::size_t bytes = m_requestBytes + m_traits.prompt.heldBytes();
    bytes += m_relay ? m_relay->heldBytes() : 0;
    bytes += m_attempt ? m_attempt->heldBytes() : 0;
    m_memory.update(MemoryUse::Serving, bytes);
}

void RequestHandler::recordAttemptOutcome(AttemptOutcome outcome)
{
    m_context.serverSelector.endAttempt(m_attemptNumber, outcome, Clock::now());
    m_attemptNumber = 0;
}

/// Detaches from the caller's connection. Must be called before the last byte of the response is
/// sent: the connection may start the next request immediately.
void RequestHandler::finish()
{
    m_finished = true;
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_caller->onDisconnected = nullptr;
    m_caller->onShutdown = nullptr;
    m_caller->onWritten = nullptr;
}

} // namespace bilberry::direct
