#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

std::string releaseNote()
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
    plan.releaseNote = releaseNote();
    return plan;
}

std::vector<std::future<Answer>> startStreams(Fleet &fleet, std::size_t router,
                                              const std::string &tag, int count)
{
    std::vector<std::future<Answer>> answers;
    for (int i = 0; i < count; ++i) {
        answers.push_back(std::async(std::launch::async, [&fleet, router, tag, i] {
            return fleet.call(router, request(tag + std::to_string(i), "1500", "30"));
        }));
    }
    return answers;
}

void checkComplete(std::vector<std::future<Answer>> &answers)
{
    for (std::future<Answer> &future : answers) {
        const Answer answer = future.get();
        CHECK(answer.status == 200);
        CHECK(answer.body.find(" 29") != std::string::npos);
    }
}

std::size_t startedCount(Fleet &fleet, const std::string &server)
{
    return fleet.backend(server).journal().size();
}

} // namespace

SCENARIO("a planned stop of an agent interrupts no request")
{
    GIVEN("two fully loaded servers and waiting requests")
    {
        Fleet fleet(plan({{"model-a", "models", "a"}, {"model-b", "models", "a"}}));
        REQUIRE(fleet.start());
        std::vector<std::future<Answer>> answers = startStreams(fleet, 0, "stream-", 8);
        const auto full = [&] {
            return fleet.backend("model-a").running() == 2
                   && fleet.backend("model-b").running() == 2;
        };
        REQUIRE(eventually(full));

        WHEN("one agent receives SIGTERM")
        {
            const int exitCode = fleet.agent("model-a").terminate();
            const std::size_t before = startedCount(fleet, "model-a");

            THEN("its streams are completed, the other server runs the rest, and it exits with 0")
            {
                CHECK(exitCode == 0);
                checkComplete(answers);
                CHECK(startedCount(fleet, "model-a") == before);
                CHECK(before + startedCount(fleet, "model-b") == 8);
            }
        }
        WHEN("one server reports that it is leaving while the platform still lists it as live")
        {
            fleet.backend("model-a").setLeaving(true);
            const TimePoint leavingSince = Clock::now();

            THEN("it receives no new requests after three seconds, and its streams are completed")
            {
                checkComplete(answers);
                std::vector<std::future<Answer>> more = startStreams(fleet, 1, "more-", 4);
                checkComplete(more);
                for (const JournalEntry &entry : fleet.backend("model-a").journal())
                    CHECK(entry.startedAt < leavingSince + std::chrono::seconds(3));
            }
        }
    }
}

SCENARIO("a planned stop of a router interrupts no request")
{
    GIVEN("a router with running streams and waiting requests")
    {
        Fleet fleet(plan({{"model-a", "models", "a"}}));
        REQUIRE(fleet.start());
        std::vector<std::future<Answer>> answers = startStreams(fleet, 0, "stream-", 5);
        REQUIRE(eventually([&] { return fleet.backend("model-a").running() == 2; }));
        const auto waiting = [&] {
            return fleet.admin(fleet.routerAdminPort(0), "/metrics")
                           .find("bilberry_requests_waiting{pool=\"models\"} 2")
                   != std::string::npos;
        };
        REQUIRE(eventually(waiting));

        WHEN("it receives SIGTERM")
        {
            std::future<int> exitCode
                    = std::async(std::launch::async, [&] { return fleet.router(0).terminate(); });

            THEN("all of them are answered, the other router serves a new one, and it exits with 0")
            {
                CHECK(fleet.call(1, request("other", "10", "0")).status == 200);
                checkComplete(answers);
                CHECK(exitCode.get() == 0);
            }
        }
    }
}
