#ifndef BILBERRY_WIRE_CODEC_H
#define BILBERRY_WIRE_CODEC_H

#include "bilberry/wire/gossipmessages.h"
#include "bilberry/wire/linkmessages.h"
#include "bilberry/wire/wireerror.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::wire {

/// Incremented with each incompatible change; messages of other versions are rejected.
constexpr std::uint8_t protocolVersion = 3;

/// Maximum size of a frame on a link, in bytes, including the header.
constexpr std::size_t maxFrameSize = 8U << 20U;

/// Maximum size of a datagram, in bytes; below 40 times a common path MTU.
constexpr std::size_t maxDatagramSize = 60000;

/// Size of a frame's header, in bytes: length of the whole frame (4, big endian), protocol version
/// (1) and message type (1).
constexpr std::size_t frameHeaderSize = 6;

/// @return the message as one frame, header and body
std::string encodeFrame(const LinkMessage &message);

/// Splits a byte stream into frames and decodes their messages.
class FrameReader
{
public:
    /// Appends received bytes to the buffer.
    void append(std::string_view bytes);

    /// @return the next message, an empty optional when more bytes are needed, or a WireErrc
    Result<std::optional<LinkMessage>> next();

    /// @return number of received bytes that next() has not consumed yet
    std::size_t bufferedSize() const { return m_buffer.size() - m_start; }
    /// @return memory of the buffer
    std::size_t capacity() const { return m_buffer.capacity(); }

private:
    void discardConsumed();

    std::string m_buffer;
    std::size_t m_start = 0;
};

/// @return protocol version, message type and body as one datagram
std::string encodeDatagram(const GossipMessage &message);

/// @param bytes one whole datagram
/// @return the message, or a WireErrc
Result<GossipMessage> decodeDatagram(std::string_view bytes);

} // namespace bilberry::wire

#endif
