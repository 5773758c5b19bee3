#ifndef BILBERRY_SOAK_INVARIANTCHECKER_H
#define BILBERRY_SOAK_INVARIANTCHECKER_H

#include "bilberry/base/time.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bilberry::soak {

enum class RequestKind { Booking, Read, Stream };

/// One request of a caller and its result as the caller observed it.
struct Attempt
{
    std::string id;
    RequestKind kind = RequestKind::Read;
    std::size_t router = 0;
    bool revocableKey = false; ///< sent with the key that is temporarily withdrawn
    TimePoint sentAt{};
    TimePoint endedAt{};
    int status = 0;        ///< 0: no answer
    bool complete = false; ///< the answer is complete by its framing
    std::string body;
};

/// One execution of a request on a server.
struct Run
{
    std::size_t server = 0;
    TimePoint at{};
    bool answerSent = false; ///< the server sent a complete answer over a path without faults
};

/// A time interval; open until `end` is set.
struct Span
{
    TimePoint begin{};
    TimePoint end = TimePoint::max();
};

/// Records what callers and servers observe, and finds violated invariants.
class InvariantChecker
{
public:
    void recordRun(const std::string &id, Run run);
    void recordAttempt(Attempt attempt);

    /// Marks the revocable key as withdrawn, or as valid again, from now on.
    void setKeyWithdrawn(bool withdrawn);
    /// Marks the zone of the given servers as out of service, or as in service again, from now on.
    void setZoneOut(const std::set<std::size_t> &servers, bool out);
    /// Marks a router as affected by a fault of itself, its paths or the whole store, or as no
    /// longer affected, from now on.
    void setDisturbed(std::size_t router, bool disturbed);
    void addViolation(const std::string &violation);

    /// Checks all invariants. Call it after every request has ended.
    /// @return one line for each violation
    std::vector<std::string> check();
    std::size_t attemptCount();
    std::size_t answeredCount();

private:
    bool isUndisturbed(std::size_t router, TimePoint from, TimePoint to) const;
    void checkAttempt(const Attempt &attempt, const std::vector<Run> &runs);
    void checkAnswer(const Attempt &attempt);

    std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
    std::vector<Attempt> m_attempts;
    std::vector<Span> m_keyWithdrawnSpans;
    std::vector<Span> m_zoneOutSpans;
    std::set<std::size_t> m_zoneServers;
    std::map<std::size_t, std::vector<Span>> m_disturbedSpans;
    std::vector<std::string> m_violations;
};

/// @return body of a server's complete answer to a request
std::string expectedBody(RequestKind kind, const std::string &id);

constexpr int streamEvents = 6;
/// @return one event of the streamed answer to a request
std::string streamEvent(const std::string &id, int number);

} // namespace bilberry::soak

#endif
