#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

constexpr std::uint32_t coldLimit = 2;
constexpr std::uint32_t fullLimit = 6;

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: "
           + std::to_string(coldLimit) + ", fullLimit: " + std::to_string(fullLimit)
           + " }\n"
             "  customers:\n"
             "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

Call request(const std::string &tag, int milliseconds)
{
    Call call;
    call.method = "POST";
    call.target = "/v1/chat";
    call.body = tag;
    call.headers = {
            {"X-Api-Key", "kitchen-key"}, {"X-Tag", tag}, {"X-Ms", std::to_string(milliseconds)}};
    return call;
}

/// Sends `count` concurrent requests, spread over all routers.
std::vector<std::future<Answer>> sendConcurrently(Fleet &fleet, const std::string &tag, int count,
                                                  int milliseconds)
{
    std::vector<std::future<Answer>> answers;
    for (int i = 0; i < count; ++i) {
        answers.push_back(std::async(std::launch::async, [&fleet, tag, i, milliseconds] {
            return fleet.call(static_cast<std::size_t>(i) % fleet.routerCount(),
                              request(tag + std::to_string(i), milliseconds));
        }));
    }
    return answers;
}

void checkAnswered(std::vector<std::future<Answer>> &answers)
{
    for (std::future<Answer> &answer : answers)
        CHECK(answer.get().status == 200);
}

} // namespace

SCENARIO("a cold server receives no more requests than its cold limit")
{
    GIVEN("one cold server and three routers")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a", "a", "a"};
        plan.servers = {{"model-a", "models", "a"}};
        plan.releaseNote = releaseNote();
        Fleet fleet(plan);
        BackendStandin &server = fleet.backend("model-a");
        server.setCold(true);
        REQUIRE(fleet.start());

        WHEN("all routers send requests at the same time")
        {
            std::vector<std::future<Answer>> answers = sendConcurrently(fleet, "cold-", 30, 60);
            THEN("all requests are answered, and the cold limit is never exceeded")
            {
                checkAnswered(answers);
                CHECK(server.maxRunningCold() <= coldLimit);

                AND_THEN("the warm server receives up to its full limit, and no more")
                {
                    server.setCold(false);
                    std::vector<std::future<Answer>> more
                            = sendConcurrently(fleet, "warm-", 60, 60);
                    checkAnswered(more);
                    CHECK(server.maxRunning() > coldLimit);
                    CHECK(server.maxRunning() <= fullLimit);
                }
            }
        }
        WHEN("the agent is killed and started again while requests run")
        {
            std::vector<std::future<Answer>> answers = sendConcurrently(fleet, "long-", 2, 3000);
            REQUIRE(eventually([&] { return server.running() == coldLimit; }));
            fleet.agent("model-a").kill();
            fleet.startAgent("model-a");
            std::vector<std::future<Answer>> more = sendConcurrently(fleet, "next-", 6, 50);

            THEN("the requests still on the server count, and all are answered")
            {
                checkAnswered(more);
                checkAnswered(answers);
                CHECK(server.maxRunningCold() <= coldLimit);
            }
        }
        WHEN("it is warm and loaded, and turns cold without notice")
        {
            server.setCold(false);
            std::vector<std::future<Answer>> first = sendConcurrently(fleet, "grow-", 40, 40);
            checkAnswered(first);
            std::vector<std::future<Answer>> waves = sendConcurrently(fleet, "wave-", 40, 400);
            REQUIRE(eventually([&] { return server.running() > coldLimit; }));
            server.setCold(true);
            const TimePoint turnedColdAt = Clock::now();
            checkAnswered(waves);

            THEN("after the next health checks no request starts beyond the cold limit")
            {
                const Duration detectionLimit = std::chrono::seconds(1);
                for (const JournalEntry &entry : server.journal()) {
                    if (entry.cold && entry.startedAt > turnedColdAt + detectionLimit)
                        CHECK(entry.running <= coldLimit);
                }
            }
        }
    }
}
