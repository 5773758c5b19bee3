#include "requesthandler.h"

#include "headerfields.h"
#include "serverrequest.h"
#include "serverstatement.h"

#include "bilberry/base/digest.h"
#include "bilberry/http/requestrules.h"

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
/// Bytes of a response body that are buffered until the response is complete, so that a failed
/// attempt can be replaced.
constexpr std::size_t maxBufferedBodyBytes = 256U << 10U;
/// Size of an incomplete event from which on its stream counts as broken.
constexpr std::size_t maxEventBytes = 256U << 10U;
/// Unsent bytes of a caller at which reading from its server is paused.
constexpr std::size_t maxUnsentBytes = 256U << 10U;
/// A request with less than this fraction of its route's time limit remaining counts as a repeat of
/// a refused one.
constexpr double returningTimeFraction = 0.93;
/// Time without a response, in latency objectives, after which kept connections to the server count
/// as silent, and an idempotent request is sent to another server.
constexpr double silenceTimeoutObjectives = 3.0;
/// Time, in latency objectives, in which nearly all requests end, streams included.
constexpr double usualTimeObjectives = 5.0;
/// Cost of an output token in prompt tokens, the unit in which the fleet's capacity is given.
constexpr double outputTokenCost = 2.0;
/// @return one of the route's pools, chosen at random by weight
const PoolId &selectPool(const DirectRoute &route, std::mt19937_64 &random)
{
    double total = 0.0;
    for (const PoolWeight &poolWeight : route.pools)
        total += poolWeight.weight;
    double threshold = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(random);
    for (const PoolWeight &poolWeight : route.pools) {
        threshold -= poolWeight.weight;
        if (threshold < 0.0 && poolWeight.weight > 0.0)
            return poolWeight.pool;
    }
    return route.pools.front().pool;
}

/// @return false for a successful response without a signature or with an encoded body, which did
/// not come unchanged from the server
bool isAuthentic(const ResponseHeader &header, const HeaderNames &names)
{
    const bool success = header.result_int() / 100 == 2;
    return !success
           || (header.count(names.signature) > 0
               && header.count(http::field::content_encoding) == 0);
}

} // namespace

RequestHandler::RequestHandler(RequestContext &context, CallerConnectionPtr caller,
                               CallerRequest &&request)
    : m_context(context), m_caller(std::move(caller)), m_request(std::move(request)),
      m_requestId(m_request[context.headerNames.requestId]), m_receivedAt(Clock::now()),
      m_deadlineTimer(context.io), m_silenceTimer(context.io),
      m_crashGuard(context.crashSuspicion, context.crashDetector, m_customer, m_request,
                   context.headerNames)
{
}

void RequestHandler::start()
{
    ++m_context.counters.received;
    if (m_caller->isClosed()) {
        handleCallerDisconnect();
        return;
    }
    m_caller->onDisconnected = [self = shared_from_this()] { self->handleCallerDisconnect(); };
    m_caller->onShutdown = [self = shared_from_this()] { self->handleDeadline(); };
    if (const auto reason = validateRequest()) {
        refuse(*reason);
        return;
    }
    collectTraits();
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->handleDeadline();
    });
    selectServer();
}

/// Validates the request, finds its route and customer, and sets the deadline.
/// @return why the request is refused, absent when it is accepted
std::optional<RefusalReason> RequestHandler::validateRequest()
{
    if (!bilberry::http::hasValidHostCount(m_request)
        || bilberry::http::hasAmbiguousFraming(m_request))
        return RefusalReason::Malformed;
    m_plan = m_context.currentPlan();
    if (!m_plan)
        return RefusalReason::NoPlan;
    m_route = m_plan->routeFor(std::string_view(m_request[http::field::host]),
                               bilberry::http::pathOf(m_request.target()));
    if (!m_route)
        return RefusalReason::UnknownRoute;
    if (!m_route->isPublic && m_plan->requiresKeys()) {
        const std::string key = bearerToken(m_request);
        if (key.empty())
            return RefusalReason::MissingKey;
        const CustomerId *customer = m_plan->customerByKeyDigest(sha256Hex(key));
        // An outdated plan may lack a new key.
        if (!customer)
            return m_context.planIsFresh() ? RefusalReason::UnknownKey : RefusalReason::StalePlan;
        if (!m_context.planIsFresh())
            return RefusalReason::StalePlan;
        m_customer = *customer;
    }
    const auto limitMs = static_cast<std::uint64_t>(toMilliseconds(m_route->timeLimit));
    const std::uint64_t remainingMs
            = parseNumber(m_request[m_context.headerNames.remainingMs], limitMs);
    m_traits.previouslyRefused = static_cast<double>(remainingMs)
                                 < returningTimeFraction * static_cast<double>(limitMs);
    m_deadline = m_receivedAt + std::chrono::milliseconds(std::min(remainingMs, limitMs));
    if (mayOutlastRouter())
        return RefusalReason::Stopping;
    return std::nullopt;
}

