#include "routerfixture.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

constexpr int callCount = 150;
constexpr auto callPause = 20ms;
/// Requests that a server with a limit of two a second may get in the test's four seconds: one and
/// a half times the limit, and five.
constexpr int mostRequests = 17;

/// @return a script whose answers have a further header field
ScriptedServer::Script answering(const std::string &field)
{
    return always(answer("200 OK", "whole", "Bilberry-Signature: sig\r\n" + field));
}

} // namespace

// A server that says how many requests it takes must not get as many as the others.
SCENARIO("a server gets no more requests than it says that it takes")
{
    ScriptedServer other(answering(""));
    const auto playCalls = [](const RouterFixture &router) {
        int served = 0;
        for (int i = 0; i < callCount; ++i) {
            served += router.call("/read/x").status() == 200 ? 1 : 0;
            std::this_thread::sleep_for(callPause);
        }
        return served;
    };
    GIVEN("two servers, one of which names a limit of two requests a second")
    {
        ScriptedServer limited(answering("Bilberry-Request-Limit: 2.0\r\n"));
        const RouterFixture router({&limited, &other}, acceptOldPlans);
        const int served = playCalls(router);
        THEN("it gets these, and the other one answers the rest")
        {
            CHECK(static_cast<int>(limited.requests().size()) <= mostRequests);
            CHECK(static_cast<int>(limited.requests().size()) >= 3);
            CHECK(served == callCount);
        }
    }
    GIVEN("two servers, one of which names a limit in its refusals")
    {
        ScriptedServer limited(
                always(answer("503 Service Unavailable", "",
                              "Bilberry-Not-Run: 1\r\nBilberry-Request-Limit: 2.0\r\n")));
        const RouterFixture router({&limited, &other}, acceptOldPlans);
        playCalls(router);
        THEN("it gets no more than these")
        {
            CHECK(static_cast<int>(limited.requests().size()) <= mostRequests);
        }
    }
    GIVEN("two servers, one of which names limits that are no number")
    {
        const std::string value
                = GENERATE("-1", "nan", "inf", "1e400", "2 3", "", "Sat, 05 Dec 2026 00:00:00 GMT",
                           "2\r\nBilberry-Request-Limit: 3");
        ScriptedServer odd(answering("Bilberry-Request-Limit: " + value + "\r\n"));
        const RouterFixture router({&odd, &other}, acceptOldPlans);
        for (int i = 0; i < 20; ++i)
            router.call("/read/x");
        THEN("it has none")
        {
            CHECK(odd.requests().size() >= 8);
        }
    }
    GIVEN("a server that names a limit at first, and then none")
    {
        std::atomic<int> answered = 0;
        ScriptedServer changing([&](const ScriptedRequest &) {
            const std::string field = ++answered <= 3 ? "Bilberry-Request-Limit: 5\r\n" : "";
            return ScriptedAnswer{answer("200 OK", "whole", "Bilberry-Signature: sig\r\n" + field)};
        });
        const RouterFixture router({&changing}, acceptOldPlans);
        THEN("callers are refused meanwhile, at once and with a time to return, and served again")
        {
            int refused = 0;
            for (int i = 0; i < 20; ++i) {
                const RawAnswer given = router.call("/read/x");
                if (given.status() != 503)
                    continue;
                ++refused;
                CHECK(given.contains("Retry-After: "));
            }
            CHECK(refused > 0);
            CHECK(eventually([&] {
                router.call("/read/x");
                return answered > 3;
            }));
            for (int i = 0; i < 10; ++i)
                CHECK(router.call("/read/x").status() == 200);
        }
    }
}

// A router without requests must not count as one whose report is missing: its part of the limit
// would stay unused.
SCENARIO("a router shares a limit with one that gets no requests")
{
    constexpr auto playTime = 6s;
    constexpr double perSecond = 5.0;
    /// Of the limit, the part of a router that gets all requests of two: half of the three tenths
    /// that are shared evenly, and the other seven.
    constexpr double share = 0.85;
    constexpr double tolerance = 0.1;
    GIVEN("two routers that know each other, and a server with a limit")
    {
        ScriptedServer limited(answering("Bilberry-Request-Limit: 5.0\r\n"));
        const std::uint16_t ports[] = {freePort(), freePort()};
        const auto entry = [&](int router) {
            return store::Item{"r" + std::to_string(router), R"({"address":"127.0.0.1","port":)"
                                                                     + std::to_string(ports[router])
                                                                     + "}"};
        };
        const auto settings = [&](int router) {
            return [&, router](direct::DirectSettings &settings) {
                settings.router = RouterId("r" + std::to_string(router));
                settings.peerEndpoint.port = ports[router];
                acceptOldPlans(settings);
            };
        };
        const RouterFixture busy({&limited}, settings(0), {{"routers", {entry(1)}}});
        const RouterFixture idle({&limited}, settings(1), {{"routers", {entry(0)}}});
        WHEN("all requests come to one of them")
        {
            const TimePoint end = Clock::now() + playTime;
            while (Clock::now() < end) {
                busy.call("/read/x", "Bilberry-Prompt-Parts: a1:800,b2:100\r\n");
                std::this_thread::sleep_for(callPause);
            }
            THEN("it uses most of the limit")
            {
                const double allowed = perSecond * std::chrono::duration<double>(playTime).count();
                const auto sent = static_cast<double>(limited.requests().size());
                CHECK(sent >= (share - tolerance) * allowed);
                CHECK(sent <= 1.5 * allowed + 5.0);
            }
        }
    }
}
