#include "support/partition.h"
#include "support/twozones.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// Limit from the acceptance of the change to the last started request in the zone.
constexpr Duration stopLimit = 5s;
/// How long started requests are watched for after the limit.
constexpr Duration watchTime = 4s;
constexpr char headObject[] = "configuration/head";

FleetPlan plan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "b", "b"};
    plan.servers = {{"model-a", "models", "a"}, {"model-b", "models", "b"}};
    plan.releaseNote = twoZonesNote();
    return plan;
}

std::string vmLine(const std::string &name, std::uint16_t port, std::uint16_t adminPort)
{
    return "  - " + name + "@127.0.0.1:" + std::to_string(port) + ":" + std::to_string(adminPort)
           + "\n";
}

} // namespace

SCENARIO("an isolated zone that is taken out of service stops by itself")
{
    // The direct link to the other zone's agent makes the island a majority of the processes that
    // it is connected to, although that agent is linked to routers that reach the platform.
    const bool reachesOtherAgent = GENERATE(false, true);
    GIVEN("a router of the zone with a direct link to the zone's agent, "
          << (reachesOtherAgent ? "and to the other agent" : "and to no other agent"))
    {
        std::unique_ptr<PartitionedFleet> all;
        FleetPlan islandPlan = plan();
        islandPlan.routerLines = [&](const Fleet &fleet, std::size_t router) -> std::string {
            if (router != 0)
                return "";
            const std::uint16_t otherPort
                    = reachesOtherAgent ? fleet.agentPort("model-b") : all->agentProxy("model-b");
            return "peers:\n" + vmLine("router-1", all->gossipProxy(1), all->adminProxy("router-1"))
                   + vmLine("router-2", all->gossipProxy(2), all->adminProxy("router-2"))
                   + "agents:\n"
                   + vmLine("model-a", fleet.agentPort("model-a"), all->adminProxy("model-a"))
                   + vmLine("model-b", otherPort, all->adminProxy("model-b"));
        };
        all = std::make_unique<PartitionedFleet>(islandPlan);
        Fleet &fleet = all->fleet();
        all->platformOf(0).cut = true;
        REQUIRE(all->start());
        const SteadyLoad load(fleet, steadyRequest());

        WHEN("the zone is isolated and operators take it out of service")
        {
            for (std::size_t router = 0; router < 3; ++router)
                all->gossipTo(router).cut = true;
            all->agentLinks("model-a").mute = true;
            if (!reachesOtherAgent)
                all->agentLinks("model-b").cut = true;
            for (const char *name : {"router-0", "model-a", "router-1", "router-2"})
                all->adminOf(name).cut = true;
            const std::string head = fleet.platform().value(headObject);
            auto applyResult = std::async(std::launch::async, [&] {
                return fleet.ctl({"--timeout", "1", "apply",
                                  fleet.write("out.yaml",
                                              "changed:\n  zones: { a: { inService: false } }\n")});
            });
            REQUIRE(eventually([&] { return fleet.platform().value(headObject) != head; }));
            const TimePoint acceptedAt = Clock::now();
            std::this_thread::sleep_until(acceptedAt + stopLimit + watchTime);

            THEN("the zone's agent starts no requests after the limit")
            {
                CHECK(applyResult.get().exitCode == 4);
                CHECK(startsSince(fleet, "model-a", acceptedAt + stopLimit) == 0);
                if (reachesOtherAgent)
                    CHECK(startsSince(fleet, "model-b", acceptedAt + stopLimit) > 0);
            }
        }
    }
}
