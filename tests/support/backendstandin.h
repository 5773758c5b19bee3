#ifndef BILBERRY_TESTS_BACKENDSTANDIN_H
#define BILBERRY_TESTS_BACKENDSTANDIN_H

#include "bilberry/base/eventloopthread.h"
#include "bilberry/base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bilberry::tests {

/// One request that a server began to run.
struct JournalEntry
{
    std::string tag; ///< the request's X-Tag
    std::string method;
    TimePoint startedAt{};
    bool completed = false;
    std::uint32_t running = 0; ///< requests that ran with it, itself included
    bool cold = false;         ///< the server was in a cold start
};

/// Stands in for a backend server, on a thread of its own. A request says in its headers what the
/// server does: X-Ms (duration), X-Chunks (parts of the streamed answer), X-Bytes (size of a
/// part), X-Crash (the server crashes while it runs it), X-Truncate (the server breaks the answer
/// off in the middle). The answer repeats X-Tag.
class BackendStandin
{
public:
    /// @param port TCP port on loopback; 0 takes a free one
    explicit BackendStandin(std::uint16_t port = 0);
    ~BackendStandin();

    std::uint16_t port() const;

    void setCold(bool cold);
    void setLeaving(bool leaving);

    /// Cuts all connections, is away for a while and comes back with a new incarnation.
    void crash(Duration away);

    std::vector<JournalEntry> journal() const;
    /// @return times that the request ran
    std::size_t runs(const std::string &tag) const;
    std::uint32_t running() const;
    std::uint32_t maxRunning() const;
    /// @return largest number of requests at once during cold starts
    std::uint32_t maxRunningCold() const;
    std::uint64_t completed() const;
    /// @return sum over time of the running requests, in milliseconds
    double busyMs() const;

private:
    struct State;
    EventLoopThread m_duty; ///< goes last: the state's sockets belong to its event loop
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::tests

#endif
