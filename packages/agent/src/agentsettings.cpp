#include "bilberry/agent/agentsettings.h"

namespace bilberry::agent {

namespace {

std::uint16_t port(SettingsReader &reader, const std::string &key)
{
    constexpr std::int64_t highest = 65535;
    return static_cast<std::uint16_t>(reader.integer(key, 1, highest));
}

Duration milliseconds(SettingsReader &reader, const std::string &key, std::int64_t low,
                      std::int64_t high, std::int64_t fallback)
{
    return std::chrono::milliseconds(reader.integer(key, low, high, fallback));
}

} // namespace

AgentSettings readAgentSettings(SettingsReader &reader)
{
    AgentSettings settings;
    settings.server = ServerId(reader.text("name"));
    settings.pool = PoolId(reader.text("pool"));
    settings.zone = ZoneId(reader.text("zone"));
    settings.listenAddress = reader.text("listen.address");
    settings.listenPort = port(reader, "listen.port");
    settings.adminPort = port(reader, "listen.adminPort");
    settings.backendAddress = reader.text("backend.address", "127.0.0.1");
    settings.backendPort = port(reader, "backend.port");
    settings.healthPeriod = milliseconds(reader, "backend.healthPeriodMs", 10, 10000, 200);
    settings.answerLimit = milliseconds(reader, "backend.answerLimitMs", 100, 3600000, 600000);
    settings.drainLimit = milliseconds(reader, "drainLimitMs", 0, 3600000, 600000);
    settings.ahead = static_cast<std::uint32_t>(reader.integer("ahead", 0, 64, 1));
    settings.ringCapacity
            = static_cast<std::size_t>(reader.integer("ringCapacity", 8, 1 << 20, 65536));
    settings.freshness.proofLimit = milliseconds(reader, "island.proofLimitMs", 500, 60000, 3000);
    const std::string policy = reader.choice("island.policy", {"stop", "serve"}, "stop");
    settings.freshness.island
            = policy == "serve" ? decision::IslandPolicy::Serve : decision::IslandPolicy::Stop;
    return settings;
}

} // namespace bilberry::agent
