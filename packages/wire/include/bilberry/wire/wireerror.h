#ifndef BILBERRY_WIRE_WIREERROR_H
#define BILBERRY_WIRE_WIREERROR_H

#include "bilberry/base/result.h"

namespace bilberry::wire {

/// Why bytes are not a message; each of them closes the link that they came on.
enum class WireErrc {
    Oversized = 1, ///< the length exceeds the limit
    WrongVersion,  ///< another protocol version
    UnknownType,   ///< no such message
    Malformed,     ///< the body does not decode
    TrailingBytes, ///< the body is longer than the message
};

std::error_code make_error_code(WireErrc error);

} // namespace bilberry::wire

template <>
struct std::is_error_code_enum<bilberry::wire::WireErrc> : std::true_type
{
};

#endif
