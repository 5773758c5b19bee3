#ifndef BILBERRY_WIRE_WIREERROR_H
#define BILBERRY_WIRE_WIREERROR_H

#include "bilberry/base/result.h"

namespace bilberry::wire {

/// Why received bytes are not a valid message. On a link, each of these closes the connection.
enum class WireErrc {
    Oversized = 1, ///< the length exceeds maxFrameSize or maxDatagramSize
    WrongVersion,  ///< the protocol version differs from protocolVersion
    UnknownType,   ///< no message has this type number
    Malformed,     ///< the header or the body can't be decoded
    TrailingBytes, ///< bytes follow the decoded message
};

std::error_code make_error_code(WireErrc error);

} // namespace bilberry::wire

template <>
struct std::is_error_code_enum<bilberry::wire::WireErrc> : std::true_type
{
};

#endif
