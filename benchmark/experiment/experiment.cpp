// Runs one load against a fleet of real processes, once for each fairness mode, and prints the
// measures side by side.

#include "benchmarkoptions.h"
#include "measures.h"

#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace bilberry::benchmark {

namespace {

namespace json = boost::json;

constexpr auto warmUp = std::chrono::seconds(3);
constexpr auto zoneMovePhase = std::chrono::seconds(3);

/// Control bytes per second of the processes of a role.
struct ControlRate
{
    double highest = 0.0; ///< of the busiest process
    double mean = 0.0;    ///< over all processes
};

struct ModeResult
{
    std::string mode;
    FairnessMeasures fairness;
    ControlRate routers;
    ControlRate agents;
    double platformCallsPerSecond = 0.0;
    CallMeasures zoneMove;
};

/// @return the sum of the control byte counters of a process
double controlBytes(const tests::Fleet &fleet, std::uint16_t adminPort)
{
    std::istringstream lines(fleet.admin(adminPort, "/metrics"));
    double sum = 0.0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("bilberry_control_bytes_total"))
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

std::vector<double> routerBytes(const tests::Fleet &fleet)
{
    std::vector<double> bytes;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        bytes.push_back(controlBytes(fleet, fleet.routerAdminPort(i)));
    return bytes;
}

std::vector<double> agentBytes(const tests::Fleet &fleet)
{
    std::vector<double> bytes;
    for (const tests::ServerPlan &server : fleet.plan().servers)
        bytes.push_back(controlBytes(fleet, fleet.agentAdminPort(server.name)));
    return bytes;
}

ControlRate controlRate(const std::vector<double> &before, const std::vector<double> &after,
                        double seconds)
{
    ControlRate rate;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double processRate = (after[i] - before[i]) / seconds;
        rate.highest = std::max(rate.highest, processRate);
        rate.mean += processRate / static_cast<double>(before.size());
    }
    return rate;
}

void measureSaturated(tests::Fleet &fleet, const Deployment &deployment, LoadGenerator &load,
                      Duration length, ModeResult &result)
{
    const TimePoint from = Clock::now() + warmUp;
    const TimePoint until = from + length;
    const auto calls = load.run({}, until, [&] {
        std::this_thread::sleep_until(from);
        const auto routersBefore = routerBytes(fleet);
        const auto agentsBefore = agentBytes(fleet);
        const std::uint64_t platformCallsBefore = fleet.platform().calls();
        const TimePoint countersReadAt = Clock::now();
        std::this_thread::sleep_until(until);
        const double seconds = toMilliseconds(Clock::now() - countersReadAt) / 1000.0;
        result.platformCallsPerSecond
                = static_cast<double>(fleet.platform().calls() - platformCallsBefore) / seconds;
        result.routers = controlRate(routersBefore, routerBytes(fleet), seconds);
        result.agents = controlRate(agentsBefore, agentBytes(fleet), seconds);
    });
    result.fairness = measureFairness(deployment, modelExecutions(fleet), calls, from, until);
}

/// Loads about half of the slots while a zone is taken out of service and returned.
void measureZoneMove(tests::Fleet &fleet, LoadGenerator &load, ModeResult &result)
{
    LoadPlan plan;
    plan.saturating = false;
    plan.openRequestsPerSecond = 12.0;
    plan.openMeanCostMs = 120.0;
    const TimePoint start = Clock::now();
    const auto apply = [&](const std::string &inService) {
        const std::string note = fleet.write(
                "zone.yaml", "changed:\n  zones: { a: { inService: " + inService + " } }\n");
        if (fleet.ctl({"apply", note}).exitCode != 0)
            std::fputs("The change of zone a failed or is not in force everywhere.\n", stderr);
    };
    const auto calls = load.run(plan, start + 3 * zoneMovePhase, [&] {
        std::this_thread::sleep_until(start + zoneMovePhase);
        apply("false");
        std::this_thread::sleep_until(start + 2 * zoneMovePhase);
        apply("true");
    });
    result.zoneMove = measureCalls(calls);
}

struct RunSettings
{
    std::string deployment;
    Duration length{};
    bool streamed = true;
    std::vector<std::string> routerSettings; ///< "section.key=value"
};

/// @return the measures; absent when the fleet does not start
std::optional<ModeResult> runMode(const RunSettings &settings, const std::string &mode)
{
    ModeResult result;
    result.mode = mode;
    Deployment deployment = makeDeployment(settings.deployment, mode);
    deployment.streamed = settings.streamed;
    for (const std::string &line : settings.routerSettings) {
        const std::size_t equals = line.find('=');
        deployment.plan.routerSettings[line.substr(0, equals)] = line.substr(equals + 1);
    }
    tests::Fleet fleet(deployment.plan);
    if (!fleet.start()) {
        std::fputs("Cannot start the fleet of the deployment.\n", stderr);
        return std::nullopt;
    }
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        ports.push_back(fleet.callerPort(i));
    LoadGenerator load(deployment, ports);
    measureSaturated(fleet, deployment, load, settings.length, result);
    measureZoneMove(fleet, load, result);
    return result;
}

