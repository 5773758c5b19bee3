#ifndef BILBERRY_ROUTER_CLAIMEVENTS_H
#define BILBERRY_ROUTER_CLAIMEVENTS_H

#include "bilberry/decision/fairqueue.h"

#include <string>
#include <variant>

/// What passes between the router's core and the duty that keeps claims at the platform.
namespace bilberry::router {

/// Creates the claim of a request that may not be repeated.
struct OpenClaim
{
    decision::RequestId request = 0;
    std::string name; ///< object name, the same for each repeat
};

/// Nothing ran: a repeat may run.
struct ReleaseClaim
{
    decision::RequestId request = 0;
};

/// The request ended; the claim stays and tells repeats so.
struct FinishClaim
{
    decision::RequestId request = 0;
    std::uint16_t status = 0; ///< HTTP status of the answer; 0 when the outcome is unknown
};

using ClaimCommand = std::variant<OpenClaim, ReleaseClaim, FinishClaim>;

enum class ClaimResult { Held, Refused, Taken };

/// The end of OpenClaim.
struct OpenClaimReply
{
    decision::RequestId request = 0;
    ClaimResult result = ClaimResult::Refused;
    std::string detail; ///< state of a taken claim
};

} // namespace bilberry::router

#endif
