#include "support/scriptedserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <array>

namespace bilberry::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using SegmentSize = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;

/// Of a link between machines.
constexpr int linkSegmentBytes = 1460;
constexpr int linkWindowBytes = 64 << 10;

} // namespace

std::string ScriptedRequest::field(const std::string &name) const
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = head.find(start);
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + start.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

ScriptedServer::ScriptedServer(Script script, ScriptedReading reading)
    : m_script(std::move(script)), m_reading(reading),
      m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_port(m_acceptor.local_endpoint().port())
{
    // Accepted connections inherit both.
    if (reading.smallBuffers) {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(linkWindowBytes));
        m_acceptor.set_option(SegmentSize(linkSegmentBytes));
    }
    m_acceptThread = std::thread([this] { accept(); });
}

ScriptedServer::~ScriptedServer()
{
    m_stopping = true;
    boost::system::error_code ignored;
    // Connects to itself to end the blocking accept.
    tcp::socket wake(m_context);
    wake.connect(tcp::endpoint(asio::ip::address_v4::loopback(), m_port), ignored);
    m_acceptThread.join();
    for (tcp::socket &socket : m_sockets)
        socket.shutdown(tcp::socket::shutdown_both, ignored);
    for (std::thread &thread : m_threads)
        thread.join();
}

std::vector<ScriptedRequest> ScriptedServer::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void ScriptedServer::accept()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = m_acceptor.accept(error);
        if (m_stopping || m_crashed)
            return;
        if (error)
            continue;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(std::move(socket));
        m_threads.emplace_back([this, &accepted = m_sockets.back()] { serve(accepted); });
    }
}

void ScriptedServer::serve(tcp::socket &socket)
{
    boost::system::error_code error;
    std::string buffer;
    for (;;) {
        const std::size_t headSize
                = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error)
            return;
        ScriptedRequest request;
        request.head = buffer.substr(0, headSize);
        buffer.erase(0, headSize);
        const std::string length = request.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        const auto readBody = [&](std::size_t bytes) {
            if (buffer.size() < bytes)
                asio::read(socket, asio::dynamic_buffer(buffer),
                           asio::transfer_at_least(bytes - buffer.size()), error);
        };
        readBody(std::min(size, m_reading.bodyBytes));
        if (error)
            return;
        request.body = buffer.substr(0, std::min(size, m_reading.bodyBytes));
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        const ScriptedAnswer answer = m_script(request);
        asio::write(socket, asio::buffer(answer.bytes), error);
        char byte = 0;
        std::array<char, 4096> discarded{};
        switch (answer.then) {
        case ScriptedAnswer::Then::KeepOpen:
            readBody(size);
            if (error)
                return;
            buffer.erase(0, size);
            continue;
        case ScriptedAnswer::Then::Close:
            socket.shutdown(tcp::socket::shutdown_both, error);
            socket.close(error);
            return;
        case ScriptedAnswer::Then::Reset:
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
            return;
        case ScriptedAnswer::Then::HalfClose:
            socket.shutdown(tcp::socket::shutdown_send, error);
            while (!error)
                socket.read_some(asio::buffer(discarded), error);
            return;
        case ScriptedAnswer::Then::AwaitEnd:
            awaitEnd(socket);
            return;
        case ScriptedAnswer::Then::StaySilent:
            asio::read(socket, asio::buffer(&byte, 1), error);
            m_abandoned += m_stopping ? 0 : 1;
            return;
        case ScriptedAnswer::Then::Repeat:
            while (!error && !m_stopping) {
                std::this_thread::sleep_for(answer.repeatPause);
                asio::write(socket, asio::buffer(answer.repeated), error);
            }
            m_abandoned += m_stopping ? 0 : 1;
            return;
        case ScriptedAnswer::Then::Crash:
            crash();
            return;
        }
    }
}

/// Unlike a read, this notices the end of a connection with unread data.
void ScriptedServer::awaitEnd(tcp::socket &socket)
{
    constexpr int periodMs = 50;
    pollfd waiting{socket.native_handle(), POLLRDHUP, 0};
    while (!m_stopping) {
        if (::poll(&waiting, 1, periodMs) > 0) {
            ++m_abandoned;
            return;
        }
    }
}

void ScriptedServer::crash()
{
    m_crashed = true;
    // Unlike close(), this wakes the threads that block on the sockets.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    boost::system::error_code ignored;
    for (tcp::socket &socket : m_sockets)
        socket.shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace bilberry::tests
