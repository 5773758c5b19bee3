#include "requestflow.h"

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

std::string presentedKey(const CallerMessage &message)
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

RequestFlow::RequestFlow(RequestContext &context, CallerConnectionPtr caller,
                         CallerMessage &&message)
    : m_context(context), m_caller(std::move(caller)), m_message(std::move(message)),
      m_id(m_message[context.names.requestId]), m_receivedAt(Clock::now()),
      m_deadlineTimer(context.io), m_silenceTimer(context.io)
{
}

void RequestFlow::start()
{
    ++m_context.counts.requests;
    if (m_caller->isClosed()) {
        callerGone();
        return;
    }
    m_caller->onGone = [self = shared_from_this()] { self->callerGone(); };
    if (const auto reason = admit()) {
        refuse(*reason);
        return;
    }
    readTraits();
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->deadlinePassed();
    });
    place();
}

/// Finds the route and the customer, and sets the deadline.
std::optional<RefusalReason> RequestFlow::admit()
{
    if (!bilberry::http::hasOneHost(m_message) || bilberry::http::hasAmbiguousFraming(m_message))
        return RefusalReason::Malformed;
    m_plan = m_context.plan();
    if (!m_plan)
        return RefusalReason::NoPlan;
    m_route = m_plan->routeFor(std::string_view(m_message[http::field::host]),
                               bilberry::http::pathOf(m_message.target()));
    if (!m_route)
        return RefusalReason::UnknownRoute;
    if (!m_route->isPublic && !m_plan->parts().customers.empty()) {
        const std::string key = presentedKey(m_message);
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
    const std::uint64_t given = toNumber(m_message[m_context.names.remainingMs], limitMs);
    m_traits.previouslyRefused
            = static_cast<double>(given) < returningShare * static_cast<double>(limitMs);
    m_deadline = m_receivedAt + std::chrono::milliseconds(std::min(given, limitMs));
    return std::nullopt;
}

void RequestFlow::readTraits()
{
    m_traits.latencyObjective = m_route->latencyObjective;
    m_traits.pool = pickPool(*m_route, m_context.random);
    const std::string_view parts = m_message[m_context.names.promptParts];
    if (!parts.empty())
        m_traits.prompt = decision::Prompt(std::string(m_message[m_context.names.model]),
                                           promptParts(parts));
    const auto counts = split(m_message[m_context.names.tokenCounts], ',');
    if (counts.size() == 2)
        m_traits.outputTokens = static_cast<std::uint32_t>(toNumber(counts[1], 0));
    m_context.retries.try_emplace(m_traits.pool, m_context.settings.retryBudget)
            .first->second.recordRequest(m_receivedAt);
    if (m_route->kind == RequestKind::Stream && m_route->resumable)
        m_events.emplace();
    if (m_customer.empty())
        return;
    const double cost = m_traits.prompt.tokens() + outputWeight * m_traits.outputTokens;
    m_traits.customerUsageRatio = m_context.meter.usageRatio(m_customer, m_receivedAt);
    m_context.meter.recordRequested(m_customer, cost, m_receivedAt);
}

void RequestFlow::place()
{
    if (m_over)
        return;
    const TimePoint now = Clock::now();
    const Result<decision::ServerChoice> choice = m_context.fleet.choose(m_traits, now);
    if (!choice) {
        if (m_tries > 0)
            giveUp();
        else
            refuse(choice.error() == decision::ServerChoiceErrc::Overloaded
                           ? RefusalReason::Overloaded
                           : RefusalReason::NoServer);
        return;
    }
    if (m_tries == 0 && !m_customer.empty()) {
        const double cost = m_traits.prompt.tokens() + outputWeight * m_traits.outputTokens;
        m_context.meter.recordDispatched(m_customer, cost, now);
    }
    send(choice.value());
}

void RequestFlow::send(const decision::ServerChoice &choice)
{
    const DirectServer *server = m_context.fleet.server(choice.server);
    m_choice = choice;
    ++m_tries;
    m_ticket = m_context.fleet.startAttempt(choice, m_traits, Clock::now());
    m_header.reset();
    m_body.clear();
    m_notRun = false;
    m_context.log.decision("Sent to a server.",
                           {{"request", m_id},
                            {"server", choice.server.text()},
                            {"try", std::to_string(m_tries)},
                            {"backlogMs", std::to_string(static_cast<int>(choice.backlogMs))},
                            {"readMs", std::to_string(static_cast<int>(choice.prefillMs))},
                            {"plan", std::to_string(m_plan->version())},
                            {"remainingMs", milliseconds(remaining())}});
    m_attempt = std::make_shared<ServerAttempt>(m_context.connections, choice.server,
                                                m_context.names.requestId, m_id,
                                                m_message.method() != http::verb::head);
    const auto self = shared_from_this();
    AttemptHooks hooks;
    hooks.connected = [self] { self->m_context.fleet.recordConnection(self->m_ticket); };
    hooks.head = [self](const ResponseHeader &header) { self->headArrived(header); };
    hooks.data = [self](std::string &&data) { self->dataArrived(std::move(data)); };
    hooks.ended = [self](AttemptEnd end) { self->attemptEnded(end); };
    m_attempt->start(bytesFor(*server), std::move(hooks));
    watchSilence();
}

std::string RequestFlow::bytesFor(const DirectServer &server) const
{
    const HeaderNames &names = m_context.names;
    http::request_header<> header;
    header.version(11);
    header.method_string(m_message.method_string());
    header.target(m_message.target());
    const auto isSetHere = [&](beast::string_view name) {
        const auto is = [&](const std::string &other) { return beast::iequals(name, other); };
        return is(names.remainingMs) || is(names.targetServer) || is(names.customer)
               || is(names.notRun) || is(names.signature)
               || std::any_of(names.reserved.begin(), names.reserved.end(), is);
    };
    for (const auto &field : m_message) {
        const beast::string_view name = field.name_string();
        if (field.name() == http::field::authorization || isSetHere(name)
            || bilberry::http::isHopByHop(m_message, field.name(), name))
            continue;
        header.insert(field.name(), name, field.value());
    }
    header.set(names.remainingMs, milliseconds(remaining()));
    header.set(names.targetServer, server.id.text());
    if (!m_customer.empty())
        header.set(names.customer, m_customer.text());
    if (m_events && m_events->lastId())
        header.set(names.lastEventId, std::to_string(*m_events->lastId()));
    const bool hasLength = m_message.count(http::field::content_length) > 0
                           || m_message.count(http::field::transfer_encoding) > 0;
    if (hasLength || !m_message.body().empty())
        header.set(http::field::content_length, std::to_string(m_message.body().size()));
    std::ostringstream text;
    text << header;
    return text.str() + m_message.body();
}

void RequestFlow::headArrived(const ResponseHeader &header)
{
    const TimePoint now = Clock::now();
    m_silenceTimer.cancel();
    const unsigned status = header.result_int();
    m_notRun = status == 421 || header.count(m_context.names.notRun) > 0;
    m_header = header;
    // What a server did not sign is held back, and replaced when it has ended.
    m_streaming = m_route->kind == RequestKind::Stream && status / 100 == 2
                  && isServersOwn(header, m_context.names);
    if (!m_streaming)
        m_context.fleet.recordFirstByte(m_ticket, now);
}

void RequestFlow::dataArrived(std::string &&data)
{
    if (m_streaming && !m_notRun) {
        const TimePoint now = Clock::now();
        if (!m_answerStarted)
            m_context.firstByteTook(m_traits.pool, now - m_receivedAt);
        if (m_firstByteAt == TimePoint())
            m_firstByteAt = now;
        m_context.fleet.recordFirstByte(m_ticket, now);
        passOn(m_events ? m_events->take(data) : std::move(data));
        return;
    }
    m_body += data;
    if (m_body.size() > holdBackLimit && !m_notRun && isServersOwn(*m_header, m_context.names))
        passOn(std::exchange(m_body, {}));
}

void RequestFlow::startAnswer()
{
    if (m_answerStarted)
        return;
    m_answerStarted = true;
    AnswerHeader header = *m_header;
    header.erase(http::field::content_length);
    header.erase(http::field::transfer_encoding);
    m_caller->begin(header);
    m_caller->onDrained = [self = shared_from_this()] {
        if (self->m_attempt && self->m_caller->unsent() < unsentLimit)
            self->m_attempt->setPaused(false);
    };
}

void RequestFlow::passOn(std::string &&data)
{
    if (data.empty())
        return;
    startAnswer();
    m_caller->send(data);
    if (m_attempt && m_caller->unsent() >= unsentLimit)
        m_attempt->setPaused(true);
}

void RequestFlow::attemptEnded(AttemptEnd end)
{
    m_attempt.reset();
    switch (end) {
    case AttemptEnd::Complete:
        answerComplete();
        return;
    case AttemptEnd::ConnectFailed:
        attemptFailed(AttemptOutcome::ConnectFailed, false);
        return;
    case AttemptEnd::NothingSent:
        ++m_sends;
        attemptFailed(AttemptOutcome::BrokenAnswer, false);
        return;
    case AttemptEnd::Broken:
        ++m_sends;
        attemptFailed(AttemptOutcome::BrokenAnswer, !m_notRun);
        return;
    }
}

void RequestFlow::answerComplete()
{
    ++m_sends;
    const unsigned status = m_header->result_int();
    if (m_notRun) {
        attemptFailed(status == 421 ? AttemptOutcome::WrongServer : AttemptOutcome::Shed, false);
        return;
    }
    const bool midEvent = m_events && !m_events->atEventEnd();
    // A stream that has begun can't end with the failure of the server that was to go on with it.
    const bool failedToResume = m_events && m_answerStarted && !m_streaming;
    if (!isServersOwn(*m_header, m_context.names) || midEvent || failedToResume) {
        attemptFailed(AttemptOutcome::BrokenAnswer, true);
        return;
    }
    // A server's own failure is passed on unless another server may still do better.
    const bool retryable = status >= 500 && m_route->mayRepeat() && !m_answerStarted
                           && m_runs + 1 < m_route->maxAttempts;
    if (retryable && remaining() > leastTimeToSend) {
        m_failedHeader = m_header;
        m_failedBody = m_body;
        attemptFailed(AttemptOutcome::ServerError, true);
        return;
    }
    endAttempt(status >= 500 ? AttemptOutcome::ServerError : AttemptOutcome::Answered);
    ++m_context.counts.answered;
    m_context.log.decision("Answered.",
                           {{"request", m_id},
                            {"server", m_choice.server.text()},
                            {"status", std::to_string(status)},
                            {"firstByteMs", milliseconds(m_firstByteAt - m_receivedAt)},
                            {"tookMs", milliseconds(Clock::now() - m_receivedAt)}});
    if (m_answerStarted) {
        if (!m_body.empty())
            passOn(std::move(m_body));
        over();
        m_caller->finish();
    } else if (m_streaming) {
        startAnswer();
        over();
        m_caller->finish();
    } else {
        m_context.firstByteTook(m_traits.pool, Clock::now() - m_receivedAt);
        AnswerHeader header = *m_header;
        header.erase(http::field::transfer_encoding);
        over();
        m_caller->reply(header, m_body);
    }
}

void RequestFlow::attemptFailed(AttemptOutcome outcome, bool mayHaveRun)
{
    m_silenceTimer.cancel();
    endAttempt(outcome);
    m_runs += mayHaveRun ? 1 : 0;
    m_traits.excluded.insert(m_choice.server);
    m_context.log.decision("An attempt failed.",
                           {{"request", m_id},
                            {"server", m_choice.server.text()},
                            {"outcome", std::to_string(static_cast<int>(outcome))},
                            {"mayHaveRun", mayHaveRun ? "true" : "false"},
                            {"remainingMs", milliseconds(remaining())}});
    if (m_answerStarted && !(m_events && m_events->lastId())) {
        giveUp();
        return;
    }
    if (m_events)
        m_events->dropPartial();
    if (!maySendAgain(outcome != AttemptOutcome::ConnectFailed)) {
        giveUp();
        return;
    }
    m_context.counts.retries += 1;
    m_context.counts.resumed += m_answerStarted ? 1 : 0;
    place();
}

bool RequestFlow::maySendAgain(bool needsBudget)
{
    if (m_runs > 0 && (!m_route->mayRepeat() || m_runs >= m_route->maxAttempts))
        return false;
    if (m_tries >= maxTries || remaining() < leastTimeToSend)
        return false;
    // An attempt that never reached a server does not count as a first arrival.
    if (!needsBudget && m_sends == 0)
        return true;
    return m_context.retries.at(m_traits.pool).tryAcquire(Clock::now());
}

/// Tries an idempotent request elsewhere when its server stays silent.
void RequestFlow::watchSilence()
{
    const bool mayTryElsewhere
            = m_route->kind == RequestKind::Idempotent && m_runs + 1 < m_route->maxAttempts;
    if (!mayTryElsewhere || m_over || !m_attempt)
        return;
    const Duration limit
            = fromMilliseconds(silenceObjectives * toMilliseconds(m_route->latencyObjective));
    m_silenceTimer.expires_after(std::min(limit, remaining() / 2));
    m_silenceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_over || !self->m_attempt || self->m_header)
            return;
        self->m_attempt->cancel();
        self->m_attempt.reset();
        ++self->m_sends;
        self->attemptFailed(AttemptOutcome::TimedOut, true);
    });
}

