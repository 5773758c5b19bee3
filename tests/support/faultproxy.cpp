#include "support/faultproxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <vector>

namespace bilberry::tests {

namespace asio = boost::asio;

namespace {

using Socket = asio::ip::tcp::socket;

constexpr auto pollPeriod = std::chrono::milliseconds(5);
constexpr std::size_t bufferSize = 64U << 10U;

asio::awaitable<void> pause(asio::io_context &context, Duration duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

struct TcpProxy::State : std::enable_shared_from_this<State>
{
    struct Connection
    {
        Socket client;
        Socket server;
        int generation = 0;

        void close()
        {
            boost::system::error_code ignored;
            client.close(ignored);
            server.close(ignored);
        }
    };

    State(asio::io_context &context, std::uint16_t target)
        : context(context),
          acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          target(asio::ip::address_v4::loopback(), target)
    {
    }

    static asio::awaitable<void> accept(std::shared_ptr<State> self)
    {
        for (;;) {
            boost::system::error_code error;
            Socket client(self->context);
            co_await self->acceptor.async_accept(client,
                                                 asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            if (self->faults.cut)
                continue;
            auto connection = std::make_shared<Connection>(
                    Connection{std::move(client), Socket(self->context), self->generation});
            co_await connection->server.async_connect(
                    self->target, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                continue;
            connection->client.set_option(asio::ip::tcp::no_delay(true), error);
            connection->server.set_option(asio::ip::tcp::no_delay(true), error);
            asio::co_spawn(self->context, forward(self, connection, true), asio::detached);
            asio::co_spawn(self->context, forward(self, connection, false), asio::detached);
            asio::co_spawn(self->context, closeWhenCut(self, connection), asio::detached);
        }
    }

    bool muted(const Connection &connection, bool toServer) const
    {
        return connection.generation < generation || faults.mute
               || (toServer ? faults.muteToServer : faults.muteToClient);
    }

    static asio::awaitable<void> forward(std::shared_ptr<State> self,
                                         std::shared_ptr<Connection> connection, bool toServer)
    {
        Socket &from = toServer ? connection->client : connection->server;
        Socket &to = toServer ? connection->server : connection->client;
        std::vector<char> buffer(bufferSize);
        boost::system::error_code error;
        while (!error) {
            const std::size_t size = co_await from.async_read_some(
                    asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
            if (self->faults.delayMs > 0)
                co_await pause(self->context, std::chrono::milliseconds(self->faults.delayMs));
            while (self->muted(*connection, toServer) && from.is_open())
                co_await pause(self->context, pollPeriod);
            co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        // While the direction is muted the connection stays open, as if half-open.
        while (self->muted(*connection, toServer) && !self->faults.cut)
            co_await pause(self->context, pollPeriod);
        connection->close();
    }

    static asio::awaitable<void> closeWhenCut(std::shared_ptr<State> self,
                                              std::shared_ptr<Connection> connection)
    {
        while (connection->client.is_open() && !self->faults.cut)
            co_await pause(self->context, pollPeriod);
        connection->close();
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
    ProxyFaults faults;
    std::atomic<int> generation = 0; ///< connections of earlier ones are silent
};

TcpProxy::TcpProxy(std::uint16_t target)
    : m_eventLoop("tcp-proxy"), m_state(std::make_shared<State>(m_eventLoop.context(), target))
{
    asio::co_spawn(m_eventLoop.context(), State::accept(m_state), asio::detached);
    m_eventLoop.start();
}

TcpProxy::~TcpProxy()
{
    m_eventLoop.stop();
}

void TcpProxy::silenceOpen()
{
    ++m_state->generation;
}

std::uint16_t TcpProxy::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

ProxyFaults &TcpProxy::faults()
{
    return m_state->faults;
}

struct UdpProxy::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, std::uint16_t target)
        : context(context),
          socket(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0)),
          target(asio::ip::address_v4::loopback(), target)
    {
    }

    static asio::awaitable<void> forward(std::shared_ptr<State> self)
    {
        std::array<char, 65536> datagram{};
        for (;;) {
            boost::system::error_code error;
            asio::ip::udp::endpoint from;
            const std::size_t size = co_await self->socket.async_receive_from(
                    asio::buffer(datagram), from, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (self->faults.cut || self->faults.mute || self->faults.muteToServer)
                continue;
            if (self->faults.delayMs > 0)
                co_await pause(self->context, std::chrono::milliseconds(self->faults.delayMs));
            for (int copy = 0; copy < self->faults.copies; ++copy)
                self->socket.send_to(asio::buffer(datagram.data(), size), self->target, 0, error);
        }
    }

    asio::io_context &context;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint target;
    ProxyFaults faults;
};

UdpProxy::UdpProxy(std::uint16_t target)
    : m_eventLoop("udp-proxy"), m_state(std::make_shared<State>(m_eventLoop.context(), target))
{
    asio::co_spawn(m_eventLoop.context(), State::forward(m_state), asio::detached);
    m_eventLoop.start();
}

UdpProxy::~UdpProxy()
{
    m_eventLoop.stop();
}

std::uint16_t UdpProxy::port() const
{
    return m_state->socket.local_endpoint().port();
}

ProxyFaults &UdpProxy::faults()
{
    return m_state->faults;
}

} // namespace bilberry::tests
