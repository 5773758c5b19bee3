#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: 32, fullLimit: 32 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

Call request(const std::string &tag, const std::string &chunks)
{
    Call call;
    call.method = "POST";
    call.target = "/v1/chat";
    call.body = tag;
    call.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", tag}, {"X-Chunks", chunks}};
    return call;
}

} // namespace

SCENARIO("full queues between the event loops never block the process")
{
    GIVEN("a router and an agent with small queues")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a"};
        plan.servers = {{"model-a", "models", "a"}};
        plan.releaseNote = releaseNote();
        plan.routerSettings = {{"ringCapacity", "8"}};
        plan.agentSettings = {{"ringCapacity", "8"}};
        Fleet fleet(plan);
        REQUIRE(fleet.start());

        WHEN("many concurrent streams fill them")
        {
            std::vector<std::future<Answer>> answers;
            for (int i = 0; i < 64; ++i) {
                answers.push_back(std::async(std::launch::async, [&fleet, i] {
                    return fleet.call(0, request("flood-" + std::to_string(i), "2000"));
                }));
            }
            THEN("each is completed, cut off or refused, and the fleet still serves requests")
            {
                const TimePoint limit = Clock::now() + std::chrono::seconds(25);
                for (std::future<Answer> &future : answers) {
                    REQUIRE(future.wait_until(limit) == std::future_status::ready);
                    const Answer answer = future.get();
                    if (answer.status == 200)
                        CHECK(answer.body.find(" 1999") != std::string::npos);
                }
                CHECK(eventually([&] { return fleet.call(0, request("after", "0")).status == 200; },
                                 std::chrono::seconds(30)));
            }
        }
    }
}