/// No server will be asked any more: answers with what is known of the request.
void RequestFlow::giveUp()
{
    if (m_answerStarted) {
        ++m_context.counts.brokenOff;
        m_context.log.decision("Cut an answer that is not whole.", {{"request", m_id}});
        over();
        m_caller->abort();
        return;
    }
    if (m_failedHeader) {
        ++m_context.counts.answered;
        AnswerHeader header = *m_failedHeader;
        header.erase(http::field::transfer_encoding);
        over();
        m_caller->reply(header, m_failedBody);
        return;
    }
    refuse(m_runs > 0 ? RefusalReason::ServerFailed : RefusalReason::NotAccepted);
}

void RequestFlow::refuse(RefusalReason reason)
{
    ++m_context.counts.refused[reason];
    const unsigned status = statusOf(reason);
    AnswerHeader header;
    header.result(status);
    header.set(http::field::content_type, "application/problem+json");
    if (!m_id.empty())
        header.set(m_context.names.requestId, m_id);
    const auto after = retryAfter(reason);
    if (after) {
        std::ostringstream seconds;
        seconds.precision(3);
        seconds << toMilliseconds(*after) / 1000.0;
        header.set(http::field::retry_after, seconds.str());
    }
    m_context.log.decision("Refused.",
                           {{"request", m_id},
                            {"reason", toText(reason)},
                            {"customer", m_customer.text()},
                            {"customerUse", std::to_string(m_traits.customerUsageRatio)},
                            {"tries", std::to_string(m_tries)},
                            {"retryAfterMs", after ? milliseconds(*after) : ""},
                            {"tookMs", milliseconds(Clock::now() - m_receivedAt)}});
    over();
    m_caller->reply(header, problemText(reason));
}

