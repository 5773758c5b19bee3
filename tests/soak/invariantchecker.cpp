#include "invariantchecker.h"

#include <algorithm>

namespace bilberry::soak {

namespace {

// Limits that the users' deployments require.
constexpr Duration revocationLimit = std::chrono::seconds(5);
constexpr Duration evacuationLimit = std::chrono::seconds(5);
/// A router counts as recovered after this time without a fault.
constexpr Duration recoveryTime = std::chrono::seconds(3);
/// Deadline that callers send, and the allowed delay of an answer after it.
constexpr Duration deadline = std::chrono::seconds(2);
constexpr Duration deadlineTolerance = std::chrono::milliseconds(500);

void setSpan(std::vector<Span> &spans, bool open)
{
    const bool isOpen = !spans.empty() && spans.back().end == TimePoint::max();
    if (open && !isOpen)
        spans.push_back({Clock::now()});
    else if (!open && isOpen)
        spans.back().end = Clock::now();
}

/// @return true when `at` is in a span and later than `limit` after its begin
bool isPastLimit(const std::vector<Span> &spans, TimePoint at, Duration limit)
{
    return std::any_of(spans.begin(), spans.end(),
                       [&](const Span &span) { return at > span.begin + limit && at < span.end; });
}

bool reportsNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string streamEvent(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number)
           + "\n\n";
}

std::string expectedBody(RequestKind kind, const std::string &id)
{
    if (kind != RequestKind::Stream)
        return "done " + id;
    std::string body;
    for (int i = 1; i <= streamEvents; ++i)
        body += streamEvent(id, i);
    return body;
}

void InvariantChecker::recordRun(const std::string &id, Run run)
{
    const std::lock_guard lock(m_mutex);
    m_runs[id].push_back(run);
}

void InvariantChecker::recordAttempt(Attempt attempt)
{
    const std::lock_guard lock(m_mutex);
    m_attempts.push_back(std::move(attempt));
}

void InvariantChecker::setKeyWithdrawn(bool withdrawn)
{
    const std::lock_guard lock(m_mutex);
    setSpan(m_keyWithdrawnSpans, withdrawn);
}

void InvariantChecker::setZoneOut(const std::set<std::size_t> &servers, bool out)
{
    const std::lock_guard lock(m_mutex);
    m_zoneServers = servers;
    setSpan(m_zoneOutSpans, out);
}

void InvariantChecker::setDisturbed(std::size_t router, bool disturbed)
{
    const std::lock_guard lock(m_mutex);
    setSpan(m_disturbedSpans[router], disturbed);
}

void InvariantChecker::addViolation(const std::string &violation)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(violation);
}

std::size_t InvariantChecker::attemptCount()
{
    const std::lock_guard lock(m_mutex);
    return m_attempts.size();
}

std::size_t InvariantChecker::answeredCount()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_attempts.begin(), m_attempts.end(),
                          [](const Attempt &attempt) { return attempt.status == 200; }));
}

bool InvariantChecker::isUndisturbed(std::size_t router, TimePoint from, TimePoint to) const
{
    const auto found = m_disturbedSpans.find(router);
    return found == m_disturbedSpans.end()
           || std::none_of(found->second.begin(), found->second.end(), [&](const Span &span) {
                  return span.begin < to && (span.end == TimePoint::max() || span.end > from);
              });
}

std::vector<std::string> InvariantChecker::check()
{
    const std::lock_guard lock(m_mutex);
    const std::vector<Run> none;
    for (const Attempt &attempt : m_attempts) {
        const auto runs = m_runs.find(attempt.id);
        checkAttempt(attempt, runs == m_runs.end() ? none : runs->second);
        checkAnswer(attempt);
    }
    return m_violations;
}

void InvariantChecker::checkAttempt(const Attempt &attempt, const std::vector<Run> &runs)
{
    if (attempt.kind == RequestKind::Booking && runs.size() > 1)
        m_violations.push_back("a booking ran twice: " + attempt.id);
    if (attempt.kind == RequestKind::Booking && reportsNotRun(attempt.status) && !runs.empty())
        m_violations.push_back("a booking ran although it was refused as not run: " + attempt.id);
    for (const Run &run : runs) {
        if (attempt.revocableKey && isPastLimit(m_keyWithdrawnSpans, run.at, revocationLimit)
            && isPastLimit(m_keyWithdrawnSpans, attempt.sentAt, revocationLimit))
            m_violations.push_back("a request ran with a withdrawn key: " + attempt.id);
        const bool upToDate
                = isUndisturbed(attempt.router, run.at - recoveryTime - evacuationLimit, run.at);
        if (upToDate && m_zoneServers.contains(run.server)
            && isPastLimit(m_zoneOutSpans, run.at, evacuationLimit))
            m_violations.push_back("a request ran in a zone that is out of service: " + attempt.id);
    }
    const bool undisturbed
            = isUndisturbed(attempt.router, attempt.sentAt - recoveryTime, attempt.endedAt);
    if (undisturbed && attempt.status == 0 && !runs.empty() && runs.back().answerSent)
        m_violations.push_back("an answer was lost: " + attempt.id);
    if (undisturbed && attempt.endedAt - attempt.sentAt > deadline + deadlineTolerance)
        m_violations.push_back("a request ended too long after its deadline: " + attempt.id);
}

void InvariantChecker::checkAnswer(const Attempt &attempt)
{
    const std::string expected = expectedBody(attempt.kind, attempt.id);
    if (attempt.status == 200 && attempt.complete && attempt.body != expected)
        m_violations.push_back("an answer differs from the server's: " + attempt.id);
    if (attempt.kind == RequestKind::Stream && attempt.status == 200
        && !expected.starts_with(attempt.body))
        m_violations.push_back("a stream has missing, repeated or foreign events: " + attempt.id);
}

} // namespace bilberry::soak
