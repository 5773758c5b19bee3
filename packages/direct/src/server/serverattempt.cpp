#include "server/serverattempt.h"

#include "guarded.h"

#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBufferBytes = 16U << 10U;
constexpr std::uint32_t maxHeaderBytes = 64U << 10U;
/// Bytes of late responses to earlier requests that are skipped before the attempt fails.
constexpr std::size_t maxDiscardedBytes = 1U << 20U;
/// Time in which a server must read the rest of a request that it has answered.
constexpr Duration uploadRestLimit = std::chrono::seconds(2);

/// @return N of "timeout=N" in the Keep-Alive header, in seconds; absent when there is none
std::optional<Duration> keepAliveTimeout(const ResponseHeader &header)
{
    const std::string value(header[http::field::keep_alive]);
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + at + std::string_view("timeout=").size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/// Closes a connection so that the server notices it at once: an ordinary end would wait behind the
/// bytes that the server has not received yet.
void closePromptly(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    int unacknowledgedBytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledgedBytes) == 0
        && unacknowledgedBytes > 0)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool isInformational(const ResponseHeader &header)
{
    return header.result_int() / 100 == 1;
}

} // namespace

ServerAttempt::ServerAttempt(ServerConnections &connections, ServerId server,
                             std::string requestIdHeader, std::string requestId, bool expectsBody)
    : m_connections(connections), m_server(std::move(server)),
      m_requestIdHeader(std::move(requestIdHeader)), m_requestId(std::move(requestId)),
      m_expectsBody(expectsBody)
{
}

void ServerAttempt::start(ServerRequestBytes request, AttemptHooks hooks)
{
    m_request = std::move(request);
    m_hooks = std::move(hooks);
    const DirectServer *server = m_connections.findServer(m_server);
    if (!server) {
        asio::post(m_connections.context(),
                   [self = shared_from_this()] { self->finish(AttemptResult::ConnectFailed); });
        return;
    }
    m_connection = m_connections.acquire(
            *server, [self = shared_from_this()](ServerConnectionPtr connection) {
                if (self->m_finished)
                    return;
                if (!connection) {
                    self->finish(AttemptResult::ConnectFailed);
                    return;
                }
                self->m_connection = std::move(connection);
                self->m_hooks.onConnected();
                if (!self->m_finished)
                    self->sendRequest();
            });
    if (m_connection)
        sendRequest();
}

void ServerAttempt::cancel()
{
    m_finished = true;
    m_hooks = {};
    closeConnection();
}

/// Closes the connection also when an unfinished write holds it.
void ServerAttempt::closeConnection()
{
    if (!m_connection)
        return;
    closePromptly(m_connection->socket);
    m_connection.reset();
}

void ServerAttempt::setPaused(bool paused)
{
    m_isPaused = paused;
    if (!paused && !m_finished && m_connection && !m_isReading)
        startRead();
}

std::size_t ServerAttempt::heldBytes() const
{
    if (!m_connection)
        return 0;
    // The kernel takes twice as much for the buffer as was asked for.
    const std::size_t unread
            = m_isPaused ? 2 * static_cast<std::size_t>(ServerConnections::receiveBufferBytes) : 0;
    const std::size_t parsed = m_parser ? m_parser->heldBytes() : 0;
    return std::max(m_connection->buffer.capacity(), readBufferBytes) + parsed + unread;
}

void ServerAttempt::sendRequest()
{
    m_upload = Upload::Unfinished;
    resetParser();
    // The handler keeps the connection alive: a cancelled attempt releases it.
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(m_request.header),
                                                  asio::buffer(*m_request.body)};
    asio::async_write(m_connection->socket, bytes,
                      [self = shared_from_this(), connection = m_connection](
                              boost::system::error_code error, std::size_t sent) {
                          self->handleWritten(error, sent);
                      });
    startRead();
}

void ServerAttempt::handleWritten(boost::system::error_code error, std::size_t sent)
{
    m_upload = error ? Upload::Failed : Upload::Written;
    // A server that has closed its side of the connection before gives broken_pipe.
    m_wasReset = error && error != asio::error::broken_pipe;
    if (m_uploadTimer)
        m_uploadTimer->cancel();
    m_uploadMemory.reset();
    // An early response may arrive although the server did not read the whole request.
    if (!m_finished && error && sent == 0)
        finish(AttemptResult::NothingSent);
}

/// Closes the connection unless the server soon reads the rest of the request.
void ServerAttempt::limitUpload()
{
    m_uploadTimer.emplace(m_connections.context(), uploadRestLimit);
    m_uploadTimer->async_wait([self = shared_from_this(),
                               connection = m_connection](boost::system::error_code error) {
        if (!error)
            closePromptly(connection->socket);
    });
    m_uploadMemory.emplace(
            m_connections.memory(), &m_connections,
            [this, connection = std::weak_ptr(m_connection)](MemoryUse, ReleaseCause) {
                asio::post(m_connections.context(), [connection] {
                    if (const auto open = connection.lock())
                        closePromptly(open->socket);
                });
            });
    m_uploadMemory->update(MemoryUse::Receiving, m_request.body->capacity());
}

