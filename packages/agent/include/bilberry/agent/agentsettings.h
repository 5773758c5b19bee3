#ifndef BILBERRY_AGENT_AGENTSETTINGS_H
#define BILBERRY_AGENT_AGENTSETTINGS_H

#include "bilberry/base/processlimits.h"
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
    std::string listenAddress;    ///< numeric IP address for routers and operators
    std::uint16_t listenPort = 0; ///< TCP port for routers
    std::uint16_t adminPort = 0;  ///< HTTP port for operators
    std::string backendAddress;   ///< numeric IP address of the server, normally loopback
    std::uint16_t backendPort = 0;
    Duration healthPeriod = std::chrono::milliseconds(200);
    /// Time without data from the server after which a running request is ended.
    Duration answerSilenceLimit = std::chrono::minutes(10);
    Duration drainLimit = std::chrono::minutes(10); ///< maximum duration of the graceful shutdown
    std::uint32_t grantsBeyondWindow = 1;           ///< open grants allowed beyond the window
    std::size_t ringCapacity = 65536;               ///< maximum number of items in each ring
    decision::FreshnessSettings freshness;
    ProcessLimits limits;
    bool operator==(const AgentSettings &) const = default;
};

/// @param vm size of the VM where the file doesn't tell it
/// @return the settings; the reader keeps the faults that it finds
AgentSettings readAgentSettings(SettingsReader &reader, const VmSize &vm = {});

} // namespace bilberry::agent

#endif