/// @return true when the router stops before the request usually ends
bool RequestHandler::mayOutlastRouter() const
{
    const auto stopsAt = m_context.stopsAt();
    const Duration usualTime
            = fromMilliseconds(usualTimeObjectives * toMilliseconds(m_route->latencyObjective));
    return stopsAt && std::min(m_receivedAt + usualTime, m_deadline) > *stopsAt;
}

void RequestHandler::collectTraits()
{
    m_traits.latencyObjective = m_route->latencyObjective;
    m_traits.pool = selectPool(*m_route, m_context.random);
    const std::string_view parts = m_request[m_context.headerNames.promptParts];
    if (!parts.empty())
        m_traits.prompt = decision::Prompt(std::string(m_request[m_context.headerNames.model]),
                                           promptParts(parts));
    const auto tokenCounts = split(m_request[m_context.headerNames.tokenCounts], ',');
    if (tokenCounts.size() == 2)
        m_traits.outputTokens = static_cast<std::uint32_t>(parseNumber(tokenCounts[1], 0));
    m_context.retryBudgets.try_emplace(m_traits.pool, m_context.settings.retryBudget)
            .first->second.recordRequest(m_receivedAt);
    if (m_route->kind == RequestKind::Stream && m_route->resumable)
        m_eventSplitter.emplace();
    if (m_customer.empty())
        return;
    const double cost = m_traits.prompt.tokens() + outputTokenCost * m_traits.outputTokens;
    m_traits.customerUsageRatio = m_context.usageMeter.usageRatio(m_customer, m_receivedAt);
    m_context.usageMeter.recordRequested(m_customer, cost, m_receivedAt);
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
    if (m_attemptCount == 0 && !m_customer.empty()) {
        const double cost = m_traits.prompt.tokens() + outputTokenCost * m_traits.outputTokens;
        m_context.usageMeter.recordDispatched(m_customer, cost, now);
    }
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
    m_responseHeader.reset();
    m_bufferedBody.clear();
    m_eventBoundary.reset();
    m_notRun = false;
    m_context.log.decision("Sent to a server.",
                           {{"request", m_requestId},
                            {"server", choice.server.text()},
                            {"try", std::to_string(m_attemptCount)},
                            {"backlogMs", std::to_string(static_cast<int>(choice.backlogMs))},
                            {"readMs", std::to_string(static_cast<int>(choice.prefillMs))},
                            {"cachedTokens", std::to_string(choice.cachedTokens)},
                            {"mostCachedTokens", std::to_string(choice.mostCachedTokens)},
                            {"plan", std::to_string(m_plan->version())},
                            {"suspectCrashes", std::to_string(m_crashGuard.knownCrashes().crashes)},
                            {"remainingMs", toMillisecondsText(remainingTime())}});
    m_attempt = std::make_shared<ServerAttempt>(m_context.connections, choice.server,
                                                m_context.headerNames.requestId, m_requestId,
                                                m_request.method() != http::verb::head);
    const auto self = shared_from_this();
    AttemptHooks hooks;
    hooks.onConnected
            = [self] { self->m_context.serverSelector.recordConnection(self->m_attemptNumber); };
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
    fields.customer = m_customer;
    fields.remainingTime = remainingTime();
    if (m_eventSplitter)
        fields.lastEventId = m_eventSplitter->lastId();
    m_attempt->start(serializeServerRequest(m_request, fields, m_context.headerNames),
                     std::move(hooks));
    startSilenceTimer();
}

