#ifndef BILBERRY_PLATFORM_PLATFORMERROR_H
#define BILBERRY_PLATFORM_PLATFORMERROR_H

#include "bilberry/base/result.h"

namespace bilberry::platform {

/// How a call to the platform's service fails.
enum class PlatformErrc {
    NotFound = 1,
    Conflict,       ///< the object exists already or has another version
    RateLimited,    ///< the platform asks for fewer calls; nothing happened
    Unavailable,    ///< the platform could not be reached or is down; nothing happened
    OutcomeUnknown, ///< a write may or may not have taken effect
    Malformed,      ///< the answer is not understood
    TooLarge,       ///< the value exceeds the platform's limit
    BudgetSpent,    ///< the process's own call budget is spent; nothing was sent
    NotChanged,     ///< a watch ended without a change
};

std::error_code make_error_code(PlatformErrc error);

} // namespace bilberry::platform

template <>
struct std::is_error_code_enum<bilberry::platform::PlatformErrc> : std::true_type
{
};

#endif
