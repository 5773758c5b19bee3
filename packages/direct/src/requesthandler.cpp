#include "requesthandler.h"

#include "bilberry/base/digest.h"
#include "bilberry/http/requestrules.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using decision::AttemptOutcome;

namespace {

/// Attempts of one request, whether they reached a server or not.
constexpr std::uint32_t maxTries = 4;
/// A request is sent again only when at least this is left of its time.
constexpr Duration leastTimeToSend = std::chrono::milliseconds(40);
/// Body bytes held back until the answer is whole, so that a broken one can be replaced.
constexpr std::size_t holdBackLimit = 256U << 10U;
/// Bytes that a caller may leave untaken before its server is no longer read.
constexpr std::size_t unsentLimit = 256U << 10U;
/// Below this part of its route's time a request is taken to be a repeat.
constexpr double returningShare = 0.93;
/// Silence after which an idempotent request is tried elsewhere, in latency objectives.
constexpr double silenceObjectives = 3.0;
/// Tokens of output counted like this many tokens read, as the fleet's capacity is given.
constexpr double outputWeight = 2.0;
/// Return of a caller that an overload refused, in latency objectives.
constexpr double leastReturn = 0.2;
constexpr double mostReturn = 0.5;
/// Share of a caller's remaining time up to which it heeds Retry-After.
constexpr double heededShare = 1.0 / 3.0;

std::uint64_t toNumber(std::string_view text, std::uint64_t fallback, int base = 10)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return parsed.ec == std::errc() ? number : fallback;
}

std::string_view trimmed(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        parts.push_back(trimmed(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string presentedKey(const CallerRequest &message)
{
    constexpr std::string_view scheme = "bearer ";
    const std::string_view value = message[http::field::authorization];
    if (value.size() <= scheme.size() || !beast::iequals(value.substr(0, scheme.size()), scheme))
        return {};
    return std::string(trimmed(value.substr(scheme.size())));
}

std::vector<decision::PromptPart> promptParts(std::string_view text)
{
    std::vector<decision::PromptPart> parts;
    for (const std::string_view entry : split(text, ',')) {
        const std::size_t colon = entry.find(':');
        if (colon == std::string_view::npos)
            continue;
        constexpr int hexadecimal = 16;
        parts.push_back({toNumber(entry.substr(0, colon), 0, hexadecimal),
                         static_cast<std::uint32_t>(toNumber(entry.substr(colon + 1), 0))});
    }
    return parts;
}

/// Picks one of a route's pools by weight.
const PoolId &pickPool(const DirectRoute &route, std::mt19937_64 &random)
{
    double total = 0.0;
    for (const PoolWeight &target : route.pools)
        total += target.weight;
    double point = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(random);
    for (const PoolWeight &target : route.pools) {
        point -= target.weight;
        if (point < 0.0 && target.weight > 0.0)
            return target.pool;
    }
    return route.pools.front().pool;
}

/// @return false for a success that the server did not sign, or whose body was encoded on the way
bool isServersOwn(const ResponseHeader &header, const HeaderNames &names)
{
    const bool success = header.result_int() / 100 == 2;
    return !success
           || (header.count(names.signature) > 0
               && header.count(http::field::content_encoding) == 0);
}

std::string milliseconds(Duration duration)
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<std::int64_t>(whole, 0));
}

} // namespace

RequestHandler::RequestHandler(RequestContext &context, CallerConnectionPtr caller,
                               CallerRequest &&message)
    : m_context(context), m_caller(std::move(caller)), m_request(std::move(message)),
      m_requestId(m_request[context.names.requestId]), m_receivedAt(Clock::now()),
      m_deadlineTimer(context.io), m_silenceTimer(context.io)
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

