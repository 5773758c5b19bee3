#ifndef BILBERRY_TESTS_BACKENDSTANDIN_H
#define BILBERRY_TESTS_BACKENDSTANDIN_H

#include "bilberry/base/eventloopthread.h"
#include "bilberry/base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bilberry::tests {

/// One request that a server started.
struct JournalEntry
{
    std::string tag; ///< the request's X-Tag
    std::string method;
    TimePoint startedAt{};
    bool completed = false;
    std::uint32_t running = 0; ///< requests running at its start, itself included
    bool cold = false;         ///< the server was in a cold start
};

/// Stand-in for a backend server that runs on its own thread. The headers of a request control the
/// server: X-Ms (duration in milliseconds), X-Chunks (number of parts of a streamed answer),
/// X-Bytes (padding of the body or of each part, in bytes), X-Crash (the server crashes while it
/// runs the request), X-Truncate (the server breaks off a streamed answer in the middle). The
/// answer repeats X-Tag.
class BackendStandin
{
public:
    /// @param port TCP port on loopback; 0 picks a free one
    explicit BackendStandin(std::uint16_t port = 0);
    ~BackendStandin();

    std::uint16_t port() const;

    void setCold(bool cold);
    void setLeaving(bool leaving);

    /// Closes all connections and the port, and listens again after `downtime` with a new
    /// incarnation.
    void crash(Duration downtime);

    std::vector<JournalEntry> journal() const;
    /// @return how often a request with the tag was started
    std::size_t runs(const std::string &tag) const;
    std::uint32_t running() const;
    std::uint32_t maxRunning() const;
    /// @return largest number of concurrent requests during cold starts
    std::uint32_t maxRunningCold() const;
    std::uint64_t completed() const;
    /// @return time integral of the number of running requests, in milliseconds
    double busyMs() const;

private:
    struct State;
    EventLoopThread m_eventLoop; ///< destroyed last: the state's sockets belong to its event loop
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::tests

#endif
