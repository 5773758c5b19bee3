#ifndef BILBERRY_AGENT_AGENTMETRICS_H
#define BILBERRY_AGENT_AGENTMETRICS_H

#include "bilberry/agent/agentcore.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace bilberry::agent {

/// Metrics page of an agent.
class AgentMetrics
{
public:
    AgentMetrics();

    /// Counts control bytes sent; may be called on any thread.
    void addControlBytes(std::size_t bytes);

    /// Counts a message that the full ring of the links did not take; may be called on any thread.
    void addOverflow() { m_overflows.Increment(); }

    /// Takes the core's numbers over.
    void update(const AgentCore &core);

    /// @return the page in Prometheus text format
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Counter &m_controlBytes;
    prometheus::Counter &m_overflows;
    prometheus::Gauge &m_started;
    prometheus::Gauge &m_completed;
    prometheus::Gauge &m_crashes;
    prometheus::Gauge &m_window;
    prometheus::Gauge &m_running;
    prometheus::Gauge &m_held;
    prometheus::Gauge &m_revision;
    prometheus::Family<prometheus::Gauge> &m_refused;
};

/// @return the agent's state as JSON for operators
std::string statusText(const AgentSettings &settings, const AgentCore &core);

} // namespace bilberry::agent

#endif
