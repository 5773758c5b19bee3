#ifndef BILBERRY_AGENT_AGENTSETTINGS_H
#define BILBERRY_AGENT_AGENTSETTINGS_H

#include "bilberry/base/settings.h"
#include "bilberry/decision/configurationfreshness.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <string>

namespace bilberry::agent {

/// Settings of one agent process.
struct AgentSettings
{
    ServerId server;
    PoolId pool;
    ZoneId zone;
    std::string listenAddress;    ///< IP number for routers and operators
    std::uint16_t listenPort = 0; ///< TCP port for routers
    std::uint16_t adminPort = 0;  ///< HTTP port for operators
    std::string backendAddress;   ///< IP number of the server, normally loopback
    std::uint16_t backendPort = 0;
    Duration healthPeriod = std::chrono::milliseconds(200);
    Duration answerLimit = std::chrono::minutes(10); ///< longest silence of a running request
    Duration drainLimit = std::chrono::minutes(10);  ///< longest graceful shutdown
    std::uint32_t ahead = 1;                         ///< grants beyond the window
    std::size_t ringCapacity = 65536;                ///< items between two duties
    decision::FreshnessSettings freshness;
    bool operator==(const AgentSettings &) const = default;
};

/// Reads the settings; faults stay in the reader.
AgentSettings readAgentSettings(SettingsReader &reader);

} // namespace bilberry::agent

#endif
