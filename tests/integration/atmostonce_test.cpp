#include "support/faultproxy.h"
#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <set>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

/// Exceeds the lifetime of a grant and the timeouts of silent links and platform calls.
constexpr Duration longerThanAnyTimeout = std::chrono::seconds(7);

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {}, b: {} }\n"
           "  pools:\n"
           "    orders: { zones: [a, b], coldLimit: 4, fullLimit: 8 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /orders: { pool: orders }\n";
}

FleetPlan planWith(const std::string &callLimitMs)
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "b"};
    plan.servers = {{"order-a", "orders", "a"}, {"order-b", "orders", "b"}};
    plan.releaseNote = releaseNote();
    plan.routerSettings = {{"platform.callLimitMs", callLimitMs}};
    return plan;
}

Call booking(const std::string &tag)
{
    Call request;
    request.method = "POST";
    request.target = "/orders/book";
    request.headers
            = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", tag}, {"Idempotency-Key", "key of " + tag}};
    return request;
}

Call lookup()
{
    Call request;
    request.target = "/orders/stock";
    request.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", "lookup"}};
    return request;
}

/// Sends a request on another thread.
std::future<Answer> callAsync(const Fleet &fleet, std::size_t router, const Call &request)
{
    return std::async(std::launch::async,
                      [&fleet, router, request] { return fleet.call(router, request); });
}

/// Sends lookups for at least `duration`.
/// @return true when a lookup at or after its end is answered with 200
bool servesLookups(const Fleet &fleet, std::size_t router, Duration duration)
{
    const TimePoint end = Clock::now() + duration;
    return eventually(
            [&] { return fleet.call(router, lookup()).status == 200 && Clock::now() >= end; },
            duration + std::chrono::seconds(20));
}

bool waitForClaim(Fleet &fleet)
{
    return eventually([&] { return !fleet.platform().names("claims/").empty(); });
}

/// Resends the booking until the claim of the first attempt is released and the booking runs.
bool runsEventually(const Fleet &fleet, const std::string &tag)
{
    return eventually([&] { return fleet.call(1, booking(tag)).status == 200; },
                      std::chrono::seconds(30));
}

void checkRefusedAsClaimed(const Answer &answer)
{
    CHECK(answer.status == 409);
    CHECK(answer.outcome() == "unknown");
}

void checkNotRun(const Answer &answer)
{
    CHECK(answer.status == 503);
    CHECK(answer.outcome() == "not-run");
    CHECK_FALSE(answer.header("retry-after").empty());
}

} // namespace

