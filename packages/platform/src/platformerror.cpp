#include "bilberry/platform/platformerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry::platform {

namespace {

const char *describe(int code)
{
    switch (static_cast<PlatformErrc>(code)) {
    case PlatformErrc::NotFound:
        return "there is no such object";
    case PlatformErrc::Conflict:
        return "the object exists already or has another version";
    case PlatformErrc::RateLimited:
        return "the platform limits the call rate";
    case PlatformErrc::Unavailable:
        return "the platform is unavailable";
    case PlatformErrc::OutcomeUnknown:
        return "the write may or may not have taken effect";
    case PlatformErrc::Malformed:
        return "the platform's answer is not understood";
    case PlatformErrc::TooLarge:
        return "the value is too large for the platform";
    case PlatformErrc::BudgetSpent:
        return "the process's budget of platform calls is spent";
    case PlatformErrc::NotChanged:
        return "the object has not changed";
    }
    return "unknown platform error";
}

const ErrorCategory category("platform", describe);

} // namespace

std::error_code make_error_code(PlatformErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry::platform
