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

/// Longer than a grant, a silent link and a call to the platform may last.
constexpr Duration pastEveryTimeout = std::chrono::seconds(7);

std::string note()
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
    plan.releaseNote = note();
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

/// Calls while the test goes on.
std::future<Answer> callLater(const Fleet &fleet, std::size_t router, const Call &request)
{
    return std::async(std::launch::async,
                      [&fleet, router, request] { return fleet.call(router, request); });
}

/// Lets time pass while other calls are served.
bool serves(const Fleet &fleet, std::size_t router, Duration duration)
{
    const TimePoint end = Clock::now() + duration;
    return eventually(
            [&] { return fleet.call(router, lookup()).status == 200 && Clock::now() >= end; },
            duration + std::chrono::seconds(20));
}

bool claimed(Fleet &fleet)
{
    return eventually([&] { return !fleet.platform().names("claims/").empty(); });
}

/// Repeats until the claim of the first try is gone and the request runs.
bool runsAtLast(const Fleet &fleet, const std::string &tag)
{
    return eventually([&] { return fleet.call(1, booking(tag)).status == 200; },
                      std::chrono::seconds(30));
}

void isRefusedAsTaken(const Answer &answer)
{
    CHECK(answer.status == 409);
    CHECK(answer.outcome() == "unknown");
}

