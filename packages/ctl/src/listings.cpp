#include "commands.h"
#include "output.h"

#include <iostream>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr Duration callLimit = std::chrono::seconds(2);

std::string joined(const std::vector<ZoneId> &zones)
{
    std::string text;
    for (const ZoneId &zone : zones)
        text += (text.empty() ? "" : ",") + zone.text();
    return text;
}

const char *toText(Repeatability repeatability)
{
    switch (repeatability) {
    case Repeatability::Always:
        return "always";
    case Repeatability::Never:
        return "never";
    case Repeatability::ByMethod:
        break;
    }
    return "by-method";
}

Table zones(const ConfigurationParts &parts)
{
    Table table{{"ZONE", "SERVICE"}, {}};
    for (const auto &[id, zone] : parts.zones)
        table.rows.push_back({id.text(), zone.inService ? "in" : "out"});
    return table;
}

Table pools(const ConfigurationParts &parts)
{
    Table table{{"POOL", "ZONES", "COLD-LIMIT", "FULL-LIMIT", "QUEUE-LIMIT", "COST-UNIT",
                 "TOKEN-COST-MS", "FIRST-BYTE-MS", "GOOD-FRACTION"},
                {}};
    for (const auto &[id, pool] : parts.pools)
        table.rows.push_back({id.text(), joined(pool.zones), std::to_string(pool.coldLimit),
                              std::to_string(pool.fullLimit), std::to_string(pool.queueLimit),
                              pool.costUnit == CostUnit::Tokens ? "tokens" : "slot-time",
                              numberText(pool.tokenCost),
                              numberText(pool.objective.firstByteMilliseconds),
                              numberText(pool.objective.goodFraction)});
    return table;
}

Table customers(const ConfigurationParts &parts)
{
    Table table{{"CUSTOMER", "SHARE", "KEYS"}, {}};
    for (const auto &[id, customer] : parts.customers)
        table.rows.push_back({id.text(), numberText(customer.share),
                              std::to_string(customer.keyDigests.size())});
    return table;
}

Table routes(const ConfigurationParts &parts)
{
    Table table{{"PREFIX", "POOL", "REPEATABLE"}, {}};
    for (const auto &[prefix, route] : parts.routes)
        table.rows.push_back({prefix, route.pool.text(), toText(route.repeatability)});
    return table;
}

/// Servers come from the platform's list, their pools from the agents themselves.
Table servers(const std::vector<DaemonStatus> &agents)
{
    Table table{{"SERVER", "POOL", "ZONE", "ADDRESS", "ACCEPTING", "COLD"}, {}};
    for (const DaemonStatus &agent : agents) {
        const std::string unknown = "no answer";
        const std::string address = agent.vm.address + ":" + std::to_string(agent.vm.port);
        if (agent.answered())
            table.rows.push_back({agent.vm.name, agent.text("pool"), agent.text("zone"), address,
                                  agent.flag("accepting") ? "yes" : "no",
                                  agent.flag("cold") ? "yes" : "no"});
        else
            table.rows.push_back(
                    {agent.vm.name, unknown, agent.vm.zone.text(), address, unknown, unknown});
    }
    return table;
}

/// @return one object a row, the column's heads in lower case as keys
json::array toJson(const Table &table)
{
    json::array rows;
    for (const auto &row : table.rows) {
        json::object object;
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::string key = table.head[i];
            for (char &c : key)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            object[key] = row[i];
        }
        rows.push_back(object);
    }
    return rows;
}

ExitCode listServers(const CommandOptions &options)
{
    FleetClient client(options.platform);
    const auto vms = client.daemons(options.daemons);
    if (!vms) {
        printError("the list of VMs", vms.error());
        return ExitFailure;
    }
    // Daemons of the command line tell their role only by their answer.
    std::vector<DaemonStatus> agents;
    for (const DaemonStatus &daemon : client.statusAll(vms.value(), callLimit)) {
        const bool saysRouter = daemon.text("role") == "router";
        const bool listed = options.daemons.empty() && daemon.vm.role == store::VmRole::Router;
        if (!saysRouter && !listed)
            agents.push_back(daemon);
    }
    const Table table = servers(agents);
    if (options.json)
        print(toJson(table));
    else
        print(table);
    return ExitOk;
}

Table tableOf(Listing listing, const ConfigurationParts &parts)
{
    switch (listing) {
    case Listing::Zones:
        return zones(parts);
    case Listing::Pools:
        return pools(parts);
    case Listing::Customers:
        return customers(parts);
    case Listing::Routes:
    case Listing::Servers:
        break;
    }
    return routes(parts);
}

} // namespace

ExitCode list(const CommandOptions &options, Listing listing)
{
    if (listing == Listing::Servers)
        return listServers(options);
    FleetClient client(options.platform);
    const auto present = client.present(options.daemons);
    if (!present) {
        printError("the configuration", present.error());
        return ExitFailure;
    }
    const Table table = tableOf(listing, present.value()->parts());
    if (options.json)
        print(toJson(table));
    else
        print(table);
    return ExitOk;
}

ExitCode show(const CommandOptions &options)
{
    FleetClient client(options.platform);
    const auto present = client.present(options.daemons);
    if (!present) {
        printError("the configuration", present.error());
        return ExitFailure;
    }
    const Configuration &configuration = *present.value();
    const ConfigurationParts &parts = configuration.parts();
    if (options.json)
        print(json::object{{"revision", configuration.revision()},
                           {"zones", toJson(zones(parts))},
                           {"pools", toJson(pools(parts))},
                           {"customers", toJson(customers(parts))},
                           {"routes", toJson(routes(parts))}});
    else
        std::cout << "# revision " << configuration.revision() << '\n' << writeReleaseNote(parts);
    return ExitOk;
}

} // namespace bilberry::ctl
