/// Starts a fleet of 3 routers and 12 servers, saturates it, takes a zone out of service and back,
/// and prints fairness, utilisation and control traffic.
#include "demoload.h"
#include "demomeasure.h"

#include "bilberry/base/digest.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <numeric>

using namespace bilberry;
using namespace bilberry::tools;
using tests::Fleet;
using tests::FleetPlan;

namespace {

constexpr int modelsPerZone = 3;
constexpr std::size_t slotsPerServer = 4;
constexpr auto warmUp = std::chrono::seconds(4);
constexpr auto steadyTime = std::chrono::seconds(7);
constexpr auto zoneOutTime = std::chrono::seconds(5);
constexpr auto zoneBackTime = std::chrono::seconds(4);
constexpr auto samplePeriod = std::chrono::milliseconds(250);
/// Time after the end of `zone out` in which requests may still start in the zone.
constexpr auto settleTime = std::chrono::seconds(3);

const std::vector<std::string> zones = {"a", "b", "c"};
const std::string movedZone = "b";

volatile std::sig_atomic_t interrupted = 0;

void onSignal(int)
{
    interrupted = 1;
}

/// @return three large customers and thirteen small ones, each with more requests than its share
/// of the slots can serve
std::vector<DemoCustomer> makeCustomers()
{
    constexpr int count = 16;
    constexpr int large = 3;
    std::vector<DemoCustomer> customers;
    for (int i = 1; i <= count; ++i) {
        const std::string name = (i <= large ? "large-" : "small-") + std::to_string(i);
        if (i <= large)
            customers.push_back({name, 4.0, 14});
        else
            customers.push_back({name, 1.0, 5});
    }
    return customers;
}

std::string releaseNote(const std::vector<DemoCustomer> &customers)
{
    std::string note = "added:\n  zones: { a: {}, b: {}, c: {} }\n  pools:\n";
    const std::string limits = "{ zones: [a, b, c], coldLimit: 2, fullLimit: "
                               + std::to_string(slotsPerServer) + " }\n";
    note += "    models: " + limits + "    orders: " + limits + "  customers:\n";
    for (const DemoCustomer &customer : customers)
        note += "    " + customer.name + ": { share: " + std::to_string(customer.share)
                + ", keyDigests: [" + sha256Hex(apiKey(customer)) + "] }\n";
    return note
           + "  routes:\n"
             "    /v1/chat: { pool: models, repeatable: always }\n"
             "    /v1/stock: { pool: orders }\n"
             "    /v1/bookings: { pool: orders, repeatable: never }\n";
}

FleetPlan makePlan(const std::vector<DemoCustomer> &customers)
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = zones;
    for (const std::string &zone : zones) {
        for (int i = 0; i < modelsPerZone; ++i)
            plan.servers.push_back({"model-" + zone + std::to_string(i), "models", zone});
        plan.servers.push_back({"order-" + zone, "orders", zone});
    }
    plan.releaseNote = releaseNote(customers);
    return plan;
}

/// @return names of the model servers, with or without those of the zone that is taken out
std::vector<std::string> modelServers(const FleetPlan &plan, bool withMovedZone)
{
    std::vector<std::string> names;
    for (const tests::ServerPlan &server : plan.servers) {
        if (server.pool == "models" && (withMovedZone || server.zone != movedZone))
            names.push_back(server.name);
    }
    return names;
}

/// Waits and calls a function every `samplePeriod`.
/// @return false when SIGINT or SIGTERM interrupted the demo
bool sampleFor(Duration time, const std::function<void()> &sample)
{
    const TimePoint end = Clock::now() + time;
    while (Clock::now() < end && !interrupted) {
        std::this_thread::sleep_for(samplePeriod);
        sample();
    }
    return !interrupted;
}

/// @return number of requests that the servers of a zone started between two times
std::size_t countStarted(Fleet &fleet, const std::string &zone, TimePoint from, TimePoint until)
{
    std::size_t count = 0;
    for (const tests::ServerPlan &server : fleet.plan().servers) {
        if (server.zone != zone)
            continue;
        for (const tests::JournalEntry &entry : fleet.backend(server.name).journal())
            count += entry.startedAt > from && entry.startedAt < until ? 1 : 0;
    }
    return count;
}

void printService(const Service &service, const std::vector<DemoCustomer> &customers)
{
    std::printf("\nservice of the model servers, all zones in service\n");
    std::printf("  %-10s %6s %14s %16s\n", "customer", "share", "service [ms]", "service/share");
    for (const DemoCustomer &customer : customers) {
        const auto found = service.find(customer.name);
        const double ms = found == service.end() ? 0.0 : found->second;
        std::printf("  %-10s %6.1f %14.0f %16.0f\n", customer.name.c_str(), customer.share, ms,
                    ms / customer.share);
    }
}

void printControl(const std::map<std::string, double> &before,
                  const std::map<std::string, double> &after, double seconds)
{
    std::printf("\ncontrol bytes sent per second, by process\n");
    for (const auto &[name, bytes] : after)
        std::printf("  %-10s %8.0f\n", name.c_str(), (bytes - before.at(name)) / seconds);
}

