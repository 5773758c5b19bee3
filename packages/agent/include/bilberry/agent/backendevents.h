#ifndef BILBERRY_AGENT_BACKENDEVENTS_H
#define BILBERRY_AGENT_BACKENDEVENTS_H

#include "bilberry/wire/linkmessages.h"

#include <variant>

/// What passes between the agent's core and the duty that speaks with the backend server.
namespace bilberry::agent {

// To the backend duty.

struct RunRequest
{
    AttemptId attempt = 0;
    std::string method;
    std::string target;
    wire::Headers headers;
    std::string body;
};

struct StopRequest
{
    AttemptId attempt = 0;
};

/// The router took bytes of the answer.
struct CreditRequest
{
    AttemptId attempt = 0;
    std::uint32_t bytes = 0;
};

using BackendCommand = std::variant<RunRequest, StopRequest, CreditRequest>;

// From the backend duty.

struct BackendHead
{
    AttemptId attempt = 0;
    std::uint16_t status = 0;
    wire::Headers headers;
};

struct BackendChunk
{
    AttemptId attempt = 0;
    std::string data;
};

/// How the server ended a request.
enum class BackendOutcome {
    Complete,
    NotSent, ///< no connection to the server: it did not run
    Broken,  ///< the server broke off
    Stopped, ///< ended on the router's behalf
};

struct BackendEnd
{
    AttemptId attempt = 0;
    BackendOutcome outcome = BackendOutcome::Complete;
};

/// The server's load report, or its absence.
struct BackendHealth
{
    bool reachable = false;
    bool gone = false; ///< not reachable: nothing listens on its port, so that it runs nothing
    bool cold = false;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint64_t serverIncarnation = 0; ///< changes when the server restarts
};

using BackendEvent = std::variant<BackendHead, BackendChunk, BackendEnd, BackendHealth>;

} // namespace bilberry::agent

#endif
