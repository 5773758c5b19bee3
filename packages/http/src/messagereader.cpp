#include "bilberry/http/messagereader.h"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bilberry::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

/// Bytes that the first reads of a message take, so that a connection that sends little holds
/// little.
constexpr std::size_t firstReadBytes = 4U << 10U;

template <bool isRequest>
bool hasParsed(const beast::http::basic_parser<isRequest> &parser, MessagePart part)
{
    return part == MessagePart::Header ? parser.is_header_done() : parser.is_done();
}

/// Parses the received bytes as far as the part reaches.
/// @return the error of a message that can't become valid
template <bool isRequest>
error_code parseReceived(beast::flat_buffer &buffer, beast::http::basic_parser<isRequest> &parser,
                         MessagePart part, std::size_t maxUnparsed)
{
    error_code error;
    try {
        while (buffer.size() > 0 && !error && !hasParsed(parser, part))
            buffer.consume(parser.put(buffer.data(), error));
    } catch (const std::bad_alloc &) {
        return asio::error::no_memory;
    } catch (const std::exception &) {
        return beast::http::error::bad_value;
    }
    if (error == beast::http::error::need_more)
        error = {};
    if (!error && buffer.size() > maxUnparsed && !hasParsed(parser, part))
        return beast::http::error::buffer_overflow;
    return error;
}

} // namespace

template <bool isRequest>
asio::awaitable<error_code> readMessage(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                        beast::http::basic_parser<isRequest> &parser,
                                        MessagePart part, std::size_t maxUnparsed, ReadHook onRead)
{
    parser.eager(part == MessagePart::Whole);
    std::size_t readBytes = firstReadBytes;
    error_code error = parseReceived(buffer, parser, part, maxUnparsed);
    while (!error && !hasParsed(parser, part)) {
        const std::size_t size = co_await stream.async_read_some(
                buffer.prepare(readBytes), asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::eof) {
            error = beast::http::error::end_of_stream;
            if (parser.got_some()) {
                error = {};
                parser.put_eof(error);
            }
            co_return error;
        }
        if (error)
            co_return error;
        buffer.commit(size);
        if (size == readBytes)
            readBytes = maxReadBytes;
        error = parseReceived(buffer, parser, part, maxUnparsed);
        if (!error && onRead && !onRead(size))
            error = asio::error::operation_aborted;
    }
    co_return error;
}

asio::awaitable<error_code> readResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                         std::optional<BoundedResponseParser> &parser,
                                         std::uint64_t maxBodyBytes)
{
    const std::function<void(BoundedResponseParser &)> prepare
            = [maxBodyBytes](BoundedResponseParser &next) { next.body_limit(maxBodyBytes); };
    const error_code error = co_await readResponseHeader(stream, buffer, parser, prepare);
    if (error)
        co_return error;
    co_return co_await readMessage(stream, buffer, *parser);
}

template asio::awaitable<error_code> readMessage(beast::tcp_stream &, beast::flat_buffer &,
                                                 beast::http::basic_parser<true> &, MessagePart,
                                                 std::size_t, ReadHook);
template asio::awaitable<error_code> readMessage(beast::tcp_stream &, beast::flat_buffer &,
                                                 beast::http::basic_parser<false> &, MessagePart,
                                                 std::size_t, ReadHook);

} // namespace bilberry::http
