#include "daemonsettings.h"

namespace bilberry::daemon {

namespace {

LogSettings readLog(SettingsReader &reader)
{
    LogSettings log;
    const std::string level
            = reader.choice("log.level", {"debug", "info", "warning", "error"}, "info");
    if (level == "debug")
        log.level = LogLevel::Debug;
    else if (level == "warning")
        log.level = LogLevel::Warning;
    else if (level == "error")
        log.level = LogLevel::Error;
    if (reader.choice("log.format", {"text", "json"}, "text") == "json")
        log.format = LogFormat::Json;
    return log;
}

} // namespace

DaemonSettings readSettings(SettingsReader &reader, const VmSize &vm)
{
    DaemonSettings settings;
    settings.log = readLog(reader);
    const std::string role = reader.choice("role", {"router", "agent", "direct-router"});
    if (role == "direct-router") {
        settings.role = Role::DirectRouter;
        settings.direct = direct::readDirectSettings(reader, vm);
    } else if (role == "agent") {
        settings.role = Role::Agent;
        settings.agent = agent::readAgentSettings(reader, vm);
    } else {
        settings.router = router::readRouterSettings(reader, vm);
    }
    return settings;
}

} // namespace bilberry::daemon
