#ifndef BILBERRY_DIRECT_SERVERATTEMPT_H
#define BILBERRY_DIRECT_SERVERATTEMPT_H

#include "serverconnections.h"

#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bilberry::direct {

using ResponseHeader = boost::beast::http::response_header<>;

/// How an attempt ended.
enum class AttemptEnd {
    Complete,      ///< the whole answer was received
    ConnectFailed, ///< no connection; nothing was sent
    NothingSent,   ///< the connection broke before the first byte was sent
    Broken,        ///< the connection ended early or carried what is no answer
};

/// What an attempt tells the request it belongs to.
struct AttemptHooks
{
    std::function<void()> connected;
    std::function<void(const ResponseHeader &)> head;
    std::function<void(std::string &&)> data;
    std::function<void(AttemptEnd)> ended; ///< told once, last; not after cancel()
};

/// One request sent to one server, and its answer.
class ServerAttempt : public std::enable_shared_from_this<ServerAttempt>
{
public:
    /// @param requestIdField header by which an answer names its request
    ServerAttempt(ServerConnections &connections, ServerId server, std::string requestIdField,
                  std::string requestId, bool expectsBody);

    /// @param bytes the whole request as sent
    void start(std::string bytes, AttemptHooks hooks);

    /// Closes the connection, so that the server stops its work. No hook is called any more.
    void cancel();

    /// Stops or goes on reading, so that a slow caller costs bounded memory.
    void setPaused(bool paused);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void write();
    void read();
    void parse();
    void parseEnd();
    bool takeHead();
    void takeData();
    void messageDone();
    void finish(AttemptEnd end);
    void resetParser();

    ServerConnections &m_connections;
    ServerId m_server;
    std::string m_requestIdField;
    std::string m_requestId;
    bool m_expectsBody;
    std::string m_bytes;
    AttemptHooks m_hooks;
    ServerConnectionPtr m_connection;
    std::optional<Parser> m_parser;
    bool m_headTaken = false;
    bool m_foreign = false; ///< the message being read answers another request
    bool m_written = false;
    bool m_anySent = false;
    bool m_over = false;
    bool m_paused = false;
    bool m_reading = false;
};

} // namespace bilberry::direct

#endif
