#include "bilberry/admin/adminclient.h"

#include "bilberry/http/boundedparser.h"
#include "bilberry/http/messagereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace bilberry::admin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t maxResponseSize = 64U << 20U;

} // namespace

asio::awaitable<Result<AdminResponse>> callAdmin(AdminEndpoint endpoint, std::string path,
                                                 AdminRequest request, Duration timeout)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        co_return std::error_code(error);
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port),
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::error_code(error);
    http::request<http::string_body> message(http::string_to_verb(request.method), path, 11);
    message.set(http::field::host, endpoint.address);
    message.keep_alive(false);
    message.body() = std::move(request.body);
    message.prepare_payload();
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::error_code(error);
    beast::flat_buffer buffer;
    std::optional<bilberry::http::BoundedResponseParser> parser;
    error = co_await bilberry::http::readResponse(stream, buffer, parser, maxResponseSize);
    if (error)
        co_return std::error_code(error);
    auto response = parser->release();
    co_return AdminResponse{response.result_int(), std::move(response.body()),
                            std::string(response[http::field::content_type])};
}

} // namespace bilberry::admin
