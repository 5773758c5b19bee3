#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {}, b: {} }\n"
           "  pools:\n"
           "    models: { zones: [a, b], coldLimit: 2, fullLimit: 8 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

} // namespace

SCENARIO("a request is served by router, agent and backend server")
{
    GIVEN("a small fleet with an accepted configuration")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a", "b"};
        plan.servers = {{"model-a", "models", "a"}, {"model-b", "models", "b"}};
        plan.releaseNote = releaseNote();
        Fleet fleet(plan);
        REQUIRE(fleet.start());

        WHEN("a known customer calls")
        {
            Call request;
            request.target = "/v1/chat";
            request.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", "first"}};
            const Answer answer = fleet.call(0, request);

            THEN("it receives the complete answer")
            {
                CHECK(answer.status == 200);
                CHECK(answer.body == "first");
                CHECK(fleet.runs("first") == 1);
            }
        }
        WHEN("the answer is streamed")
        {
            Call request;
            request.method = "POST";
            request.target = "/v1/chat";
            request.headers = {{"X-Api-Key", "kitchen-key"},
                               {"X-Tag", "stream"},
                               {"X-Chunks", "20"},
                               {"X-Ms", "200"}};
            const Answer answer = fleet.call(1, request);

            THEN("all parts arrive, and the first one before half of the total time")
            {
                CHECK(answer.status == 200);
                CHECK(answer.body.find("data: stream 19") != std::string::npos);
                CHECK(answer.firstByte < answer.total / 2);
            }
        }
        WHEN("the key is unknown")
        {
            Call request;
            request.target = "/v1/chat";
            request.headers = {{"X-Api-Key", "other"}};
            const Answer answer = fleet.call(0, request);

            THEN("the request is refused with the outcome not-run")
            {
                CHECK(answer.status == 401);
                CHECK(answer.outcome() == "not-run");
            }
        }
    }
}
