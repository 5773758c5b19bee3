#include "bilberry/store/httptransport.h"

#include "bilberry/http/boundedparser.h"
#include "bilberry/http/messagereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

namespace bilberry::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Stream = beast::tcp_stream;
using HttpRequest = http::request<http::string_body>;

constexpr std::size_t maxIdleConnections = 8;
constexpr std::size_t maxResponseBytes = 64U << 20U;
/// Calls that the server may hold back for longer tell nothing of its usual response time.
constexpr Duration maxMeasuredWait = std::chrono::milliseconds(10);

/// @return true if the idle connection can be reused: it has no unread data and is not closed
bool isOpen(Stream &stream)
{
    boost::system::error_code error;
    char byte = 0;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

/// Estimates after which time without a response a connection counts as silent, as TCP estimates
/// its retransmission timeout.
class ResponseTimeEstimate
{
public:
    void record(Duration duration)
    {
        const Duration error = duration - m_mean;
        m_mean += error / meanDivisor;
        m_deviation += (std::chrono::abs(error) - m_deviation) / deviationDivisor;
    }

    Duration silenceLimit() const
    {
        return std::max<Duration>(minSilenceLimit, m_mean + deviationFactor * m_deviation);
    }

private:
    static constexpr int meanDivisor = 8;
    static constexpr int deviationDivisor = 4;
    static constexpr int deviationFactor = 4;
    /// Above the pauses of a process that has a fraction of a core.
    static constexpr Duration minSilenceLimit = std::chrono::milliseconds(200);

    Duration m_mean{};
    Duration m_deviation{};
};

HttpRequest toRequest(const HttpCall &call, const std::string &host)
{
    HttpRequest request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, host);
    for (const auto &[name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

std::string lowerCase(std::string_view text)
{
    std::string lower;
    for (const char c : text)
        lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
    return lower;
}

} // namespace

struct HttpTransport::State
{
    struct ExchangeResult
    {
        Result<HttpResponse> response = StoreErrc::Unavailable;
        bool keepAlive = false;
    };

    struct IdleConnection
    {
        std::unique_ptr<Stream> stream;
        TimePoint since{};
    };

    asio::awaitable<Result<HttpResponse>> call(HttpCall call, Duration limit)
    {
        const HttpRequest request = toRequest(call, address);
        const TimePoint deadline = Clock::now() + limit;
        for (;;) {
            const TimePoint startedAt = Clock::now();
            std::unique_ptr<Stream> stream = takeIdleConnection();
            // An idle connection may be closed at the moment at which it is reused, or be silent.
            const bool mayRepeat = stream && call.effect == CallEffect::Read;
            if (!stream)
                stream = co_await connect(deadline);
            if (!stream)
                co_return StoreErrc::Unavailable;
            const TimePoint silentAt
                    = mayRepeat ? startedAt + call.wait + responseTime.silenceLimit() : deadline;
            stream->expires_at(std::min(silentAt, deadline));
            ExchangeResult result = co_await exchange(*stream, request, call.effect);
            const TimePoint endedAt = Clock::now();
            if (result.response && call.wait <= maxMeasuredWait)
                responseTime.record(endedAt - startedAt);
            if (result.keepAlive && idleConnections.size() < maxIdleConnections)
                idleConnections.push_back({std::move(stream), endedAt});
            if (!result.response && endedAt >= silentAt)
                closeIdleSince(startedAt);
            const bool isTimeLeft = endedAt + call.wait < deadline;
            if (result.response || !mayRepeat || !isTimeLeft)
                co_return std::move(result.response);
        }
    }

    /// @return a connection that the server has not closed, or null
    std::unique_ptr<Stream> takeIdleConnection()
    {
        while (!idleConnections.empty()) {
            std::unique_ptr<Stream> stream = std::move(idleConnections.back().stream);
            idleConnections.pop_back();
            if (isOpen(*stream))
                return stream;
        }
        return nullptr;
    }

    /// Closes the connections that have been idle since before a point in time.
    void closeIdleSince(TimePoint time)
    {
        std::erase_if(idleConnections,
                      [&](const IdleConnection &idle) { return idle.since < time; });
    }

    /// @return a new connection, or null if it can't be opened
    asio::awaitable<std::unique_ptr<Stream>> connect(TimePoint deadline)
    {
        auto stream = std::make_unique<Stream>(context);
        stream->expires_at(deadline);
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address, error);
        if (error)
            co_return nullptr;
        co_await stream->async_connect(asio::ip::tcp::endpoint(ip, port),
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return nullptr;
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        co_return stream;
    }

    static asio::awaitable<ExchangeResult> exchange(Stream &stream, const HttpRequest &request,
                                                    CallEffect effect)
    {
        ExchangeResult result;
        result.response
                = effect == CallEffect::Write ? StoreErrc::OutcomeUnknown : StoreErrc::Unavailable;
        boost::system::error_code error;
        co_await http::async_write(stream, request,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return result;
        beast::flat_buffer buffer;
        std::optional<bilberry::http::BoundedResponseParser> parser;
        error = co_await bilberry::http::readResponse(stream, buffer, parser, maxResponseBytes);
        if (error)
            co_return result;
        auto message = parser->release();
        // Bytes after the response belong to no request.
        result.keepAlive = message.keep_alive() && buffer.size() == 0;
        HttpResponse response;
        response.status = message.result_int();
        response.entityTag = std::string(message[http::field::etag]);
        response.body = std::move(message.body());
        for (const auto &field : message)
            response.headers[lowerCase(field.name_string())] = std::string(field.value());
        result.response = std::move(response);
        co_return result;
    }

    asio::io_context &context;
    std::string address;
    std::uint16_t port;
    std::vector<IdleConnection> idleConnections; ///< the last used ones at the end
    ResponseTimeEstimate responseTime;
};

HttpTransport::HttpTransport(asio::io_context &context, std::string address, std::uint16_t port)
    : m_state(new State{context, std::move(address), port, {}, {}})
{
}

HttpTransport::~HttpTransport() = default;

asio::awaitable<Result<HttpResponse>> HttpTransport::call(HttpCall call, Duration limit)
{
    const std::shared_ptr<State> state = m_state;
    co_return co_await state->call(std::move(call), limit);
}

std::string encodePath(const std::string &name)
{
    static constexpr char hexDigits[] = "0123456789ABCDEF";
    std::string path;
    for (const char c : name) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '/') {
            path.push_back(c);
        } else {
            path.push_back('%');
            path.push_back(hexDigits[byte >> 4]);
            path.push_back(hexDigits[byte & 0x0f]);
        }
    }
    return path;
}

} // namespace bilberry::store
