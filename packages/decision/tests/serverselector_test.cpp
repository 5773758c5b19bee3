#include "selectingrouter.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("pattern: many prompts share a prefix")
{
    GIVEN("two routers with the same servers and no reports from each other")
    {
        SelectingRouter one(9);
        SelectingRouter two(9);
        THEN("both choose the same server for a shared prefix while it isn't overloaded")
        {
            for (std::uint64_t part = 1; part <= 40; ++part) {
                const auto first = one.send(one.traits(prompt(part, 1)));
                const auto second = two.send(two.traits(prompt(part, 2)));
                REQUIRE(first);
                REQUIRE(second);
                CHECK(first.value().server == second.value().server);
                one.finishAll();
                two.finishAll();
            }
        }
    }
    GIVEN("a server that has received a request with the prefix")
    {
        SelectingRouter router(9);
        const auto first = router.send(router.traits(prompt(7, 1)));
        router.finishAll();
        const auto second = router.selector.choose(router.traits(prompt(7, 2)), router.now);
        THEN("only the part that isn't shared has to be prefilled")
        {
            REQUIRE(second);
            CHECK(second.value().server == first.value().server);
            CHECK(second.value().cachedTokens == 13000);
        }
        WHEN("the server restarts")
        {
            DirectServer restarted = *router.selector.server(first.value().server);
            restarted.startedAtMs = 2;
            router.selector.update(restarted, router.now);
            router.now += 10s;
            THEN("the prefix is no longer expected to be cached")
            {
                const auto third = router.selector.choose(router.traits(prompt(7, 3)), router.now);
                REQUIRE(third);
                CHECK(third.value().cachedTokens < 13000);
            }
        }
    }
}

SCENARIO("pattern: one shared prefix has more requests than its server can prefill")
{
    GIVEN("nine servers and 200 requests with the same prefix")
    {
        SelectingRouter router(9);
        std::map<ServerId, int> sent;
        int refused = 0;
        for (std::uint64_t i = 0; i < 200; ++i) {
            const auto choice = router.send(router.traits(prompt(1, i)));
            if (choice)
                ++sent[choice.value().server];
            else
                ++refused;
        }
        THEN("requests that can't be served in time are refused instead of recomputing the prefix "
             "on "
             "every server")
        {
            CHECK(refused > 100);
            CHECK(sent.size() <= 3);
        }
    }
}

SCENARIO("pattern: several routers load the same servers")
{
    GIVEN("a router without requests in flight")
    {
        SelectingRouter router(3);
        REQUIRE(router.selector.choose(router.traits(prompt(1, 1)), router.now));
        WHEN("another router reports that all servers are overloaded")
        {
            std::vector<ReportedLoad> loads;
            for (const ServerId &server : router.selector.servers())
                loads.push_back({serverKey(server), {2000.0, 30}});
            router.selector.updatePeerLoads(RouterId("other"), loads, true, router.now);
            THEN("a request is refused immediately")
            {
                const auto choice = router.selector.choose(router.traits(prompt(1, 1)), router.now);
                CHECK(choice.error() == ServerChoiceErrc::Overloaded);
            }
            AND_WHEN("it reports that one server has no load any more")
            {
                router.selector.updatePeerLoads(
                        RouterId("other"), {{serverKey(ServerId("s1")), {}}}, false, router.now);
                THEN("a request is sent to that server")
                {
                    const auto choice
                            = router.selector.choose(router.traits(prompt(1, 1)), router.now);
                    REQUIRE(choice);
                    CHECK(choice.value().server == ServerId("s1"));
                }
            }
            AND_WHEN("its report expires")
            {
                router.now += 2s;
                THEN("its report is ignored")
                {
                    CHECK(router.selector.choose(router.traits(prompt(1, 1)), router.now));
                    CHECK(router.selector.livePeerCount(router.now) == 0);
                }
            }
        }
    }
}

