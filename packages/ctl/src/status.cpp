#include "commands.h"
#include "output.h"

#include <iostream>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

/// @return "accepting/all" counts of the backend servers in a router's status
std::string acceptingServers(const DaemonStatus &daemon)
{
    const json::value *agents = daemon.status.if_contains("agents");
    if (!agents || !agents->is_array())
        return "0/0";
    std::size_t accepting = 0;
    for (const json::value &agent : agents->as_array()) {
        const json::object *object = agent.if_object();
        const json::value *flag = object ? object->if_contains("accepting") : nullptr;
        accepting += flag && flag->is_bool() && flag->as_bool() ? 1 : 0;
    }
    return std::to_string(accepting) + "/" + std::to_string(agents->as_array().size());
}

std::vector<std::string> tableRow(const DaemonStatus &daemon)
{
    const bool isRouter = daemon.text("role") == "router";
    std::string accepting = daemon.flag("accepting") ? "yes" : "no";
    if (isRouter)
        accepting = acceptingServers(daemon);
    const auto number = [&](const char *key) {
        return isRouter ? std::string("-") : std::to_string(daemon.number(key));
    };
    std::string name = daemon.text("name");
    if (name.empty())
        name = daemon.vm.name;
    return {name,      daemon.text("role"), daemon.text("zone"), std::to_string(daemon.revision()),
            accepting, number("window"),    number("running")};
}

void printTable(const std::vector<DaemonStatus> &daemons)
{
    Table table{{"NAME", "ROLE", "ZONE", "REVISION", "ACCEPTING", "WINDOW", "RUNNING"}, {}};
    for (const DaemonStatus &daemon : daemons) {
        if (daemon.answered())
            table.rows.push_back(tableRow(daemon));
    }
    print(table);
    for (const DaemonStatus &daemon : daemons) {
        if (!daemon.answered())
            std::cout << "no answer: " << daemon.vm.name << " (" << daemon.error.message() << ")\n";
    }
}

void printJson(const std::vector<DaemonStatus> &daemons)
{
    json::array answers;
    json::array unanswered;
    for (const DaemonStatus &daemon : daemons) {
        if (daemon.answered())
            answers.push_back(daemon.status);
        else
            unanswered.push_back(
                    json::object{{"name", daemon.vm.name}, {"error", daemon.error.message()}});
    }
    print(json::object{{"daemons", answers}, {"noAnswer", unanswered}});
}

} // namespace

ExitCode status(const CommandOptions &options)
{
    FleetClient client(options.platform);
    const auto vms = client.daemons(options.daemons);
    if (!vms) {
        printError("the list of VMs", vms.error());
        return ExitFailure;
    }
    const auto daemons = client.statusAll(vms.value(), callTimeout);
    if (options.json)
        printJson(daemons);
    else
        printTable(daemons);
    for (const DaemonStatus &daemon : daemons) {
        if (!daemon.answered())
            return ExitNotInForce;
    }
    return ExitOk;
}

} // namespace bilberry::ctl
