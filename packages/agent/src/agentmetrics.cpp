#include "agentmetrics.h"

#include <boost/json.hpp>
#include <prometheus/text_serializer.h>

namespace bilberry::agent {

namespace {

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

const char *toText(wire::RefusalReason reason)
{
    switch (reason) {
    case wire::RefusalReason::Full:
        return "full";
    case wire::RefusalReason::Leaving:
        return "leaving";
    case wire::RefusalReason::CutOff:
        return "cut-off";
    case wire::RefusalReason::StaleGrant:
        return "stale-grant";
    case wire::RefusalReason::Quarantined:
        return "quarantined";
    case wire::RefusalReason::ServerDown:
        return "server-down";
    case wire::RefusalReason::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

AgentMetrics::AgentMetrics()
    : m_controlBytes(prometheus::BuildCounter()
                             .Name("bilberry_control_bytes_total")
                             .Help("Bytes of control messages sent")
                             .Register(m_registry)
                             .Add({})),
      m_overflows(prometheus::BuildCounter()
                          .Name("bilberry_ring_overflows_total")
                          .Help("Messages that a full ring did not take")
                          .Register(m_registry)
                          .Add({})),
      m_started(gauge(m_registry, "bilberry_agent_started", "Requests started on the server")),
      m_completed(gauge(m_registry, "bilberry_agent_completed", "Requests answered in full")),
      m_crashes(gauge(m_registry, "bilberry_agent_crashes", "Crashes of the server")),
      m_window(gauge(m_registry, "bilberry_agent_window", "Requests that may run at once")),
      m_running(gauge(m_registry, "bilberry_agent_running", "Requests that run")),
      m_held(gauge(m_registry, "bilberry_agent_held", "Requests held and open grants")),
      m_revision(gauge(m_registry, "bilberry_configuration_revision", "Revision in force")),
      m_refused(prometheus::BuildGauge()
                        .Name("bilberry_agent_refused")
                        .Help("Requests refused before they ran, by reason")
                        .Register(m_registry))
{
    // Creates every series now, since alerts don't work on one that is absent until the first
    // refusal.
    for (int reason = 0; reason <= static_cast<int>(wire::RefusalReason::Cancelled); ++reason)
        m_refused.Add({{"reason", toText(static_cast<wire::RefusalReason>(reason))}});
}

void AgentMetrics::addControlBytes(std::size_t bytes)
{
    m_controlBytes.Increment(static_cast<double>(bytes));
}

void AgentMetrics::update(const AgentCore &core)
{
    const AgentCounters &counters = core.counters();
    const wire::ServerLoad load = core.load();
    m_started.Set(static_cast<double>(counters.started));
    m_completed.Set(static_cast<double>(counters.completed));
    m_crashes.Set(static_cast<double>(counters.crashes));
    m_window.Set(load.window);
    m_running.Set(load.running);
    m_held.Set(load.held);
    const ConfigurationPtr configuration = core.configuration();
    m_revision.Set(configuration ? static_cast<double>(configuration->revision()) : 0.0);
    for (const auto &[reason, count] : counters.refused)
        m_refused.Add({{"reason", toText(reason)}}).Set(static_cast<double>(count));
}

std::string AgentMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

std::string statusJson(const AgentSettings &settings, const AgentCore &core)
{
    const wire::ServerLoad load = core.load();
    const ConfigurationPtr configuration = core.configuration();
    const boost::json::object status = {
            {"role", "agent"},
            {"name", settings.server.text()},
            {"pool", settings.pool.text()},
            {"zone", settings.zone.text()},
            {"revision", configuration ? configuration->revision() : 0},
            {"window", load.window},
            {"running", load.running},
            {"held", load.held},
            {"cold", load.cold},
            {"accepting", load.accepting},
            {"started", core.counters().started},
            {"completed", core.counters().completed},
            {"crashes", core.counters().crashes},
    };
    return boost::json::serialize(status);
}

} // namespace bilberry::agent