/// Finds the route and the customer, and sets the deadline.
std::optional<RefusalReason> RequestHandler::validateRequest()
{
    if (!bilberry::http::hasOneHost(m_request) || bilberry::http::hasAmbiguousFraming(m_request))
        return RefusalReason::Malformed;
    m_plan = m_context.currentPlan();
    if (!m_plan)
        return RefusalReason::NoPlan;
    m_route = m_plan->routeFor(std::string_view(m_request[http::field::host]),
                               bilberry::http::pathOf(m_request.target()));
    if (!m_route)
        return RefusalReason::UnknownRoute;
    if (!m_route->isPublic && !m_plan->parts().customers.empty()) {
        const std::string key = presentedKey(m_request);
        if (key.empty())
            return RefusalReason::MissingKey;
        const CustomerId *customer = m_plan->customerByKey(sha256Hex(key));
        // A key that is unknown here may be new where the plan is not proven.
        if (!customer)
            return m_context.planIsFresh() ? RefusalReason::UnknownKey : RefusalReason::StalePlan;
        if (!m_context.planIsFresh())
            return RefusalReason::StalePlan;
        m_customer = *customer;
    }
    const auto limitMs = static_cast<std::uint64_t>(toMilliseconds(m_route->timeLimit));
    const std::uint64_t given = toNumber(m_request[m_context.names.remainingMs], limitMs);
    m_traits.previouslyRefused
            = static_cast<double>(given) < returningShare * static_cast<double>(limitMs);
    m_deadline = m_receivedAt + std::chrono::milliseconds(std::min(given, limitMs));
    return std::nullopt;
}

void RequestHandler::collectTraits()
{
    m_traits.latencyObjective = m_route->latencyObjective;
    m_traits.pool = pickPool(*m_route, m_context.random);
    const std::string_view parts = m_request[m_context.names.promptParts];
    if (!parts.empty())
        m_traits.prompt = decision::Prompt(std::string(m_request[m_context.names.model]),
                                           promptParts(parts));
    const auto counts = split(m_request[m_context.names.tokenCounts], ',');
    if (counts.size() == 2)
        m_traits.outputTokens = static_cast<std::uint32_t>(toNumber(counts[1], 0));
    m_context.retryBudgets.try_emplace(m_traits.pool, m_context.settings.retryBudget)
            .first->second.recordRequest(m_receivedAt);
    if (m_route->kind == RequestKind::Stream && m_route->resumable)
        m_eventSplitter.emplace();
    if (m_customer.empty())
        return;
    const double cost = m_traits.prompt.tokens() + outputWeight * m_traits.outputTokens;
    m_traits.customerUsageRatio = m_context.meter.usageRatio(m_customer, m_receivedAt);
    m_context.meter.recordRequested(m_customer, cost, m_receivedAt);
}

void RequestHandler::selectServer()
{
    if (m_finished)
        return;
    const TimePoint now = Clock::now();
    const Result<decision::ServerChoice> choice = m_context.fleet.choose(m_traits, now);
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
        const double cost = m_traits.prompt.tokens() + outputWeight * m_traits.outputTokens;
        m_context.meter.recordDispatched(m_customer, cost, now);
    }
    sendToServer(choice.value());
}

void RequestHandler::sendToServer(const decision::ServerChoice &choice)
{
    const DirectServer *server = m_context.fleet.server(choice.server);
    m_choice = choice;
    ++m_attemptCount;
    m_ticket = m_context.fleet.startAttempt(choice, m_traits, Clock::now());
    m_responseHeader.reset();
    m_bufferedBody.clear();
    m_notRun = false;
    m_context.log.decision("Sent to a server.",
                           {{"request", m_requestId},
                            {"server", choice.server.text()},
                            {"try", std::to_string(m_attemptCount)},
                            {"backlogMs", std::to_string(static_cast<int>(choice.backlogMs))},
                            {"readMs", std::to_string(static_cast<int>(choice.prefillMs))},
                            {"plan", std::to_string(m_plan->version())},
                            {"remainingMs", milliseconds(remainingTime())}});
    m_attempt = std::make_shared<ServerAttempt>(m_context.connections, choice.server,
                                                m_context.names.requestId, m_requestId,
                                                m_request.method() != http::verb::head);
    const auto self = shared_from_this();
    AttemptHooks hooks;
    hooks.onConnected = [self] { self->m_context.fleet.recordConnection(self->m_ticket); };
    hooks.onHeader = [self](const ResponseHeader &header) { self->handleResponseHeader(header); };
    hooks.onBody = [self](std::string &&data) { self->handleResponseBody(std::move(data)); };
    hooks.onEnd = [self](AttemptResult end) { self->handleAttemptEnd(end); };
    m_attempt->start(serializeRequest(*server), std::move(hooks));
    startSilenceTimer();
}

