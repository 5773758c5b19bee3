#include "bilberry/wire/wireerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry::wire {

namespace {

const char *describe(int code)
{
    switch (static_cast<WireErrc>(code)) {
    case WireErrc::Oversized:
        return "message exceeds the size limit";
    case WireErrc::WrongVersion:
        return "protocol version differs from this process's version";
    case WireErrc::UnknownType:
        return "unknown message type";
    case WireErrc::Malformed:
        return "message header or body can't be decoded";
    case WireErrc::TrailingBytes:
        return "trailing bytes after the message";
    }
    return "unknown wire error code";
}

const ErrorCategory category("wire", describe);

} // namespace

std::error_code make_error_code(WireErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry::wire
