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

/// Rises with each incompatible change; other versions are refused.
constexpr std::uint8_t protocolVersion = 2;

/// Largest frame on a link, header included, in bytes.
constexpr std::size_t maxFrameSize = 8U << 20U;

/// Largest datagram, in bytes; stays below a common path MTU times forty.
constexpr std::size_t maxDatagramSize = 60000;

/// Length (4 bytes, big endian), protocol version and message type (1 byte each).
constexpr std::size_t frameHeaderSize = 6;

/// @param message any link message
/// @return header and body, ready to send
std::string encodeFrame(const LinkMessage &message);

/// Cuts a byte stream into messages.
class FrameReader
{
public:
    /// Adds received bytes.
    void append(std::string_view bytes);

    /// @return the next message, nothing when more bytes are needed, or a WireErrc
    Result<std::optional<LinkMessage>> next();

    /// @return bytes received and not yet taken out
    std::size_t buffered() const { return m_buffer.size() - m_start; }

private:
    std::string m_buffer;
    std::size_t m_start = 0;
};

/// @param message any gossip message
/// @return version, type and body in one datagram
std::string encodeDatagram(const GossipMessage &message);

/// @param bytes one received datagram
/// @return the message or a WireErrc
Result<GossipMessage> decodeDatagram(std::string_view bytes);

} // namespace bilberry::wire

#endif
