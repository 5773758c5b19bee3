#include "bilberry/store/httptransport.h"

#include "bilberry/http/boundedparser.h"
#include "bilberry/http/messagereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cctype>
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

/// @return true if the idle connection can be reused: it has no unread data and is not closed
bool isOpen(Stream &stream)
{
    boost::system::error_code error;
    char byte = 0;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

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

} // namespace

struct HttpTransport::State
{
    struct ExchangeResult
    {
        Result<HttpResponse> response = StoreErrc::Unavailable;
        bool keepAlive = false;
    };

    asio::awaitable<Result<HttpResponse>> send(const HttpRequest &request, TimePoint deadline,
                                               CallEffect effect)
    {
        auto stream = co_await acquireConnection(deadline);
        if (!stream)
            co_return StoreErrc::Unavailable;
        stream->expires_at(deadline);
        ExchangeResult result = co_await exchange(*stream, request, effect);
        if (result.keepAlive && idleConnections.size() < maxIdleConnections)
            idleConnections.push_back(std::move(stream));
        co_return std::move(result.response);
    }

    /// Takes an idle connection that the platform has not closed, or opens a new one.
    /// @return the connection, or null if it can't be opened
    asio::awaitable<std::unique_ptr<Stream>> acquireConnection(TimePoint deadline)
    {
        while (!idleConnections.empty()) {
            std::unique_ptr<Stream> stream = std::move(idleConnections.back());
            idleConnections.pop_back();
            if (isOpen(*stream))
                co_return stream;
        }
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
        bilberry::http::BoundedResponseParser parser;
        parser.body_limit(maxResponseBytes);
        error = co_await bilberry::http::readMessage(stream, buffer, parser);
        if (error)
            co_return result;
        auto message = parser.release();
        result.keepAlive = message.keep_alive();
        HttpResponse response;
        response.status = message.result_int();
        response.entityTag = std::string(message[http::field::etag]);
        response.body = std::move(message.body());
        result.response = std::move(response);
        co_return result;
    }

    asio::io_context &context;
    std::string address;
    std::uint16_t port;
    std::vector<std::unique_ptr<Stream>> idleConnections;
};

HttpTransport::HttpTransport(asio::io_context &context, std::string address, std::uint16_t port)
    : m_state(new State{context, std::move(address), port, {}})
{
}

HttpTransport::~HttpTransport() = default;

asio::awaitable<Result<HttpResponse>> HttpTransport::call(HttpCall call, Duration limit)
{
    const std::shared_ptr<State> state = m_state;
    const HttpRequest request = toRequest(call, state->address);
    const TimePoint deadline = Clock::now() + limit;
    bool reused = !state->idleConnections.empty();
    Result<HttpResponse> response = co_await state->send(request, deadline, call.effect);
    // The platform may close an idle connection at the moment at which it is reused.
    while (!response && reused && call.effect == CallEffect::Read && Clock::now() < deadline) {
        reused = !state->idleConnections.empty();
        response = co_await state->send(request, deadline, call.effect);
    }
    co_return response;
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
