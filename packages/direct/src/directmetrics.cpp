#include "directmetrics.h"

#include <prometheus/text_serializer.h>

namespace bilberry::direct {

namespace {

prometheus::Family<prometheus::Gauge> &addGaugeFamily(prometheus::Registry &registry,
                                                      const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

/// Upper bounds in seconds; the latency objectives of the routes are between 0.1 and 1 s.
const prometheus::Histogram::BucketBoundaries firstByteBuckets{0.02, 0.05, 0.1, 0.2, 0.4, 0.6,
                                                               0.8,  1.2,  2.0, 4.0, 8.0};

} // namespace

DirectMetrics::DirectMetrics()
    : m_storeCalls(prometheus::BuildCounter()
                           .Name("bilberry_store_calls_total")
                           .Help("Calls to the platform's store by kind.")
                           .Register(m_registry)),
      m_firstByte(prometheus::BuildHistogram()
                          .Name("bilberry_first_byte_seconds")
                          .Help("Time from a whole request to its answer's first byte, by pool.")
                          .Register(m_registry)),
      m_counts(addGaugeFamily(m_registry, "bilberry_requests",
                              "Requests since the start, by event.")),
      m_refused(addGaugeFamily(m_registry, "bilberry_refused", "Refused requests by reason.")),
      m_inFlight(addGaugeFamily(m_registry, "bilberry_server_in_flight",
                                "Requests of this router at a server.")),
      m_crashSuspects(addGaugeFamily(m_registry, "bilberry_crash_suspects",
                                     "Features of requests that were in flight at crashes.")
                              .Add({})),
      m_quarantined(addGaugeFamily(m_registry, "bilberry_crash_quarantined",
                                   "Features whose requests are refused, since they crash servers.")
                            .Add({})),
      m_limitedServers(addGaugeFamily(m_registry, "bilberry_limited_servers",
                                      "Servers that name a limit of requests a second.")
                               .Add({})),
      m_connectionsOpened(addGaugeFamily(m_registry, "bilberry_server_connections_opened",
                                         "Connections to servers opened since the start.")
                                  .Add({})),
      m_planVersion(
              addGaugeFamily(m_registry, "bilberry_plan_version", "Version of the plan in force.")
                      .Add({})),
      m_planAge(addGaugeFamily(m_registry, "bilberry_plan_proof_age_seconds",
                               "Age of the newest proof that the plan is the newest one.")
                        .Add({}))
{
}

void DirectMetrics::countStoreCall(const char *kind)
{
    m_storeCalls.Add({{"kind", kind}}).Increment();
}

void DirectMetrics::recordFirstByteLatency(const PoolId &pool, Duration duration)
{
    m_firstByte.Add({{"pool", pool.text()}}, firstByteBuckets)
            .Observe(toMilliseconds(duration) / 1000.0);
}

void DirectMetrics::update(const decision::CrashSuspicion &suspicion)
{
    m_crashSuspects.Set(static_cast<double>(suspicion.suspectCount()));
    m_quarantined.Set(static_cast<double>(suspicion.quarantinedCount()));
}

void DirectMetrics::update(const RequestCounters &counts,
                           const decision::ServerSelector &serverSelector,
                           std::uint64_t connectionsOpened, std::uint64_t planVersion,
                           Duration planAge)
{
    const auto set = [&](const char *event, std::uint64_t value) {
        m_counts.Add({{"event", event}}).Set(static_cast<double>(value));
    };
    set("received", counts.received);
    set("answered", counts.answered);
    set("sent_again", counts.retries);
    set("resumed", counts.resumed);
    set("caller_left", counts.callerDisconnects);
    set("cut", counts.truncated);
    for (const auto &[reason, count] : counts.refused)
        m_refused.Add({{"reason", toText(reason)}}).Set(static_cast<double>(count));
    for (const ServerId &server : serverSelector.servers())
        m_inFlight.Add({{"server", server.text()}})
                .Set(static_cast<double>(serverSelector.inFlight(server)));
    m_limitedServers.Set(static_cast<double>(serverSelector.limitedCount()));
    m_connectionsOpened.Set(static_cast<double>(connectionsOpened));
    m_planVersion.Set(static_cast<double>(planVersion));
    m_planAge.Set(toMilliseconds(planAge) / 1000.0);
}

std::string DirectMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace bilberry::direct
