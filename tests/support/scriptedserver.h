#ifndef BILBERRY_TESTS_SCRIPTEDSERVER_H
#define BILBERRY_TESTS_SCRIPTEDSERVER_H

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// One request as it was received.
struct ScriptedRequest
{
    std::string head; ///< request line and header fields
    std::string body;

    /// @return the field's value; empty when it is absent
    std::string field(const std::string &name) const;
};

/// How a scripted server answers a request: the bytes to send, and whether it then reads the next
/// request, closes or resets the connection, closes its own side and discards what else it
/// receives, stays silent, sends further bytes again and again until the connection ends, reads
/// nothing until the connection ends, or ends all its connections and accepts no more, as a process
/// that crashes.
struct ScriptedAnswer
{
    enum class Then { KeepOpen, Close, Reset, HalfClose, StaySilent, Repeat, AwaitEnd, Crash };

    std::string bytes;
    Then then = Then::KeepOpen;
    std::string repeated{};                  ///< with Then::Repeat
    std::chrono::milliseconds repeatPause{}; ///< before each repetition
};

/// How much of a request a scripted server reads before it answers.
struct ScriptedReading
{
    std::size_t bodyBytes = std::numeric_limits<std::size_t>::max(); ///< at most
    /// Lets the connections have the small buffers of a link between machines; on loopback, a
    /// connection holds megabytes.
    bool smallBuffers = false;
};

/// A server on loopback that answers with the exact bytes that a test's script returns.
class ScriptedServer
{
public:
    using Script = std::function<ScriptedAnswer(const ScriptedRequest &)>;

    explicit ScriptedServer(Script script, ScriptedReading reading = {});
    ~ScriptedServer();

    std::uint16_t port() const { return m_port; }
    std::vector<ScriptedRequest> requests() const;
    /// @return number of connections that ended or received data while the server stayed silent, or
    ///         ended while it repeated bytes or awaited their end
    int abandoned() const { return m_abandoned; }
    bool crashed() const { return m_crashed; }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket &socket);
    void awaitEnd(boost::asio::ip::tcp::socket &socket);
    void crash();

    Script m_script;
    ScriptedReading m_reading;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    mutable std::mutex m_mutex;
    std::vector<ScriptedRequest> m_requests;
    std::list<boost::asio::ip::tcp::socket> m_sockets;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_abandoned = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_crashed = false;
    std::thread m_acceptThread;
};

} // namespace bilberry::tests

#endif
