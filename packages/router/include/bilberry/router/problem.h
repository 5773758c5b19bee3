#ifndef BILBERRY_ROUTER_PROBLEM_H
#define BILBERRY_ROUTER_PROBLEM_H

#include "bilberry/router/callerevents.h"

#include <string>

namespace bilberry::router {

/// A refusal as a problem document of RFC 9457.
struct Problem
{
    unsigned status = 500;
    std::string type; ///< stable URN
    std::string title;
    std::string body; ///< application/problem+json
};

/// @return the problem document of a refusal
Problem makeProblem(const ReplyRefusal &refusal);

/// @return stable name of a refusal, used in URNs and metrics
const char *toText(RefusalKind kind);

/// @return "not-run" or "unknown"
const char *toText(RequestOutcome outcome);

} // namespace bilberry::router

#endif
