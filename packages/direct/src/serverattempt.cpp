#include "serverattempt.h"

#include <boost/asio/write.hpp>

#include <charconv>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readSize = 16U << 10U;
constexpr std::uint32_t headLimit = 64U << 10U;

/// @return the seconds of "timeout=N" in a Keep-Alive header
std::optional<Duration> keepAliveLimit(const ResponseHeader &header)
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
                             std::string requestIdField, std::string requestId, bool expectsBody)
    : m_connections(connections), m_server(std::move(server)),
      m_requestIdField(std::move(requestIdField)), m_requestId(std::move(requestId)),
      m_expectsBody(expectsBody)
{
}

void ServerAttempt::start(std::string bytes, AttemptHooks hooks)
{
    m_bytes = std::move(bytes);
    m_hooks = std::move(hooks);
    const DirectServer *server = m_connections.lookUp(m_server);
    if (!server) {
        asio::post(m_connections.context(),
                   [self = shared_from_this()] { self->finish(AttemptEnd::ConnectFailed); });
        return;
    }
    m_connection = m_connections.acquire(
            *server, [self = shared_from_this()](ServerConnectionPtr connection) {
                if (self->m_over)
                    return;
                if (!connection) {
                    self->finish(AttemptEnd::ConnectFailed);
                    return;
                }
                self->m_connection = std::move(connection);
                self->m_hooks.connected();
                self->write();
            });
    if (m_connection)
        write();
}

void ServerAttempt::cancel()
{
    m_over = true;
    m_hooks = {};
    if (!m_connection)
        return;
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
    m_connection.reset();
}

void ServerAttempt::setPaused(bool paused)
{
    m_paused = paused;
    if (!paused && !m_over && m_connection && !m_reading)
        read();
}

void ServerAttempt::write()
{
    resetParser();
    // The connection is kept by the handler: a cancelled attempt lets go of it.
    asio::async_write(m_connection->socket, asio::buffer(m_bytes),
                      [self = shared_from_this(), connection = m_connection](
                              boost::system::error_code error, std::size_t sent) {
                          self->m_anySent = self->m_anySent || sent > 0;
                          if (self->m_over)
                              return;
                          self->m_written = !error;
                          // An early answer may be there although the rest was not taken.
                          if (error && sent == 0)
                              self->finish(AttemptEnd::NothingSent);
                      });
    read();
}

void ServerAttempt::read()
{
    m_reading = true;
    const ServerConnectionPtr connection = m_connection;
    connection->socket.async_read_some(connection->buffer.prepare(readSize),
                                       [self = shared_from_this(), connection](
                                               boost::system::error_code error, std::size_t size) {
                                           self->m_reading = false;
                                           if (self->m_over)
                                               return;
                                           connection->buffer.commit(size);
                                           if (error == asio::error::eof) {
                                               self->parseEnd();
                                               return;
                                           }
                                           if (error) {
                                               self->finish(AttemptEnd::Broken);
                                               return;
                                           }
                                           self->parse();
                                       });
}

void ServerAttempt::parse()
{
    beast::flat_buffer &buffer = m_connection->buffer;
    while (!m_over && buffer.size() > 0) {
        boost::system::error_code error;
        buffer.consume(m_parser->put(buffer.data(), error));
        if (error && error != http::error::need_more) {
            finish(AttemptEnd::Broken);
            return;
        }
        if (!m_headTaken && m_parser->is_header_done() && !takeHead())
            return;
        takeData();
        if (m_over)
            return;
        if (m_parser->is_done()) {
            messageDone();
            continue;
        }
        if (error == http::error::need_more)
            break;
    }
    if (!m_over && !m_paused && !m_reading)
        read();
}

/// The connection ended in order; an answer without a length ends with it.
void ServerAttempt::parseEnd()
{
    boost::system::error_code error;
    if (m_headTaken && m_parser->need_eof())
        m_parser->put_eof(error);
    takeData();
    if (m_over)
        return;
    const bool whole = m_headTaken && !m_foreign && !error && m_parser->is_done();
    finish(whole ? AttemptEnd::Complete : AttemptEnd::Broken);
}

/// @return false when the attempt is over
bool ServerAttempt::takeHead()
{
    m_headTaken = true;
    const auto &header = m_parser->get().base();
    if (isInformational(header))
        return true;
    const std::string id(header[m_requestIdField]);
    m_foreign = !id.empty() && id != m_requestId;
    if (const auto limit = keepAliveLimit(header))
        m_connection->idleLimit = *limit;
    // Only refusals may come without the request's id: they are made before it is looked at.
    const bool success = header.result_int() / 100 == 2;
    if (id.empty() && success) {
        finish(AttemptEnd::Broken);
        return false;
    }
    if (!m_foreign)
        m_hooks.head(header);
    return !m_over;
}

void ServerAttempt::takeData()
{
    if (!m_headTaken)
        return;
    std::string &body = m_parser->get().body();
    if (body.empty())
        return;
    std::string data = std::move(body);
    body.clear();
    if (!m_foreign && !isInformational(m_parser->get().base()))
        m_hooks.data(std::move(data));
}

void ServerAttempt::messageDone()
{
    // A late second answer to an earlier request, or a 1xx answer, stands before ours.
    if (m_foreign || isInformational(m_parser->get().base())) {
        resetParser();
        return;
    }
    finish(AttemptEnd::Complete);
}

void ServerAttempt::finish(AttemptEnd end)
{
    if (m_over)
        return;
    m_over = true;
    if (m_connection) {
        // Bytes behind the answer belong to no request.
        const bool reusable = end == AttemptEnd::Complete && m_written && m_parser->keep_alive()
                              && m_connection->buffer.size() == 0;
        if (reusable)
            m_connections.keep(m_server, m_connection);
        m_connection.reset();
    }
    if (end == AttemptEnd::Broken && !m_anySent && !m_headTaken)
        end = AttemptEnd::NothingSent;
    const AttemptHooks hooks = std::exchange(m_hooks, {});
    hooks.ended(end);
}

void ServerAttempt::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(headLimit);
    m_parser->body_limit(boost::none);
    m_parser->skip(!m_expectsBody);
    m_headTaken = false;
    m_foreign = false;
}

} // namespace bilberry::direct
