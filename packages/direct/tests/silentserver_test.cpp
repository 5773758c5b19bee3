#include "routerfixture.h"

#include "support/faultproxy.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

constexpr int keptConnections = 4;

/// Sends requests at the same time, so that a connection to the server is kept for each.
void callTogether(const InProcessRouter &router, int count)
{
    std::vector<std::thread> callers;
    for (int i = 0; i < count; ++i)
        callers.emplace_back([&] { CHECK(router.call("/book/x").status() == 200); });
    for (std::thread &caller : callers)
        caller.join();
}

} // namespace

// Each kept connection that had gone silent took one request, until the deadline of that request.
SCENARIO("kept connections to a server go silent while new ones work")
{
    GIVEN("a router with several kept connections to a server")
    {
        ScriptedServer server([](const ScriptedRequest &) {
            std::this_thread::sleep_for(60ms);
            return ScriptedAnswer{answer("200 OK", "whole")};
        });
        TcpProxy proxy(server.port());
        const InProcessRouter router(testPlan(), {loopbackServer("s0", proxy.port())},
                                     acceptOldPlans);
        callTogether(router, keptConnections);
        REQUIRE(server.requests().size() == keptConnections);
        proxy.silenceOpen();

        WHEN("bookings come one after the other")
        {
            int failed = 0;
            for (int i = 0; i < keptConnections; ++i)
                failed += router.call("/book/x").status() == 200 ? 0 : 1;
            THEN("one is lost, and the others use new connections")
            {
                CHECK(failed == 1);
                CHECK(server.requests().size() == 2 * keptConnections - 1);
            }
        }
        WHEN("another booking comes while the first one waits for its answer")
        {
            std::thread first([&] { router.call("/book/x"); });
            std::this_thread::sleep_for(600ms);
            const TimePoint sentAt = Clock::now();
            const int status = router.call("/book/x").status();
            const Duration took = Clock::now() - sentAt;
            first.join();
            THEN("it is answered at once")
            {
                CHECK(status == 200);
                CHECK(took < 400ms);
            }
        }
    }
}
