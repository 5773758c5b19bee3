#include "support/partition.h"

#include "bilberry/base/digest.h"
#include "bilberry/model/configurationcodec.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

constexpr Duration inForceLimit = 5s; ///< from acceptance until every daemon applies the revision
constexpr Duration watchTime = 2s;    ///< how long daemons are checked for a wrong revision

FleetPlan plan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "b", "b"};
    plan.servers = {{"model-a", "models", "a"}};
    plan.releaseNote = "added:\n"
                       "  zones: { a: {}, b: {} }\n"
                       "  pools:\n"
                       "    models: { zones: [a, b], coldLimit: 4, fullLimit: 8 }\n"
                       "  customers:\n"
                       "    kitchen: { share: 1, keyDigests: ["
                       + sha256Hex("kitchen-key")
                       + "] }\n"
                         "  routes:\n"
                         "    /v1: { pool: models, repeatable: always }\n";
    // Seed addresses for a router that starts while the platform is down.
    plan.routerLines = [](const Fleet &fleet, std::size_t) {
        std::string peers;
        std::string agents;
        for (const store::Vm &vm : fleet.vms()) {
            std::string &list = vm.role == store::VmRole::Router ? peers : agents;
            list += "  - " + vm.name + "@127.0.0.1:" + std::to_string(vm.port) + ":"
                    + std::to_string(vm.adminPort) + "\n";
        }
        return "peers:\n" + peers + "agents:\n" + agents;
    };
    return plan;
}

std::string shareNote(int share)
{
    return "changed:\n  customers: { kitchen: { share: " + std::to_string(share) + " } }\n";
}

std::vector<std::uint64_t> revisions(const Fleet &fleet)
{
    std::vector<std::uint64_t> result;
    for (const store::Vm &vm : fleet.vms())
        result.push_back(revisionAt(fleet, vm.adminPort));
    return result;
}

bool allHaveRevision(const Fleet &fleet, std::uint64_t revision)
{
    const std::vector<std::uint64_t> current = revisions(fleet);
    return std::all_of(current.begin(), current.end(),
                       [&](std::uint64_t each) { return each == revision; });
}

Answer sendRequest(const Fleet &fleet, std::size_t router)
{
    Call request;
    request.target = "/v1/chat";
    request.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", "call"}};
    return fleet.call(router, request);
}

/// Polls the revisions of all daemons on a thread until it is destroyed.
class RevisionWatch
{
public:
    explicit RevisionWatch(const Fleet &fleet)
        : m_thread([this, &fleet] {
              std::vector<std::uint64_t> last = revisions(fleet);
              while (!m_stopping) {
                  const std::vector<std::uint64_t> current = revisions(fleet);
                  for (std::size_t i = 0; i < current.size(); ++i) {
                      if (current[i] != 0 && current[i] < last[i])
                          m_reverted = true;
                      last[i] = std::max(last[i], current[i]);
                  }
              }
          })
    {
    }
    ~RevisionWatch()
    {
        m_stopping = true;
        m_thread.join();
    }
    bool reverted() const { return m_reverted; }

private:
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_reverted = false;
    std::thread m_thread;
};

} // namespace

SCENARIO("an accepted configuration is in force everywhere and stays in force")
{
    GIVEN("a fleet with revision 1")
    {
        PartitionedFleet all(plan());
        REQUIRE(all.start());
        Fleet &fleet = all.fleet();
        REQUIRE(eventually([&] { return allHaveRevision(fleet, 1); }, inForceLimit));

        WHEN("a configuration that the platform never accepted is sent to all daemons")
        {
            const Configuration wrong = Configuration::create(99, {}).value();
            for (const store::Vm &vm : fleet.vms()) {
                Call put;
                put.method = "PUT";
                put.target = "/v1/configuration";
                put.body = encodeConfiguration(wrong);
                put.headers["Connection"] = "close";
                call(vm.adminPort, put);
            }
            THEN("no daemon applies it, and the next accepted change is in force everywhere")
            {
                CHECK_FALSE(eventually([&] { return !allHaveRevision(fleet, 1); }, watchTime));
                CHECK(sendRequest(fleet, 0).status == 200);
                CHECK(fleet.ctl({"apply", fleet.write("next.yaml", shareNote(2))}).exitCode == 0);
                CHECK(eventually([&] { return allHaveRevision(fleet, 2); }, inForceLimit));
            }
        }
        WHEN("a router restarts without state while the platform is down")
        {
            fleet.platform().faults().down = true;
            fleet.router(0).kill();
            fleet.startRouter(0);
            THEN("it receives the configuration from its peers and serves requests")
            {
                CHECK(eventually([&] { return allHaveRevision(fleet, 1); }));
                CHECK(eventually([&] { return sendRequest(fleet, 0).status == 200; }));
            }
        }
        WHEN("operators make many changes while a router is disconnected from its peers")
        {
            constexpr int changes = 200;
            const RevisionWatch watch(fleet);
            all.gossipTo(1).cut = true;
            all.adminOf("router-1").cut = true;
            int accepted = 0;
            for (int change = 0; change < changes; ++change) {
                fleet.platform().faults().lostWriteAnswers = change % 10 == 3 ? 1 : 0;
                fleet.platform().faults().lostWrites = change % 10 == 6 ? 1 : 0;
                const std::string note = fleet.write("change.yaml", shareNote(2 + change % 7));
                const int code = fleet.ctl({"--timeout", "0", "apply", note}).exitCode;
                accepted += code == 0 || code == 4 ? 1 : 0;
            }
            all.gossipTo(1).cut = false;
            all.adminOf("router-1").cut = false;
            THEN("each is accepted once, the last one is in force in time, and no daemon reverts")
            {
                CHECK(accepted == changes);
                const std::uint64_t last = 1 + changes;
                CHECK(eventually([&] { return allHaveRevision(fleet, last); }, inForceLimit));
                CHECK_FALSE(watch.reverted());
            }
        }
        WHEN("two operators apply changes concurrently until one of them conflicts")
        {
            fleet.platform().faults().delayMs = 50;
            std::uint64_t acceptedCount = 0;
            bool conflicted = false;
            for (int round = 0; round < 10 && !conflicted; ++round) {
                const auto apply = [&](int share) {
                    const std::string name = "race-" + std::to_string(share) + ".yaml";
                    return fleet.ctl({"apply", fleet.write(name, shareNote(share))}).exitCode;
                };
                auto first = std::async(std::launch::async, apply, 10 + 2 * round);
                auto second = std::async(std::launch::async, apply, 11 + 2 * round);
                for (const int code : {first.get(), second.get()}) {
                    acceptedCount += code == 0 || code == 4 ? 1 : 0;
                    conflicted = conflicted || code == 3;
                    CHECK((code == 0 || code == 4 || code == 3));
                }
            }
            THEN("each accepted change has its own revision, and the last one is in force")
            {
                CHECK(conflicted);
                CHECK(eventually([&] { return allHaveRevision(fleet, 1 + acceptedCount); },
                                 inForceLimit));
            }
        }
    }
}