/// Spreads the return of refused callers, and keeps it within the time that they heed.
std::optional<Duration> RequestFlow::retryAfter(RefusalReason reason)
{
    if (statusOf(reason) != 503)
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
        wait = std::min(wait, fromMilliseconds(heededShare * toMilliseconds(remaining())));
    return std::max(wait, Duration::zero());
}

void RequestFlow::callerGone()
{
    if (m_over)
        return;
    ++m_context.counts.callersGone;
    m_context.log.decision("The caller left.",
                           {{"request", m_id},
                            {"server", m_choice.server.text()},
                            {"tookMs", milliseconds(Clock::now() - m_receivedAt)}});
    if (m_attempt) {
        m_attempt->cancel();
        m_attempt.reset();
        endAttempt(AttemptOutcome::Cancelled);
    }
    over();
}

void RequestFlow::deadlinePassed()
{
    if (m_over)
        return;
    const bool wasSent = m_attempt != nullptr;
    if (wasSent) {
        m_attempt->cancel();
        m_attempt.reset();
        endAttempt(m_answerStarted ? AttemptOutcome::Cancelled : AttemptOutcome::TimedOut);
        ++m_runs;
    }
    if (m_answerStarted || m_failedHeader)
        giveUp();
    else
        refuse(RefusalReason::TimedOut);
}

void RequestFlow::endAttempt(AttemptOutcome outcome)
{
    m_context.fleet.endAttempt(m_ticket, outcome, Clock::now());
    m_ticket = 0;
}

/// Lets go of the caller's connection. Comes before the answer's last byte: the connection may go
/// on with the next request at once.
void RequestFlow::over()
{
    m_over = true;
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    m_caller->onGone = nullptr;
    m_caller->onDrained = nullptr;
}

} // namespace bilberry::direct
