#include "bilberry/agent/agentsettings.h"

namespace bilberry::agent {

namespace {

Duration milliseconds(SettingsReader &reader, const std::string &key, std::int64_t low,
                      std::int64_t high, std::int64_t fallback)
{
    return std::chrono::milliseconds(reader.integer(key, low, high, fallback));
}

/// Checks rules that involve several keys.
void checkContradictions(SettingsReader &reader, const AgentSettings &settings)
{
    if (settings.listenPort != 0 && settings.listenPort == settings.adminPort)
        reader.addFault(SettingsErrc::Contradiction, "listen.adminPort",
                        "listen.port has the same number");
    const bool sameAddress = settings.listenAddress == settings.backendAddress;
    if (sameAddress && settings.backendPort != 0 && settings.backendPort == settings.listenPort)
        reader.addFault(SettingsErrc::Contradiction, "backend.port",
                        "the agent itself listens on this port");
}

} // namespace

AgentSettings readAgentSettings(SettingsReader &reader, const VmSize &vm)
{
    AgentSettings settings;
    settings.server = ServerId(reader.identifier("name"));
    settings.pool = PoolId(reader.identifier("pool"));
    settings.zone = ZoneId(reader.identifier("zone"));
    settings.listenAddress = reader.address("listen.address");
    settings.listenPort = reader.port("listen.port");
    settings.adminPort = reader.port("listen.adminPort");
    settings.backendAddress = reader.address("backend.address", "127.0.0.1");
    settings.backendPort = reader.port("backend.port");
    settings.healthPeriod = milliseconds(reader, "backend.healthPeriodMs", 10, 10000, 200);
    settings.answerSilenceLimit
            = milliseconds(reader, "backend.answerLimitMs", 100, 3600000, 600000);
    settings.drainLimit = milliseconds(reader, "drainLimitMs", 0, 3600000, 600000);
    settings.grantsBeyondWindow = static_cast<std::uint32_t>(reader.integer("ahead", 0, 64, 1));
    settings.ringCapacity
            = static_cast<std::size_t>(reader.integer("ringCapacity", 8, 1 << 20, 65536));
    settings.freshness.maxProofAge = milliseconds(reader, "island.proofLimitMs", 500, 60000, 3000);
    const std::string policy = reader.choice("island.policy", {"stop", "serve"}, "stop");
    settings.freshness.partitionPolicy = policy == "serve" ? decision::PartitionPolicy::Serve
                                                           : decision::PartitionPolicy::Stop;
    settings.limits = readProcessLimits(reader, vm);
    checkContradictions(reader, settings);
    return settings;
}

} // namespace bilberry::agent
