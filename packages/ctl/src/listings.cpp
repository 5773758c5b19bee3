#include "commands.h"
#include "output.h"

#include <iostream>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

std::string joinNames(const std::vector<ZoneId> &zones)
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

Table zoneTable(const ConfigurationParts &parts)
{
    Table table{{"ZONE", "SERVICE"}, {}};
    for (const auto &[id, zone] : parts.zones)
        table.rows.push_back({id.text(), zone.inService ? "in" : "out"});
    return table;
}

Table poolTable(const ConfigurationParts &parts)
{
    Table table{{"POOL", "ZONES", "COLD-LIMIT", "FULL-LIMIT", "QUEUE-LIMIT", "COST-UNIT",
                 "TOKEN-COST-MS", "FIRST-BYTE-MS", "GOOD-FRACTION"},
                {}};
    for (const auto &[id, pool] : parts.pools)
        table.rows.push_back({id.text(), joinNames(pool.zones), std::to_string(pool.coldLimit),
                              std::to_string(pool.fullLimit), std::to_string(pool.queueLimit),
                              pool.costUnit == CostUnit::Tokens ? "tokens" : "slot-time",
                              formatNumber(pool.tokenCost),
                              formatNumber(pool.objective.firstByteMilliseconds),
                              formatNumber(pool.objective.goodFraction)});
    return table;
}

Table customerTable(const ConfigurationParts &parts)
{
    Table table{{"CUSTOMER", "SHARE", "KEYS"}, {}};
    for (const auto &[id, customer] : parts.customers)
        table.rows.push_back({id.text(), formatNumber(customer.share),
                              std::to_string(customer.keyDigests.size())});
    return table;
}

Table routeTable(const ConfigurationParts &parts)
{
    Table table{{"PREFIX", "POOL", "REPEATABLE"}, {}};
    for (const auto &[prefix, route] : parts.routes)
        table.rows.push_back({prefix, route.pool.text(), toText(route.repeatability)});
    return table;
}

/// Addresses come from the list of VMs; pool and state come from the agents' status.
Table serverTable(const std::vector<DaemonStatus> &agents)
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

/// @return one object per row, with the column headings in lower case as keys
json::array toJson(const Table &table)
{
    json::array rows;
    for (const auto &row : table.rows) {
        json::object object;
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::string key = table.headings[i];
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
    // The role of daemons given on the command line is known only from their status.
    std::vector<DaemonStatus> agents;
    for (const DaemonStatus &daemon : client.statusAll(vms.value(), callTimeout)) {
        const bool reportedRouter = daemon.text("role") == "router";
        const bool listedRouter
                = options.daemons.empty() && daemon.vm.role == store::VmRole::Router;
        if (!reportedRouter && !listedRouter)
            agents.push_back(daemon);
    }
    const Table table = serverTable(agents);
    if (options.json)
        print(toJson(table));
    else
        print(table);
    return ExitOk;
}

Table configurationTable(Listing listing, const ConfigurationParts &parts)
{
    switch (listing) {
    case Listing::Zones:
        return zoneTable(parts);
    case Listing::Pools:
        return poolTable(parts);
    case Listing::Customers:
        return customerTable(parts);
    case Listing::Routes:
    case Listing::Servers:
        break;
    }
    return routeTable(parts);
}

} // namespace

ExitCode list(const CommandOptions &options, Listing listing)
{
    if (listing == Listing::Servers)
        return listServers(options);
    FleetClient client(options.platform);
    const auto current = client.currentConfiguration(options.daemons);
    if (!current) {
        printError("the configuration", current.error());
        return ExitFailure;
    }
    const Table table = configurationTable(listing, current.value()->parts());
    if (options.json)
        print(toJson(table));
    else
        print(table);
    return ExitOk;
}

ExitCode show(const CommandOptions &options)
{
    FleetClient client(options.platform);
    const auto current = client.currentConfiguration(options.daemons);
    if (!current) {
        printError("the configuration", current.error());
        return ExitFailure;
    }
    const Configuration &configuration = *current.value();
    const ConfigurationParts &parts = configuration.parts();
    if (options.json)
        print(json::object{{"revision", configuration.revision()},
                           {"zones", toJson(zoneTable(parts))},
                           {"pools", toJson(poolTable(parts))},
                           {"customers", toJson(customerTable(parts))},
                           {"routes", toJson(routeTable(parts))}});
    else
        std::cout << "# revision " << configuration.revision() << '\n' << writeReleaseNote(parts);
    return ExitOk;
}

} // namespace bilberry::ctl