void isNotRun(const Answer &answer)
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

        WHEN("it is sent through both routers at the same time and once more later")
        {
            request.headers["X-Ms"] = "300";
            std::future<Answer> first = callLater(fleet, 0, request);
            std::future<Answer> second = callLater(fleet, 1, request);
            const std::set<int> statuses{first.get().status, second.get().status};
            const Answer later = fleet.call(0, request);

            THEN("one ran and the others are told its state")
            {
                CHECK(statuses == std::set<int>{200, 409});
                isRefusedAsTaken(later);
                CHECK(later.body.find("status 200") != std::string::npos);
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("the answer to the claim is lost")
        {
            fleet.platform().faults().lostWriteAnswers = 1;

            THEN("the claim is settled by reading and it runs once")
            {
                CHECK(fleet.call(0, request).status == 200);
                isRefusedAsTaken(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("the claim itself is lost")
        {
            fleet.platform().faults().lostWrites = 1;

            THEN("it is made again and the booking runs once")
            {
                CHECK(fleet.call(0, request).status == 200);
                isRefusedAsTaken(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("its router is killed while it runs")
        {
            request.headers["X-Ms"] = "2000";
            std::future<Answer> first = callLater(fleet, 0, request);
            REQUIRE(eventually([&] { return fleet.runs("pallet") == 1; }));
            fleet.router(0).kill();

            THEN("a repeat through the other router is refused")
            {
                CHECK(first.get().status == 0);
                isRefusedAsTaken(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("the agents are restarted while it runs")
        {
            request.headers["X-Ms"] = "3000";
            std::future<Answer> first = callLater(fleet, 0, request);
            REQUIRE(eventually([&] { return fleet.runs("pallet") == 1; }));
            for (const char *server : {"order-a", "order-b"}) {
                fleet.agent(server).kill();
                fleet.startAgent(server);
            }
            const Answer answer = first.get();
            REQUIRE(serves(fleet, 1, Duration()));

            THEN("its caller hears that the outcome is open, and a repeat is refused")
            {
                CHECK(answer.status == 502);
                CHECK(answer.outcome() == "unknown");
                isRefusedAsTaken(fleet.call(1, request));
                CHECK(fleet.runs("pallet") == 1);
            }
        }
        WHEN("it has no key and crashes its server")
        {
            request.headers.erase("Idempotency-Key");
            request.headers["X-Crash"] = "1";
            const Answer answer = fleet.call(0, request);

            THEN("it is not tried again and nothing is claimed")
            {
                CHECK(answer.status == 502);
                CHECK(answer.outcome() == "unknown");
                CHECK(fleet.runs("pallet") == 1);
                CHECK(fleet.platform().names("claims/").empty());
            }
        }
    }
}

SCENARIO("a booking that could not be claimed did not run, and a repeat runs")
{
    GIVEN("a fleet whose calls to the platform may take 300 ms")
    {
        Fleet fleet(planWith("300"));
        REQUIRE(fleet.start());
        PlatformFaults &faults = fleet.platform().faults();

        WHEN("the platform is slower than that for a while")
        {
            faults.delayMs = 600;
            const Answer slow = fleet.call(0, booking("slow"));
            const bool served = serves(fleet, 1, pastEveryTimeout);
            faults.delayMs = 0;

            THEN("the refusal is true, other work went on and the claim goes in the end")
            {
                isNotRun(slow);
                CHECK(served);
                CHECK(fleet.runs("slow") == 0);
                CHECK(runsAtLast(fleet, "slow"));
                CHECK(fleet.runs("slow") == 1);
            }
        }
        WHEN("the platform is down for a while")
        {
            faults.down = true;
            const Answer answer = fleet.call(0, booking("outage"));
            const bool served = serves(fleet, 1, pastEveryTimeout);
            faults.down = false;

            THEN("the refusal is true, other work went on and a repeat runs afterwards")
            {
                isNotRun(answer);
                CHECK(served);
                CHECK(fleet.runs("outage") == 0);
                CHECK(runsAtLast(fleet, "outage"));
                CHECK(fleet.runs("outage") == 1);
            }
        }
    }
    GIVEN("a fleet whose calls to the platform may outlast a grant")
    {
        Fleet fleet(planWith("10000"));
        REQUIRE(fleet.start());

        WHEN("the claim is made after its grant expired")
        {
            fleet.platform().faults().delayMs = 2500;
            const Answer answer = fleet.call(0, booking("late"));
            fleet.platform().faults().delayMs = 0;

            THEN("the booking runs once under a new grant")
            {
                CHECK(answer.status == 200);
                CHECK(fleet.runs("late") == 1);
                isRefusedAsTaken(fleet.call(1, booking("late")));
            }
        }
    }
}

SCENARIO("a router is paused or lost between claim and dispatch")
{
    GIVEN("a fleet whose first router hears the platform late")
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
        // The claim is made half a second or more before the router can know of it.
        proxy->faults().delayMs = 700;
        std::future<Answer> first = callLater(fleet, 0, booking("crate"));
        REQUIRE(claimed(fleet));

        WHEN("it is stopped past every time-out and goes on")
        {
            fleet.router(0).signal(SIGSTOP);
            const Answer during = fleet.call(1, booking("crate"));
            const bool served = serves(fleet, 1, pastEveryTimeout);
            proxy->faults().delayMs = 0;
            fleet.router(0).signal(SIGCONT);
            const Answer answer = first.get();
            const Answer after = fleet.call(1, booking("crate"));

            THEN("the booking runs at most once and no answer is false")
            {
                isRefusedAsTaken(during);
                CHECK(served);
                CHECK(fleet.runs("crate") <= 1);
                const bool ran = answer.status == 200 || after.status == 200;
                CHECK((!ran || fleet.runs("crate") == 1));
                CHECK((answer.outcome() != "not-run" || answer.status == 503));
            }
        }
        WHEN("it loses the platform for a while")
        {
            proxy->faults().cut = true;
            const Answer answer = first.get();
            isRefusedAsTaken(fleet.call(1, booking("crate")));
            const bool served = serves(fleet, 1, pastEveryTimeout);
            proxy->faults().delayMs = 0;
            proxy->faults().cut = false;

            THEN("the refusal is true, the claim is released afterwards and a repeat runs")
            {
                isNotRun(answer);
                CHECK(served);
                CHECK(fleet.runs("crate") == 0);
                CHECK(runsAtLast(fleet, "crate"));
                CHECK(fleet.runs("crate") == 1);
            }
        }
        WHEN("it is killed")
        {
            fleet.router(0).kill();
            CHECK(first.get().status == 0);

            THEN("repeats are told that the outcome is open, and nothing runs twice")
            {
                isRefusedAsTaken(fleet.call(1, booking("crate")));
                CHECK(fleet.runs("crate") == 0);
            }
        }
    }
}
