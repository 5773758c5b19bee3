#include "caller/callerconnection.h"

#include "bilberry/base/freestring.h"

#include "guarded.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Upper bound of the limit that the plan sets.
constexpr std::size_t maxHeaderBytes = 64U << 10U;
/// Pipelined bytes from which on reading from the caller stops until the current response ends.
constexpr std::size_t maxPipelinedBytes = 64U << 10U;
/// Time for the rest of a request after the time limit of its header.
constexpr Duration bodyTimeout = std::chrono::seconds(10);
/// Delay between the read of a request and its handler from which on the caller may have left in
/// the meantime.
constexpr Duration maxDispatchDelay = std::chrono::milliseconds(20);
/// Bytes of a response that one write takes at most.
constexpr std::size_t maxWriteBytes = 64U << 10U;
/// Bytes that one read takes at most: of a connection without a long request, and of one with it.
constexpr std::size_t smallReadBytes = 4U << 10U;
constexpr std::size_t largeReadBytes = 16U << 10U;
/// Capacity that the buffer of an idle connection may keep.
constexpr std::size_t idleBufferBytes = 16U << 10U;
/// The same of a buffer for writes.
constexpr std::size_t idleWriteBytes = 4U << 10U;
/// Time for which bytes that arrive after the last response are discarded before the close.
constexpr Duration lingerTimeout = std::chrono::seconds(1);

std::string serializeHeader(const CallerResponseHeader &header)
{
    std::ostringstream text;
    text << header;
    return text.str();
}

/// @return the line in front of a chunk's data
std::string chunkHeader(std::size_t size)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof size> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), size, hexadecimal).ptr;
    return std::string(digits.begin(), end) + "\r\n";
}

bool isBodyless(unsigned status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, const CallerHooks &hooks,
                                   std::shared_ptr<MemoryAccount> memory)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_hooks(hooks)
{
    m_memory.emplace(std::move(memory), &hooks, [this](MemoryUse use, ReleaseCause cause) {
        asio::post(m_socket.get_executor(), [weak = weak_from_this(), use, cause] {
            if (const auto self = weak.lock())
                self->releaseMemory(use, cause);
        });
    });
}

void CallerConnection::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    awaitRequest();
}

void CallerConnection::awaitRequest()
{
    m_idleTimeout = std::max(m_idleTimeout, m_hooks.currentBounds().idleLimit);
    m_idleSince = Clock::now();
    m_isResponding = false;
    m_isReadingRequest = false;
    m_continueSent = false;
    startTimer(m_idleTimeout);
    parseNextRequest();
}

/// A caller that pipelines requests and reads no responses would fill the memory with them.
void CallerConnection::parseNextRequest()
{
    m_awaitsReader = unsentBytes() >= maxUnsentBytes;
    if (!m_awaitsReader && m_buffer.size() > 0) {
        parseBuffer();
        return;
    }
    if (m_buffer.size() == 0 && m_buffer.capacity() > idleBufferBytes)
        m_buffer.shrink_to_fit();
    if (!m_isReading && m_buffer.size() < maxPipelinedBytes)
        startRead();
    reportMemory();
}

void CallerConnection::startRead()
{
    m_isReading = true;
    const std::size_t size
            = m_isReadingRequest && m_isReadAreaFull ? largeReadBytes : smallReadBytes;
    if (m_readArea.size() != size)
        m_readArea = std::vector<char>(size);
    m_socket.async_read_some(
            asio::buffer(m_readArea),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->m_isReading = false;
                self->guard([&] { self->handleRead(error, size); });
            });
}

void CallerConnection::handleRead(boost::system::error_code error, std::size_t size)
{
    if (m_isClosed)
        return;
    if (error) {
        handleDisconnect();
        return;
    }
    if (m_isLingering) {
        startRead();
        return;
    }
    m_isReadAreaFull = size == m_readArea.size();
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(size), asio::buffer(m_readArea, size)));
    if (m_isResponding || m_awaitsReader) {
        // Pipelined requests stay in the buffer; reading detects when the caller disconnects.
        if (m_buffer.size() < maxPipelinedBytes)
            startRead();
    } else {
        parseBuffer();
    }
    if (!m_isClosed)
        reportMemory(size);
}

/// Applies the limits that are in force when the first byte of a request arrives: the connection
/// may have been idle for long.
void CallerConnection::startRequest()
{
    m_bounds = m_hooks.currentBounds();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(
            static_cast<std::uint32_t>(std::min(m_bounds.headBytes, maxHeaderBytes)));
    m_parser->body_limit(m_bounds.bodyBytes);
    m_isReadingRequest = true;
    startTimer(m_bounds.headLimit + bodyTimeout);
}

