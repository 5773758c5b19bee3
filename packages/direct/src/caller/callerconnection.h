#ifndef BILBERRY_DIRECT_CALLERCONNECTION_H
#define BILBERRY_DIRECT_CALLERCONNECTION_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/base/time.h"
#include "bilberry/http/boundedparser.h"
#include "bilberry/model/trafficplan.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberry::direct {

using CallerRequest = bilberry::http::GrowingRequest;
using CallerResponseHeader = boost::beast::http::response_header<>;

/// Why the bytes of a caller can't be handled as a request.
enum class RequestError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    SlowSender,
    Shutdown,
    MemoryFull, ///< the router needs the memory that the request takes
};

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/// Callbacks of a connection to the router.
struct CallerHooks
{
    std::function<void(const CallerConnectionPtr &, CallerRequest &&)> onRequest;
    std::function<void(const CallerConnectionPtr &, RequestError)> onRequestError;
    /// Called with the text of an exception that ends the connection. May be unset.
    std::function<void(const std::string &)> onException;
    std::function<CallerBounds()> currentBounds;
    /// Called when a connection is closed because others need its memory or its place. May be
    /// unset.
    std::function<void(MemoryUse, ReleaseCause)> onMemoryReleased;
    std::function<void(const CallerConnectionPtr &)> onClosed;
};

/// HTTP/1.1 connection of one caller: reads requests one after another, writes their responses, and
/// detects when the caller disconnects.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Bytes that a caller may leave unread before its next request is not started any more.
    static constexpr std::size_t maxUnsentBytes = 256U << 10U;
    /// Receive buffer in the kernel, which takes twice as much for it. The kernel would let it grow
    /// to megabytes.
    static constexpr int receiveBufferBytes = 16 << 10;

    /// @param memory account of the process
    CallerConnection(boost::asio::ip::tcp::socket socket, const CallerHooks &hooks,
                     std::shared_ptr<MemoryAccount> memory);

    void start();

    /// Hooks of the current request; cleared when its response ends.
    std::function<void()> onDisconnected; ///< the caller disconnected
    std::function<void()> onWritten;      ///< a write to the socket completed
    std::function<void()> onShutdown;     ///< the request must end now

    /// Ends the current request with a final response, also one that is still being read.
    void endRequest();

    /// Sends a complete response.
    void sendResponse(CallerResponseHeader header, std::string_view body);

    /// Starts a response whose body is sent in parts with sendBody().
    void beginResponse(CallerResponseHeader header);
    void sendBody(std::string_view data);
    /// Ends a response started with beginResponse().
    void finishResponse();
    /// Resets the connection, so that the response does not look complete.
    void abort();

    /// @return bytes that are not written to the socket yet
    std::size_t unsentBytes() const { return m_writeBuffer.size() + m_pendingWrite.size(); }
    /// @return true while a request is read or its response is sent
    bool isBusy() const { return m_isResponding || m_isReadingRequest; }

    /// @return when the connection was opened or its last response ended; absent while it is busy
    std::optional<TimePoint> idleSince() const
    {
        return isBusy() || m_isLingering ? std::nullopt : std::optional(m_idleSince);
    }

    /// @return true when either side has closed the connection
    bool isClosed() const { return m_isClosed; }

    /// Asks the socket whether the caller has disconnected, which a busy event loop may not have
    /// read yet.
    /// @return true also for a closed connection
    bool hasDisconnected();

    /// Closes the connection after the next response.
    void closeAfterResponse() { m_closeAfterResponse = true; }
    /// Closes the connection if it has been idle for at least a time, and no byte has arrived that
    /// is not read yet.
    void closeIfIdle(Duration idleTime);
    /// Closes the connection at once if it is idle and no byte has arrived that is not read yet.
    void releaseIfIdle();

private:
    using Parser = bilberry::http::BoundedRequestParser;

    void awaitRequest();
    void startRead();
    void startRequest();
    void handleRead(boost::system::error_code error, std::size_t size);
    void parseBuffer();
    void parseNextRequest();
    void dispatchRequest();
    void handleResponseEnd();
    void reportParseError(boost::system::error_code error);
    void refuseUnread(RequestError error);
    void releaseRequest();
    void reportMemory(std::size_t movedBytes = 0);
    MemoryUse memoryUse() const;
    void releaseMemory(MemoryUse use, ReleaseCause cause);
    void queueWrite(std::string_view bytes);
    void startWrite();
    void handleWrite(boost::system::error_code error);
    void startTimer(Duration limit);
    void handleTimeout();
    void startLingeringClose();
    void close();
    void handleDisconnect();
    void guard(const std::function<void()> &handler);
    bool hasUnreadBytes();
    void setConnectionHeaders(CallerResponseHeader &header);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const CallerHooks &m_hooks;
    /// Belongs to the read that is in progress. Bytes go to m_buffer when they have arrived, so
    /// that parsing and reading never share memory.
    std::vector<char> m_readArea;
    bool m_isReadAreaFull = false;      ///< the last read took as much as it could
    boost::beast::flat_buffer m_buffer; ///< received and not parsed yet
    std::optional<Parser> m_parser;
    CallerBounds m_bounds;
    Duration m_idleTimeout{};
    TimePoint m_idleSince{};
    std::string m_writeBuffer;
    std::string m_pendingWrite;
    bool m_isWriting = false;
    TimePoint m_lastProgressAt{}; ///< when the write took bytes last
    bool m_isReading = false;
    bool m_isReadingRequest = false; ///< some but not all bytes of it have arrived
    bool m_isResponding = false;
    bool m_isHeadRequest = false; ///< the response has no body
    bool m_isChunked = false;
    bool m_keepAlive = true;
    bool m_closeAfterResponse = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
    bool m_awaitsReader = false; ///< the next request waits until the caller has read enough
    bool m_continueSent = false;
    unsigned m_httpVersion = 11;
    std::optional<MemoryHolder> m_memory; ///< absent after the close
};

} // namespace bilberry::direct

#endif
