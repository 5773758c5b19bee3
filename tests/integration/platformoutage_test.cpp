#include "support/partition.h"
#include "support/twozones.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// Outages last several times the limit after which a process without proof stops.
constexpr Duration outage = 9s;
/// A process that may be cut off stops within this time.
constexpr Duration stopLimit = 5s;
/// Longest time without a start under steady load while service goes on.
constexpr Duration longestGap = 1500ms;

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

/// @return longest time without a start on a server, between two times
Duration gapBetween(Fleet &fleet, const std::string &server, TimePoint from, TimePoint to)
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

struct Trouble
{
    const char *name;
    std::function<void(PartitionedFleet &)> start;
};

std::vector<Trouble> bearable()
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

SCENARIO("service goes on without the platform while a majority is connected")
{
    const Trouble trouble = GENERATE(from_range(bearable()));
    GIVEN("a fleet under load")
    {
        PartitionedFleet all(plan("stop"));
        REQUIRE(all.start());
        Fleet &fleet = all.fleet();
        const SteadyLoad load(fleet, steadyRequest());
        WHEN(trouble.name)
        {
            const TimePoint from = Clock::now();
            trouble.start(all);
            std::this_thread::sleep_until(from + outage);
            THEN("both servers go on")
            {
                const TimePoint to = Clock::now();
                CHECK(toMilliseconds(gapBetween(fleet, "model-a", from, to))
                      < toMilliseconds(longestGap));
                CHECK(toMilliseconds(gapBetween(fleet, "model-b", from, to))
                      < toMilliseconds(longestGap));
            }
        }
    }
}

SCENARIO("a minority without the platform does what its setting says")
{
    const std::string policy = GENERATE("stop", "serve");
    GIVEN("a fleet under load with the island policy " << policy)
    {
        PartitionedFleet all(plan(policy));
        REQUIRE(all.start());
        Fleet &fleet = all.fleet();
        const SteadyLoad load(fleet, steadyRequest());
        WHEN("one router and one agent are left, and the platform is down")
        {
            fleet.platform().faults().down = true;
            fleet.router(1).kill();
            fleet.router(2).kill();
            fleet.agent("model-b").kill();
            const TimePoint from = Clock::now();
            std::this_thread::sleep_until(from + outage);
            THEN("it stops in time, or goes on")
            {
                const TimePoint to = Clock::now();
                const Duration gap = gapBetween(fleet, "model-a", from + stopLimit, to);
                if (policy == "stop")
                    CHECK(toMilliseconds(gap) == Approx(toMilliseconds(to - from - stopLimit)));
                else
                    CHECK(toMilliseconds(gap) < toMilliseconds(longestGap));
            }
        }
    }
}
