#include "bilberry/decision/serverselector.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

const PoolId models("models");
const ZoneId nearZone("a");
const ZoneId farZone("b");

TrafficPlanPtr planWithEngines()
{
    TrafficPlanParts parts;
    DirectPool pool;
    pool.id = models;
    pool.maxConnections = 1000;
    pool.warmup = 3s;
    pool.warmupRate = 8.0;
    pool.engine = EngineTraits{64, 500000};
    parts.pools.emplace(models, pool);
    return std::make_shared<const TrafficPlan>(TrafficPlan::create(1, parts).value());
}

DirectServer serverNamed(const std::string &name, const ZoneId &zone = nearZone)
{
    DirectServer server;
    server.id = ServerId(name);
    server.pool = models;
    server.zone = zone;
    server.address = "127.0.0.1";
    server.port = 1;
    server.startedAtMs = 1;
    return server;
}

/// A prompt of a shared part and a part of its own.
Prompt prompt(std::uint64_t shared, std::uint64_t own, std::uint32_t sharedTokens = 13000,
              std::uint32_t ownTokens = 3000)
{
    return Prompt("m", {{shared, sharedTokens}, {1000000 + own, ownTokens}});
}

struct Router
{
    explicit Router(int servers, ServerSelectorSettings settings = {}) : fleet(withZone(settings))
    {
        fleet.setPlan(planWithEngines());
        for (int i = 0; i < servers; ++i)
            fleet.update(serverNamed("s" + std::to_string(i)), now);
    }

    static ServerSelectorSettings withZone(ServerSelectorSettings settings)
    {
        settings.zone = nearZone;
        return settings;
    }

    RequestTraits traits(const Prompt &prompt) const
    {
        RequestTraits made;
        made.pool = models;
        made.prompt = prompt;
        return made;
    }

    /// Sends a request where the fleet says.
    Result<ServerChoice> send(const RequestTraits &request)
    {
        const auto choice = fleet.choose(request, now);
        if (choice)
            tickets.push_back(fleet.startAttempt(choice.value(), request, now));
        return choice;
    }

    void finishAll(AttemptOutcome outcome = AttemptOutcome::Answered)
    {
        for (const AttemptNumber ticket : tickets) {
            fleet.recordFirstByte(ticket, now);
            fleet.endAttempt(ticket, outcome, now);
        }
        tickets.clear();
    }

    TimePoint now = TimePoint() + 1h;
    ServerSelector fleet;
    std::vector<AttemptNumber> tickets;
};

} // namespace

