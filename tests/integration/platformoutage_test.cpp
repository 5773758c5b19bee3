#include "support/partition.h"
#include "support/twozones.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// Several times the limit after which a process without proof stops.
constexpr Duration outage = 9s;
/// Time within which a process that may be isolated stops.
constexpr Duration stopLimit = 5s;
/// Longest time without a started request under steady load while the server is in service.
constexpr Duration maxGap = 1500ms;

FleetPlan plan(const std::string &islandPolicy)
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "a", "b"};
    plan.servers = {{"model-a", "models", "a"}, {"model-b", "models", "b"}};
    plan.agentSettings = {{"island.policy", islandPolicy}};
    plan.releaseNote = twoZonesNote();
    return plan;
}

/// @return longest time without a started request on a server, between two times
Duration longestGapBetween(Fleet &fleet, const std::string &server, TimePoint from, TimePoint to)
{
    Duration gap{};
    TimePoint last = from;
    for (const JournalEntry &entry : fleet.backend(server).journal()) {
        if (entry.startedAt < from || entry.startedAt > to)
            continue;
        gap = std::max(gap, entry.startedAt - last);
        last = entry.startedAt;
    }
    return std::max(gap, to - last);
}

struct Fault
{
    const char *name;
    std::function<void(PartitionedFleet &)> start;
};

std::vector<Fault> toleratedFaults()
{
    return {{"the platform refuses connections",
             [](auto &all) { all.fleet().platform().faults().down = true; }},
            {"the platform answers nothing",
             [](auto &all) {
                 for (std::size_t i = 0; i < 3; ++i)
                     all.platformOf(i).mute = true;
             }},
            {"the platform is slow",
             [](auto &all) { all.fleet().platform().faults().delayMs = 800; }},
            {"the platform answers few calls",
             [](auto &all) { all.fleet().platform().faults().callsPerSecond = 2; }},
            {"the platform is down and one router survives", [](auto &all) {
                 all.fleet().platform().faults().down = true;
                 all.fleet().router(1).kill();
                 all.fleet().router(2).kill();
             }}};
}

} // namespace

SCENARIO("a connected majority continues to serve without the platform")
{
    const Fault fault = GENERATE(from_range(toleratedFaults()));
    GIVEN("a fleet under load")
    {
        PartitionedFleet all(plan("stop"));
        REQUIRE(all.start());
        Fleet &fleet = all.fleet();
        const SteadyLoad load(fleet, steadyRequest());
        WHEN(fault.name)
        {
            const TimePoint from = Clock::now();
            fault.start(all);
            std::this_thread::sleep_until(from + outage);
            THEN("both servers continue to receive requests")
            {
                const TimePoint to = Clock::now();
                CHECK(toMilliseconds(longestGapBetween(fleet, "model-a", from, to))
                      < toMilliseconds(maxGap));
                CHECK(toMilliseconds(longestGapBetween(fleet, "model-b", from, to))
                      < toMilliseconds(maxGap));
            }
        }
    }
}

SCENARIO("a minority without the platform follows its island policy")
{
    const std::string policy = GENERATE("stop", "serve");
    GIVEN("a fleet under load with the island policy " << policy)
    {
        PartitionedFleet all(plan(policy));
        REQUIRE(all.start());
        Fleet &fleet = all.fleet();
        const SteadyLoad load(fleet, steadyRequest());
        WHEN("one router and one agent remain, and the platform is down")
        {
            fleet.platform().faults().down = true;
            fleet.router(1).kill();
            fleet.router(2).kill();
            fleet.agent("model-b").kill();
            const TimePoint from = Clock::now();
            std::this_thread::sleep_until(from + outage);
            THEN("it stops in time or continues, as the policy says")
            {
                const TimePoint to = Clock::now();
                const Duration gap = longestGapBetween(fleet, "model-a", from + stopLimit, to);
                if (policy == "stop")
                    CHECK(toMilliseconds(gap) == Approx(toMilliseconds(to - from - stopLimit)));
                else
                    CHECK(toMilliseconds(gap) < toMilliseconds(maxGap));
            }
        }
    }
}
