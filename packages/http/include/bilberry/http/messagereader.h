#ifndef BILBERRY_HTTP_MESSAGEREADER_H
#define BILBERRY_HTTP_MESSAGEREADER_H

#include "bilberry/http/boundedparser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace bilberry::http {

/// Bytes that one read of a message takes at most.
inline constexpr std::size_t maxReadBytes = 16U << 10U;
/// Interim responses that are skipped before a response is given up.
inline constexpr int maxInterimResponses = 32;

enum class MessagePart {
    Header,
    Whole,
};

/// Called after each read of a message.
/// @param size bytes that were read
/// @return false to give up the message with asio::error::operation_aborted
using ReadHook = std::function<bool(std::size_t size)>;

/// Reads from a stream until a part of a message is parsed. An exception of the parser ends this
/// message only; one that leaves Beast's own read operations ends the event loop.
/// @param buffer bytes that were received and not parsed yet
/// @param maxUnparsed limit of the bytes that the parser doesn't consume; above its header limit
/// @param onRead may be unset
/// @return success; http::error::end_of_stream when the connection ended before the first byte of
///         the message; the stream's or the parser's error
template <bool isRequest>
boost::asio::awaitable<boost::system::error_code>
readMessage(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
            boost::beast::http::basic_parser<isRequest> &parser,
            MessagePart part = MessagePart::Whole, std::size_t maxUnparsed = maxUnparsedBytes,
            ReadHook onRead = {});

/// Reads the header of a response, and skips the interim responses before it: taken for the
/// response, they would leave it on the connection, as the answer to the next request.
/// @param parser replaced for each header
/// @param prepare sets the limits of a new parser
/// @return as readMessage(); http::error::bad_status when the interim responses don't end
template <typename Parser>
boost::asio::awaitable<boost::system::error_code>
readResponseHeader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                   std::optional<Parser> &parser, std::function<void(Parser &)> prepare)
{
    constexpr unsigned interimClass = 1;
    constexpr unsigned statusesPerClass = 100;
    for (int skipped = 0; skipped <= maxInterimResponses; ++skipped) {
        parser.emplace();
        prepare(*parser);
        const boost::system::error_code error
                = co_await readMessage(stream, buffer, *parser, MessagePart::Header);
        if (error || parser->get().result_int() / statusesPerClass != interimClass)
            co_return error;
    }
    co_return boost::beast::http::error::bad_status;
}

/// Reads a whole response, and skips the interim ones before it.
/// @param parser has the response after a success
/// @param maxBodyBytes limit of its body
/// @return as readResponseHeader()
boost::asio::awaitable<boost::system::error_code>
readResponse(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
             std::optional<BoundedResponseParser> &parser, std::uint64_t maxBodyBytes);

} // namespace bilberry::http

#endif
