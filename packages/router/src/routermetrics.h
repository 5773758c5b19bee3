#ifndef BILBERRY_ROUTER_ROUTERMETRICS_H
#define BILBERRY_ROUTER_ROUTERMETRICS_H

#include "bilberry/admin/memorymetrics.h"
#include "bilberry/router/routercore.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace bilberry::router {

/// Prometheus metrics of a router.
class RouterMetrics
{
public:
    RouterMetrics();

    /// Counts control bytes sent; thread-safe.
    /// @param kind "link" for links to agents, "gossip" for datagrams between routers
    void addControlBytes(const char *kind, std::size_t bytes);

    /// Counts a call to the platform; thread-safe.
    void addPlatformCall(const char *kind);

    /// Counts an item that a full event queue rejected; thread-safe.
    void addOverflow(const char *ring);

    /// Sets the gauges of the memory held; thread-safe.
    void update(const MemoryAccount &memory) { m_memory.update(memory); }

    /// Copies the core's counters into the metrics.
    void update(const RouterCore &core);

    /// @return all metrics in Prometheus text format
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_controlBytes;
    prometheus::Family<prometheus::Counter> &m_platformCalls;
    prometheus::Family<prometheus::Counter> &m_overflows;
    prometheus::Gauge &m_submitted;
    prometheus::Gauge &m_answered;
    prometheus::Gauge &m_retries;
    prometheus::Gauge &m_unknown;
    prometheus::Gauge &m_dropped;
    prometheus::Gauge &m_revision;
    prometheus::Family<prometheus::Gauge> &m_refused;
    prometheus::Family<prometheus::Gauge> &m_service;
    prometheus::Family<prometheus::Gauge> &m_waiting;
    admin::MemoryMetrics m_memory{m_registry};
};

/// @return the router's state as JSON for operators
std::string statusText(const RouterSettings &settings, const RouterCore &core, TimePoint now);

/// @return good and bad requests per customer, pool and window as JSON
std::string burnText(const RouterCore &core, TimePoint now);

} // namespace bilberry::router

#endif
