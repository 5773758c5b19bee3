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
           "  zones: { a: {}, b: {} }\n"
           "  pools:\n"
           "    models: { zones: [a, b], coldLimit: 4, fullLimit: 8 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

Call request(const std::string &tag, const std::string &milliseconds)
{
    Call call;
    call.method = "POST";
    call.target = "/v1/chat";
    call.body = tag;
    call.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", tag}, {"X-Ms", milliseconds}};
    return call;
}

Call crashingRequest()
{
    Call call = request("crasher", "150");
    call.headers["X-Crash"] = "1";
    return call;
}

} // namespace

SCENARIO("a request that crashes its servers is quarantined, requests beside it are not")
{
    GIVEN("three servers that run a batch of requests")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a", "b"};
        plan.servers = {
                {"model-a", "models", "a"}, {"model-b", "models", "b"}, {"model-c", "models", "b"}};
        plan.releaseNote = releaseNote();
        Fleet fleet(plan);
        REQUIRE(fleet.start());
        std::vector<std::future<Answer>> otherAnswers;
        for (int i = 0; i < 8; ++i) {
            otherAnswers.push_back(std::async(std::launch::async, [&fleet, i] {
                return fleet.call(i % 2, request("innocent-" + std::to_string(i), "500"));
            }));
        }
        const auto allRunning = [&] {
            return fleet.backend("model-a").running() + fleet.backend("model-b").running()
                           + fleet.backend("model-c").running()
                   == 8;
        };
        REQUIRE(eventually(allRunning));

        WHEN("a request repeatedly makes its server break off the answer")
        {
            Call broken = request("broken", "20");
            broken.headers["X-Chunks"] = "10";
            broken.headers["X-Truncate"] = "1";

            THEN("the answer never looks complete, and the server is not counted as crashed")
            {
                for (int i = 0; i < 4; ++i) {
                    const Answer answer = fleet.call(0, broken);
                    CHECK(answer.status == 0);
                    CHECK(answer.body.find("data: broken 0") != std::string::npos);
                }
                CHECK(fleet.runs("broken") == 4);
                for (std::future<Answer> &other : otherAnswers)
                    CHECK(other.get().status == 200);
            }
        }
        WHEN("one more request crashes each server that runs it")
        {
            const Answer first = fleet.call(0, crashingRequest());

            THEN("it is refused after the second crash, and the other requests are answered")
            {
                CHECK(first.status >= 400);
                CHECK(first.outcome() == "unknown");
                CHECK(fleet.runs("crasher") == 2);
                for (std::future<Answer> &other : otherAnswers)
                    CHECK(other.get().status == 200);

                AND_THEN("every router refuses it when its caller resends it")
                {
                    for (const std::size_t router : {0U, 1U, 0U, 1U}) {
                        const Answer again = fleet.call(router, crashingRequest());
                        CHECK(again.status >= 400);
                        CHECK(again.outcome() == "not-run");
                    }
                    CHECK(fleet.runs("crasher") == 2);
                }
            }
        }
    }
}