void CallerConnection::parseBuffer()
{
    if (!m_isReadingRequest)
        startRequest();
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::system::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == http::error::need_more)
            break;
        if (error) {
            reportParseError(error);
            return;
        }
    }
    if (m_parser->is_done()) {
        dispatchRequest();
        return;
    }
    // The parser consumes body bytes at once, but keeps an incomplete chunk header or trailer.
    if (m_buffer.size() > bilberry::http::maxUnparsedBytes) {
        reportParseError(http::error::header_limit);
        return;
    }
    if (m_parser->is_header_done() && !m_continueSent
        && beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_continueSent = true;
        queueWrite("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!m_isReading)
        startRead();
}

void CallerConnection::dispatchRequest()
{
    m_isResponding = true;
    m_isReadingRequest = false;
    m_timer.cancel();
    CallerRequest request = m_parser->release();
    m_parser.reset();
    m_keepAlive = request.keep_alive();
    m_isHeadRequest = request.method() == http::verb::head;
    m_httpVersion = request.version();
    if (!m_isReading && m_buffer.size() < maxPipelinedBytes)
        startRead();
    // The read above detects a connection that is already closed, and its handler runs first: the
    // request of a caller that has disconnected is not forwarded.
    asio::post(m_socket.get_executor(), [self = shared_from_this(), request = std::move(request),
                                         readAt = Clock::now()]() mutable {
        if (Clock::now() - readAt > maxDispatchDelay && self->hasDisconnected())
            self->handleDisconnect();
        self->guard([&] { self->m_hooks.onRequest(self, std::move(request)); });
    });
}

void CallerConnection::reportParseError(boost::system::error_code error)
{
    RequestError requestError = RequestError::Malformed;
    if (error == http::error::header_limit)
        requestError = RequestError::HeadTooLarge;
    else if (error == http::error::body_limit)
        requestError = RequestError::BodyTooLarge;
    refuseUnread(requestError);
}

void CallerConnection::setConnectionHeaders(CallerResponseHeader &header)
{
    if (m_closeAfterResponse)
        m_keepAlive = false;
    header.version(11);
    header.erase(http::field::connection);
    header.erase(http::field::keep_alive);
    if (!m_keepAlive)
        header.set(http::field::connection, "close");
    else if (m_httpVersion < 11)
        header.set(http::field::connection, "keep-alive");
}

void CallerConnection::sendResponse(CallerResponseHeader header, std::string_view body)
{
    if (m_isClosed)
        return;
    setConnectionHeaders(header);
    // A response to HEAD keeps its Content-Length, the length of the omitted body.
    if (!isBodyless(header.result_int()) && !m_isHeadRequest)
        header.set(http::field::content_length, std::to_string(body.size()));
    std::string text = serializeHeader(header);
    if (!m_isHeadRequest)
        text += body;
    queueWrite(text);
    handleResponseEnd();
}

void CallerConnection::beginResponse(CallerResponseHeader header)
{
    if (m_isClosed)
        return;
    m_isChunked = m_httpVersion >= 11 && !isBodyless(header.result_int());
    if (!m_isChunked)
        m_keepAlive = false;
    setConnectionHeaders(header);
    if (m_isChunked)
        header.set(http::field::transfer_encoding, "chunked");
    m_pendingWrite += serializeHeader(header);
}

void CallerConnection::sendBody(std::string_view data)
{
    if (m_isClosed || data.empty() || m_isHeadRequest)
        return;
    if (m_isChunked)
        m_pendingWrite += chunkHeader(data.size());
    m_pendingWrite += data;
    if (m_isChunked)
        m_pendingWrite += "\r\n";
    startWrite();
}

void CallerConnection::finishResponse()
{
    if (m_isClosed)
        return;
    if (m_isChunked && !m_isHeadRequest)
        queueWrite("0\r\n\r\n");
    else
        startWrite();
    handleResponseEnd();
}

void CallerConnection::handleResponseEnd()
{
    onDisconnected = nullptr;
    onWritten = nullptr;
    onShutdown = nullptr;
    m_isChunked = false;
    if (!m_keepAlive || m_closeAfterResponse) {
        m_isResponding = false;
        m_closeAfterResponse = true;
        startLingeringClose();
        return;
    }
    awaitRequest();
}

void CallerConnection::endRequest()
{
    if (m_isClosed)
        return;
    if (const auto hook = std::exchange(onShutdown, nullptr))
        hook();
    else if (m_isReadingRequest)
        refuseUnread(RequestError::Shutdown);
}

void CallerConnection::abort()
{
    if (m_isClosed)
        return;
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void CallerConnection::closeIfIdle(Duration idleTime)
{
    const auto since = idleSince();
    if (m_isClosed || !since || Clock::now() - *since < idleTime)
        return;
    if (!hasUnreadBytes())
        startLingeringClose();
}

void CallerConnection::releaseIfIdle()
{
    if (!m_isClosed && idleSince() && !m_isWriting && !hasUnreadBytes())
        close();
}

bool CallerConnection::hasDisconnected()
{
    if (m_isClosed)
        return true;
    boost::system::error_code error;
    char byte = 0;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

bool CallerConnection::hasUnreadBytes()
{
    boost::system::error_code ignored;
    return m_buffer.size() > 0 || m_socket.available(ignored) > 0;
}

/// Shuts down the sending side once everything is written, and discards bytes that still arrive for
/// a short time: a close with unread bytes would reset the connection, and the caller could lose
/// the response.
void CallerConnection::startLingeringClose()
{
    m_isLingering = true;
    if (m_isWriting) {
        // The caller may never read the rest.
        startTimer(m_bounds.idleLimit);
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    startTimer(lingerTimeout);
    if (!m_isReading)
        startRead();
    reportMemory();
}

void CallerConnection::queueWrite(std::string_view bytes)
{
    m_pendingWrite += bytes;
    startWrite();
}

void CallerConnection::startWrite()
{
    if (m_isWriting || m_pendingWrite.empty()) {
        reportMemory();
        return;
    }
    m_isWriting = true;
    m_writeBuffer = std::move(m_pendingWrite);
    m_pendingWrite.clear();
    m_lastProgressAt = Clock::now();
    const auto recordProgress = [this, written = std::size_t(0)](boost::system::error_code error,
                                                                 std::size_t total) mutable {
        m_lastProgressAt = Clock::now();
        if (!m_isClosed && total > written)
            reportMemory(total - std::exchange(written, total));
        return error ? 0 : maxWriteBytes;
    };
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), recordProgress,
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->m_isWriting = false;
                          // Idle connections must not keep the memory of large responses.
                          if (self->m_writeBuffer.capacity() > idleWriteBytes)
                              freeString(self->m_writeBuffer);
                          self->m_writeBuffer.clear();
                          self->handleWrite(error);
                      });
    reportMemory();
}

void CallerConnection::handleWrite(boost::system::error_code error)
{
    if (m_isClosed)
        return;
    if (error) {
        handleDisconnect();
        return;
    }
    if (!m_pendingWrite.empty())
        startWrite();
    else if (m_isLingering)
        startLingeringClose();
    if (onWritten && !m_isClosed)
        onWritten();
    if (m_awaitsReader && !m_isClosed && !m_isLingering)
        parseNextRequest();
    if (!m_isClosed)
        reportMemory();
}

void CallerConnection::startTimer(Duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_isClosed)
            self->handleTimeout();
    });
}

