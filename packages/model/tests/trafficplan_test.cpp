#include "bilberry/model/trafficplan.h"

#include <catch2/catch.hpp>

using namespace bilberry;

namespace {

DirectRoute route(const std::string &host, const std::string &prefix, const std::string &pool)
{
    DirectRoute result;
    result.name = host + prefix;
    result.host = host;
    result.prefix = prefix;
    result.pools = {{PoolId(pool), 1.0}};
    return result;
}

TrafficPlanParts parts(std::vector<DirectRoute> routes)
{
    TrafficPlanParts result;
    result.routes = std::move(routes);
    result.pools[PoolId("models")].id = PoolId("models");
    result.pools[PoolId("orders")].id = PoolId("orders");
    result.customers = {CustomerKeys{CustomerId("kitchen"), {"digest-1", "digest-2"}}};
    return result;
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
        THEN("case and port of the host are ignored")
        {
            CHECK(name("ONE.example:8080", "/a/x") == "one.example/a/");
        }
        THEN("a path without the final slash of the prefix does not match")
        {
            CHECK(name("one.example", "/a") == "none");
            CHECK(name("one.example", "/ab/x") == "none");
            CHECK(name("three.example", "/a/x") == "none");
        }
        THEN("a customer is found by each of its keys")
        {
            REQUIRE(plan.value().customerByKeyDigest("digest-2"));
            CHECK(*plan.value().customerByKeyDigest("digest-2") == CustomerId("kitchen"));
            CHECK(plan.value().customerByKeyDigest("digest-3") == nullptr);
        }
    }
}

SCENARIO("an invalid traffic plan is rejected")
{
    const auto errorOf = [](const DirectRoute &invalid) {
        return TrafficPlan::create(1, parts({invalid})).error();
    };
    GIVEN("a valid route")
    {
        DirectRoute good = route("one.example", "/a/", "models");
        REQUIRE_FALSE(errorOf(good));

        WHEN("its prefix has no slash at the end")
        {
            good.prefix = "/a";
            THEN("the prefix is reported")
            {
                CHECK(errorOf(good) == ModelErrc::UnterminatedPrefix);
            }
        }
        WHEN("its prefix has no slash at the start")
        {
            good.prefix = "a/";
            THEN("the prefix is reported")
            {
                CHECK(errorOf(good) == ModelErrc::InvalidPrefix);
            }
        }
        WHEN("its pool is not in the plan")
        {
            good.pools = {{PoolId("others"), 1.0}};
            THEN("the pool is reported")
            {
                CHECK(errorOf(good) == ModelErrc::UnknownPool);
            }
        }
        WHEN("it allows 0 attempts")
        {
            good.maxAttempts = 0;
            THEN("the limit is reported")
            {
                CHECK(errorOf(good) == ModelErrc::InvalidLimit);
            }
        }
        WHEN("the plan contains it twice")
        {
            const auto plan = TrafficPlan::create(1, parts({good, good}));
            THEN("the duplicate is reported")
            {
                CHECK(plan.error() == ModelErrc::DuplicateEntry);
            }
        }
    }
}

// An empty list of customers must not open the routes to everybody.
SCENARIO("a traffic plan requires keys when it lists customers")
{
    TrafficPlanParts listed = parts({route("one.example", "/a/", "models")});
    GIVEN("a plan with customers, one with an empty list of them, and one without a list")
    {
        const auto withCustomers = TrafficPlan::create(1, listed);
        listed.customers.emplace();
        const auto withEmptyList = TrafficPlan::create(2, listed);
        listed.customers.reset();
        const auto withoutList = TrafficPlan::create(3, listed);
        THEN("only the last one requires no keys")
        {
            CHECK(withCustomers.value().requiresKeys());
            CHECK(withEmptyList.value().requiresKeys());
            CHECK_FALSE(withEmptyList.value().customerByKeyDigest("digest-1"));
            CHECK_FALSE(withoutList.value().requiresKeys());
        }
    }
}
