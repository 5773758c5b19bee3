#include "bilberry/admin/memorymetrics.h"

namespace bilberry::admin {

namespace {

prometheus::Family<prometheus::Gauge> &addFamily(prometheus::Registry &registry, const char *name,
                                                 const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

MemoryMetrics::MemoryMetrics(prometheus::Registry &registry)
    : m_held(addFamily(registry, "bilberry_memory_held_bytes",
                       "Memory held for connections and requests.")
                     .Add({})),
      m_limit(addFamily(registry, "bilberry_memory_limit_bytes",
                        "Limit of the memory held for connections and requests.")
                      .Add({})),
      m_releases(addFamily(registry, "bilberry_memory_releases",
                           "Connections and requests ended because others needed their memory or "
                           "place, by use."))
{
}

void MemoryMetrics::update(const MemoryAccount &account)
{
    const MemoryCounters counters = account.counters();
    m_held.Set(static_cast<double>(counters.heldBytes));
    m_limit.Set(static_cast<double>(account.limitBytes()));
    for (std::size_t use = 0; use < memoryUseCount; ++use)
        m_releases.Add({{"use", toText(static_cast<MemoryUse>(use))}})
                .Set(static_cast<double>(counters.releases[use]));
}

} // namespace bilberry::admin