SCENARIO("pattern: the server that has a prompt cached is out")
{
    GIVEN("two servers, one of which has the shared prefix of many requests")
    {
        SelectingRouter router(2);
        const auto first = router.send(router.traits(prompt(7, 1)));
        REQUIRE(first);
        router.finishAll();
        const ServerId cached = first.value().server;
        const auto next
                = [&] { return router.selector.choose(router.traits(prompt(7, 2)), router.now); };
        REQUIRE(next().value().server == cached);

        WHEN("it fails its requests and is ejected")
        {
            RequestTraits request = router.traits(Prompt());
            request.excluded = {cached == ServerId("s0") ? ServerId("s1") : ServerId("s0")};
            for (int i = 0; i < 20 && router.send(request); ++i)
                router.finishAll(AttemptOutcome::BrokenAnswer);
            THEN("the other one is chosen, although it has to recompute the prefix")
            {
                REQUIRE(next());
                CHECK_FALSE(next().value().server == cached);
                CHECK(next().value().mostCachedTokens == 0);
            }
        }
        WHEN("it falls silent with a request")
        {
            REQUIRE(router.send(router.traits(prompt(7, 3))));
            router.now += 3s;
            THEN("the other one is chosen")
            {
                REQUIRE(next());
                CHECK_FALSE(next().value().server == cached);
            }
        }
        WHEN("this router has all the connections to it that it may use")
        {
            RequestTraits request = router.traits(Prompt());
            request.excluded = {cached == ServerId("s0") ? ServerId("s1") : ServerId("s0")};
            while (router.send(request)) {
            }
            for (const AttemptNumber attempt : router.attempts)
                router.selector.recordFirstByte(attempt, router.now);
            THEN("the other one is chosen")
            {
                REQUIRE(next());
                CHECK_FALSE(next().value().server == cached);
            }
        }
    }
}

SCENARIO("another router reports load on a server that isn't listed yet")
{
    GIVEN("such a report, and then the server's listing")
    {
        SelectingRouter router(0);
        const ServerKey key = serverKey(ServerId("s0"));
        router.selector.updatePeerLoads(RouterId("other"), {{key, {2000.0, 30}}}, true, router.now);
        router.selector.update(serverNamed("s0"), router.now);
        THEN("the load counts")
        {
            CHECK(router.selector.choose(router.traits(prompt(1, 1)), router.now).error()
                  == ServerChoiceErrc::Overloaded);
        }
        WHEN("the other router's load has ended, and a third one has load there")
        {
            router.selector.updatePeerLoads(RouterId("third"), {{key, {2000.0, 30}}}, true,
                                            router.now);
            router.selector.updatePeerLoads(RouterId("other"), {{key, {}}}, false, router.now);
            THEN("the third one's load still counts")
            {
                CHECK(router.selector.choose(router.traits(prompt(1, 1)), router.now).error()
                      == ServerChoiceErrc::Overloaded);
            }
        }
    }
}

SCENARIO("a new plan tells a smaller memory of the engines")
{
    GIVEN("a server that has received a prompt")
    {
        SelectingRouter router(1);
        REQUIRE(router.send(router.traits(prompt(7, 1))));
        router.finishAll();
        WHEN("its engine has less memory than the prompt needs")
        {
            TrafficPlanParts parts = planWithEngines()->parts();
            parts.pools.at(models).engine = EngineTraits{64, 10000};
            router.selector.setPlan(
                    std::make_shared<const TrafficPlan>(TrafficPlan::create(2, parts).value()));
            router.selector.update(serverNamed("s0"), router.now);
            THEN("the prompt is no longer expected to be cached")
            {
                const auto choice = router.selector.choose(router.traits(prompt(7, 2)), router.now);
                REQUIRE(choice);
                CHECK(choice.value().mostCachedTokens == 0);
            }
        }
    }
}

