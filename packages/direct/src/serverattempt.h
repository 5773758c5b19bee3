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
enum class AttemptResult {
    Complete,      ///< the whole answer was received
    ConnectFailed, ///< no connection; nothing was sent
    NothingSent,   ///< the connection broke before the first byte was sent
    Broken,        ///< the connection ended early or carried what is no answer
};

/// What an attempt tells the request it belongs to.
struct AttemptHooks
{
    std::function<void()> onConnected;
    std::function<void(const ResponseHeader &)> onHeader;
    std::function<void(std::string &&)> onBody;
    std::function<void(AttemptResult)> onEnd; ///< told once, last; not after cancel()
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

    void sendRequest();
    void startRead();
    void parseBuffer();
    void handleEof();
    bool handleHeader();
    void deliverBody();
    void handleMessageEnd();
    void finish(AttemptResult end);
    void resetParser();

    ServerConnections &m_connections;
    ServerId m_server;
    std::string m_requestIdHeader;
    std::string m_requestId;
    bool m_expectsBody;
    std::string m_requestBytes;
    AttemptHooks m_hooks;
    ServerConnectionPtr m_connection;
    std::optional<Parser> m_parser;
    bool m_headerHandled = false;
    bool m_idMismatch = false; ///< the message being read answers another request
    bool m_requestWritten = false;
    bool m_anyByteSent = false;
    bool m_finished = false;
    bool m_isPaused = false;
    bool m_isReading = false;
};

} // namespace bilberry::direct

#endif
