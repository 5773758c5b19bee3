#ifndef BILBERRY_DIRECT_CALLERCONNECTION_H
#define BILBERRY_DIRECT_CALLERCONNECTION_H

#include "bilberry/base/time.h"
#include "bilberry/model/trafficplan.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bilberry::direct {

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using CallerResponseHeader = boost::beast::http::response_header<>;

/// Why what a caller sent is no request that can be handled.
enum class RequestError { Malformed, HeadTooLarge, BodyTooLarge, SlowSender };

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/// What a connection tells the router.
struct CallerHooks
{
    std::function<void(const CallerConnectionPtr &, CallerRequest &&)> onRequest;
    std::function<void(const CallerConnectionPtr &, RequestError)> onRequestError;
    std::function<CallerBounds()> currentBounds;
    std::function<void(const CallerConnectionPtr &)> onClosed;
};

/// HTTP/1.1 towards one caller: reads requests one after another, writes their answers, and
/// notices when the caller leaves.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, const CallerHooks &hooks);

    void start();

    /// Hooks of the request being answered; cleared when its answer ends.
    std::function<void()> onDisconnected; ///< the caller left
    std::function<void()> onWritten;      ///< written bytes were taken

    /// Sends a whole answer.
    void sendResponse(CallerResponseHeader header, std::string_view body);

    /// Starts an answer whose body follows in parts.
    void beginResponse(CallerResponseHeader header);
    void sendBody(std::string_view data);
    /// Ends a complete answer.
    void finishResponse();
    /// Cuts the connection, so that the answer does not look complete.
    void abort();

    /// @return bytes that the caller has not taken yet
    std::size_t unsentBytes() const { return m_writeBuffer.size() + m_pendingWrite.size(); }
    /// @return true while a request is being answered or read
    bool isBusy() const { return m_isResponding || m_isReadingRequest; }

    /// @return true when the connection has ended on either side
    bool isClosed() const { return m_isClosed; }

    /// The next answer is the connection's last one.
    void closeAfterResponse() { m_closeAfterResponse = true; }
    /// Closes the connection if no request is on its way.
    void closeIfIdle();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void awaitRequest();
    void startRead();
    void handleRead(boost::system::error_code error, std::size_t size);
    void parseBuffer();
    void dispatchRequest();
    void handleResponseEnd();
    void reportParseError(boost::system::error_code error);
    void queueWrite(std::string_view bytes);
    void startWrite();
    void handleWrite(boost::system::error_code error);
    void startTimer(Duration limit);
    void handleTimeout();
    void startLingeringClose();
    void close();
    void handleDisconnect();
    void setConnectionHeaders(CallerResponseHeader &header);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const CallerHooks &m_hooks;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    CallerBounds m_bounds;
    Duration m_idleTimeout{};
    std::string m_writeBuffer;
    std::string m_pendingWrite;
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isReadingRequest = false; ///< its first byte is here, its last one is not
    bool m_isResponding = false;
    bool m_isHeadRequest = false; ///< the answer has no body: HEAD
    bool m_isChunked = false;
    bool m_keepAlive = true;
    bool m_closeAfterResponse = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
    bool m_continueSent = false;
    unsigned m_httpVersion = 11;
};

} // namespace bilberry::direct

#endif
