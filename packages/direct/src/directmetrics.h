#ifndef BILBERRY_DIRECT_DIRECTMETRICS_H
#define BILBERRY_DIRECT_DIRECTMETRICS_H

#include "requesthandler.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace bilberry::direct {

/// Metrics page of a direct router.
class DirectMetrics
{
public:
    DirectMetrics();

    void countStoreCall(const char *kind);
    void recordFirstByteLatency(const PoolId &pool, Duration duration);

    /// Takes the router's numbers over.
    /// @param proofAge age of the plan's newest proof
    void update(const RequestCounters &counts, const decision::ServerSelector &fleet,
                std::uint64_t connectionsOpened, std::uint64_t planVersion, Duration proofAge);

    /// @return the page in Prometheus text format
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Histogram> &m_firstByte;
    prometheus::Family<prometheus::Gauge> &m_counts;
    prometheus::Family<prometheus::Gauge> &m_refused;
    prometheus::Family<prometheus::Gauge> &m_inFlight;
    prometheus::Gauge &m_connectionsOpened;
    prometheus::Gauge &m_planVersion;
    prometheus::Gauge &m_proofAge;
};

} // namespace bilberry::direct

#endif
