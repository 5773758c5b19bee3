#include "support/partition.h"
#include "support/twozones.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// From the acceptance of the order to the last start in the zone.
constexpr Duration bound = 5s;
/// Starts are watched for so long after the bound.
constexpr Duration watched = 1500ms;
constexpr char headObject[] = "configuration/head";

std::string zoneNote(bool inService)
{
    return std::string("changed:\n  zones: { a: { inService: ") + (inService ? "true" : "false")
           + " } }\n";
}

FleetPlan plan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "a", "b"};
    plan.servers = {{"model-a", "models", "a"}, {"model-b", "models", "b"}};
    plan.releaseNote = twoZonesNote();
    return plan;
}

/// A failure around the order to take the zone out.
struct Trouble
{
    const char *name;
    std::function<void(PartitionedFleet &)> before;
    std::function<void(PartitionedFleet &)> afterAccepted;
    std::function<void(PartitionedFleet &)> heal;
};

void cutFromPeers(PartitionedFleet &all, std::size_t router, bool cut)
{
    all.gossipTo(router).cut = cut;
    all.adminOf("router-" + std::to_string(router)).cut = cut;
}

std::vector<Trouble> troubles()
{
    const auto nothing = [](PartitionedFleet &) {};
    return {{"nothing", nothing, nothing, nothing},
            {"router 0 cut from the platform", [](auto &all) { all.platformOf(0).cut = true; },
             nothing, [](auto &all) { all.platformOf(0).cut = false; }},
            {"router 0 cut from its peers", [](auto &all) { cutFromPeers(all, 0, true); }, nothing,
             [](auto &all) { cutFromPeers(all, 0, false); }},
            {"router 0 cut from both",
             [](auto &all) {
                 all.platformOf(0).mute = true;
                 cutFromPeers(all, 0, true);
             },
             nothing,
             [](auto &all) {
                 all.platformOf(0).mute = false;
                 cutFromPeers(all, 0, false);
             }},
            {"router 0 frozen over the order",
             [](auto &all) { all.fleet().router(0).signal(SIGSTOP); },
             [](auto &all) {
                 std::this_thread::sleep_for(2s); // the length of the pause, not a proof
                 all.fleet().router(0).signal(SIGCONT);
             },
             nothing},
            {"the zone's agent frozen over the order",
             [](auto &all) { all.fleet().agent("model-a").signal(SIGSTOP); },
             [](auto &all) {
                 std::this_thread::sleep_for(bound); // the length of the pause, not a proof
                 all.fleet().agent("model-a").signal(SIGCONT);
             },
             nothing},
            {"the platform goes down right after the order", nothing,
             [](auto &all) { all.fleet().platform().faults().down = true; },
             [](auto &all) { all.fleet().platform().faults().down = false; }}};
}

} // namespace

SCENARIO("a zone that operators take out gets no new work after a few seconds")
{
    const Trouble trouble = GENERATE(from_range(troubles()));
    GIVEN("a fleet under load, and " << trouble.name)
    {
        PartitionedFleet all(plan());
        Fleet &fleet = all.fleet();
        REQUIRE(all.start());
        const SteadyLoad load(fleet, steadyRequest());
        const TimePoint started = Clock::now();
        REQUIRE(eventually([&] { return startsSince(fleet, "model-a", started) > 0; }));

        WHEN("operators take the zone out")
        {
            trouble.before(all);
            const std::string head = fleet.platform().value(headObject);
            auto order = std::async(std::launch::async, [&] {
                return fleet.ctl({"apply", fleet.write("out.yaml", zoneNote(false))});
            });
            REQUIRE(eventually([&] { return fleet.platform().value(headObject) != head; }));
            const TimePoint accepted = Clock::now();
            trouble.afterAccepted(all);
            std::this_thread::sleep_until(accepted + bound + watched);

            THEN("the zone is silent after the bound, the other one works, and it comes back")
            {
                CHECK(startsSince(fleet, "model-a", accepted + bound) == 0);
                CHECK(startsSince(fleet, "model-b", accepted + bound) > 0);
                const int exitCode = order.get().exitCode;
                CHECK((exitCode == 0 || exitCode == 4));
                trouble.heal(all);
                const std::string note = fleet.write("in.yaml", zoneNote(true));
                REQUIRE(eventually([&] {
                    const int code = fleet.ctl({"apply", note}).exitCode;
                    return code == 0 || code == 4;
                }));
                const TimePoint back = Clock::now();
                CHECK(eventually([&] { return startsSince(fleet, "model-a", back) > 0; }));
            }
        }
    }
}
