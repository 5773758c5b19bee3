#include "daemon.h"

#include "daemonsettings.h"

#include "bilberry/agent/agent.h"
#include "bilberry/base/log.h"
#include "bilberry/direct/directrouter.h"
#include "bilberry/platform/adapter.h"
#include "bilberry/router/router.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <iostream>
#include <optional>

namespace bilberry::daemon {

namespace {

/// Tell the size of the VM where a platform starts the process and the settings file doesn't.
constexpr char memoryVariable[] = "BILBERRY_VM_MEMORY_MB";
constexpr char descriptorsVariable[] = "BILBERRY_VM_DESCRIPTORS";

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts, so that sigwait() receives
/// them, and ignores SIGPIPE.
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

/// Runs a router or an agent until SIGTERM or SIGINT arrives.
template <typename Process, typename Settings>
int runUntilStopSignal(const Settings &settings)
{
    const sigset_t signals = blockStopSignals();
    Process process(settings);
    process.start();
    int received = 0;
    sigwait(&signals, &received);
    process.stop();
    return ExitOk;
}

/// Checks the settings file and logs its faults, so that the log shows before the next start
/// whether a changed file is valid. The running process keeps its addresses and limits.
void checkSettingsFile(const std::string &file)
{
    Log log("daemon");
    SettingsReader reader(file);
    readSettings(reader);
    const std::vector<SettingsFault> faults = reader.finish();
    log.decision("Checked the settings file; changes take effect at the next start.",
                 {{"file", file}, {"faults", std::to_string(faults.size())}});
    for (const SettingsFault &fault : faults)
        log.error(fault.text());
}

/// Runs a direct router until SIGTERM or SIGINT arrives. Its single event loop also handles the
/// signals.
int runDirectRouter(const direct::DirectSettings &settings, const std::string &file)
{
    std::signal(SIGPIPE, SIG_IGN);
    direct::DirectRouter router(settings, platform::makeAdapter());
    boost::asio::signal_set stopSignals(router.context(), SIGTERM, SIGINT);
    stopSignals.async_wait([&](boost::system::error_code error, int) {
        if (!error)
            router.stop();
    });
    boost::asio::signal_set reloadSignal(router.context(), SIGHUP);
    std::function<void()> awaitReloadSignal = [&] {
        reloadSignal.async_wait([&](boost::system::error_code error, int) {
            if (error)
                return;
            checkSettingsFile(file);
            awaitReloadSignal();
        });
    };
    awaitReloadSignal();
    try {
        router.run();
    } catch (const std::exception &exception) {
        Log("daemon").error(std::string("Ended by an exception: ") + exception.what() + ".");
        return ExitFailure;
    }
    return ExitOk;
}

int start(const DaemonSettings &settings, const std::string &file)
{
    returnLargeBlocksToSystem();
    setUpLogging(settings.log);
    try {
        if (settings.role == Role::DirectRouter)
            return runDirectRouter(settings.direct, file);
        if (settings.role == Role::Agent)
            return runUntilStopSignal<agent::Agent>(settings.agent);
        return runUntilStopSignal<router::Router>(settings.router);
    } catch (const std::exception &exception) {
        Log("daemon").error(std::string("Start failed: ") + exception.what() + ".");
        return ExitFailure;
    }
}

/// Reads an environment variable.
/// @param value stays as it is where the variable is not set
/// @return false when it is no whole number
bool readVariable(const char *name, std::int64_t &value)
{
    const char *text = std::getenv(name);
    if (!text)
        return true;
    const char *end = text + std::strlen(text);
    const auto parsed = std::from_chars(text, end, value);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

/// @return nullopt when a variable is no whole number
std::optional<VmSize> vmSizeOfEnvironment()
{
    VmSize vm;
    if (!readVariable(memoryVariable, vm.memoryMb)
        || !readVariable(descriptorsVariable, vm.descriptors))
        return std::nullopt;
    return vm;
}

int runWithFile(const std::string &file, const VmSize &vm, bool checkOnly)
{
    SettingsReader reader(file);
    const DaemonSettings settings = readSettings(reader, vm);
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
    cxxopts::Options options("bilberryd", "Runs a router or an agent of a bilberrystile fleet.");
    options.add_options()("s,settings", "path of the settings file (YAML)",
                          cxxopts::value<std::string>())("c,check", "check the settings and exit")(
            "h,help", "print this help");
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
        const std::optional<VmSize> vm = vmSizeOfEnvironment();
        if (!vm) {
            std::cerr << "bilberryd: " << memoryVariable << " and " << descriptorsVariable
                      << " must be whole numbers\n";
            return ExitSettings;
        }
        return runWithFile(arguments["settings"].as<std::string>(), *vm,
                           arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "bilberryd: " << exception.what() << '\n';
        return ExitSettings;
    }
}

} // namespace bilberry::daemon
