#ifndef BILBERRY_STORE_STOREERROR_H
#define BILBERRY_STORE_STOREERROR_H

#include "bilberry/base/result.h"

namespace bilberry::store {

/// Errors of calls to the platform's store.
enum class StoreErrc {
    NotFound = 1,
    Conflict,       ///< the object already exists or has another version
    RateLimited,    ///< the platform rejected the call because of its rate limit; it had no effect
    Unavailable,    ///< the platform can't be reached or failed; the call had no effect
    OutcomeUnknown, ///< a write may or may not have taken effect
    Malformed,      ///< the response can't be parsed
    TooLarge,       ///< the value exceeds the platform's size limit
    CallBudgetExhausted, ///< this process's call budget is used up; the call was not sent
    NotChanged,          ///< a watch ended without a change
    HistoryExpired,      ///< the changes since the known revision are no longer kept
};

std::error_code make_error_code(StoreErrc error);

} // namespace bilberry::store

template <>
struct std::is_error_code_enum<bilberry::store::StoreErrc> : std::true_type
{
};

#endif
