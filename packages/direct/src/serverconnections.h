#ifndef BILBERRY_DIRECT_SERVERCONNECTIONS_H
#define BILBERRY_DIRECT_SERVERCONNECTIONS_H

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

/// A connection to one life of one server; serves one request at a time.
struct ServerConnection
{
    explicit ServerConnection(boost::asio::io_context &context) : socket(context) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::uint64_t startedAtMs = 0; ///< of the server's life
    TimePoint expiresAt{};
    Duration keepAliveTimeout = std::chrono::seconds(3);
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// Kept connections to servers.
class ServerConnections
{
public:
    using ConnectHandler = std::function<void(ServerConnectionPtr)>; ///< nullptr: no connection

    ServerConnections(boost::asio::io_context &context, Duration connectLimit)
        : m_context(context), m_connectTimeout(connectLimit)
    {
    }

    /// Takes a kept connection, or opens one.
    /// @return the kept connection, told at once; otherwise nullptr, and the hook is called later
    ServerConnectionPtr acquire(const DirectServer &server, ConnectHandler opened);

    /// Keeps a connection for the next request.
    void release(const ServerId &server, ServerConnectionPtr connection);

    /// Drops kept connections of a server.
    void dropIdle(const ServerId &server) { m_idle.erase(server); }

    /// Closes connections that the server is about to close.
    void dropExpired(TimePoint now);

    /// Looks a server up; told by the owner.
    std::function<const DirectServer *(const ServerId &)> findServer;

    boost::asio::io_context &context() { return m_context; }
    std::uint64_t openedCount() const { return m_openedCount; }

private:
    boost::asio::io_context &m_context;
    Duration m_connectTimeout;
    std::uint64_t m_openedCount = 0;
    std::map<ServerId, std::deque<ServerConnectionPtr>> m_idle;
};

} // namespace bilberry::direct

#endif
