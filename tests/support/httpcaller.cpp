#include "support/httpcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace bilberry::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

asio::awaitable<void> exchange(beast::tcp_stream &stream, std::uint16_t port, const Call &request,
                               Answer &answer)
{
    const TimePoint start = Clock::now();
    boost::system::error_code error;
    stream.expires_after(request.limit);
    co_await stream.async_connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, "127.0.0.1");
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    answer.firstByte = Clock::now() - start;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    answer.total = Clock::now() - start;
    for (const auto &field : parser.get().base()) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        answer.headers[name] = std::string(field.value());
    }
    answer.body = parser.get().body();
    if (!error)
        answer.status = static_cast<int>(parser.get().result_int());
}

} // namespace

std::string Answer::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

Answer call(std::uint16_t port, const Call &request)
{
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    Answer answer;
    asio::co_spawn(context, exchange(stream, port, request, answer), asio::detached);
    context.run();
    return answer;
}

} // namespace bilberry::tests
