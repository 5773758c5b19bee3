#ifndef BILBERRY_DIRECT_SERVERATTEMPT_H
#define BILBERRY_DIRECT_SERVERATTEMPT_H

#include "server/serverconnections.h"

#include "bilberry/http/boundedparser.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bilberry::direct {

using ResponseHeader = boost::beast::http::response_header<>;

/// How an attempt ended.
enum class AttemptResult {
    Complete,      ///< the whole response was received
    ConnectFailed, ///< no connection; nothing was sent
    NothingSent,   ///< the connection failed before it took the first byte of the request
    Broken,        ///< the connection ended early or the response was invalid
};

/// A request as it is written to a server.
struct ServerRequestBytes
{
    std::string header;
    std::shared_ptr<const std::string> body; ///< shared by all attempts of a request
};

/// Callbacks of an attempt to its request.
struct AttemptHooks
{
    std::function<void()> onConnected; ///< may cancel the attempt before anything is sent
    /// Called with the header of each answer, also of interim ones.
    std::function<void(const ResponseHeader &)> onStatement;
    std::function<void(const ResponseHeader &)> onHeader;
    std::function<void(std::string &&)> onBody;
    /// Called with the reason when the bytes received are no valid response, before onEnd. May be
    /// unset.
    std::function<void(const std::string &)> onInvalid;
    std::function<void(AttemptResult)> onEnd; ///< called once and last; never after cancel()
};

/// Sends one request to one server and receives the response.
class ServerAttempt : public std::enable_shared_from_this<ServerAttempt>
{
public:
    /// @param requestIdHeader name of the response header that has the id of its request
    /// @param expectsBody false when the response has no body, as for HEAD
    ServerAttempt(ServerConnections &connections, ServerId server, std::string requestIdHeader,
                  std::string requestId, bool expectsBody);

    /// Connects, sends the request and reads the response.
    void start(ServerRequestBytes request, AttemptHooks hooks);

    /// Closes the connection, so that the server stops its work. No hook is called afterwards.
    void cancel();

    /// @return false as long as nothing can have reached the server
    bool mayHaveSent() const { return m_upload != Upload::NotStarted; }

    /// @return memory that the response being received takes, also in the kernel while reading from
    ///         the server is paused
    std::size_t heldBytes() const;

    /// @return true when the request was sent on a connection that an earlier one had used
    bool isOnKeptConnection() const { return m_connection && m_connection->hasCarriedRequest; }

    /// Pauses or resumes reading, which bounds the memory used for a slow caller.
    void setPaused(bool paused);

private:
    using Parser = bilberry::http::BoundedResponseParser;

    /// How far the request has been written. A part of it may have reached the server as soon as
    /// the write has started: its handler is called at its end only.
    enum class Upload {
        NotStarted,
        Unfinished,
        Written,
        Failed,
    };

    void sendRequest();
    void handleWritten(boost::system::error_code error, std::size_t sent);
    void closeConnection();
    void limitUpload();
    void startRead();
    void handleRead(boost::system::error_code error);
    void parseBuffer();
    bool isOverLimits() const;
    void handleEof();
    bool handleHeader();
    void deliverBody();
    void handleMessageEnd();
    bool isDiscarding() const;
    void finish(AttemptResult result);
    void finishInvalid(const std::string &reason);
    void resetParser();

    ServerConnections &m_connections;
    ServerId m_server;
    std::string m_requestIdHeader;
    std::string m_requestId;
    bool m_expectsBody;
    ServerRequestBytes m_request;
    AttemptHooks m_hooks;
    ServerConnectionPtr m_connection;
    std::optional<Parser> m_parser;
    std::size_t m_discardedBytes = 0; ///< of responses to other requests and interim ones
    bool m_headerHandled = false;
    bool m_idMismatch = false; ///< the message being read has the id of another request
    Upload m_upload = Upload::NotStarted;
    bool m_wasReset = false; ///< as the write has learned; the read then finds an ordinary end
    /// Runs while the server reads the rest of a request that it has answered.
    std::optional<boost::asio::steady_timer> m_uploadTimer;
    std::optional<MemoryHolder> m_uploadMemory; ///< the same; its caller has the response already
    bool m_finished = false;
    bool m_isPaused = false;
    bool m_isReading = false;
};

} // namespace bilberry::direct

#endif
