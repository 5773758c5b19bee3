#include "acceptance.h"

#include "output.h"

#include "bilberry/base/digest.h"
#include "bilberry/model/configurationcodec.h"

#include <iostream>
#include <thread>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr Duration callLimit = std::chrono::seconds(1);
constexpr Duration pollPeriod = std::chrono::milliseconds(100);
constexpr int conflictTries = 5;

/// Where an accepted revision is not in force.
struct Spread
{
    std::error_code listError; ///< set when the daemons are not known
    std::vector<std::string> behind;

    bool everywhere() const { return !listError && behind.empty(); }
};

/// Asks the daemons for their revision.
/// @return those that have an older one or don't answer
std::vector<store::Vm> stillBehind(FleetClient &client, const std::vector<store::Vm> &vms,
                                   Revision revision)
{
    std::vector<store::Vm> behind;
    for (const DaemonStatus &daemon : client.statusAll(vms, callLimit)) {
        if (!daemon.answered() || daemon.revision() < revision)
            behind.push_back(daemon.vm);
    }
    return behind;
}

/// Hands the revision to every daemon and waits until all have it in force.
Spread spread(FleetClient &client, const CommandOptions &options,
              const Configuration &configuration)
{
    const auto vms = client.daemons(options.daemons);
    if (!vms)
        return {vms.error(), {}};
    client.callAll(vms.value(), "/v1/configuration", {"PUT", encodeConfiguration(configuration)},
                   callLimit);
    const TimePoint deadline = Clock::now() + options.timeout;
    std::vector<store::Vm> behind = stillBehind(client, vms.value(), configuration.revision());
    while (!behind.empty() && Clock::now() < deadline) {
        std::this_thread::sleep_for(pollPeriod);
        behind = stillBehind(client, behind, configuration.revision());
    }
    Spread result;
    for (const store::Vm &vm : behind)
        result.behind.push_back(vm.name);
    return result;
}

void printAccepted(const CommandOptions &options, Revision revision,
                   const std::vector<PlannedChange> &changes, const Spread &spread)
{
    if (options.json) {
        json::object answer{
                {"revision", revision},
                {"changes", toJson(changes)},
                {"inForceEverywhere", spread.everywhere()},
                {"notInForce", json::array(spread.behind.begin(), spread.behind.end())}};
        print(answer);
        return;
    }
    print(changes);
    std::cout << "revision " << revision << (changes.empty() ? " unchanged\n" : " accepted\n");
    if (spread.everywhere())
        std::cout << "in force everywhere\n";
    for (const std::string &name : spread.behind)
        std::cout << "not in force: " << name << '\n';
}

ExitCode finish(FleetClient &client, const CommandOptions &options,
                const Configuration &configuration, const std::vector<PlannedChange> &changes)
{
    const Spread result = spread(client, options, configuration);
    printAccepted(options, configuration.revision(), changes, result);
    if (result.listError)
        printError("the list of VMs", result.listError);
    return result.everywhere() ? ExitOk : ExitNotInForce;
}

ExitCode reportConflict(FleetClient &client, const CommandOptions &options,
                        const store::AcceptedConfiguration &base)
{
    std::vector<PlannedChange> changes;
    const auto now = client.load();
    if (now)
        changes = difference(base.configuration->parts(), now.value().configuration->parts());
    std::cerr << "bilberryctl: another change was accepted first; nothing was changed\n";
    if (options.json)
        print(json::object{{"conflict", toJson(changes)}});
    else
        print(changes);
    return ExitConflict;
}

/// One try: an exit code, or nothing when another change was accepted first.
std::optional<ExitCode> attempt(FleetClient &client, const CommandOptions &options,
                                const store::AcceptedConfiguration &base, const Derive &derive)
{
    const ConfigurationParts &before = base.configuration->parts();
    const auto parts = derive(before);
    if (!parts)
        return ExitUsage;
    const auto changes = difference(before, *parts);
    if (changes.empty())
        return finish(client, options, *base.configuration, changes);
    const auto accepted = client.accept(base, *parts, randomToken());
    if (accepted)
        return finish(client, options, *accepted.value().configuration, changes);
    if (accepted.error() == store::StoreErrc::Conflict)
        return std::nullopt;
    printError("accepting the change", accepted.error());
    return accepted.error() == store::StoreErrc::OutcomeUnknown ? ExitUnknown : ExitFailure;
}

} // namespace

ExitCode changeConfiguration(const CommandOptions &options, const Derive &derive,
                             OnConflict onConflict)
{
    FleetClient client(options.platform);
    const int tries = onConflict == OnConflict::Rederive ? conflictTries : 1;
    for (int i = 1;; ++i) {
        const auto base = client.load();
        if (!base) {
            printError("the configuration", base.error());
            return ExitFailure;
        }
        const auto done = attempt(client, options, base.value(), derive);
        if (done)
            return *done;
        if (i == tries)
            return reportConflict(client, options, base.value());
    }
}

} // namespace bilberry::ctl
