#ifndef BILBERRY_DAEMON_DAEMONSETTINGS_H
#define BILBERRY_DAEMON_DAEMONSETTINGS_H

#include "bilberry/agent/agentsettings.h"
#include "bilberry/base/log.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/router/routersettings.h"

namespace bilberry::daemon {

enum class Role { Router, Agent, DirectRouter };

/// Everything that the settings file says.
struct DaemonSettings
{
    Role role = Role::Router;
    LogSettings log;
    router::RouterSettings router;
    agent::AgentSettings agent;
    direct::DirectSettings direct;
};

/// Reads the settings of any role; faults stay in the reader.
DaemonSettings readSettings(SettingsReader &reader);

} // namespace bilberry::daemon

#endif
