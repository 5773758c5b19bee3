#ifndef BILBERRY_AGENT_BACKENDCLIENT_H
#define BILBERRY_AGENT_BACKENDCLIENT_H

#include "bilberry/agent/agentsettings.h"
#include "bilberry/agent/backendevents.h"
#include "bilberry/base/memoryaccount.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bilberry::agent {

/// HTTP client for the agent's backend server: runs requests, passes the answers on as they arrive,
/// and polls the load report. Runs on one event loop.
class BackendClient
{
public:
    using EventHook = std::function<void(BackendEvent &&)>;

    /// @param memory account of the process; null for one of its own
    BackendClient(boost::asio::io_context &context, const AgentSettings &settings,
                  EventHook onEvent, std::shared_ptr<MemoryAccount> memory = nullptr);
    ~BackendClient();

    /// Starts polling the load report.
    void start();

    /// Starts or stops a request, or adds credit to one.
    void execute(BackendCommand &&command);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::agent

#endif
