#ifndef BILBERRY_DAEMON_DAEMONSETTINGS_H
#define BILBERRY_DAEMON_DAEMONSETTINGS_H

#include "bilberry/agent/agentsettings.h"
#include "bilberry/base/log.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/router/routersettings.h"

namespace bilberry::daemon {

enum class Role { Router, Agent, DirectRouter };

/// Contents of the settings file. Only the settings of the chosen role are read.
struct DaemonSettings
{
    Role role = Role::Router;
    LogSettings log;
    router::RouterSettings router;
    agent::AgentSettings agent;
    direct::DirectSettings direct;
};

/// Reads the log settings, the role and the settings of that role.
/// @param vm size of the VM where the file doesn't tell it
/// @return settings that are valid only when reader.finish() reports no faults
DaemonSettings readSettings(SettingsReader &reader, const VmSize &vm = {});

} // namespace bilberry::daemon

#endif