SCENARIO("a router uses the prefix caches that other routers' requests have filled")
{
    GIVEN("a router with nine servers")
    {
        SelectingRouter router(9);
        const Prompt request = prompt(7, 1);
        const auto owner = router.selector.choose(router.traits(request), router.now);
        REQUIRE(owner);
        WHEN("another router reports that it sent the prefix to a server other than the owner")
        {
            const ServerId other(owner.value().server == ServerId("s1") ? "s2" : "s1");
            router.selector.recordPeerPlacement(
                    {serverKey(other), {request.sharedPrefixKey(), 13000}, 3000});
            THEN("that server is chosen")
            {
                const auto choice = router.selector.choose(router.traits(prompt(7, 2)), router.now);
                REQUIRE(choice);
                CHECK(choice.value().server == other);
                CHECK(choice.value().cachedTokens == 13000);
            }
        }
        WHEN("it sends a prompt itself")
        {
            std::vector<PlacedPrefix> placed;
            router.selector.setPrefixPlacedHook(
                    [&](const PlacedPrefix &prefix) { placed.push_back(prefix); });
            const auto choice = router.send(router.traits(request));
            THEN("the hook is told the server, the shared prefix and the size of the rest")
            {
                REQUIRE(choice);
                CHECK(placed
                      == std::vector<PlacedPrefix>{{serverKey(choice.value().server),
                                                    {request.sharedPrefixKey(), 13000},
                                                    3000}});
            }
        }
    }
}

SCENARIO("pattern: one customer sends many times its usual load")
{
    GIVEN("a server with some queued prefill work")
    {
        SelectingRouter router(1);
        router.selector.updatePeerLoads(RouterId("other"), {{serverKey(ServerId("s0")), {60.0, 3}}},
                                        true, router.now);
        RequestTraits request = router.traits(prompt(1, 1));
        THEN("a customer below its fair share is served")
        {
            request.customerUsageRatio = 0.5;
            CHECK(router.selector.choose(request, router.now));
        }
        THEN("a customer at twice its fair share is refused")
        {
            request.customerUsageRatio = 2.0;
            CHECK(router.selector.choose(request, router.now).error()
                  == ServerChoiceErrc::Overloaded);
        }
    }
}

SCENARIO("servers that must not receive requests are not chosen")
{
    GIVEN("two servers in different zones")
    {
        SelectingRouter router(0);
        router.selector.update(serverNamed("near"), router.now);
        router.selector.update(serverNamed("far", farZone), router.now);
        const RequestTraits request = router.traits(Prompt());
        const auto chosen = [&] {
            const auto choice = router.selector.choose(request, router.now);
            return choice ? choice.value().server.text() : choice.error().message();
        };
        REQUIRE(chosen() == "near");

        WHEN("the near one is draining")
        {
            DirectServer draining = serverNamed("near");
            draining.draining = true;
            router.selector.update(draining, router.now);
            THEN("the far one is chosen")
            {
                CHECK(chosen() == "far");
            }
        }
        WHEN("the near zone is out of service")
        {
            router.selector.setZonesOut({nearZone}, router.now);
            THEN("the far one is chosen")
            {
                CHECK(chosen() == "far");
            }
            AND_WHEN("the zone is back in service")
            {
                router.selector.setZonesOut({}, router.now);
                THEN("its server is in a cold start for the warm-up time")
                {
                    CHECK(chosen() == "far");
                    router.now += 4s;
                    CHECK(chosen() == "near");
                }
            }
        }
        WHEN("another server answers at the near one's address")
        {
            REQUIRE(router.send(request));
            router.finishAll(AttemptOutcome::WrongServer);
            THEN("the far one is chosen")
            {
                CHECK(chosen() == "far");
            }
        }
        WHEN("the near one disappears from the list around an outage")
        {
            router.selector.setMissing(ServerId("near"), true);
            THEN("it is chosen only when there is no other server")
            {
                CHECK(chosen() == "far");
                router.selector.remove(ServerId("far"));
                CHECK(chosen() == "near");
            }
        }
        WHEN("both are removed")
        {
            router.selector.remove(ServerId("near"));
            router.selector.remove(ServerId("far"));
            THEN("the request is refused")
            {
                CHECK(chosen() == "no server in the pool may receive requests");
            }
        }
    }
}

SCENARIO("an unresponsive server is avoided")
{
    GIVEN("two servers, one of them with a request that waits for its first byte")
    {
        SelectingRouter router(2);
        const RequestTraits request = router.traits(Prompt());
        const auto first = router.send(request);
        REQUIRE(first);
        WHEN("no first byte arrives within the timeout")
        {
            router.now += 3s;
            THEN("the other one is chosen")
            {
                const auto second = router.selector.choose(request, router.now);
                REQUIRE(second);
                CHECK_FALSE(second.value().server == first.value().server);
            }
        }
    }
}
