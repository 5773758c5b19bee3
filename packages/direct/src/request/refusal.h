#ifndef BILBERRY_DIRECT_REFUSAL_H
#define BILBERRY_DIRECT_REFUSAL_H

#include "bilberry/base/time.h"

#include <random>
#include <string>

namespace bilberry::direct {

/// Why the router refuses a request or ends it without a response of a server.
enum class RefusalReason {
    MissingKey,
    UnknownKey,
    UnknownRoute,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    SlowSender,
    MemoryFull,     ///< the router needs the memory that the request takes
    Stopping,       ///< the router stops before the request's deadline
    NoPlan,         ///< the router has not received a plan yet
    StalePlan,      ///< the plan may be outdated, and the key withdrawn
    Overloaded,     ///< each server would respond too late
    NoServer,       ///< no server may receive the request
    CrashesServers, ///< requests like it have crashed servers
    NotAccepted,    ///< servers refused the request without running it
    ServerFailed,   ///< the request may have run; there is no complete response
    TimedOut,       ///< the request may have run; its deadline has passed
};

/// @return HTTP status; 429, 503 and 408 state that the request did not run
unsigned httpStatus(RefusalReason reason);

/// @return short name for logs and metrics
const char *toText(RefusalReason reason);

/// @return body of the response, application/problem+json
std::string problemBody(RefusalReason reason);

/// Random delays for Retry-After, so that refused callers do not return together. They are short
/// enough for a caller to observe them within its remaining time.
/// @param remaining until the caller's deadline; Duration::max() when it is unknown
Duration defaultRetryAfter(Duration remaining, std::mt19937_64 &random);

/// The same for a full pool, which completes work soon: a caller that returns early may still be
/// served in time.
/// @param objective time within which the route's callers expect the first byte
Duration overloadRetryAfter(Duration objective, Duration remaining, std::mt19937_64 &random);

/// @return value of Retry-After, in seconds with a fraction
std::string retryAfterText(Duration delay);

} // namespace bilberry::direct

#endif
