#ifndef BILBERRY_DAEMON_DAEMONSETTINGS_H
#define BILBERRY_DAEMON_DAEMONSETTINGS_H

#include "bilberry/agent/agentsettings.h"
#include "bilberry/base/log.h"
#include "bilberry/router/routersettings.h"

namespace bilberry::daemon {

enum class Role { Router, Agent };

/// Everything that the settings file says.
struct DaemonSettings
{
    Role role = Role::Router;
    LogSettings log;
    router::RouterSettings router;
    agent::AgentSettings agent;
};

/// Reads the settings of either role; faults stay in the reader.
DaemonSettings readSettings(SettingsReader &reader);

} // namespace bilberry::daemon

#endif
