#ifndef BILBERRY_DIRECT_SERVERCONNECTIONS_H
#define BILBERRY_DIRECT_SERVERCONNECTIONS_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/base/time.h"
#include "bilberry/model/trafficplan.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace bilberry::direct {

/// A connection to one run of a server process; carries one request at a time.
struct ServerConnection
{
    /// @param openCount counts the connections that exist
    ServerConnection(boost::asio::io_context &context, std::shared_ptr<std::size_t> openCount)
        : socket(context), m_openCount(std::move(openCount))
    {
        ++*m_openCount;
    }
    ~ServerConnection() { --*m_openCount; }
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::uint64_t startedAtMs = 0; ///< start time of the server process, which identifies the run
    TimePoint releasedAt{};        ///< when its last response was complete
    TimePoint expiresAt{};
    Duration keepAliveTimeout = std::chrono::seconds(3);
    bool hasCarriedRequest = false; ///< an earlier one, whose answer may be repeated

private:
    std::shared_ptr<std::size_t> m_openCount;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// Opens connections to servers and keeps idle ones for reuse.
class ServerConnections
{
public:
    /// Receive buffer in the kernel, which takes twice as much for it. The kernel would let it grow
    /// to megabytes.
    static constexpr int receiveBufferBytes = 32 << 10;

    using ConnectHandler
            = std::function<void(ServerConnectionPtr)>; ///< nullptr when the connect failed

    /// @param memory account of the process
    ServerConnections(boost::asio::io_context &context, Duration connectTimeout,
                      std::shared_ptr<MemoryAccount> memory)
        : m_context(context), m_connectTimeout(connectTimeout), m_memory(std::move(memory))
    {
    }

    /// Takes an idle connection or opens a new one.
    /// @param onConnected called only when nullptr is returned, after the connect has ended
    /// @return an idle connection, or nullptr when a new one is being opened
    ServerConnectionPtr acquire(const DirectServer &server, ConnectHandler onConnected);

    /// Keeps a connection for the next request, unless the server closes it soon.
    void release(const ServerId &server, ServerConnectionPtr connection);

    /// Closes the idle connections to a server.
    void dropIdle(const ServerId &server) { m_idle.erase(server); }

    /// Closes the connections to a server that have been idle since before a point in time: they
    /// may have gone silent together with one that was used since.
    void dropIdleSince(const ServerId &server, TimePoint time);

    /// Closes idle connections that their server is about to close.
    void dropExpired(TimePoint now);

    /// @return a server, nullptr when it is unknown; set by the owner
    std::function<const DirectServer *(const ServerId &)> findServer;

    boost::asio::io_context &context() { return m_context; }
    const std::shared_ptr<MemoryAccount> &memory() const { return m_memory; }
    std::uint64_t openedCount() const { return m_openedCount; }
    /// @return connections that are open or being opened
    std::size_t openCount() const { return *m_openCount; }

private:
    boost::asio::io_context &m_context;
    Duration m_connectTimeout;
    std::shared_ptr<MemoryAccount> m_memory;
    std::uint64_t m_openedCount = 0;
    std::shared_ptr<std::size_t> m_openCount = std::make_shared<std::size_t>(0);
    std::map<ServerId, std::deque<ServerConnectionPtr>> m_idle;
};

} // namespace bilberry::direct

#endif
