#include "daemon.h"

#include "daemonsettings.h"

#include "bilberry/agent/agent.h"
#include "bilberry/base/log.h"
#include "bilberry/router/router.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace bilberry::daemon {

namespace {

/// Blocks the stop signals in every thread, so that sigwait() receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

template <typename Process, typename Settings>
int serve(const Settings &settings)
{
    const sigset_t signals = blockStopSignals();
    Process process(settings);
    process.start();
    int received = 0;
    sigwait(&signals, &received);
    process.stop();
    return ExitOk;
}

int start(const DaemonSettings &settings)
{
    setUpLogging(settings.log);
    try {
        if (settings.role == Role::Agent)
            return serve<agent::Agent>(settings.agent);
        return serve<router::Router>(settings.router);
    } catch (const std::exception &exception) {
        Log("daemon").error(std::string("Start failed: ") + exception.what() + ".");
        return ExitFailure;
    }
}

int runWithFile(const std::string &file, bool checkOnly)
{
    SettingsReader reader(file);
    const DaemonSettings settings = readSettings(reader);
    const std::vector<SettingsFault> faults = reader.finish();
    for (const SettingsFault &fault : faults)
        std::cerr << fault.text() << '\n';
    if (!faults.empty())
        return ExitSettings;
    if (checkOnly)
        return ExitOk;
    return start(settings);
}

} // namespace

int run(int argc, char **argv)
{
    cxxopts::Options options("bilberryd", "Router or agent of a bilberrystile fleet.");
    options.add_options()("s,settings", "settings file (YAML)", cxxopts::value<std::string>())(
            "c,check", "check the settings and exit")("h,help", "print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return ExitOk;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "bilberryd: --settings is required\n";
            return ExitSettings;
        }
        return runWithFile(arguments["settings"].as<std::string>(), arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "bilberryd: " << exception.what() << '\n';
        return ExitSettings;
    }
}

} // namespace bilberry::daemon
