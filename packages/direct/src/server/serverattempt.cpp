#include "server/serverattempt.h"

#include "guarded.h"

#include <boost/asio/write.hpp>

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

void ServerAttempt::start(std::string requestBytes, AttemptHooks hooks)
{
    m_requestBytes = std::move(requestBytes);
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
    if (!m_connection)
        return;
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
    m_connection.reset();
}

void ServerAttempt::setPaused(bool paused)
{
    m_isPaused = paused;
    if (!paused && !m_finished && m_connection && !m_isReading)
        startRead();
}

void ServerAttempt::sendRequest()
{
    m_isSending = true;
    resetParser();
    // The handler keeps the connection alive: a cancelled attempt releases it.
    asio::async_write(m_connection->socket, asio::buffer(m_requestBytes),
                      [self = shared_from_this(), connection = m_connection](
                              boost::system::error_code error, std::size_t sent) {
                          self->m_anyByteSent = self->m_anyByteSent || sent > 0;
                          if (self->m_finished)
                              return;
                          self->m_requestWritten = !error;
                          // An early response may arrive although the server did not read the whole
                          // request.
                          if (error && sent == 0)
                              self->finish(AttemptResult::NothingSent);
                      });
    startRead();
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
    if (m_headerHandled && m_parser->need_eof())
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
        // Bytes after the response belong to no request.
        const bool isReusable = result == AttemptResult::Complete && m_requestWritten
                                && m_parser->keep_alive() && m_connection->buffer.size() == 0;
        m_connection->hasCarriedRequest = true;
        if (isReusable)
            m_connections.release(m_server, m_connection);
        m_connection.reset();
    }
    if (result == AttemptResult::Broken && !m_anyByteSent && !m_headerHandled)
        result = AttemptResult::NothingSent;
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
