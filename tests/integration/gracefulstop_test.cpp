#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

std::string note()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: 2, fullLimit: 2 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

Call request(const std::string &tag, const std::string &milliseconds, const std::string &chunks)
{
    Call call;
    call.method = "POST";
    call.target = "/v1/chat";
    call.body = tag;
    call.headers = {{"X-Api-Key", "kitchen-key"},
                    {"X-Tag", tag},
                    {"X-Ms", milliseconds},
                    {"X-Chunks", chunks}};
    return call;
}

FleetPlan plan(std::vector<ServerPlan> servers)
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "a"};
    plan.servers = std::move(servers);
    plan.releaseNote = note();
    return plan;
}

std::vector<std::future<Answer>> streams(Fleet &fleet, std::size_t router, const std::string &tag,
                                         int count)
{
    std::vector<std::future<Answer>> answers;
    for (int i = 0; i < count; ++i) {
        answers.push_back(std::async(std::launch::async, [&fleet, router, tag, i] {
            return fleet.call(router, request(tag + std::to_string(i), "1500", "30"));
        }));
    }
    return answers;
}

void checkWhole(std::vector<std::future<Answer>> &answers)
{
    for (std::future<Answer> &future : answers) {
        const Answer answer = future.get();
        CHECK(answer.status == 200);
        CHECK(answer.body.find(" 29") != std::string::npos);
    }
}

std::size_t started(Fleet &fleet, const std::string &server)
{
    return fleet.backend(server).journal().size();
}

} // namespace

SCENARIO("a planned stop of an agent cuts nothing off")
{
    GIVEN("two full servers, and requests that wait")
    {
        Fleet fleet(plan({{"model-a", "models", "a"}, {"model-b", "models", "a"}}));
        REQUIRE(fleet.start());
        std::vector<std::future<Answer>> answers = streams(fleet, 0, "stream-", 8);
        const auto full = [&] {
            return fleet.backend("model-a").running() == 2
                   && fleet.backend("model-b").running() == 2;
        };
        REQUIRE(eventually(full));

        WHEN("one agent is told to stop")
        {
            const int exitCode = fleet.agent("model-a").terminate();
            const std::size_t before = started(fleet, "model-a");

            THEN("its streams end whole, the rest goes to the other one, and it exits with 0")
            {
                CHECK(exitCode == 0);
                checkWhole(answers);
                CHECK(started(fleet, "model-a") == before);
                CHECK(before + started(fleet, "model-b") == 8);
            }
        }
        WHEN("one server starts leaving while the platform's list still shows it as live")
        {
            fleet.backend("model-a").setLeaving(true);
            const TimePoint told = Clock::now();

            THEN("within three seconds it gets no new work, and its streams end whole")
            {
                checkWhole(answers);
                std::vector<std::future<Answer>> more = streams(fleet, 1, "more-", 4);
                checkWhole(more);
                for (const JournalEntry &entry : fleet.backend("model-a").journal())
                    CHECK(entry.startedAt < told + std::chrono::seconds(3));
            }
        }
    }
}

SCENARIO("a planned stop of a router cuts nothing off")
{
    GIVEN("a router with running streams and waiting requests")
    {
        Fleet fleet(plan({{"model-a", "models", "a"}}));
        REQUIRE(fleet.start());
        std::vector<std::future<Answer>> answers = streams(fleet, 0, "stream-", 5);
        REQUIRE(eventually([&] { return fleet.backend("model-a").running() == 2; }));
        const auto waiting = [&] {
            return fleet.admin(fleet.routerAdminPort(0), "/metrics")
                           .find("bilberry_requests_waiting{pool=\"models\"} 2")
                   != std::string::npos;
        };
        REQUIRE(eventually(waiting));

        WHEN("it is told to stop")
        {
            std::future<int> exitCode
                    = std::async(std::launch::async, [&] { return fleet.router(0).terminate(); });

            THEN("all of them are answered, a new one is taken by the other router, exit code 0")
            {
                CHECK(fleet.call(1, request("other", "10", "0")).status == 200);
                checkWhole(answers);
                CHECK(exitCode.get() == 0);
            }
        }
    }
}