json::object toJson(const ModeResult &result)
{
    return {{"mode", result.mode},
            {"gapMs", result.fairness.gapMs},
            {"gapInLargestCharges", result.fairness.gapInLargestCharges},
            {"gapBetween", result.fairness.gapBetween},
            {"servicePerShareMs", json::value_from(result.fairness.servicePerShare)},
            {"utilisation", result.fairness.utilisation},
            {"routerControlBytesPerSecond", result.routers.highest},
            {"agentControlBytesPerSecond", result.agents.highest},
            {"platformCallsPerSecond", result.platformCallsPerSecond},
            {"zoneMoveCalls", result.zoneMove.calls},
            {"zoneMoveFailedRepeatable", result.zoneMove.failedRepeatable},
            {"zoneMoveInTime", result.zoneMove.inTimeFraction},
            {"zoneMoveP95FirstByteMs", result.zoneMove.p95FirstByteMs}};
}

using CellFormatter = std::function<std::string(const ModeResult &)>;

void printRow(const char *title, const std::vector<ModeResult> &results,
              const CellFormatter &formatCell)
{
    std::printf("%-46s", title);
    for (const ModeResult &result : results)
        std::printf(" %14s", formatCell(result).c_str());
    std::printf("\n");
}

std::string formatNumber(double value, int digits)
{
    std::ostringstream text;
    text.precision(digits);
    text << std::fixed << value;
    return text.str();
}

std::string formatRate(const ControlRate &rate)
{
    return formatNumber(rate.mean, 0) + "/" + formatNumber(rate.highest, 0);
}

void printTable(const Deployment &deployment, const std::vector<ModeResult> &results)
{
    printRow(deployment.name.c_str(), results, [](const auto &r) { return r.mode; });
    printRow("fairness gap, ms of service per share", results,
             [](const auto &r) { return formatNumber(r.fairness.gapMs, 0); });
    printRow("  in charges of the largest request (aim 2)", results,
             [](const auto &r) { return formatNumber(r.fairness.gapInLargestCharges, 2); });
    printRow("utilisation while work waits (aim 97 %)", results,
             [](const auto &r) { return formatNumber(100.0 * r.fairness.utilisation, 1); });
    printRow("control B/s of a router, mean/highest", results,
             [](const auto &r) { return formatRate(r.routers); });
    printRow("control B/s of an agent, mean/highest", results,
             [](const auto &r) { return formatRate(r.agents); });
    printRow("platform calls a second", results,
             [](const auto &r) { return formatNumber(r.platformCallsPerSecond, 1); });
    printRow("zone move: repeatable calls failed (aim 0)", results,
             [](const auto &r) { return std::to_string(r.zoneMove.failedRepeatable); });
    printRow("zone move: answered in time, %", results,
             [](const auto &r) { return formatNumber(100.0 * r.zoneMove.inTimeFraction, 2); });
    printRow("zone move: p95 first byte, ms", results,
             [](const auto &r) { return formatNumber(r.zoneMove.p95FirstByteMs, 0); });
    std::printf("service per share, ms:\n");
    for (std::size_t i = 0; i < deployment.customers.size(); ++i) {
        const CustomerLoad &customer = deployment.customers[i];
        const std::string title
                = "  " + customer.name + ", share " + formatNumber(customer.share, 0);
        printRow(title.c_str(), results,
                 [i](const auto &r) { return formatNumber(r.fairness.servicePerShare.at(i), 0); });
    }
    for (const ModeResult &result : results)
        std::printf("%s: the gap is between %s\n", result.mode.c_str(),
                    result.fairness.gapBetween.c_str());
}

} // namespace

} // namespace bilberry::benchmark

int main(int argc, char **argv)
{
    using namespace bilberry::benchmark;
    cxxopts::Options options("experiment", "Measures fairness, utilisation and control traffic.");
    options.add_options()("deployment", "ovsena or krathin",
                          cxxopts::value<std::string>()->default_value("ovsena"))(
            "seconds", "length of the saturated phase in seconds",
            cxxopts::value<int>()->default_value("15"))(
            "modes", "fairness modes, comma separated",
            cxxopts::value<std::vector<std::string>>()->default_value("fleet,local,fifo"))(
            "whole", "model servers send each answer whole, at its end")(
            "set", "router setting, section.key=value; may be repeated",
            cxxopts::value<std::vector<std::string>>()->default_value(""))("json", "print JSON")(
            "help", "print this help");
    const auto parsed = parseOptions(options, argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    RunSettings settings;
    settings.deployment = parsed["deployment"].as<std::string>();
    settings.length = std::chrono::seconds(parsed["seconds"].as<int>());
    settings.streamed = parsed.count("whole") == 0;
    if (parsed.count("set") > 0)
        settings.routerSettings = parsed["set"].as<std::vector<std::string>>();
    std::vector<ModeResult> results;
    for (const std::string &mode : parsed["modes"].as<std::vector<std::string>>()) {
        const std::optional<ModeResult> result = runMode(settings, mode);
        if (!result)
            return 1;
        results.push_back(*result);
    }
    if (parsed.count("json") == 0) {
        printTable(makeDeployment(settings.deployment, "fleet"), results);
        return 0;
    }
    boost::json::array modes;
    for (const ModeResult &result : results)
        modes.push_back(toJson(result));
    std::cout << boost::json::serialize(modes) << "\n";
    return 0;
}
