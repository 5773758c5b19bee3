#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

std::string note()
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

Call crasher()
{
    Call call = request("crasher", "150");
    call.headers["X-Crash"] = "1";
    return call;
}

} // namespace

SCENARIO("a request that crashes its servers is taken out of service, its neighbours are not")
{
    GIVEN("three servers that run a batch of requests")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a", "b"};
        plan.servers = {
                {"model-a", "models", "a"}, {"model-b", "models", "b"}, {"model-c", "models", "b"}};
        plan.releaseNote = note();
        Fleet fleet(plan);
        REQUIRE(fleet.start());
        std::vector<std::future<Answer>> innocents;
        for (int i = 0; i < 8; ++i) {
            innocents.push_back(std::async(std::launch::async, [&fleet, i] {
                return fleet.call(i % 2, request("innocent-" + std::to_string(i), "500"));
            }));
        }
        const auto busy = [&] {
            return fleet.backend("model-a").running() + fleet.backend("model-b").running()
                           + fleet.backend("model-c").running()
                   == 8;
        };
        REQUIRE(eventually(busy));

        WHEN("one more request crashes each server that runs it")
        {
            const Answer first = fleet.call(0, crasher());

            THEN("it is refused after the second crash, and the others are answered")
            {
                CHECK(first.status >= 400);
                CHECK(first.outcome() == "unknown");
                CHECK(fleet.runs("crasher") == 2);
                for (std::future<Answer> &innocent : innocents)
                    CHECK(innocent.get().status == 200);

                AND_THEN("every router refuses it when its caller sends it again")
                {
                    for (const std::size_t router : {0U, 1U, 0U, 1U}) {
                        const Answer again = fleet.call(router, crasher());
                        CHECK(again.status >= 400);
                        CHECK(again.outcome() == "not-run");
                    }
                    CHECK(fleet.runs("crasher") == 2);
                }
            }
        }
    }
}
