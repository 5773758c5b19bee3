#include "bilberry/store/storeerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry::store {

namespace {

const char *describe(int code)
{
    switch (static_cast<StoreErrc>(code)) {
    case StoreErrc::NotFound:
        return "there is no such object";
    case StoreErrc::Conflict:
        return "the object exists already or has another version";
    case StoreErrc::RateLimited:
        return "the platform limits the call rate";
    case StoreErrc::Unavailable:
        return "the platform is unavailable";
    case StoreErrc::OutcomeUnknown:
        return "the write may or may not have taken effect";
    case StoreErrc::Malformed:
        return "the platform's answer is not understood";
    case StoreErrc::TooLarge:
        return "the value is too large for the platform";
    case StoreErrc::CallBudgetExhausted:
        return "the process's budget of platform calls is spent";
    case StoreErrc::NotChanged:
        return "the object has not changed";
    case StoreErrc::HistoryExpired:
        return "the changes since the known revision are no longer kept";
    }
    return "unknown platform error";
}

const ErrorCategory category("platform", describe);

} // namespace

std::error_code make_error_code(StoreErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry::store
