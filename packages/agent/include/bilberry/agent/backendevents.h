#ifndef BILBERRY_AGENT_BACKENDEVENTS_H
#define BILBERRY_AGENT_BACKENDEVENTS_H

#include "bilberry/wire/linkmessages.h"

#include <memory>
#include <variant>

/// Messages between the agent's core and the thread (duty) of the BackendClient.
namespace bilberry::agent {

// From the core to the backend duty.

struct RunCommand
{
    AttemptId attempt = 0;
    std::string method;
    std::string target;
    wire::Headers headers;
    std::string body;
    std::shared_ptr<void> memory{}; ///< held until the request is written to the server
};

struct StopCommand
{
    AttemptId attempt = 0;
};

/// Allows this many more bytes of the answer to be read from the server.
struct CreditCommand
{
    AttemptId attempt = 0;
    std::uint32_t bytes = 0;
};

using BackendCommand = std::variant<RunCommand, StopCommand, CreditCommand>;

// From the backend duty to the core.

struct BackendAnswerHead
{
    AttemptId attempt = 0;
    std::uint16_t status = 0;
    wire::Headers headers;
};

struct BackendAnswerChunk
{
    AttemptId attempt = 0;
    std::string data;
};

/// How a request to the server ended.
enum class BackendOutcome {
    Complete,
    NotSent, ///< nothing was sent to the server, so that the request did not run
    Broken,  ///< the exchange failed before the end of the answer
    Stopped, ///< stopped by a StopCommand
};

struct BackendAnswerEnd
{
    AttemptId attempt = 0;
    BackendOutcome outcome = BackendOutcome::Complete;
};

/// Result of a health check: the server's load report, or why there is none.
struct BackendHealth
{
    bool reachable = false;
    /// Nothing listens on the server's port, so that it runs nothing.
    bool connectionRefused = false;
    bool cold = false;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint64_t serverIncarnation = 0; ///< changes when the server restarts
};

using BackendEvent
        = std::variant<BackendAnswerHead, BackendAnswerChunk, BackendAnswerEnd, BackendHealth>;

} // namespace bilberry::agent

#endif
