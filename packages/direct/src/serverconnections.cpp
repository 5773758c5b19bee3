#include "serverconnections.h"

#include <boost/asio/steady_timer.hpp>

#include <netinet/tcp.h>

namespace bilberry::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A kept connection is given up this much before the server's announced timeout.
constexpr Duration closeMargin = std::chrono::milliseconds(800);
/// Unacknowledged bytes after this time mean that the path to the server is gone.
constexpr int userTimeoutMs = 3000;

void setOptions(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(userTimeoutMs), ignored);
}

/// An idle connection has nothing to read; a byte or an end means that it can't be used.
bool isOpen(tcp::socket &socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

ServerConnectionPtr ServerConnections::acquire(const DirectServer &server, ConnectHandler opened)
{
    const TimePoint now = Clock::now();
    auto &idle = m_idle[server.id];
    while (!idle.empty()) {
        ServerConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (connection->startedAtMs == server.startedAtMs && now < connection->expiresAt
            && isOpen(connection->socket))
            return connection;
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(server.address, error);
    if (error) {
        asio::post(m_context, [opened = std::move(opened)] { opened(nullptr); });
        return nullptr;
    }
    ++m_openedCount;
    auto connection = std::make_shared<ServerConnection>(m_context);
    connection->startedAtMs = server.startedAtMs;
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_connectTimeout);
    timer->async_wait([connection, timer](boost::system::error_code waitError) {
        boost::system::error_code ignored;
        if (!waitError)
            connection->socket.close(ignored);
    });
    connection->socket.async_connect(tcp::endpoint(address, server.port),
                                     [connection, timer, opened = std::move(opened)](
                                             boost::system::error_code connectError) {
                                         timer->cancel();
                                         if (connectError || !connection->socket.is_open()) {
                                             opened(nullptr);
                                             return;
                                         }
                                         setOptions(connection->socket);
                                         opened(connection);
                                     });
    return nullptr;
}

void ServerConnections::release(const ServerId &server, ServerConnectionPtr connection)
{
    if (connection->keepAliveTimeout <= closeMargin)
        return;
    connection->expiresAt = Clock::now() + connection->keepAliveTimeout - closeMargin;
    m_idle[server].push_back(std::move(connection));
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
