#include "server/serverconnections.h"

#include <boost/asio/steady_timer.hpp>

#include <netinet/tcp.h>

namespace bilberry::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// An idle connection is closed this long before the keep-alive timeout of its server.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(800);
/// Time with unacknowledged bytes after which the path to the server counts as broken.
constexpr int tcpUserTimeoutMs = 3000;
/// Keep-alive probes show within some seconds that the path of an idle connection is broken.
constexpr int keepAliveIdleS = 2;
constexpr int keepAliveIntervalS = 1;
constexpr int keepAliveProbes = 2;

void setOptions(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    socket.set_option(UserTimeout(tcpUserTimeoutMs), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(keepAliveIdleS), ignored);
    socket.set_option(KeepAliveInterval(keepAliveIntervalS), ignored);
    socket.set_option(KeepAliveCount(keepAliveProbes), ignored);
}

/// @return false when there is a byte or the end of the stream to read, which makes an idle
/// connection unusable
bool isUsable(tcp::socket &socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

ServerConnectionPtr ServerConnections::acquire(const DirectServer &server,
                                               ConnectHandler onConnected)
{
    const TimePoint now = Clock::now();
    auto &idle = m_idle[server.id];
    while (!idle.empty()) {
        ServerConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (connection->startedAtMs == server.startedAtMs && now < connection->expiresAt
            && isUsable(connection->socket))
            return connection;
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(server.address, error);
    if (error) {
        asio::post(m_context, [onConnected = std::move(onConnected)] { onConnected(nullptr); });
        return nullptr;
    }
    ++m_openedCount;
    auto connection = std::make_shared<ServerConnection>(m_context, m_openCount);
    connection->startedAtMs = server.startedAtMs;
    const tcp::endpoint endpoint(address, server.port);
    // Takes effect only before the connect.
    boost::system::error_code ignored;
    connection->socket.open(endpoint.protocol(), ignored);
    connection->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes),
                                  ignored);
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_connectTimeout);
    timer->async_wait([connection, timer](boost::system::error_code waitError) {
        boost::system::error_code ignored;
        if (!waitError)
            connection->socket.close(ignored);
    });
    connection->socket.async_connect(endpoint,
                                     [connection, timer, onConnected = std::move(onConnected)](
                                             boost::system::error_code connectError) {
                                         timer->cancel();
                                         if (connectError || !connection->socket.is_open()) {
                                             onConnected(nullptr);
                                             return;
                                         }
                                         setOptions(connection->socket);
                                         onConnected(connection);
                                     });
    return nullptr;
}

void ServerConnections::release(const ServerId &server, ServerConnectionPtr connection)
{
    if (connection->keepAliveTimeout <= keepAliveMargin)
        return;
    // An idle connection needs no buffer.
    connection->buffer = boost::beast::flat_buffer();
    connection->releasedAt = Clock::now();
    connection->expiresAt = connection->releasedAt + connection->keepAliveTimeout - keepAliveMargin;
    m_idle[server].push_back(std::move(connection));
}

void ServerConnections::dropIdleSince(const ServerId &server, TimePoint time)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return;
    std::erase_if(found->second, [&](const ServerConnectionPtr &connection) {
        return connection->releasedAt < time;
    });
}

void ServerConnections::dropExpired(TimePoint now)
{
    for (auto servers = m_idle.begin(); servers != m_idle.end();) {
        auto &idle = servers->second;
        std::erase_if(idle, [&](const ServerConnectionPtr &connection) {
            return now >= connection->expiresAt;
        });
        servers = idle.empty() ? m_idle.erase(servers) : std::next(servers);
    }
}

} // namespace bilberry::direct