void CallerConnection::handleTimeout()
{
    if (m_timer.expiry() > Clock::now() || m_isResponding)
        return;
    // A caller that reads slowly gets the rest of its response.
    const Duration stalled = Clock::now() - m_lastProgressAt;
    if (m_isWriting && !m_isReadingRequest && stalled < m_bounds.idleLimit) {
        startTimer(m_bounds.idleLimit - stalled);
        return;
    }
    if (!m_isReadingRequest || m_isLingering) {
        close();
        return;
    }
    refuseUnread(RequestError::SlowSender);
}

/// Refuses a request of which not all bytes have been read.
void CallerConnection::refuseUnread(RequestError error)
{
    m_isResponding = true;
    m_isReadingRequest = false;
    m_keepAlive = false;
    releaseRequest();
    m_hooks.onRequestError(shared_from_this(), error);
}

/// Resets the connection when the handler throws.
void CallerConnection::guard(const std::function<void()> &handler)
{
    runGuarded(handler, [this](const std::string &reason) {
        if (m_hooks.onException)
            m_hooks.onException(reason);
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        handleDisconnect();
    });
}

void CallerConnection::handleDisconnect()
{
    const auto hook = std::exchange(onDisconnected, nullptr);
    close();
    if (hook)
        hook();
}

void CallerConnection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    onWritten = nullptr;
    onShutdown = nullptr;
    boost::system::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    // Whoever still refers to the connection must not hold its memory.
    m_parser.reset();
    m_buffer = beast::flat_buffer();
    freeString(m_pendingWrite);
    m_memory.reset();
    m_hooks.onClosed(shared_from_this());
}

} // namespace bilberry::direct
