#ifndef BILBERRY_ROUTER_CLAIMEVENTS_H
#define BILBERRY_ROUTER_CLAIMEVENTS_H

#include "bilberry/decision/fairqueue.h"

#include <string>
#include <variant>

/// Commands and replies exchanged between RouterCore and ClaimManager.
namespace bilberry::router {

/// Creates the claim of a request that may not be repeated.
struct OpenClaim
{
    decision::RequestId request = 0;
    std::string name; ///< object name, the same for every repeat of the request
};

/// Deletes the claim of a request that did not run, so that a repeat may run.
struct ReleaseClaim
{
    decision::RequestId request = 0;
};

/// Marks the claim as finished. The object stays, so that repeats are refused with its state.
struct FinishClaim
{
    decision::RequestId request = 0;
    std::uint16_t status = 0; ///< HTTP status of the answer; 0 when the outcome is unknown
};

using ClaimCommand = std::variant<OpenClaim, ReleaseClaim, FinishClaim>;

enum class ClaimResult {
    Held,    ///< the claim was created by this request
    Refused, ///< the claim could not be created; nothing ran
    Taken    ///< an earlier request with the same key has the claim
};

/// Result of OpenClaim.
struct OpenClaimReply
{
    decision::RequestId request = 0;
    ClaimResult result = ClaimResult::Refused;
    std::string detail; ///< state of the existing claim when the result is Taken
};

} // namespace bilberry::router

#endif
