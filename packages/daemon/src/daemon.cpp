#include "daemon.h"

#include "daemonsettings.h"

#include "bilberry/agent/agent.h"
#include "bilberry/base/log.h"
#include "bilberry/direct/directrouter.h"
#include "bilberry/platform/adapter.h"
#include "bilberry/router/router.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <functional>
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

/// Addresses and limits hold for the life of the process; a changed file is checked, so that the
/// log shows before the next start whether it can be used.
void checkReloaded(const std::string &file)
{
    Log log("daemon");
    SettingsReader reader(file);
    readSettings(reader);
    const std::vector<SettingsFault> faults = reader.finish();
    log.decision("Read the settings again; they take effect at the next start.",
                 {{"file", file}, {"faults", std::to_string(faults.size())}});
    for (const SettingsFault &fault : faults)
        log.error(fault.text());
}

/// A direct router has one event loop, which takes the signals too.
int serveDirect(const direct::DirectSettings &settings, const std::string &file)
{
    std::signal(SIGPIPE, SIG_IGN);
    direct::DirectRouter router(settings, platform::makeAdapter());
    boost::asio::signal_set stopSignals(router.context(), SIGTERM, SIGINT);
    stopSignals.async_wait([&](boost::system::error_code error, int) {
        if (!error)
            router.stop();
    });
    boost::asio::signal_set reloadSignal(router.context(), SIGHUP);
    std::function<void()> awaitReload = [&] {
        reloadSignal.async_wait([&](boost::system::error_code error, int) {
            if (error)
                return;
            checkReloaded(file);
            awaitReload();
        });
    };
    awaitReload();
    router.run();
    return ExitOk;
}

int start(const DaemonSettings &settings, const std::string &file)
{
    setUpLogging(settings.log);
    try {
        if (settings.role == Role::DirectRouter)
            return serveDirect(settings.direct, file);
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
    const int code = start(settings, file);
    flushLogging();
    return code;
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
