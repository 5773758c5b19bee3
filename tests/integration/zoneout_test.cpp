#include "support/partition.h"
#include "support/twozones.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// Limit from the acceptance of the change to the last started request in the zone.
constexpr Duration stopLimit = 5s;
/// How long started requests are watched for after the limit.
constexpr Duration watchTime = 1500ms;
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

/// A fault around the change that takes the zone out of service.
struct Fault
{
    const char *name;
    std::function<void(PartitionedFleet &)> before;
    std::function<void(PartitionedFleet &)> afterAccepted;
    std::function<void(PartitionedFleet &)> repair;
};

void setPeersCut(PartitionedFleet &all, std::size_t router, bool cut)
{
    all.gossipTo(router).cut = cut;
    all.adminOf("router-" + std::to_string(router)).cut = cut;
}

std::vector<Fault> faults()
{
    const auto nothing = [](PartitionedFleet &) {};
    return {{"nothing", nothing, nothing, nothing},
            {"router 0 disconnected from the platform",
             [](auto &all) { all.platformOf(0).cut = true; }, nothing,
             [](auto &all) { all.platformOf(0).cut = false; }},
            {"router 0 disconnected from its peers", [](auto &all) { setPeersCut(all, 0, true); },
             nothing, [](auto &all) { setPeersCut(all, 0, false); }},
            {"router 0 disconnected from both",
             [](auto &all) {
                 all.platformOf(0).mute = true;
                 setPeersCut(all, 0, true);
             },
             nothing,
             [](auto &all) {
                 all.platformOf(0).mute = false;
                 setPeersCut(all, 0, false);
             }},
            {"router 0 paused during the change",
             [](auto &all) { all.fleet().router(0).signal(SIGSTOP); },
             [](auto &all) {
                 std::this_thread::sleep_for(2s); // length of the pause, not a wait for a condition
                 all.fleet().router(0).signal(SIGCONT);
             },
             nothing},
            {"the zone's agent paused during the change",
             [](auto &all) { all.fleet().agent("model-a").signal(SIGSTOP); },
             [](auto &all) {
                 std::this_thread::sleep_for(
                         stopLimit); // length of the pause, not a wait for a condition
                 all.fleet().agent("model-a").signal(SIGCONT);
             },
             nothing},
            {"the platform goes down right after the change", nothing,
             [](auto &all) { all.fleet().platform().faults().down = true; },
             [](auto &all) { all.fleet().platform().faults().down = false; }}};
}

} // namespace

SCENARIO("a zone that operators take out of service receives no new requests after a few seconds")
{
    const Fault fault = GENERATE(from_range(faults()));
    GIVEN("a fleet under load, and " << fault.name)
    {
        PartitionedFleet all(plan());
        Fleet &fleet = all.fleet();
        REQUIRE(all.start());
        const SteadyLoad load(fleet, steadyRequest());
        const TimePoint started = Clock::now();
        REQUIRE(eventually([&] { return startsSince(fleet, "model-a", started) > 0; }));

        WHEN("operators take the zone out of service")
        {
            fault.before(all);
            const std::string head = fleet.platform().value(headObject);
            auto applyResult = std::async(std::launch::async, [&] {
                return fleet.ctl({"apply", fleet.write("out.yaml", zoneNote(false))});
            });
            REQUIRE(eventually([&] { return fleet.platform().value(headObject) != head; }));
            const TimePoint acceptedAt = Clock::now();
            fault.afterAccepted(all);
            std::this_thread::sleep_until(acceptedAt + stopLimit + watchTime);

            THEN("the zone starts no requests after the limit, the other one does, and it can "
                 "return")
            {
                CHECK(startsSince(fleet, "model-a", acceptedAt + stopLimit) == 0);
                CHECK(startsSince(fleet, "model-b", acceptedAt + stopLimit) > 0);
                const int exitCode = applyResult.get().exitCode;
                CHECK((exitCode == 0 || exitCode == 4));
                fault.repair(all);
                const std::string note = fleet.write("in.yaml", zoneNote(true));
                REQUIRE(eventually([&] {
                    const int code = fleet.ctl({"apply", note}).exitCode;
                    return code == 0 || code == 4;
                }));
                const TimePoint backAt = Clock::now();
                CHECK(eventually([&] { return startsSince(fleet, "model-a", backAt) > 0; }));
            }
        }
    }
}
