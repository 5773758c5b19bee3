#ifndef BILBERRY_STORE_STOREERROR_H
#define BILBERRY_STORE_STOREERROR_H

#include "bilberry/base/result.h"

namespace bilberry::store {

/// How a call to the platform's service fails.
enum class StoreErrc {
    NotFound = 1,
    Conflict,            ///< the object exists already or has another version
    RateLimited,         ///< the platform asks for fewer calls; nothing happened
    Unavailable,         ///< the platform could not be reached or is down; nothing happened
    OutcomeUnknown,      ///< a write may or may not have taken effect
    Malformed,           ///< the answer is not understood
    TooLarge,            ///< the value exceeds the platform's limit
    CallBudgetExhausted, ///< the process's own call budget is spent; nothing was sent
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
