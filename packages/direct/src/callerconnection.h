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

using CallerMessage = boost::beast::http::request<boost::beast::http::string_body>;
using AnswerHeader = boost::beast::http::response_header<>;

/// Why what a caller sent is no request that can be handled.
enum class CallerFault { Malformed, HeadTooLarge, BodyTooLarge, SlowSender };

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/// What a connection tells the router.
struct CallerHooks
{
    std::function<void(const CallerConnectionPtr &, CallerMessage &&)> request;
    std::function<void(const CallerConnectionPtr &, CallerFault)> fault;
    std::function<CallerBounds()> bounds;
    std::function<void(const CallerConnectionPtr &)> closed;
};

/// HTTP/1.1 towards one caller: reads requests one after another, writes their answers, and
/// notices when the caller leaves.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, const CallerHooks &hooks);

    void start();

    /// Hooks of the request being answered; cleared when its answer ends.
    std::function<void()> onGone;    ///< the caller left
    std::function<void()> onDrained; ///< written bytes were taken

    /// Sends a whole answer.
    void reply(AnswerHeader header, std::string_view body);

    /// Starts an answer whose body follows in parts.
    void begin(AnswerHeader header);
    void send(std::string_view data);
    /// Ends a complete answer.
    void finish();
    /// Cuts the connection, so that the answer does not look complete.
    void abort();

    /// @return bytes that the caller has not taken yet
    std::size_t unsent() const { return m_writing.size() + m_next.size(); }
    /// @return true while a request is being answered or read
    bool busy() const { return m_answering || m_readingRequest; }

    /// @return true when the connection has ended on either side
    bool isClosed() const { return m_closed; }

    /// The next answer is the connection's last one.
    void closeAfterAnswer() { m_lastAnswer = true; }
    /// Closes the connection if no request is on its way.
    void closeIfIdle();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void expectRequest();
    void read();
    void received(boost::system::error_code error, std::size_t size);
    void parse();
    void requestRead();
    void answerEnded();
    void fault(boost::system::error_code error);
    void write(std::string_view bytes);
    void flush();
    void written(boost::system::error_code error);
    void armTimer(Duration limit);
    void timedOut();
    void linger();
    void close();
    void gone();
    void setConnectionFields(AnswerHeader &header);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const CallerHooks &m_hooks;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    CallerBounds m_bounds;
    Duration m_idleLimit{};
    std::string m_writing;
    std::string m_next;
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_readingRequest = false; ///< its first byte is here, its last one is not
    bool m_answering = false;
    bool m_headOnly = false; ///< the answer has no body: HEAD
    bool m_chunked = false;
    bool m_keepAlive = true;
    bool m_lastAnswer = false;
    bool m_lingering = false;
    bool m_closed = false;
    bool m_continueSent = false;
    unsigned m_version = 11;
};

} // namespace bilberry::direct

#endif