SCENARIO("pattern: many prompts share their leading part")
{
    GIVEN("two routers that never spoke, before the same servers")
    {
        Router one(9);
        Router two(9);
        THEN("both send a shared part to the same server while it has room")
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
    GIVEN("a server that another request with the part was sent to")
    {
        Router router(9);
        const auto first = router.send(router.traits(prompt(7, 1)));
        router.finishAll();
        const auto second = router.fleet.choose(router.traits(prompt(7, 2)), router.now);
        THEN("only the part of its own is unread")
        {
            REQUIRE(second);
            CHECK(second.value().server == first.value().server);
            CHECK(second.value().cachedTokens == 13000);
        }
        WHEN("the server starts again")
        {
            DirectServer again = *router.fleet.server(first.value().server);
            again.startedAtMs = 2;
            router.fleet.update(again, router.now);
            router.now += 10s;
            THEN("what it held is not counted on")
            {
                const auto third = router.fleet.choose(router.traits(prompt(7, 3)), router.now);
                REQUIRE(third);
                CHECK(third.value().cachedTokens < 13000);
            }
        }
    }
}

SCENARIO("pattern: more prompts of one shared part than its home can read")
{
    GIVEN("nine servers and a flood of requests about one thing")
    {
        Router router(9);
        std::map<ServerId, int> sent;
        int refused = 0;
        for (std::uint64_t i = 0; i < 200; ++i) {
            const auto choice = router.send(router.traits(prompt(1, i)));
            if (choice)
                ++sent[choice.value().server];
            else
                ++refused;
        }
        THEN("what can't be served in time is refused instead of being read again everywhere")
        {
            CHECK(refused > 100);
            CHECK(sent.size() <= 3);
        }
    }
}

SCENARIO("pattern: several routers fill the same servers")
{
    GIVEN("a router whose own servers look idle")
    {
        Router router(3);
        REQUIRE(router.fleet.choose(router.traits(prompt(1, 1)), router.now));
        WHEN("another router reports that all of them are full")
        {
            std::vector<ReportedLoad> loads;
            for (const ServerId &server : router.fleet.servers())
                loads.push_back({serverKey(server), {2000.0, 30}});
            router.fleet.updatePeerLoads(RouterId("other"), loads, true, router.now);
            THEN("a request is refused at once")
            {
                const auto choice = router.fleet.choose(router.traits(prompt(1, 1)), router.now);
                CHECK(choice.error() == ServerChoiceErrc::Overloaded);
            }
            AND_WHEN("it reports that one of them has none left")
            {
                router.fleet.updatePeerLoads(RouterId("other"), {{serverKey(ServerId("s1")), {}}},
                                             false, router.now);
                THEN("a request goes there")
                {
                    const auto choice
                            = router.fleet.choose(router.traits(prompt(1, 1)), router.now);
                    REQUIRE(choice);
                    CHECK(choice.value().server == ServerId("s1"));
                }
            }
            AND_WHEN("nothing more is heard of it")
            {
                router.now += 2s;
                THEN("its report no longer counts")
                {
                    CHECK(router.fleet.choose(router.traits(prompt(1, 1)), router.now));
                    CHECK(router.fleet.livePeerCount(router.now) == 0);
                }
            }
        }
    }
}

SCENARIO("pattern: one customer sends many times its usual")
{
    GIVEN("a server with some unread work")
    {
        Router router(1);
        router.fleet.updatePeerLoads(RouterId("other"), {{serverKey(ServerId("s0")), {60.0, 3}}},
                                     true, router.now);
        RequestTraits request = router.traits(prompt(1, 1));
        THEN("a customer below its fair part is served")
        {
            request.customerUsageRatio = 0.5;
            CHECK(router.fleet.choose(request, router.now));
        }
        THEN("one that was given twice its fair part is refused")
        {
            request.customerUsageRatio = 2.0;
            CHECK(router.fleet.choose(request, router.now).error() == ServerChoiceErrc::Overloaded);
        }
    }
}

SCENARIO("servers that must not receive work are left out")
{
    GIVEN("two servers in different zones")
    {
        Router router(0);
        router.fleet.update(serverNamed("near"), router.now);
        router.fleet.update(serverNamed("far", farZone), router.now);
        const RequestTraits request = router.traits(Prompt());
        const auto chosen = [&] {
            const auto choice = router.fleet.choose(request, router.now);
            return choice ? choice.value().server.text() : choice.error().message();
        };
        REQUIRE(chosen() == "near");

        WHEN("the near one is draining")
        {
            DirectServer draining = serverNamed("near");
            draining.draining = true;
            router.fleet.update(draining, router.now);
            THEN("the far one is chosen")
            {
                CHECK(chosen() == "far");
            }
        }
        WHEN("the near zone is out")
        {
            router.fleet.setZonesOut({nearZone}, router.now);
            THEN("the far one is chosen")
            {
                CHECK(chosen() == "far");
            }
            AND_WHEN("the zone returns")
            {
                router.fleet.setZonesOut({}, router.now);
                THEN("its server counts as cold for its warm-up")
                {
                    CHECK(chosen() == "far");
                    router.now += 4s;
                    CHECK(chosen() == "near");
                }
            }
        }
        WHEN("another server has the near one's address")
        {
            REQUIRE(router.send(request));
            router.finishAll(AttemptOutcome::WrongServer);
            THEN("the far one is chosen")
            {
                CHECK(chosen() == "far");
            }
        }
        WHEN("the list lost the near one around an outage")
        {
            router.fleet.setMissing(ServerId("near"), true);
            THEN("it is used only when nothing else is left")
            {
                CHECK(chosen() == "far");
                router.fleet.remove(ServerId("far"));
                CHECK(chosen() == "near");
            }
        }
        WHEN("both are gone")
        {
            router.fleet.remove(ServerId("near"));
            router.fleet.remove(ServerId("far"));
            THEN("there is none")
            {
                CHECK(chosen() == "no server may take work");
            }
        }
    }
}

SCENARIO("a server in a cold start receives one request a second from a router")
{
    GIVEN("only cold servers")
    {
        Router router(0);
        DirectServer cold = serverNamed("cold");
        cold.warmupLeft = 10s;
        router.fleet.update(cold, router.now);
        const RequestTraits request = router.traits(Prompt());
        THEN("the second request of a second is refused")
        {
            CHECK(router.send(request));
            CHECK(router.send(request).error() == ServerChoiceErrc::OnlyColdServers);
            router.now += 1s;
            CHECK(router.send(request));
        }
        WHEN("many other routers are at work")
        {
            constexpr int others = 23;
            for (int i = 0; i < others; ++i)
                router.fleet.updatePeerLoads(RouterId("r" + std::to_string(i)), {}, true,
                                             router.now);
            REQUIRE(router.send(request));
            THEN("all of them together stay within what the server bears")
            {
                // 24 routers, 8 requests a second: one request in 3 s for each.
                router.now += 2s;
                CHECK_FALSE(router.send(request));
            }
        }
        THEN("it is warm when its time is over")
        {
            router.now += 10s;
            CHECK(router.send(request));
            CHECK(router.send(request));
        }
    }
}

SCENARIO("pattern: servers come back cold while many routers have requests waiting")
{
    GIVEN("25 routers that know of each other, and one server without any other")
    {
        constexpr int routers = 25;
        // What planWithEngines() gives: 8 requests a second, in a cold start of 3 s.
        constexpr std::size_t mostInASecond = 9;
        std::vector<std::unique_ptr<Router>> fleet;
        for (int i = 0; i < routers; ++i) {
            ServerSelectorSettings settings;
            settings.router = RouterId("r" + std::to_string(i));
            fleet.push_back(std::make_unique<Router>(0, settings));
        }
        const TimePoint start = fleet.front()->now;
        for (int i = 0; i < routers; ++i) {
            for (int other = 0; other < routers; ++other) {
                if (other != i)
                    fleet[i]->fleet.recordRouter(RouterId("r" + std::to_string(other)), start);
            }
        }
        WHEN("all of them learn at once that it is cold, and want to send all the time")
        {
            DirectServer cold = serverNamed("cold");
            cold.warmupLeft = 3s;
            for (const auto &router : fleet)
                router->fleet.update(cold, start);
            std::vector<TimePoint> arrivals;
            for (TimePoint now = start; now < start + 3s; now += 10ms) {
                for (const auto &router : fleet) {
                    router->now = now;
                    if (router->send(router->traits(Prompt())))
                        arrivals.push_back(now);
                }
            }
            THEN("in no second it receives more than it bears, and it is put to use")
            {
                for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
                    const auto end = std::lower_bound(first, arrivals.end(), *first + 1s);
                    CHECK(static_cast<std::size_t>(end - first) <= mostInASecond);
                }
                CHECK(arrivals.size() >= 20);
            }
        }
    }
}

SCENARIO("a server that answers nothing is avoided")
{
    GIVEN("two servers, one with a request that waits for its first byte")
    {
        Router router(2);
        const RequestTraits request = router.traits(Prompt());
        const auto first = router.send(request);
        REQUIRE(first);
        WHEN("nothing comes for longer than the limit")
        {
            router.now += 3s;
            THEN("the other one is chosen")
            {
                const auto second = router.fleet.choose(request, router.now);
                REQUIRE(second);
                CHECK_FALSE(second.value().server == first.value().server);
            }
        }
    }
}
