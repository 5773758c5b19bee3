#include "callerconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>

#include <sstream>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readSize = 16U << 10U;
/// Pipelined bytes beyond which the caller is not read until its answer has ended.
constexpr std::size_t pipelineLimit = 64U << 10U;
/// Until the rest of a request must be there after its head's time limit.
constexpr Duration bodyLimit = std::chrono::seconds(10);
/// For bytes that arrive after the last answer of a connection.
constexpr Duration lingerLimit = std::chrono::seconds(1);

std::string headText(const AnswerHeader &header)
{
    std::ostringstream text;
    text << header;
    return text.str();
}

bool hasNoBody(unsigned status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, const CallerHooks &hooks)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_hooks(hooks)
{
}

void CallerConnection::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    expectRequest();
}

void CallerConnection::expectRequest()
{
    m_bounds = m_hooks.bounds();
    m_idleLimit = std::max(m_idleLimit, m_bounds.idleLimit);
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_bounds.headBytes));
    m_parser->body_limit(m_bounds.bodyBytes);
    m_answering = false;
    m_readingRequest = false;
    m_continueSent = false;
    armTimer(m_idleLimit);
    if (m_buffer.size() > 0)
        parse();
    else if (!m_isReading)
        read();
}

void CallerConnection::read()
{
    m_isReading = true;
    m_socket.async_read_some(
            m_buffer.prepare(readSize),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->m_isReading = false;
                self->received(error, size);
            });
}

void CallerConnection::received(boost::system::error_code error, std::size_t size)
{
    if (m_closed)
        return;
    m_buffer.commit(size);
    if (error) {
        gone();
        return;
    }
    if (m_lingering) {
        m_buffer.clear();
        read();
        return;
    }
    if (m_answering) {
        // Requests sent ahead wait in the buffer; reading on shows when the caller leaves.
        if (m_buffer.size() < pipelineLimit)
            read();
        return;
    }
    parse();
}

void CallerConnection::parse()
{
    if (!m_readingRequest) {
        m_readingRequest = true;
        armTimer(m_bounds.headLimit + bodyLimit);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::system::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == http::error::need_more)
            break;
        if (error) {
            fault(error);
            return;
        }
    }
    if (m_parser->is_done()) {
        requestRead();
        return;
    }
    if (m_parser->is_header_done() && !m_continueSent
        && beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_continueSent = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!m_isReading)
        read();
}

void CallerConnection::requestRead()
{
    m_answering = true;
    m_readingRequest = false;
    m_timer.cancel();
    CallerMessage message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_headOnly = message.method() == http::verb::head;
    m_version = message.version();
    if (!m_isReading && m_buffer.size() < pipelineLimit)
        read();
    // The end of a connection that is there already is seen by the read above, whose handler runs
    // first: the request of a caller that has left is never sent on.
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), message = std::move(message)]() mutable {
                   self->m_hooks.request(self, std::move(message));
               });
}

void CallerConnection::fault(boost::system::error_code error)
{
    m_answering = true;
    m_readingRequest = false;
    m_keepAlive = false;
    CallerFault fault = CallerFault::Malformed;
    if (error == http::error::header_limit)
        fault = CallerFault::HeadTooLarge;
    else if (error == http::error::body_limit)
        fault = CallerFault::BodyTooLarge;
    m_hooks.fault(shared_from_this(), fault);
}

void CallerConnection::setConnectionFields(AnswerHeader &header)
{
    if (m_lastAnswer)
        m_keepAlive = false;
    header.version(11);
    header.erase(http::field::connection);
    header.erase(http::field::keep_alive);
    if (!m_keepAlive)
        header.set(http::field::connection, "close");
    else if (m_version < 11)
        header.set(http::field::connection, "keep-alive");
}

void CallerConnection::reply(AnswerHeader header, std::string_view body)
{
    if (m_closed)
        return;
    setConnectionFields(header);
    // The answer to HEAD tells the length of the body that it leaves out.
    if (!hasNoBody(header.result_int()) && !m_headOnly)
        header.set(http::field::content_length, std::to_string(body.size()));
    std::string text = headText(header);
    if (!m_headOnly)
        text += body;
    write(text);
    answerEnded();
}

void CallerConnection::begin(AnswerHeader header)
{
    if (m_closed)
        return;
    m_chunked = m_version >= 11 && !hasNoBody(header.result_int());
    if (!m_chunked)
        m_keepAlive = false;
    setConnectionFields(header);
    if (m_chunked)
        header.set(http::field::transfer_encoding, "chunked");
    m_next += headText(header);
}

void CallerConnection::send(std::string_view data)
{
    if (m_closed || data.empty() || m_headOnly)
        return;
    if (m_chunked)
        write(beast::buffers_to_string(http::make_chunk(asio::buffer(data))));
    else
        write(data);
}

void CallerConnection::finish()
{
    if (m_closed)
        return;
    if (m_chunked && !m_headOnly)
        write("0\r\n\r\n");
    else
        flush();
    answerEnded();
}

void CallerConnection::answerEnded()
{
    onGone = nullptr;
    onDrained = nullptr;
    m_chunked = false;
    if (!m_keepAlive || m_lastAnswer) {
        m_answering = false;
        m_lastAnswer = true;
        linger();
        return;
    }
    expectRequest();
}

void CallerConnection::abort()
{
    if (m_closed)
        return;
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void CallerConnection::closeIfIdle()
{
    if (!m_closed && !busy() && !m_lingering)
        linger();
}

/// Closes the sending side once all is written, and drops what still arrives for a moment: a close
/// with unread bytes would reset the connection, and the caller could lose the answer.
void CallerConnection::linger()
{
    m_lingering = true;
    if (m_isWriting)
        return;
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    armTimer(lingerLimit);
    if (!m_isReading)
        read();
}

void CallerConnection::write(std::string_view bytes)
{
    m_next += bytes;
    flush();
}

void CallerConnection::flush()
{
    if (m_isWriting || m_next.empty())
        return;
    m_isWriting = true;
    m_writing = std::move(m_next);
    m_next.clear();
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->m_isWriting = false;
                          self->m_writing.clear();
                          self->written(error);
                      });
}

void CallerConnection::written(boost::system::error_code error)
{
    if (m_closed)
        return;
    if (error) {
        gone();
        return;
    }
    if (!m_next.empty())
        flush();
    else if (m_lingering)
        linger();
    if (onDrained && !m_closed)
        onDrained();
}

void CallerConnection::armTimer(Duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_closed)
            self->timedOut();
    });
}

void CallerConnection::timedOut()
{
    if (m_timer.expiry() > Clock::now() || m_answering)
        return;
    if (!m_readingRequest || m_lingering) {
        close();
        return;
    }
    m_answering = true;
    m_readingRequest = false;
    m_keepAlive = false;
    m_hooks.fault(shared_from_this(), CallerFault::SlowSender);
}

void CallerConnection::gone()
{
    const auto hook = std::exchange(onGone, nullptr);
    close();
    if (hook)
        hook();
}

void CallerConnection::close()
{
    if (std::exchange(m_closed, true))
        return;
    onDrained = nullptr;
    boost::system::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    m_hooks.closed(shared_from_this());
}

} // namespace bilberry::direct
