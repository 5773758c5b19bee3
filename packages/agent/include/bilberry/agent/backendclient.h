#ifndef BILBERRY_AGENT_BACKENDCLIENT_H
#define BILBERRY_AGENT_BACKENDCLIENT_H

#include "bilberry/agent/agentsettings.h"
#include "bilberry/agent/backendevents.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bilberry::agent {

/// Speaks HTTP with the backend server beside the agent: runs requests, passes the answers on as
/// they come, and polls the load report. Runs on one event loop.
class BackendClient
{
public:
    using EventHook = std::function<void(BackendEvent &&)>;

    BackendClient(boost::asio::io_context &context, const AgentSettings &settings,
                  EventHook onEvent);
    ~BackendClient();

    /// Starts polling the load report.
    void start();

    /// Carries a command of the core out.
    void command(BackendCommand &&command);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::agent

#endif