void RequestHandler::handleResponseHeader(const ResponseHeader &header)
{
    const TimePoint now = Clock::now();
    m_silenceTimer.cancel();
    const unsigned status = header.result_int();
    m_notRun = status == 421 || header.count(m_context.headerNames.notRun) > 0;
    m_responseHeader = header;
    // An unsigned response is buffered, and handled as a failed attempt when it ends.
    m_isStreaming = m_route->kind == RequestKind::Stream && status / 100 == 2
                    && isAuthentic(header, m_context.headerNames);
    const bool hasEvents = m_isStreaming && m_request.method() != http::verb::head
                           && header.result() != http::status::no_content
                           && bilberry::http::isEventStream(header[http::field::content_type]);
    // Only events may follow the ones that were already forwarded.
    if (m_responseStarted && !hasEvents) {
        const auto refused = status == 421 ? AttemptOutcome::WrongServer : AttemptOutcome::Shed;
        abandonAttempt(m_notRun ? refused : AttemptOutcome::BrokenAnswer, !m_notRun);
        return;
    }
    if (hasEvents)
        m_eventBoundary.emplace();
    if (m_isStreaming)
        return;
    m_firstByteAt = now;
    m_context.serverSelector.recordFirstByte(m_attemptNumber, now);
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
        m_context.serverSelector.recordWait(server, now + *statement.wait);
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
    if (m_isStreaming && !m_notRun) {
        const TimePoint now = Clock::now();
        if (!m_responseStarted)
            m_context.recordFirstByteLatency(m_traits.pool, now - m_receivedAt);
        if (m_firstByteAt == TimePoint())
            m_firstByteAt = now;
        m_context.serverSelector.recordFirstByte(m_attemptNumber, now);
        if (m_eventBoundary)
            m_eventBoundary->append(data);
        forwardBody(m_eventSplitter ? m_eventSplitter->append(data) : std::move(data));
        if (m_attempt && m_eventSplitter && m_eventSplitter->incompleteBytes() > maxEventBytes)
            abandonAttempt(AttemptOutcome::BrokenAnswer, true);
        return;
    }
    m_bufferedBody += data;
    if (m_bufferedBody.size() <= maxBufferedBodyBytes)
        return;
    if (m_notRun)
        abandonAttempt(AttemptOutcome::Shed, false);
    else if (!isAuthentic(*m_responseHeader, m_context.headerNames))
        abandonAttempt(AttemptOutcome::BrokenAnswer, true);
    else
        forwardBody(std::exchange(m_bufferedBody, {}));
}

/// Gives up an attempt whose response can't become valid any more.
void RequestHandler::abandonAttempt(AttemptOutcome outcome, bool mayHaveRun)
{
    m_sentCount += m_attempt->mayHaveSent() ? 1 : 0;
    m_attempt->cancel();
    m_attempt.reset();
    handleAttemptFailure(outcome, mayHaveRun);
}

void RequestHandler::startResponse()
{
    if (m_responseStarted)
        return;
    m_responseStarted = true;
    CallerResponseHeader header = *m_responseHeader;
    header.erase(http::field::content_length);
    header.erase(http::field::transfer_encoding);
    m_caller->beginResponse(header);
    m_caller->onWritten = [self = shared_from_this()] {
        if (self->m_attempt && self->m_caller->unsentBytes() < maxUnsentBytes)
            self->m_attempt->setPaused(false);
    };
}

void RequestHandler::forwardBody(std::string &&data)
{
    if (data.empty())
        return;
    startResponse();
    m_caller->sendBody(data);
    if (m_attempt && m_caller->unsentBytes() >= maxUnsentBytes)
        m_attempt->setPaused(true);
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
        if (!m_notRun)
            m_crashGuard.recordBroken();
        handleAttemptFailure(AttemptOutcome::BrokenAnswer, !m_notRun);
        return;
    }
}

void RequestHandler::handleCompleteResponse()
{
    ++m_sentCount;
    const unsigned status = m_responseHeader->result_int();
    if (m_notRun) {
        handleAttemptFailure(status == 421 ? AttemptOutcome::WrongServer : AttemptOutcome::Shed,
                             false);
        return;
    }
    const bool brokenOff = isBrokenOff();
    if (brokenOff)
        m_crashGuard.recordBroken();
    if (!isAuthentic(*m_responseHeader, m_context.headerNames) || brokenOff) {
        handleAttemptFailure(AttemptOutcome::BrokenAnswer, true);
        return;
    }
    // A faulty server may answer 5xx before it has begun to run the request.
    if (status < 500)
        m_crashGuard.recordAnswer();
    // A 5xx response is forwarded only if no other attempt is allowed or succeeds.
    const bool retryable = status >= 500 && m_route->mayRepeat() && !m_responseStarted
                           && m_possibleRunCount + 1 < m_route->maxAttempts;
    if (retryable && remainingTime() > minTimeForRetry) {
        m_serverErrorHeader = m_responseHeader;
        m_serverErrorBody = m_bufferedBody;
        handleAttemptFailure(AttemptOutcome::ServerError, true);
        return;
    }
    recordAttemptOutcome(status >= 500 ? AttemptOutcome::ServerError : AttemptOutcome::Answered);
    ++m_context.counters.answered;
    m_context.log.decision("Answered.",
                           {{"request", m_requestId},
                            {"server", m_choice.server.text()},
                            {"status", std::to_string(status)},
                            {"framing", toText(bodyFraming(*m_responseHeader))},
                            {"insideEvent", isInsideEvent() ? "true" : "false"},
                            {"firstByteMs", toMillisecondsText(m_firstByteAt - m_receivedAt)},
                            {"tookMs", toMillisecondsText(Clock::now() - m_receivedAt)}});
    if (m_responseStarted) {
        if (!m_bufferedBody.empty())
            forwardBody(std::move(m_bufferedBody));
        finish();
        m_caller->finishResponse();
    } else if (m_isStreaming) {
        startResponse();
        finish();
        m_caller->finishResponse();
    } else {
        m_context.recordFirstByteLatency(m_traits.pool, Clock::now() - m_receivedAt);
        CallerResponseHeader header = *m_responseHeader;
        header.erase(http::field::transfer_encoding);
        finish();
        m_caller->sendResponse(header, m_bufferedBody);
    }
}

