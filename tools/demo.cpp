/// Starts a small fleet of real processes, keeps it busy, takes a zone out and back, and prints
/// what was measured.
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
/// From the end of `zone out` until no request may start in the zone.
constexpr auto settleTime = std::chrono::seconds(3);

const std::vector<std::string> zones = {"a", "b", "c"};
const std::string zoneMoved = "b";

volatile std::sig_atomic_t interrupted = 0;

void onSignal(int)
{
    interrupted = 1;
}

/// Three large customers and thirteen small ones, all with more requests than their part serves.
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
                + ", keyDigests: [" + sha256Hex(keyOf(customer)) + "] }\n";
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

/// Names of the model servers, with or without the zone that is moved.
std::vector<std::string> modelServers(const FleetPlan &plan, bool withMovedZone)
{
    std::vector<std::string> names;
    for (const tests::ServerPlan &server : plan.servers) {
        if (server.pool == "models" && (withMovedZone || server.zone != zoneMoved))
            names.push_back(server.name);
    }
    return names;
}

/// Waits and calls a function again and again.
/// @return false when the user interrupted the demo
bool during(Duration time, const std::function<void()> &sample)
{
    const TimePoint end = Clock::now() + time;
    while (Clock::now() < end && !interrupted) {
        std::this_thread::sleep_for(samplePeriod);
        sample();
    }
    return !interrupted;
}

/// Requests that a zone's servers started after a moment.
std::size_t startedAfter(Fleet &fleet, const std::string &zone, TimePoint from, TimePoint until)
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
    std::printf("\nrequests\n  answered in full %llu\n  no whole answer %llu\n",
                static_cast<unsigned long long>(counts.answered),
                static_cast<unsigned long long>(counts.broken));
    for (const auto &[kind, count] : counts.refused)
        std::printf("  refused %s %llu\n", kind.c_str(), static_cast<unsigned long long>(count));
    const auto twice = std::count_if(counts.bookings.begin(), counts.bookings.end(),
                                     [&](const std::string &tag) { return fleet.runs(tag) > 1; });
    std::printf("  bookings sent %zu, of which ran more than once %td\n", counts.bookings.size(),
                twice);
}

/// Runs bilberryctl and shows the command.
bool control(const Fleet &fleet, const std::vector<std::string> &words)
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

/// The fleet with all zones in service: service, gap and utilisation.
bool showSteady(Fleet &fleet, const std::vector<DemoCustomer> &customers)
{
    const auto shares = sharesOf(customers);
    const auto servers = modelServers(fleet.plan(), true);
    const auto control = controlBytes(fleet);
    const Service start = serviceOf(fleet, "models");
    const BusySlots busy = busyOf(fleet, servers);
    double largestGap = 0.0;
    const bool done = during(steadyTime, [&] {
        largestGap
                = std::max(largestGap, gapOf(between(start, serviceOf(fleet, "models")), shares));
    });
    const BusySlots busyEnd = busyOf(fleet, servers);
    const Service received = between(start, serviceOf(fleet, "models"));
    const auto controlEnd = controlBytes(fleet);
    printService(received, customers);
    std::printf("\nfairness gap (largest difference of service/share)\n"
                "  at the end %.0f ms, largest %.0f ms\n",
                gapOf(received, shares), largestGap);
    std::printf("\nutilisation of the model servers' slots\n  all zones in service %.1f %%\n",
                100.0 * utilisation(busy, busyEnd, servers.size() * slotsPerServer));
    printControl(control, controlEnd, toMilliseconds(busyEnd.at - busy.at) / 1000.0);
    return done;
}

/// A zone leaves and returns.
bool showZoneMove(Fleet &fleet)
{
    const auto remaining = modelServers(fleet.plan(), false);
    std::printf("\n");
    if (!control(fleet, {"zone", "out", zoneMoved}))
        return false;
    const TimePoint out = Clock::now();
    const BusySlots busy = busyOf(fleet, remaining);
    const bool done = during(zoneOutTime, [] {});
    const TimePoint back = Clock::now();
    std::printf(
            "utilisation of the other zones' model servers meanwhile %.1f %%\n",
            100.0 * utilisation(busy, busyOf(fleet, remaining), remaining.size() * slotsPerServer));
    std::printf(
            "requests started in zone %s after the command returned %zu, later than 3 s %zu\n\n",
            zoneMoved.c_str(), startedAfter(fleet, zoneMoved, out, back),
            startedAfter(fleet, zoneMoved, out + settleTime, back));
    if (!control(fleet, {"zone", "in", zoneMoved}))
        return false;
    const TimePoint in = Clock::now();
    const bool returned = during(zoneBackTime, [] {});
    std::printf("requests started in zone %s since %zu\n", zoneMoved.c_str(),
                startedAfter(fleet, zoneMoved, in, Clock::now()));
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
    const bool done = during(warmUp, [] {}) && showSteady(fleet, customers) && showZoneMove(fleet);
    load.stop();
    printRequests(fleet, load.counts());
    return done ? EXIT_SUCCESS : EXIT_FAILURE;
}
