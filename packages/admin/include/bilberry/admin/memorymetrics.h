#ifndef BILBERRY_ADMIN_MEMORYMETRICS_H
#define BILBERRY_ADMIN_MEMORYMETRICS_H

#include "bilberry/base/memoryaccount.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace bilberry::admin {

/// Metrics of a process's MemoryAccount.
class MemoryMetrics
{
public:
    explicit MemoryMetrics(prometheus::Registry &registry);

    /// Sets the gauges to the account's state.
    void update(const MemoryAccount &account);

private:
    prometheus::Gauge &m_held;
    prometheus::Gauge &m_limit;
    prometheus::Family<prometheus::Gauge> &m_releases;
};

} // namespace bilberry::admin

#endif
