#include "bilberry/decision/serverchoice.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry::decision {

namespace {

const char *describe(int code)
{
    switch (static_cast<ServerChoiceErrc>(code)) {
    case ServerChoiceErrc::NoServer:
        return "no server in the pool may receive requests";
    case ServerChoiceErrc::Overloaded:
        return "the servers of the pool are at their backlog or connection limit";
    case ServerChoiceErrc::OnlyColdServers:
        return "the remaining servers are in a cold start and at their request rate limit";
    }
    return "unknown server choice error";
}

const ErrorCategory category("choice", describe);

} // namespace

std::error_code make_error_code(ServerChoiceErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry::decision
