#include "support/scriptedserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace bilberry::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string ScriptedRequest::field(const std::string &name) const
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = head.find(start);
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + start.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script)),
      m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_port(m_acceptor.local_endpoint().port()), m_acceptThread([this] { accept(); })
{
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
        if (buffer.size() < size)
            asio::read(socket, asio::dynamic_buffer(buffer),
                       asio::transfer_at_least(size - buffer.size()), error);
        if (error)
            return;
        request.body = buffer.substr(0, size);
        buffer.erase(0, size);
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        const ScriptedAnswer answer = m_script(request);
        asio::write(socket, asio::buffer(answer.bytes), error);
        char byte = 0;
        switch (answer.then) {
        case ScriptedAnswer::Then::KeepOpen:
            continue;
        case ScriptedAnswer::Then::Close:
            socket.shutdown(tcp::socket::shutdown_both, error);
            socket.close(error);
            return;
        case ScriptedAnswer::Then::Reset:
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
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
