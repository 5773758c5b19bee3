#include "promises.h"

#include <algorithm>

namespace bilberry::soak {

namespace {

// Bounds of the users' deployments.
constexpr Duration revokeLimit = std::chrono::seconds(5);
constexpr Duration evacuationLimit = std::chrono::seconds(5);
/// A router counts as in touch after so long without disturbance.
constexpr Duration contactTime = std::chrono::seconds(3);
/// Deadline that callers send, and how late an answer may be after it.
constexpr Duration deadline = std::chrono::seconds(2);
constexpr Duration lateness = std::chrono::milliseconds(500);

void setSpan(std::vector<Span> &spans, bool open)
{
    const bool isOpen = !spans.empty() && spans.back().end == TimePoint::max();
    if (open && !isOpen)
        spans.push_back({Clock::now()});
    else if (!open && isOpen)
        spans.back().end = Clock::now();
}

/// @return true when the point lies in a span, later than the limit after its begin
bool isLate(const std::vector<Span> &spans, TimePoint at, Duration limit)
{
    return std::any_of(spans.begin(), spans.end(),
                       [&](const Span &span) { return at > span.begin + limit && at < span.end; });
}

bool promisesNoRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string streamEvent(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number)
           + "\n\n";
}

std::string expectedBody(Kind kind, const std::string &id)
{
    if (kind != Kind::Stream)
        return "done " + id;
    std::string body;
    for (int i = 1; i <= streamEvents; ++i)
        body += streamEvent(id, i);
    return body;
}

void Promises::ran(const std::string &id, Run run)
{
    const std::lock_guard lock(m_mutex);
    m_runs[id].push_back(run);
}

void Promises::ended(Attempt attempt)
{
    const std::lock_guard lock(m_mutex);
    m_attempts.push_back(std::move(attempt));
}

void Promises::keyWithdrawn(bool withdrawn)
{
    const std::lock_guard lock(m_mutex);
    setSpan(m_withdrawn, withdrawn);
}

void Promises::zoneOut(const std::set<std::size_t> &servers, bool out)
{
    const std::lock_guard lock(m_mutex);
    m_zoneServers = servers;
    setSpan(m_zoneOut, out);
}

void Promises::disturbed(std::size_t router, bool disturbed)
{
    const std::lock_guard lock(m_mutex);
    setSpan(m_disturbed[router], disturbed);
}

void Promises::broken(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    m_broken.push_back(what);
}

std::size_t Promises::attempts()
{
    const std::lock_guard lock(m_mutex);
    return m_attempts.size();
}

std::size_t Promises::answered()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_attempts.begin(), m_attempts.end(),
                          [](const Attempt &attempt) { return attempt.status == 200; }));
}

bool Promises::calm(std::size_t router, TimePoint from, TimePoint to) const
{
    const auto found = m_disturbed.find(router);
    return found == m_disturbed.end()
           || std::none_of(found->second.begin(), found->second.end(), [&](const Span &span) {
                  return span.begin < to && (span.end == TimePoint::max() || span.end > from);
              });
}

std::vector<std::string> Promises::check()
{
    const std::lock_guard lock(m_mutex);
    const std::vector<Run> none;
    for (const Attempt &attempt : m_attempts) {
        const auto runs = m_runs.find(attempt.id);
        checkAttempt(attempt, runs == m_runs.end() ? none : runs->second);
        checkAnswer(attempt);
    }
    return m_broken;
}

void Promises::checkAttempt(const Attempt &attempt, const std::vector<Run> &runs)
{
    if (attempt.kind == Kind::Booking && runs.size() > 1)
        m_broken.push_back("a booking ran twice: " + attempt.id);
    if (attempt.kind == Kind::Booking && promisesNoRun(attempt.status) && !runs.empty())
        m_broken.push_back("a booking ran and was refused as not run: " + attempt.id);
    for (const Run &run : runs) {
        if (attempt.revocableKey && isLate(m_withdrawn, run.at, revokeLimit)
            && isLate(m_withdrawn, attempt.sentAt, revokeLimit))
            m_broken.push_back("a request with a withdrawn key ran: " + attempt.id);
        const bool inTouch = calm(attempt.router, run.at - contactTime - evacuationLimit, run.at);
        if (inTouch && m_zoneServers.contains(run.server)
            && isLate(m_zoneOut, run.at, evacuationLimit))
            m_broken.push_back("a request reached a zone that is out: " + attempt.id);
    }
    const bool wasCalm = calm(attempt.router, attempt.sentAt - contactTime, attempt.endedAt);
    if (wasCalm && attempt.status == 0 && !runs.empty() && runs.back().answerSent)
        m_broken.push_back("an answer was lost: " + attempt.id);
    if (wasCalm && attempt.endedAt - attempt.sentAt > deadline + lateness)
        m_broken.push_back("a request was held past its deadline: " + attempt.id);
}

void Promises::checkAnswer(const Attempt &attempt)
{
    const std::string expected = expectedBody(attempt.kind, attempt.id);
    if (attempt.status == 200 && attempt.whole && attempt.body != expected)
        m_broken.push_back("an answer is not the server's: " + attempt.id);
    if (attempt.kind == Kind::Stream && attempt.status == 200
        && !expected.starts_with(attempt.body))
        m_broken.push_back("a stream has a gap, a repeat or foreign events: " + attempt.id);
}

} // namespace bilberry::soak