void printRequests(const Fleet &fleet, const LoadCounts &counts)
{
    std::printf("\nrequests\n  complete answers %llu\n  missing or incomplete answers %llu\n",
                static_cast<unsigned long long>(counts.answered),
                static_cast<unsigned long long>(counts.incomplete));
    for (const auto &[kind, count] : counts.refused)
        std::printf("  refused %s %llu\n", kind.c_str(), static_cast<unsigned long long>(count));
    const auto twice = std::count_if(counts.bookings.begin(), counts.bookings.end(),
                                     [&](const std::string &tag) { return fleet.runs(tag) > 1; });
    std::printf("  bookings sent %zu, executed more than once %td\n", counts.bookings.size(),
                twice);
}

/// Runs bilberryctl and prints the command and its output.
/// @return whether its exit code was 0
bool runCtl(const Fleet &fleet, const std::vector<std::string> &words)
{
    std::printf("> bilberryctl");
    for (const std::string &word : words)
        std::printf(" %s", word.c_str());
    const tests::Finished finished = fleet.ctl(words);
    std::printf("\n%s", finished.output.c_str());
    std::fflush(stdout);
    return finished.exitCode == 0;
}

std::map<std::string, double> sharesOf(const std::vector<DemoCustomer> &customers)
{
    std::map<std::string, double> shares;
    for (const DemoCustomer &customer : customers)
        shares[customer.name] = customer.share;
    return shares;
}

/// Measures service, fairness gap, utilisation and control traffic with all zones in service.
/// @return false when interrupted
bool measureSteadyState(Fleet &fleet, const std::vector<DemoCustomer> &customers)
{
    const auto shares = sharesOf(customers);
    const auto servers = modelServers(fleet.plan(), true);
    const auto controlStart = readControlBytes(fleet);
    const Service start = readService(fleet, "models");
    const BusySlots busy = readBusySlots(fleet, servers);
    double largestGap = 0.0;
    const bool done = sampleFor(steadyTime, [&] {
        largestGap = std::max(
                largestGap,
                fairnessGap(serviceDifference(start, readService(fleet, "models")), shares));
    });
    const BusySlots busyEnd = readBusySlots(fleet, servers);
    const Service received = serviceDifference(start, readService(fleet, "models"));
    const auto controlEnd = readControlBytes(fleet);
    printService(received, customers);
    std::printf("\nfairness gap (largest difference of service/share)\n"
                "  at the end %.0f ms, largest %.0f ms\n",
                fairnessGap(received, shares), largestGap);
    std::printf("\nutilisation of the model servers' slots\n  all zones in service %.1f %%\n",
                100.0 * utilisation(busy, busyEnd, servers.size() * slotsPerServer));
    printControl(controlStart, controlEnd, toMilliseconds(busyEnd.at - busy.at) / 1000.0);
    return done;
}

/// Takes a zone out of service and back, and measures the requests that start in it.
/// @return false when interrupted or when bilberryctl failed
bool measureZoneOutage(Fleet &fleet)
{
    const auto remaining = modelServers(fleet.plan(), false);
    std::printf("\n");
    if (!runCtl(fleet, {"zone", "out", movedZone}))
        return false;
    const TimePoint out = Clock::now();
    const BusySlots busy = readBusySlots(fleet, remaining);
    const bool done = sampleFor(zoneOutTime, [] {});
    const TimePoint back = Clock::now();
    std::printf("utilisation of the other zones' model servers in the meantime %.1f %%\n",
                100.0
                        * utilisation(busy, readBusySlots(fleet, remaining),
                                      remaining.size() * slotsPerServer));
    std::printf("requests started in zone %s after the command returned %zu, of these more than 3 "
                "s later %zu\n\n",
                movedZone.c_str(), countStarted(fleet, movedZone, out, back),
                countStarted(fleet, movedZone, out + settleTime, back));
    if (!runCtl(fleet, {"zone", "in", movedZone}))
        return false;
    const TimePoint in = Clock::now();
    const bool returned = sampleFor(zoneBackTime, [] {});
    std::printf("requests started in zone %s after its return %zu\n", movedZone.c_str(),
                countStarted(fleet, movedZone, in, Clock::now()));
    return done && returned;
}

} // namespace

int main()
{
    std::signal(SIGINT, onSignal);
    std::signal(SIGTERM, onSignal);
    const auto customers = makeCustomers();
    Fleet fleet(makePlan(customers));
    std::printf("starting 3 routers, 9 model servers and 3 order servers for 16 customers\n");
    std::fflush(stdout);
    if (!fleet.start()) {
        std::fprintf(stderr, "demo: the fleet did not start in time\n");
        return EXIT_FAILURE;
    }
    DemoLoad load(fleet, customers);
    const bool done = sampleFor(warmUp, [] {}) && measureSteadyState(fleet, customers)
                      && measureZoneOutage(fleet);
    load.stop();
    printRequests(fleet, load.counts());
    return done ? EXIT_SUCCESS : EXIT_FAILURE;
}