std::string RequestHandler::serializeRequest(const DirectServer &server) const
{
    const HeaderNames &names = m_context.names;
    http::request_header<> header;
    header.version(11);
    header.method_string(m_request.method_string());
    header.target(m_request.target());
    const auto isSetHere = [&](beast::string_view name) {
        const auto is = [&](const std::string &other) { return beast::iequals(name, other); };
        return is(names.remainingMs) || is(names.targetServer) || is(names.customer)
               || is(names.notRun) || is(names.signature)
               || std::any_of(names.reserved.begin(), names.reserved.end(), is);
    };
    for (const auto &field : m_request) {
        const beast::string_view name = field.name_string();
        if (field.name() == http::field::authorization || isSetHere(name)
            || bilberry::http::isHopByHop(m_request, field.name(), name))
            continue;
        header.insert(field.name(), name, field.value());
    }
    header.set(names.remainingMs, milliseconds(remainingTime()));
    header.set(names.targetServer, server.id.text());
    if (!m_customer.empty())
        header.set(names.customer, m_customer.text());
    if (m_eventSplitter && m_eventSplitter->lastId())
        header.set(names.lastEventId, std::to_string(*m_eventSplitter->lastId()));
    const bool hasLength = m_request.count(http::field::content_length) > 0
                           || m_request.count(http::field::transfer_encoding) > 0;
    if (hasLength || !m_request.body().empty())
        header.set(http::field::content_length, std::to_string(m_request.body().size()));
    std::ostringstream text;
    text << header;
    return text.str() + m_request.body();
}

void RequestHandler::handleResponseHeader(const ResponseHeader &header)
{
    const TimePoint now = Clock::now();
    m_silenceTimer.cancel();
    const unsigned status = header.result_int();
    m_notRun = status == 421 || header.count(m_context.names.notRun) > 0;
    m_responseHeader = header;
    // What a server did not sign is held back, and replaced when it has ended.
    m_isStreaming = m_route->kind == RequestKind::Stream && status / 100 == 2
                    && isServersOwn(header, m_context.names);
    if (!m_isStreaming)
        m_context.fleet.recordFirstByte(m_ticket, now);
}

void RequestHandler::handleResponseBody(std::string &&data)
{
    if (m_isStreaming && !m_notRun) {
        const TimePoint now = Clock::now();
        if (!m_responseStarted)
            m_context.recordFirstByteLatency(m_traits.pool, now - m_receivedAt);
        if (m_firstByteAt == TimePoint())
            m_firstByteAt = now;
        m_context.fleet.recordFirstByte(m_ticket, now);
        forwardBody(m_eventSplitter ? m_eventSplitter->append(data) : std::move(data));
        return;
    }
    m_bufferedBody += data;
    if (m_bufferedBody.size() > holdBackLimit && !m_notRun
        && isServersOwn(*m_responseHeader, m_context.names))
        forwardBody(std::exchange(m_bufferedBody, {}));
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
        if (self->m_attempt && self->m_caller->unsentBytes() < unsentLimit)
            self->m_attempt->setPaused(false);
    };
}

void RequestHandler::forwardBody(std::string &&data)
{
    if (data.empty())
        return;
    startResponse();
    m_caller->sendBody(data);
    if (m_attempt && m_caller->unsentBytes() >= unsentLimit)
        m_attempt->setPaused(true);
}

void RequestHandler::handleAttemptEnd(AttemptResult end)
{
    m_attempt.reset();
    switch (end) {
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
    const bool midEvent = m_eventSplitter && !m_eventSplitter->isAtEventEnd();
    // A stream that has begun can't end with the failure of the server that was to go on with it.
    const bool failedToResume = m_eventSplitter && m_responseStarted && !m_isStreaming;
    if (!isServersOwn(*m_responseHeader, m_context.names) || midEvent || failedToResume) {
        handleAttemptFailure(AttemptOutcome::BrokenAnswer, true);
        return;
    }
    // A server's own failure is passed on unless another server may still do better.
    const bool retryable = status >= 500 && m_route->mayRepeat() && !m_responseStarted
                           && m_possibleRunCount + 1 < m_route->maxAttempts;
    if (retryable && remainingTime() > leastTimeToSend) {
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
                            {"firstByteMs", milliseconds(m_firstByteAt - m_receivedAt)},
                            {"tookMs", milliseconds(Clock::now() - m_receivedAt)}});
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
                            {"remainingMs", milliseconds(remainingTime())}});
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
    if (m_attemptCount >= maxTries || remainingTime() < leastTimeToSend)
        return false;
    // An attempt that never reached a server does not count as a first arrival.
    if (!needsBudget && m_sentCount == 0)
        return true;
    return m_context.retryBudgets.at(m_traits.pool).tryAcquire(Clock::now());
}

