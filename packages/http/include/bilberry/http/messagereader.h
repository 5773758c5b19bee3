#ifndef BILBERRY_HTTP_MESSAGEREADER_H
#define BILBERRY_HTTP_MESSAGEREADER_H

#include "bilberry/http/boundedparser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace bilberry::http {

enum class MessagePart {
    Header,
    Whole,
};

/// Reads from a stream until a part of a message is parsed. An exception of the parser ends this
/// message only; one that leaves Beast's own read operations ends the event loop.
/// @param buffer bytes that were received and not parsed yet
/// @param maxUnparsed limit of the bytes that the parser doesn't consume; above its header limit
/// @return success; http::error::end_of_stream when the connection ended before the first byte of
///         the message; the stream's or the parser's error
template <bool isRequest>
boost::asio::awaitable<boost::system::error_code>
readMessage(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
            boost::beast::http::basic_parser<isRequest> &parser,
            MessagePart part = MessagePart::Whole, std::size_t maxUnparsed = maxUnparsedBytes);

} // namespace bilberry::http

#endif
