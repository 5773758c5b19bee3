#ifndef BILBERRY_TESTS_SCRIPTEDSERVER_H
#define BILBERRY_TESTS_SCRIPTEDSERVER_H

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// One request as it arrived.
struct ScriptedRequest
{
    std::string head; ///< first line and fields
    std::string body;

    /// @return a field's value, empty when it is absent
    std::string field(const std::string &name) const;
};

/// What a scripted server does with a request: sends the bytes, and then goes on, closes the
/// connection, resets it, or leaves it silent.
struct ScriptedAnswer
{
    enum class Then { KeepOpen, Close, Reset, StaySilent };

    std::string bytes;
    Then then = Then::KeepOpen;
};

/// A server on loopback whose answers a test decides, byte by byte.
class ScriptedServer
{
public:
    using Script = std::function<ScriptedAnswer(const ScriptedRequest &)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    std::uint16_t port() const { return m_port; }
    std::vector<ScriptedRequest> requests() const;
    /// @return connections whose end the server saw while it was silent
    int abandoned() const { return m_abandoned; }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket &socket);

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    mutable std::mutex m_mutex;
    std::vector<ScriptedRequest> m_requests;
    std::list<boost::asio::ip::tcp::socket> m_sockets;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_abandoned = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_acceptThread;
};

} // namespace bilberry::tests

#endif
