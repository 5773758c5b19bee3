#ifndef BILBERRY_AGENT_AGENT_H
#define BILBERRY_AGENT_AGENT_H

#include "bilberry/agent/agentsettings.h"

#include <memory>

namespace bilberry::agent {

/// One agent process: its duties and the rings between them.
class Agent
{
public:
    /// Binds the addresses; throws std::system_error when one can't be used.
    explicit Agent(const AgentSettings &settings);
    ~Agent();

    /// Starts the threads.
    void start();

    /// Graceful shutdown: takes no new work, waits for running requests, ends the threads.
    void stop();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace bilberry::agent

#endif
