#ifndef BILBERRY_DIRECT_DIRECTMETRICS_H
#define BILBERRY_DIRECT_DIRECTMETRICS_H

#include "request/requesthandler.h"

#include "bilberry/admin/memorymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace bilberry::direct {

/// Metrics of a direct router.
class DirectMetrics
{
public:
    DirectMetrics();

    /// Counts a call to the store.
    void countStoreCall(const char *kind);
    /// @param duration time from the complete request to the first byte of its response
    void recordFirstByteLatency(const PoolId &pool, Duration duration);

    /// Sets the gauges of the memory held.
    void update(const MemoryAccount &memory) { m_memory.update(memory); }

    /// Sets the gauges of what may crash servers.
    void update(const decision::CrashSuspicion &suspicion);

    /// Sets the gauges to the current state of the router.
    /// @param planVersion 0 when there is no plan
    /// @param planAge time since the plan was last confirmed as the newest
    void update(const RequestCounters &counts, const decision::ServerSelector &serverSelector,
                std::uint64_t connectionsOpened, std::uint64_t planVersion, Duration planAge);

    /// @return all metrics in Prometheus text format
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Histogram> &m_firstByte;
    prometheus::Family<prometheus::Gauge> &m_counts;
    prometheus::Family<prometheus::Gauge> &m_refused;
    prometheus::Family<prometheus::Gauge> &m_inFlight;
    prometheus::Gauge &m_crashSuspects;
    prometheus::Gauge &m_quarantined;
    prometheus::Gauge &m_limitedServers;
    prometheus::Gauge &m_connectionsOpened;
    prometheus::Gauge &m_planVersion;
    prometheus::Gauge &m_planAge;
    admin::MemoryMetrics m_memory{m_registry};
};

} // namespace bilberry::direct

#endif