/// Tries an idempotent request elsewhere when its server stays silent.
void RequestHandler::startSilenceTimer()
{
    const bool mayTryElsewhere = m_route->kind == RequestKind::Idempotent
                                 && m_possibleRunCount + 1 < m_route->maxAttempts;
    if (!mayTryElsewhere || m_finished || !m_attempt)
        return;
    const Duration limit
            = fromMilliseconds(silenceObjectives * toMilliseconds(m_route->latencyObjective));
    m_silenceTimer.expires_after(std::min(limit, remainingTime() / 2));
    m_silenceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_finished || !self->m_attempt || self->m_responseHeader)
            return;
        self->m_attempt->cancel();
        self->m_attempt.reset();
        ++self->m_sentCount;
        self->handleAttemptFailure(AttemptOutcome::TimedOut, true);
    });
}

/// No server will be asked any more: answers with what is known of the request.
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
        header.set(m_context.names.requestId, m_requestId);
    const auto after = retryAfterDelay(reason);
    if (after) {
        std::ostringstream seconds;
        seconds.precision(3);
        seconds << toMilliseconds(*after) / 1000.0;
        header.set(http::field::retry_after, seconds.str());
    }
    m_context.log.decision("Refused.",
                           {{"request", m_requestId},
                            {"reason", toText(reason)},
                            {"customer", m_customer.text()},
                            {"customerUse", std::to_string(m_traits.customerUsageRatio)},
                            {"tries", std::to_string(m_attemptCount)},
                            {"retryAfterMs", after ? milliseconds(*after) : ""},
                            {"tookMs", milliseconds(Clock::now() - m_receivedAt)}});
    finish();
    m_caller->sendResponse(header, problemBody(reason));
}

/// Spreads the return of refused callers, and keeps it within the time that they heed.
std::optional<Duration> RequestHandler::retryAfterDelay(RefusalReason reason)
{
    if (httpStatus(reason) != 503)
        return std::nullopt;
    double leastMs = 300.0;
    double mostMs = 900.0;
    // Work of a full server is done soon: a caller that returns early may still be served in time.
    if (reason == RefusalReason::Overloaded) {
        const double objective = toMilliseconds(m_route->latencyObjective);
        leastMs = leastReturn * objective;
        mostMs = mostReturn * objective;
    }
    std::uniform_real_distribution<double> spread(leastMs, mostMs);
    Duration wait = fromMilliseconds(spread(m_context.random));
    if (m_deadline != TimePoint())
        wait = std::min(wait, fromMilliseconds(heededShare * toMilliseconds(remainingTime())));
    return std::max(wait, Duration::zero());
}

void RequestHandler::handleCallerDisconnect()
{
    if (m_finished)
        return;
    ++m_context.counters.callerDisconnects;
    m_context.log.decision("The caller left.",
                           {{"request", m_requestId},
                            {"server", m_choice.server.text()},
                            {"tookMs", milliseconds(Clock::now() - m_receivedAt)}});
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
    const bool wasSent = m_attempt != nullptr;
    if (wasSent) {
        m_attempt->cancel();
        m_attempt.reset();
        recordAttemptOutcome(m_responseStarted ? AttemptOutcome::Cancelled
                                               : AttemptOutcome::TimedOut);
        ++m_possibleRunCount;
    }
    if (m_responseStarted || m_serverErrorHeader)
        failRequest();
    else
        refuse(RefusalReason::TimedOut);
}

void RequestHandler::recordAttemptOutcome(AttemptOutcome outcome)
{
    m_context.fleet.endAttempt(m_ticket, outcome, Clock::now());
    m_ticket = 0;
}

/// Lets go of the caller's connection. Comes before the answer's last byte: the connection may go
/// on with the next request at once.
void RequestHandler::finish()
{
    m_finished = true;
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_caller->onDisconnected = nullptr;
    m_caller->onWritten = nullptr;
}

} // namespace bilberry::direct