/// @return true when the stream received is incomplete, whatever its framing says
bool RequestHandler::isBrokenOff() const
{
    if (m_eventSplitter && !m_eventSplitter->isAtEventEnd())
        return true;
    const bool endsWithConnection = bodyFraming(*m_responseHeader) == BodyFraming::Close;
    return m_eventBoundary && m_eventBoundary->isBrokenOff(endsWithConnection);
}

void RequestHandler::handleAttemptFailure(AttemptOutcome outcome, bool mayHaveRun)
{
    m_silenceTimer.cancel();
    recordAttemptOutcome(outcome);
    m_possibleRunCount += mayHaveRun ? 1 : 0;
    m_traits.excluded.insert(m_choice.server);
    m_context.log.decision(
            "An attempt failed.",
            {{"request", m_requestId},
             {"server", m_choice.server.text()},
             {"outcome", std::to_string(static_cast<int>(outcome))},
             {"mayHaveRun", mayHaveRun ? "true" : "false"},
             {"framing", m_responseHeader ? toText(bodyFraming(*m_responseHeader)) : ""},
             {"insideEvent", isInsideEvent() ? "true" : "false"},
             {"parts", std::string(m_request[m_context.headerNames.promptParts])},
             {"remainingMs", toMillisecondsText(remainingTime())}});
    if (m_responseStarted && !(m_eventSplitter && m_eventSplitter->lastId())) {
        failRequest();
        return;
    }
    if (m_eventSplitter)
        m_eventSplitter->discardPartial();
    if (!mayRetry(outcome != AttemptOutcome::ConnectFailed)) {
        failRequest();
        return;
    }
    m_context.counters.retries += 1;
    m_context.counters.resumed += m_responseStarted ? 1 : 0;
    selectServer();
}

bool RequestHandler::mayRetry(bool needsBudget)
{
    if (m_possibleRunCount > 0
        && (!m_route->mayRepeat() || m_possibleRunCount >= m_route->maxAttempts))
        return false;
    if (m_attemptCount >= maxAttemptsPerRequest || remainingTime() < minTimeForRetry)
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
    const Duration limit = fromMilliseconds(silenceTimeoutObjectives
                                            * toMilliseconds(m_route->latencyObjective));
    m_silenceTimer.expires_after(std::min(limit, remainingTime() / 2));
    m_silenceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_finished && self->m_attempt && !self->m_responseHeader)
            self->handleSilence();
    });
}

/// Sends an idempotent request to another server when its server does not respond in time.
void RequestHandler::handleSilence()
{
    dropSilentConnections();
    const bool mayTryOtherServer = m_route->kind == RequestKind::Idempotent
                                   && m_possibleRunCount + 1 < m_route->maxAttempts;
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
    if (m_responseStarted) {
        ++m_context.counters.truncated;
        m_context.log.decision("Cut an answer that is not whole.", {{"request", m_requestId}});
        finish();
        m_caller->abort();
        return;
    }
    if (m_serverErrorHeader) {
        ++m_context.counters.answered;
        CallerResponseHeader header = *m_serverErrorHeader;
        header.erase(http::field::transfer_encoding);
        finish();
        m_caller->sendResponse(header, m_serverErrorBody);
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
                            {"customer", m_customer.text()},
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
    const Duration remaining = m_deadline == TimePoint() ? Duration::max() : remainingTime();
    return reason == RefusalReason::Overloaded
                   ? overloadRetryAfter(m_route->latencyObjective, remaining, m_context.random)
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
    if (m_attempt) {
        const bool mayHaveRun = m_attempt->mayHaveSent();
        if (!m_responseHeader)
            dropSilentConnections();
        m_attempt->cancel();
        m_attempt.reset();
        const AttemptOutcome silent
                = mayHaveRun ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectFailed;
        recordAttemptOutcome(m_responseStarted ? AttemptOutcome::Cancelled : silent);
        m_possibleRunCount += mayHaveRun ? 1 : 0;
    }
    if (m_responseStarted || m_serverErrorHeader)
        failRequest();
    else
        refuse(m_possibleRunCount > 0 ? RefusalReason::TimedOut : RefusalReason::NotAccepted);
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
