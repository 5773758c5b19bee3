#include "burnreport.h"
#include "commands.h"
#include "output.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

std::string formatRate(double rate)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << rate;
    return out.str();
}

json::array toJson(const std::vector<BurnRow> &rows)
{
    json::array result;
    for (const BurnRow &row : rows) {
        json::array windows;
        for (std::size_t i = 0; i < row.rates.size(); ++i)
            windows.push_back(json::object{{"seconds", decision::burnWindowSeconds.at(i)},
                                           {"good", row.counts.at(i).good},
                                           {"bad", row.counts.at(i).bad},
                                           {"burn", row.rates.at(i)}});
        result.push_back(json::object{{"customer", row.key.customer.text()},
                                      {"pool", row.key.pool.text()},
                                      {"level", toText(row.level)},
                                      {"windows", windows}});
    }
    return result;
}

Table toTable(const std::vector<BurnRow> &rows)
{
    Table table{{"CUSTOMER", "POOL", "5MIN", "30MIN", "1H", "6H", "GOOD-6H", "BAD-6H", "LEVEL"},
                {}};
    for (const BurnRow &row : rows) {
        std::vector<std::string> cells{row.key.customer.text(), row.key.pool.text()};
        for (const double rate : row.rates)
            cells.push_back(formatRate(rate));
        cells.push_back(std::to_string(row.counts.back().good));
        cells.push_back(std::to_string(row.counts.back().bad));
        cells.emplace_back(toText(row.level));
        table.rows.push_back(cells);
    }
    return table;
}

/// Status of a daemon that has no such report: an agent, which an operator may name by its address.
constexpr unsigned statusWithoutReport = 404;

std::vector<store::Vm> routersOf(const std::vector<store::Vm> &vms)
{
    std::vector<store::Vm> routers;
    for (const store::Vm &vm : vms) {
        if (vm.role == store::VmRole::Router)
            routers.push_back(vm);
    }
    return routers;
}

} // namespace

ExitCode reportBurn(const CommandOptions &options)
{
    FleetClient client(options.platform);
    const auto vms = client.daemons(options.daemons);
    if (!vms) {
        printError("the list of VMs", vms.error());
        return ExitFailure;
    }
    const auto current = client.currentConfiguration(options.daemons);
    if (!current) {
        printError("the configuration", current.error());
        return ExitFailure;
    }
    BurnReport report;
    std::vector<std::string> unanswered;
    for (const DaemonAnswer &answer :
         client.callAll(routersOf(vms.value()), "/v1/burn", {"GET", ""}, callTimeout)) {
        const bool isRouter
                = !answer.response || answer.response.value().status != statusWithoutReport;
        if (isRouter && (!answer.response || !report.add(answer.response.value().body)))
            unanswered.push_back(answer.vm.name);
    }
    const auto rows = report.rows(current.value()->parts());
    if (options.json) {
        print(json::object{{"rows", toJson(rows)},
                           {"noAnswer", json::array(unanswered.begin(), unanswered.end())}});
    } else {
        print(toTable(rows));
        for (const std::string &name : unanswered)
            std::cout << "no answer, so not counted: " << name << '\n';
    }
    return unanswered.empty() ? ExitOk : ExitNotInForce;
}

} // namespace bilberry::ctl
