#ifndef BILBERRY_SOAK_PROMISES_H
#define BILBERRY_SOAK_PROMISES_H

#include "bilberry/base/time.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bilberry::soak {

enum class Kind { Booking, Read, Stream };

/// One attempt of a caller, as the caller saw it.
struct Attempt
{
    std::string id;
    Kind kind = Kind::Read;
    std::size_t router = 0;
    bool revocableKey = false; ///< sent with the key that is withdrawn at times
    TimePoint sentAt{};
    TimePoint endedAt{};
    int status = 0;     ///< 0: no answer
    bool whole = false; ///< the answer ended as its framing says
    std::string body;
};

/// A request that a server ran.
struct Run
{
    std::size_t server = 0;
    TimePoint at{};
    bool answerSent = false; ///< the server gave a whole answer over a path without faults
};

/// A span of time; open until `end` is set.
struct Span
{
    TimePoint begin{};
    TimePoint end = TimePoint::max();
};

/// Records what callers and servers see, and finds broken promises.
class Promises
{
public:
    void ran(const std::string &id, Run run);
    void ended(Attempt attempt);

    /// The key is withdrawn from now on, or holds again.
    void keyWithdrawn(bool withdrawn);
    /// The zone of the given servers receives nothing from now on, or takes work again.
    void zoneOut(const std::set<std::size_t> &servers, bool out);
    /// Something is done to a router, its paths or all of the store, from now on or no longer.
    void disturbed(std::size_t router, bool disturbed);
    void broken(const std::string &what);

    /// @return a line for each broken promise; every request has ended
    std::vector<std::string> check();
    std::size_t attempts();
    std::size_t answered();

private:
    bool calm(std::size_t router, TimePoint from, TimePoint to) const;
    void checkAttempt(const Attempt &attempt, const std::vector<Run> &runs);
    void checkAnswer(const Attempt &attempt);

    std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
    std::vector<Attempt> m_attempts;
    std::vector<Span> m_withdrawn;
    std::vector<Span> m_zoneOut;
    std::set<std::size_t> m_zoneServers;
    std::map<std::size_t, std::vector<Span>> m_disturbed;
    std::vector<std::string> m_broken;
};

/// @return the body that servers give for a request
std::string expectedBody(Kind kind, const std::string &id);

constexpr int streamEvents = 6;
/// @return one event of the stream that answers a request
std::string streamEvent(const std::string &id, int number);

} // namespace bilberry::soak

#endif
