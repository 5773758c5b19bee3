#ifndef BILBERRY_AGENT_AGENTMETRICS_H
#define BILBERRY_AGENT_AGENTMETRICS_H

#include "bilberry/admin/memorymetrics.h"
#include "bilberry/agent/agentcore.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace bilberry::agent {

/// Prometheus metrics of an agent.
class AgentMetrics
{
public:
    AgentMetrics();

    /// Counts control bytes sent; may be called on any thread.
    void addControlBytes(std::size_t bytes);

    /// Counts a message dropped because the links' ring was full; may be called on any thread.
    void addOverflow() { m_overflows.Increment(); }

    /// Sets the gauges of the memory held; may be called on any thread.
    void update(const MemoryAccount &memory) { m_memory.update(memory); }

    /// Copies the core's counters and load; must run on the core's thread.
    void update(const AgentCore &core);

    /// @return all metrics in the Prometheus text format
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
    admin::MemoryMetrics m_memory{m_registry};
};

/// @return the agent's state as a JSON object for operators
std::string statusJson(const AgentSettings &settings, const AgentCore &core);

} // namespace bilberry::agent

#endif
