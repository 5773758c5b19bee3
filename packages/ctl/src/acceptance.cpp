#include "acceptance.h"

#include "output.h"

#include "bilberry/base/digest.h"
#include "bilberry/model/configurationcodec.h"

#include <iostream>
#include <thread>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(1);
constexpr Duration pollPeriod = std::chrono::milliseconds(100);
constexpr int maxAttempts = 5;

/// Result of distributing an accepted revision to the daemons.
struct Rollout
{
    std::error_code listError;         ///< set when the list of daemons could not be read
    std::vector<std::string> outdated; ///< names of the daemons without the revision

    bool complete() const { return !listError && outdated.empty(); }
};

/// Requests the revision in force from each daemon.
/// @return daemons with an older revision, and those that do not answer
std::vector<store::Vm> outdatedDaemons(FleetClient &client, const std::vector<store::Vm> &vms,
                                       Revision revision)
{
    std::vector<store::Vm> outdated;
    for (const DaemonStatus &daemon : client.statusAll(vms, callTimeout)) {
        if (!daemon.answered() || daemon.revision() < revision)
            outdated.push_back(daemon.vm);
    }
    return outdated;
}

/// Sends the configuration to every daemon and waits until all apply it or `options.timeout` ends.
Rollout rollOut(FleetClient &client, const CommandOptions &options,
                const Configuration &configuration)
{
    const auto vms = client.daemons(options.daemons);
    if (!vms)
        return {vms.error(), {}};
    client.callAll(vms.value(), "/v1/configuration", {"PUT", encodeConfiguration(configuration)},
                   callTimeout);
    const TimePoint deadline = Clock::now() + options.timeout;
    std::vector<store::Vm> outdated
            = outdatedDaemons(client, vms.value(), configuration.revision());
    while (!outdated.empty() && Clock::now() < deadline) {
        std::this_thread::sleep_for(pollPeriod);
        outdated = outdatedDaemons(client, outdated, configuration.revision());
    }
    Rollout result;
    for (const store::Vm &vm : outdated)
        result.outdated.push_back(vm.name);
    return result;
}

void printAccepted(const CommandOptions &options, Revision revision,
                   const std::vector<PlannedChange> &changes, const Rollout &rollout)
{
    if (options.json) {
        json::object answer{
                {"revision", revision},
                {"changes", toJson(changes)},
                {"inForceEverywhere", rollout.complete()},
                {"notInForce", json::array(rollout.outdated.begin(), rollout.outdated.end())}};
        print(answer);
        return;
    }
    print(changes);
    std::cout << "revision " << revision << (changes.empty() ? " unchanged\n" : " accepted\n");
    if (rollout.complete())
        std::cout << "in force everywhere\n";
    for (const std::string &name : rollout.outdated)
        std::cout << "not in force: " << name << '\n';
}

ExitCode rollOutAndPrint(FleetClient &client, const CommandOptions &options,
                         const Configuration &configuration,
                         const std::vector<PlannedChange> &changes)
{
    const Rollout result = rollOut(client, options, configuration);
    printAccepted(options, configuration.revision(), changes, result);
    if (result.listError)
        printError("the list of VMs", result.listError);
    return result.complete() ? ExitOk : ExitNotInForce;
}

ExitCode reportConflict(FleetClient &client, const CommandOptions &options,
                        const store::AcceptedConfiguration &base)
{
    std::vector<PlannedChange> changes;
    const auto current = client.load();
    if (current)
        changes = difference(base.configuration->parts(), current.value().configuration->parts());
    std::cerr << "bilberryctl: another change was accepted first; nothing was changed\n";
    if (options.json)
        print(json::object{{"conflict", toJson(changes)}});
    else
        print(changes);
    return ExitConflict;
}

/// Tries once to derive, accept and distribute a configuration.
/// @return exit code; nothing when another change was accepted first
std::optional<ExitCode> tryChange(FleetClient &client, const CommandOptions &options,
                                  const store::AcceptedConfiguration &base,
                                  const DeriveFunction &derive)
{
    const ConfigurationParts &before = base.configuration->parts();
    const auto parts = derive(before);
    if (!parts)
        return ExitUsage;
    const auto changes = difference(before, *parts);
    if (changes.empty())
        return rollOutAndPrint(client, options, *base.configuration, changes);
    const auto accepted = client.accept(base, *parts, randomToken());
    if (accepted)
        return rollOutAndPrint(client, options, *accepted.value().configuration, changes);
    if (accepted.error() == store::StoreErrc::Conflict)
        return std::nullopt;
    printError("accepting the change", accepted.error());
    return accepted.error() == store::StoreErrc::OutcomeUnknown ? ExitUnknown : ExitFailure;
}

} // namespace

ExitCode changeConfiguration(const CommandOptions &options, const DeriveFunction &derive,
                             OnConflict onConflict)
{
    FleetClient client(options.platform);
    const int attempts = onConflict == OnConflict::Retry ? maxAttempts : 1;
    for (int i = 1;; ++i) {
        const auto base = client.load();
        if (!base) {
            printError("the configuration", base.error());
            return ExitFailure;
        }
        const auto exitCode = tryChange(client, options, base.value(), derive);
        if (exitCode)
            return *exitCode;
        if (i == attempts)
            return reportConflict(client, options, base.value());
    }
}

} // namespace bilberry::ctl
