#include "bilberry/store/storeerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry::store {

namespace {

const char *describe(int code)
{
    switch (static_cast<StoreErrc>(code)) {
    case StoreErrc::NotFound:
        return "the object does not exist";
    case StoreErrc::Conflict:
        return "the object already exists or has another version";
    case StoreErrc::RateLimited:
        return "the platform rejected the call because of its rate limit";
    case StoreErrc::Unavailable:
        return "the platform can't be reached or failed";
    case StoreErrc::OutcomeUnknown:
        return "the outcome of the write is unknown";
    case StoreErrc::Malformed:
        return "the platform's response can't be parsed";
    case StoreErrc::TooLarge:
        return "the value exceeds the platform's size limit";
    case StoreErrc::CallBudgetExhausted:
        return "this process's budget of platform calls is used up";
    case StoreErrc::NotChanged:
        return "the object has not changed";
    case StoreErrc::HistoryExpired:
        return "the store no longer keeps the changes since the known revision";
    }
    return "unknown store error code";
}

const ErrorCategory category("platform", describe);

} // namespace

std::error_code make_error_code(StoreErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry::store
