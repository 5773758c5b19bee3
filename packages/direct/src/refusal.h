#ifndef BILBERRY_DIRECT_REFUSAL_H
#define BILBERRY_DIRECT_REFUSAL_H

#include "bilberry/base/time.h"

#include <optional>
#include <string>

namespace bilberry::direct {

/// Why the router itself answers a request.
enum class RefusalReason {
    MissingKey,
    UnknownKey,
    UnknownRoute,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    SlowSender,
    NoPlan,       ///< the router has no plan yet
    StalePlan,    ///< the key may have been withdrawn: the plan's newest proof is too old
    Overloaded,   ///< each server would answer too late
    NoServer,     ///< no server may take work
    NotAccepted,  ///< servers refused it without running it
    ServerFailed, ///< it may have run; there is no whole answer
    TimedOut,     ///< it may have run; its time is over
};

/// What the caller is told.
struct Refusal
{
    RefusalReason reason{};
    std::optional<Duration> retryAfter;
    bool operator==(const Refusal &) const = default;
};

/// @return HTTP status; 429, 503 and 408 say that the request has not run
unsigned httpStatus(RefusalReason reason);

/// @return short name for logs and metrics
const char *toText(RefusalReason reason);

/// @return the answer's body, application/problem+json
std::string problemBody(RefusalReason reason);

} // namespace bilberry::direct

#endif
