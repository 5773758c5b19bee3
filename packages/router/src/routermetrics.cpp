#include "routermetrics.h"

#include "bilberry/router/problem.h"

#include <boost/json.hpp>
#include <prometheus/text_serializer.h>

namespace bilberry::router {

namespace json = boost::json;

namespace {

prometheus::Family<prometheus::Gauge> &gaugeFamily(prometheus::Registry &registry, const char *name,
                                                   const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter> &counterFamily(prometheus::Registry &registry,
                                                       const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Revision revisionOf(const RouterCore &core)
{
    const ConfigurationPtr configuration = core.configuration();
    return configuration ? configuration->revision() : 0;
}

json::array agentsToJson(const RouterCore &core)
{
    json::array agents;
    for (const auto &[server, view] : core.placement().views()) {
        agents.push_back(json::object{{"server", server.text()},
                                      {"pool", view.pool.text()},
                                      {"zone", view.zone.text()},
                                      {"window", view.window},
                                      {"running", view.running},
                                      {"held", view.held},
                                      {"accepting", view.accepting}});
    }
    return agents;
}

json::array serviceToJson(const RouterCore &core, TimePoint now)
{
    json::array services;
    for (const decision::LocalServiceCounter &own : core.localService()) {
        services.push_back(
                json::object{{"customer", own.key.customer.text()},
                             {"pool", own.key.pool.text()},
                             {"chargedMs", core.virtualTimes().chargedMs(own.key)},
                             {"virtualTime", core.virtualTimes().virtualTime(own.key, now)},
                             {"backlogged", own.backlogged}});
    }
    return services;
}

} // namespace

RouterMetrics::RouterMetrics()
    : m_controlBytes(counterFamily(m_registry, "bilberry_control_bytes_total",
                                   "Bytes of control messages sent")),
      m_platformCalls(
              counterFamily(m_registry, "bilberry_store_calls_total", "Calls to the platform")),
      m_overflows(counterFamily(m_registry, "bilberry_ring_overflows_total",
                                "Items that a full ring did not take")),
      m_submitted(
              gaugeFamily(m_registry, "bilberry_requests_submitted", "Requests of known customers")
                      .Add({})),
      m_answered(gaugeFamily(m_registry, "bilberry_requests_answered", "Requests answered in full")
                         .Add({})),
      m_retries(
              gaugeFamily(m_registry, "bilberry_requests_retried", "Attempts made again").Add({})),
      m_unknown(gaugeFamily(m_registry, "bilberry_requests_unknown", "Requests of unknown outcome")
                        .Add({})),
      m_dropped(
              gaugeFamily(m_registry, "bilberry_answer_parts_dropped", "Parts of no known attempt")
                      .Add({})),
      m_revision(gaugeFamily(m_registry, "bilberry_configuration_revision", "Revision in force")
                         .Add({})),
      m_refused(gaugeFamily(m_registry, "bilberry_requests_refused", "Requests refused, by kind")),
      m_service(gaugeFamily(m_registry, "bilberry_service_ms", "Service charged by this router")),
      m_waiting(gaugeFamily(m_registry, "bilberry_requests_waiting", "Requests waiting, by pool"))
{
    // Alerts need the series before its first event.
    for (const char *ring : {"callers", "gossip", "links", "platform"})
        m_overflows.Add({{"ring", ring}});
    for (int kind = 0; kind <= static_cast<int>(RefusalKind::ServerFailed); ++kind)
        m_refused.Add({{"kind", toText(static_cast<RefusalKind>(kind))}});
}

void RouterMetrics::addControlBytes(const char *kind, std::size_t bytes)
{
    m_controlBytes.Add({{"kind", kind}}).Increment(static_cast<double>(bytes));
}

void RouterMetrics::addPlatformCall(const char *kind)
{
    m_platformCalls.Add({{"kind", kind}}).Increment();
}

void RouterMetrics::addOverflow(const char *ring)
{
    m_overflows.Add({{"ring", ring}}).Increment();
}

void RouterMetrics::update(const RouterCore &core)
{
    const RouterCounters &counters = core.counters();
    m_submitted.Set(static_cast<double>(counters.submitted));
    m_answered.Set(static_cast<double>(counters.answered));
    m_retries.Set(static_cast<double>(counters.retries));
    m_unknown.Set(static_cast<double>(counters.unknownOutcomes));
    m_dropped.Set(static_cast<double>(counters.droppedParts));
    m_revision.Set(static_cast<double>(revisionOf(core)));
    for (const auto &[kind, count] : counters.refused)
        m_refused.Add({{"kind", toText(kind)}}).Set(static_cast<double>(count));
    std::set<PoolId> pools;
    for (const decision::LocalServiceCounter &own : core.localService()) {
        const decision::ServiceKey &key = own.key;
        m_service.Add({{"customer", key.customer.text()}, {"pool", key.pool.text()}})
                .Set(core.virtualTimes().chargedMs(key));
        pools.insert(key.pool);
    }
    for (const PoolId &pool : pools)
        m_waiting.Add({{"pool", pool.text()}}).Set(static_cast<double>(core.waitingRequests(pool)));
}

std::string RouterMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

std::string statusText(const RouterSettings &settings, const RouterCore &core, TimePoint now)
{
    return json::serialize(json::object{{"role", "router"},
                                        {"name", settings.router.text()},
                                        {"zone", settings.zone.text()},
                                        {"revision", revisionOf(core)},
                                        {"submitted", core.counters().submitted},
                                        {"answered", core.counters().answered},
                                        {"agents", agentsToJson(core)},
                                        {"service", serviceToJson(core, now)}});
}

std::string burnText(const RouterCore &core, TimePoint now)
{
    json::array rows;
    for (const decision::ServiceKey &key : core.burn().keys()) {
        json::array windows;
        for (const int seconds : decision::burnWindowSeconds) {
            const decision::BurnCount count
                    = core.burn().countOver(key, std::chrono::seconds(seconds), now);
            windows.push_back(
                    json::object{{"seconds", seconds}, {"good", count.good}, {"bad", count.bad}});
        }
        rows.push_back(json::object{{"customer", key.customer.text()},
                                    {"pool", key.pool.text()},
                                    {"windows", windows}});
    }
    return json::serialize(rows);
}

} // namespace bilberry::router