SCENARIO("a booking runs at most once while callers resend it")
{
    GIVEN("a fleet of two routers")
    {
        Fleet fleet(planWith("1000"));
        REQUIRE(fleet.start());
        Call request = booking("pallet");

        WHEN("it is sent through both routers concurrently and once more later")
        {
            request.headers["X-Ms"] = "300";
            std::future<Answer> first = callAsync(fleet, 0, request);
            std::future<Answer> second = callAsync(fleet, 1, request);
            const std::set<int> statuses{first.get().status, second.get().status};
            const Answer later = fleet.call(0, request);

            THEN("it runs once, and the other calls are answered with its state")
            {
                CHECK(statuses == std::set<int>{200, 409});
                checkRefusedAsClaimed(later);
                CHECK(later.body.find("status 200") != std::string::npos);
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("the answer to the claim is lost")
        {
            fleet.platform().faults().lostWriteAnswers = 1;

            THEN("the router reads the claim back, and the booking runs once")
            {
                CHECK(fleet.call(0, request).status == 200);
                checkRefusedAsClaimed(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("the write of the claim is lost")
        {
            fleet.platform().faults().lostWrites = 1;

            THEN("the claim is written again, and the booking runs once")
            {
                CHECK(fleet.call(0, request).status == 200);
                checkRefusedAsClaimed(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("its router is killed while it runs")
        {
            request.headers["X-Ms"] = "2000";
            std::future<Answer> first = callAsync(fleet, 0, request);
            REQUIRE(eventually([&] { return fleet.runs("pallet") == 1; }));
            fleet.router(0).kill();

            THEN("a resend through the other router is refused")
            {
                CHECK(first.get().status == 0);
                checkRefusedAsClaimed(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("the agents are restarted while it runs")
        {
            request.headers["X-Ms"] = "3000";
            std::future<Answer> first = callAsync(fleet, 0, request);
            REQUIRE(eventually([&] { return fleet.runs("pallet") == 1; }));
            for (const char *server : {"order-a", "order-b"}) {
                fleet.agent(server).kill();
                fleet.startAgent(server);
            }
            const Answer answer = first.get();
            REQUIRE(servesLookups(fleet, 1, Duration()));

            THEN("its caller receives an unknown outcome, and a resend is refused")
            {
                CHECK(answer.status == 502);
                CHECK(answer.outcome() == "unknown");
                checkRefusedAsClaimed(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("it has no idempotency key and crashes its server")
        {
            request.headers.erase("Idempotency-Key");
            request.headers["X-Crash"] = "1";
            const Answer answer = fleet.call(0, request);

            THEN("it is not retried, and no claim is written")
            {
                CHECK(answer.status == 502);
                CHECK(answer.outcome() == "unknown");
                CHECK(fleet.runs("pallet") == 1);
                CHECK(fleet.platform().names("claims/").empty());
            }
        }
    }
}

SCENARIO("a booking that could not be claimed does not run, and a resend runs")
{
    GIVEN("a fleet whose platform calls time out after 300 ms")
    {
        Fleet fleet(planWith("300"));
        REQUIRE(fleet.start());
        PlatformFaults &faults = fleet.platform().faults();

        WHEN("the platform exceeds this timeout for a while")
        {
            faults.delayMs = 600;
            const Answer slow = fleet.call(0, booking("slow"));
            const bool served = servesLookups(fleet, 1, longerThanAnyTimeout);
            faults.delayMs = 0;

            THEN("the booking did not run, other requests are served and the claim is released")
            {
                checkNotRun(slow);
                CHECK(served);
                CHECK(fleet.runs("slow") == 0);
                CHECK(runsEventually(fleet, "slow"));
                CHECK(fleet.runs("slow") == 1);
            }
        }
        WHEN("the platform is temporarily down")
        {
            faults.down = true;
            const Answer answer = fleet.call(0, booking("outage"));
            const bool served = servesLookups(fleet, 1, longerThanAnyTimeout);
            faults.down = false;

            THEN("the booking did not run, other requests are served and a later resend runs")
            {
                checkNotRun(answer);
                CHECK(served);
                CHECK(fleet.runs("outage") == 0);
                CHECK(runsEventually(fleet, "outage"));
                CHECK(fleet.runs("outage") == 1);
            }
        }
    }
    GIVEN("a fleet whose platform calls may take longer than a grant is valid")
    {
        Fleet fleet(planWith("10000"));
        REQUIRE(fleet.start());

        WHEN("the claim is written after its grant has expired")
        {
            fleet.platform().faults().delayMs = 2500;
            const Answer answer = fleet.call(0, booking("late"));
            fleet.platform().faults().delayMs = 0;

            THEN("the booking runs once under a new grant")
            {
                CHECK(answer.status == 200);
                CHECK(fleet.runs("late") == 1);
                checkRefusedAsClaimed(fleet.call(1, booking("late")));
            }
        }
    }
}

SCENARIO("a router is paused, disconnected or killed between claim and dispatch")
{
    GIVEN("a fleet whose first router receives the platform's answers late")
    {
        FleetPlan plan = planWith("10000");
        std::unique_ptr<TcpProxy> proxy;
        plan.platformPort = [&](std::size_t router, std::uint16_t port) {
            if (router != 0)
                return port;
            proxy = std::make_unique<TcpProxy>(port);
            return proxy->port();
        };
        Fleet fleet(plan);
        REQUIRE(fleet.start());
        // The claim is stored at least half a second before the router receives the answer.
        proxy->faults().delayMs = 700;
        std::future<Answer> first = callAsync(fleet, 0, booking("crate"));
        REQUIRE(waitForClaim(fleet));

        WHEN("it is paused for longer than any timeout and resumed")
        {
            fleet.router(0).signal(SIGSTOP);
            const Answer during = fleet.call(1, booking("crate"));
            const bool served = servesLookups(fleet, 1, longerThanAnyTimeout);
            proxy->faults().delayMs = 0;
            fleet.router(0).signal(SIGCONT);
            const Answer answer = first.get();
            const Answer after = fleet.call(1, booking("crate"));

            THEN("the booking runs at most once and each answer matches what happened")
            {
                checkRefusedAsClaimed(during);
                CHECK(served);
                CHECK(fleet.runs("crate") <= 1);
                const bool ran = answer.status == 200 || after.status == 200;
                CHECK((!ran || fleet.runs("crate") == 1));
                CHECK((answer.outcome() != "not-run" || answer.status == 503));
            }
        }
        WHEN("it is temporarily disconnected from the platform")
        {
            proxy->faults().cut = true;
            const Answer answer = first.get();
            checkRefusedAsClaimed(fleet.call(1, booking("crate")));
            const bool served = servesLookups(fleet, 1, longerThanAnyTimeout);
            proxy->faults().delayMs = 0;
            proxy->faults().cut = false;

            THEN("the booking did not run, the claim is released afterwards and a resend runs")
            {
                checkNotRun(answer);
                CHECK(served);
                CHECK(fleet.runs("crate") == 0);
                CHECK(runsEventually(fleet, "crate"));
                CHECK(fleet.runs("crate") == 1);
            }
        }
        WHEN("it is killed")
        {
            fleet.router(0).kill();
            CHECK(first.get().status == 0);

            THEN("resends are refused with an unknown outcome, and nothing runs twice")
            {
                checkRefusedAsClaimed(fleet.call(1, booking("crate")));
                CHECK(fleet.runs("crate") == 0);
            }
        }
    }
}
