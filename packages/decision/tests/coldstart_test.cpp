#include "selectingrouter.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("a router sends one request per second to a server in a cold start")
{
    GIVEN("a single server, in a cold start")
    {
        SelectingRouter router(0);
        DirectServer cold = serverNamed("cold");
        cold.warmupLeft = 10s;
        router.selector.update(cold, router.now);
        const RequestTraits request = router.traits(Prompt());
        THEN("the second request within a second is refused")
        {
            CHECK(router.send(request));
            CHECK(router.send(request).error() == ServerChoiceErrc::OnlyColdServers);
            router.now += 1s;
            CHECK(router.send(request));
        }
        WHEN("many other routers send to it")
        {
            constexpr int others = 23;
            for (int i = 0; i < others; ++i)
                router.selector.updatePeerLoads(RouterId("r" + std::to_string(i)), {}, true,
                                                router.now);
            REQUIRE(router.send(request));
            THEN("all routers together stay within the server's warm-up rate")
            {
                // 24 routers at 8 requests/s in total: each may send one request in 3 s.
                router.now += 2s;
                CHECK_FALSE(router.send(request));
            }
        }
        THEN("its rate is no longer limited after the warm-up time")
        {
            router.now += 10s;
            CHECK(router.send(request));
            CHECK(router.send(request));
        }
    }
}

SCENARIO("pattern: servers restart cold while many routers have waiting requests")
{
    GIVEN("25 routers that know each other, and a single server")
    {
        constexpr int routerCount = 25;
        // planWithEngines() allows 8 requests/s in a cold start of 3 s.
        constexpr std::size_t maxPerSecond = 9;
        std::vector<std::unique_ptr<SelectingRouter>> routers;
        for (int i = 0; i < routerCount; ++i) {
            ServerSelectorSettings settings;
            settings.router = RouterId("r" + std::to_string(i));
            routers.push_back(std::make_unique<SelectingRouter>(0, settings));
        }
        const TimePoint start = routers.front()->now;
        for (int i = 0; i < routerCount; ++i) {
            for (int other = 0; other < routerCount; ++other) {
                if (other != i)
                    routers[i]->selector.recordRouter(RouterId("r" + std::to_string(other)), start);
            }
        }
        WHEN("all of them learn of its cold start at the same time and send whenever they may")
        {
            DirectServer cold = serverNamed("cold");
            cold.warmupLeft = 3s;
            for (const auto &router : routers)
                router->selector.update(cold, start);
            std::vector<TimePoint> arrivals;
            for (TimePoint now = start; now < start + 3s; now += 10ms) {
                for (const auto &router : routers) {
                    router->now = now;
                    if (router->send(router->traits(Prompt())))
                        arrivals.push_back(now);
                }
            }
            THEN("it receives at most its warm-up rate in any second, and the rate is used")
            {
                for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
                    const auto end = std::lower_bound(first, arrivals.end(), *first + 1s);
                    CHECK(static_cast<std::size_t>(end - first) <= maxPerSecond);
                }
                CHECK(arrivals.size() >= 20);
            }
        }
    }
}