void ServerAttempt::startRead()
{
    m_isReading = true;
    const ServerConnectionPtr connection = m_connection;
    connection->socket.async_read_some(
            connection->buffer.prepare(readBufferBytes),
            [self = shared_from_this(), connection](boost::system::error_code error,
                                                    std::size_t size) {
                self->m_isReading = false;
                if (self->m_finished)
                    return;
                connection->buffer.commit(size);
                runGuarded([&] { self->handleRead(error); },
                           [&](const std::string &reason) { self->finishInvalid(reason); });
            });
}

void ServerAttempt::handleRead(boost::system::error_code error)
{
    if (error == asio::error::eof)
        handleEof();
    else if (error)
        finish(AttemptResult::Broken);
    else
        parseBuffer();
}

void ServerAttempt::parseBuffer()
{
    beast::flat_buffer &buffer = m_connection->buffer;
    while (!m_finished && buffer.size() > 0) {
        boost::system::error_code error;
        const std::size_t consumed = m_parser->put(buffer.data(), error);
        buffer.consume(consumed);
        m_discardedBytes += isDiscarding() ? consumed : 0;
        if (error && error != http::error::need_more) {
            finishInvalid(error.message());
            return;
        }
        if (isOverLimits()) {
            finishInvalid("the bytes that are no part of the response exceed their limit");
            return;
        }
        if (!m_headerHandled && m_parser->is_header_done() && !handleHeader())
            return;
        deliverBody();
        if (m_finished)
            return;
        if (m_parser->is_done()) {
            handleMessageEnd();
            continue;
        }
        if (error == http::error::need_more)
            break;
    }
    if (!m_finished && !m_isPaused && !m_isReading)
        startRead();
}

/// Bounds the bytes of a server that sends without end.
bool ServerAttempt::isOverLimits() const
{
    return m_discardedBytes > maxDiscardedBytes
           || m_connection->buffer.size() > bilberry::http::maxUnparsedBytes;
}

/// @return true while the message being read isn't the response to this request
bool ServerAttempt::isDiscarding() const
{
    return m_idMismatch || (m_parser->is_header_done() && isInformational(m_parser->get().base()));
}

/// The server closed the connection, which ends a response without a length.
void ServerAttempt::handleEof()
{
    boost::system::error_code error;
    if (m_wasReset)
        error = asio::error::connection_reset;
    else if (m_headerHandled && m_parser->need_eof())
        m_parser->put_eof(error);
    deliverBody();
    if (m_finished)
        return;
    const bool isComplete = m_headerHandled && !m_idMismatch && !error && m_parser->is_done();
    finish(isComplete ? AttemptResult::Complete : AttemptResult::Broken);
}

/// @return false when the attempt has ended
bool ServerAttempt::handleHeader()
{
    m_headerHandled = true;
    const auto &header = m_parser->get().base();
    const std::string id(header[m_requestIdHeader]);
    const bool isOfOther = !id.empty() && id != m_requestId;
    if (!isOfOther && m_hooks.onStatement)
        m_hooks.onStatement(header);
    if (isInformational(header))
        return true;
    m_idMismatch = isOfOther;
    if (const auto limit = keepAliveTimeout(header))
        m_connection->keepAliveTimeout = *limit;
    // Only refusals may lack the request's id: servers send them before they read it. On a kept
    // connection, such a refusal may be a copy of an earlier one.
    const bool success = header.result_int() / 100 == 2;
    if (id.empty() && (success || m_connection->hasCarriedRequest)) {
        finish(AttemptResult::Broken);
        return false;
    }
    if (!m_idMismatch)
        m_hooks.onHeader(header);
    return !m_finished;
}

void ServerAttempt::deliverBody()
{
    if (!m_headerHandled)
        return;
    std::string &body = m_parser->get().body();
    if (body.empty())
        return;
    std::string data = std::move(body);
    body.clear();
    if (!isDiscarding())
        m_hooks.onBody(std::move(data));
}

void ServerAttempt::handleMessageEnd()
{
    // Skips a late second response to an earlier request, or a 1xx response, before the actual one.
    if (isDiscarding()) {
        resetParser();
        return;
    }
    finish(AttemptResult::Complete);
}

void ServerAttempt::finishInvalid(const std::string &reason)
{
    if (!m_finished && m_hooks.onInvalid)
        m_hooks.onInvalid(m_headerHandled ? "body: " + reason : "header: " + reason);
    finish(AttemptResult::Broken);
}

void ServerAttempt::finish(AttemptResult result)
{
    if (m_finished)
        return;
    m_finished = true;
    if (m_connection) {
        const bool isUsable = result == AttemptResult::Complete && m_parser->keep_alive();
        m_connection->hasCarriedRequest = true;
        // Bytes after the response belong to no request.
        if (isUsable && m_upload == Upload::Written && m_connection->buffer.size() == 0)
            m_connections.release(m_server, m_connection);
        else if (result == AttemptResult::Complete && m_upload == Upload::Unfinished)
            limitUpload();
        else
            closeConnection();
        m_connection.reset();
    }
    const AttemptHooks hooks = std::exchange(m_hooks, {});
    hooks.onEnd(result);
}

void ServerAttempt::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(!m_expectsBody);
    m_headerHandled = false;
    m_idMismatch = false;
}

} // namespace bilberry::direct
