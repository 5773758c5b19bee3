#ifndef BILBERRY_AGENT_AGENT_H
#define BILBERRY_AGENT_AGENT_H

#include "bilberry/agent/agentsettings.h"

#include <memory>

namespace bilberry::agent {

/// One agent process: its threads (duties) and the rings that pass messages between them.
class Agent
{
public:
    /// Binds the addresses; throws std::system_error when one can't be used.
    explicit Agent(const AgentSettings &settings);
    ~Agent();

    /// Starts all threads.
    void start();

    /// Shuts down gracefully: refuses new requests, waits for running ones up to
    /// AgentSettings::drainLimit, and stops the threads.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bilberry::agent

#endif
