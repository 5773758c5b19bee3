#include "bilberry/decision/membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

template <typename Id>
std::vector<Id> named(const std::string &prefix, std::initializer_list<int> numbers)
{
    std::vector<Id> result;
    for (const int number : numbers)
        result.emplace_back(prefix + std::to_string(number));
    return result;
}

std::vector<RouterId> routers(std::initializer_list<int> numbers)
{
    return named<RouterId>("r", numbers);
}

std::vector<ServerId> servers(std::initializer_list<int> numbers)
{
    return named<ServerId>("s", numbers);
}

template <typename Id>
std::set<Id> setOf(const std::vector<Id> &ids)
{
    return {ids.begin(), ids.end()};
}

/// @return membership of router 0, which knows routers 0 to 2 and servers 0 to 3: seven processes
Membership routerZeroMembership()
{
    Membership membership(RouterId("r0"), {});
    membership.setKnownProcesses(setOf(routers({0, 1, 2})), setOf(servers({0, 1, 2, 3})));
    return membership;
}

struct Case
{
    const char *name;
    std::vector<PeerReport> reports;
    std::vector<ServerId> linkedServers;
    bool platformReachable = false;
    bool frozen = false;
};

} // namespace

SCENARIO("only a connected majority without the platform considers the configuration frozen")
{
    const auto testCase = GENERATE(values<Case>({
            {"one router alone", {}, {}, false, false},
            {"one router with two of four agents", {}, servers({0, 1}), false, false},
            {"one router with three of four agents", {}, servers({0, 1, 2}), false, true},
            {"one router with three of four agents, and the platform",
             {},
             servers({0, 1, 2}),
             true,
             false},
            {"agents that are in no list aren't counted",
             {},
             servers({0, 1, 7, 8, 9}),
             false,
             false},
            {"agents of a peer are counted",
             {{RouterId("r1"), 1, false, false, {}, servers({2, 3})}},
             servers({0, 1}),
             false,
             true},
            {"agents that two routers reach are counted once",
             {{RouterId("r1"), 1, false, false, {}, servers({0})}},
             servers({0}),
             false,
             false},
            {"a peer reaches the platform",
             {{RouterId("r1"), 1, true, false, {}, servers({2, 3})}},
             servers({0, 1}),
             false,
             false},
            {"routers that are in no list aren't counted",
             {{RouterId("r8"), 1, false, false, {}, {}}, {RouterId("r9"), 1, false, false, {}, {}}},
             servers({0, 1}),
             false,
             false},
    }));
    GIVEN(testCase.name)
    {
        Membership membership = routerZeroMembership();
        for (const PeerReport &report : testCase.reports)
            membership.recordContact(report, start);
        THEN("the result follows the connected processes until the peers' reports expire")
        {
            CHECK(membership.isFrozenMajority(testCase.linkedServers, testCase.platformReachable,
                                              start)
                  == testCase.frozen);
            if (!testCase.reports.empty())
                CHECK_FALSE(membership.isFrozenMajority(testCase.linkedServers,
                                                        testCase.platformReachable, start + 2s));
        }
        THEN("empty lists don't change the result")
        {
            membership.setKnownProcesses({}, {});
            CHECK(membership.isFrozenMajority(testCase.linkedServers, testCase.platformReachable,
                                              start)
                  == testCase.frozen);
        }
    }
}

SCENARIO("a router is live while it sends messages, and removed when it is in no list")
{
    GIVEN("messages from a known and an unknown router")
    {
        Membership membership = routerZeroMembership();
        membership.recordContact({RouterId("r1"), 5, false, false, {}, servers({0, 1, 2, 3})},
                                 start);
        membership.recordContact({RouterId("r9"), 6, false, false, {}, {}}, start);
        CHECK(membership.liveRouterNames(start) == std::vector<std::string>{"r0", "r1", "r9"});

        THEN("without further messages neither is live, and only the unknown one is removed")
        {
            CHECK(membership.liveRouterNames(start + 2s) == std::vector<std::string>{"r0"});
            membership.expire(start + 2min);
            CHECK(membership.incarnation(RouterId("r1")) == 5);
            CHECK(membership.incarnation(RouterId("r9")) == 0);
        }
        THEN("when only replies arrive from a router, its lists expire")
        {
            REQUIRE(membership.isFrozenMajority({}, false, start));
            membership.recordContact(RouterId("r1"), 5, false, start + 2s);
            CHECK(membership.liveRouterNames(start + 2s) == std::vector<std::string>{"r0", "r1"});
            CHECK_FALSE(membership.isFrozenMajority({}, false, start + 2s));
        }
        THEN("a leaving router is no longer live, but still reachable")
        {
            membership.recordContact({RouterId("r1"), 5, false, true, {}, {}}, start);
            CHECK(membership.liveRouterNames(start) == std::vector<std::string>{"r0", "r9"});
            CHECK(membership.reachableRouters(start).size() == 2);
            membership.recordContact(RouterId("r1"), 6, false, start);
            CHECK(membership.liveRouterNames(start).size()
                  == 3); // its next incarnation isn't leaving
        }
    }
}

TEST_CASE("two sides of a partition are never both a frozen majority")
{
    REQUIRE(rc::check("at most one side is a majority", [] {
        const int routerCount = *rc::gen::inRange(1, 6);
        const int serverCount = *rc::gen::inRange(1, 8);
        std::set<RouterId> allRouters;
        std::set<ServerId> allServers;
        std::vector<RouterId> routerOf[2];
        std::vector<ServerId> serverOf[2];
        for (int i = 0; i < routerCount; ++i) {
            const RouterId router("r" + std::to_string(i));
            allRouters.insert(router);
            routerOf[*rc::gen::inRange(0, 2)].push_back(router);
        }
        for (int i = 0; i < serverCount; ++i) {
            const ServerId server("s" + std::to_string(i));
            allServers.insert(server);
            serverOf[*rc::gen::inRange(0, 2)].push_back(server);
        }
        int majorities = 0;
        for (int side = 0; side < 2; ++side) {
            if (routerOf[side].empty())
                continue;
            Membership membership(routerOf[side].front(), {});
            membership.setKnownProcesses(allRouters, allServers);
            for (const RouterId &peer : routerOf[side])
                membership.recordContact({peer, 1, false, false, routerOf[side], serverOf[side]},
                                         start);
            majorities += membership.isFrozenMajority(serverOf[side], false, start) ? 1 : 0;
        }
        RC_ASSERT(majorities <= 1);
    }));
}
