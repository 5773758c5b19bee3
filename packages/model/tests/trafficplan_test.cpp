#include "bilberry/model/trafficplan.h"

#include <catch2/catch.hpp>

using namespace bilberry;

namespace {

DirectRoute route(const std::string &host, const std::string &prefix, const std::string &pool)
{
    DirectRoute made;
    made.name = host + prefix;
    made.host = host;
    made.prefix = prefix;
    made.pools = {{PoolId(pool), 1.0}};
    return made;
}

TrafficPlanParts parts(std::vector<DirectRoute> routes)
{
    TrafficPlanParts made;
    made.routes = std::move(routes);
    made.pools[PoolId("models")].id = PoolId("models");
    made.pools[PoolId("orders")].id = PoolId("orders");
    made.customers = {{CustomerId("kitchen"), {"digest-1", "digest-2"}}};
    return made;
}

} // namespace

SCENARIO("a traffic plan finds routes and customers")
{
    GIVEN("routes of two hosts, one prefix inside another")
    {
        const auto plan = TrafficPlan::create(3, parts({route("one.example", "/a/", "models"),
                                                        route("one.example", "/a/b/", "orders"),
                                                        route("two.example", "/a/", "orders")}));
        REQUIRE(plan);
        const auto name = [&](std::string_view host, std::string_view path) {
            const DirectRoute *found = plan.value().routeFor(host, path);
            return found ? found->name : std::string("none");
        };

        THEN("the longest prefix of the host wins")
        {
            CHECK(name("one.example", "/a/x") == "one.example/a/");
            CHECK(name("one.example", "/a/b/x") == "one.example/a/b/");
            CHECK(name("two.example", "/a/b/x") == "two.example/a/");
        }
        THEN("case and port of the host don't matter")
        {
            CHECK(name("ONE.example:8080", "/a/x") == "one.example/a/");
        }
        THEN("a prefix ends with its slash")
        {
            CHECK(name("one.example", "/a") == "none");
            CHECK(name("one.example", "/ab/x") == "none");
            CHECK(name("three.example", "/a/x") == "none");
        }
        THEN("each key of a customer leads to it")
        {
            REQUIRE(plan.value().customerByKeyDigest("digest-2"));
            CHECK(*plan.value().customerByKeyDigest("digest-2") == CustomerId("kitchen"));
            CHECK(plan.value().customerByKeyDigest("digest-3") == nullptr);
        }
    }
}

SCENARIO("a traffic plan that breaks a rule is not created")
{
    const auto errorOf = [](const DirectRoute &broken) {
        return TrafficPlan::create(1, parts({broken})).error();
    };
    GIVEN("one good route")
    {
        DirectRoute good = route("one.example", "/a/", "models");
        REQUIRE_FALSE(errorOf(good));

        WHEN("its prefix has no slash at the end")
        {
            good.prefix = "/a";
            THEN("the prefix is named")
            {
                CHECK(errorOf(good) == ModelErrc::InvalidPrefix);
            }
        }
        WHEN("its pool is not in the plan")
        {
            good.pools = {{PoolId("others"), 1.0}};
            THEN("the pool is named")
            {
                CHECK(errorOf(good) == ModelErrc::UnknownPool);
            }
        }
        WHEN("it allows no attempt")
        {
            good.maxAttempts = 0;
            THEN("the limit is named")
            {
                CHECK(errorOf(good) == ModelErrc::InvalidLimit);
            }
        }
        WHEN("it stands twice")
        {
            const auto plan = TrafficPlan::create(1, parts({good, good}));
            THEN("the second one is named")
            {
                CHECK(plan.error() == ModelErrc::DuplicateEntry);
            }
        }
    }
}
