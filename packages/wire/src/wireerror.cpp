#include "bilberry/wire/wireerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry::wire {

namespace {

const char *describe(int code)
{
    switch (static_cast<WireErrc>(code)) {
    case WireErrc::Oversized:
        return "the message is too large";
    case WireErrc::WrongVersion:
        return "the peer speaks another protocol version";
    case WireErrc::UnknownType:
        return "unknown message type";
    case WireErrc::Malformed:
        return "the message does not decode";
    case WireErrc::TrailingBytes:
        return "bytes follow the message";
    }
    return "unknown wire error";
}

const ErrorCategory category("wire", describe);

} // namespace

std::error_code make_error_code(WireErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry::wire
