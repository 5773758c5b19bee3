#include "bilberry/decision/virtualtimetracker.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

const PoolId pool("models");
const TimePoint start{};

ServiceKey keyOf(const std::string &customer)
{
    return {pool, CustomerId(customer)};
}

TimePoint at(double ms)
{
    return start + fromMilliseconds(ms);
}

} // namespace

SCENARIO("a customer that becomes backlogged starts at the virtual time of the others")
{
    GIVEN("two backlogged customers with 500 and 2000 ms of normalised service")
    {
        VirtualTimeTracker tracker({});
        tracker.setBacklogged(keyOf("small"), start);
        tracker.setBacklogged(keyOf("large"), start);
        tracker.charge(keyOf("small"), 500.0, 1.0);
        tracker.charge(keyOf("large"), 20000.0, 10.0);
        tracker.setPoolVirtualTime(pool, 2000.0);

        WHEN("a customer with less service than both becomes backlogged")
        {
            tracker.setBacklogged(keyOf("new"), start);

            THEN("it starts at the virtual time of the least served one")
            {
                CHECK(tracker.virtualTime(keyOf("new"), start) == Approx(500.0));
            }
        }
        WHEN("the least served customer's queue is empty for a moment")
        {
            tracker.setIdle(keyOf("small"));
            tracker.setPoolVirtualTime(pool, 400.0);
            tracker.setBacklogged(keyOf("small"), start);

            THEN("its virtual time is unchanged")
            {
                CHECK(tracker.virtualTime(keyOf("small"), start) == Approx(500.0));
            }
        }
        WHEN("a customer with more service than both becomes backlogged")
        {
            tracker.charge(keyOf("new"), 9000.0, 1.0);
            tracker.setBacklogged(keyOf("new"), start);

            THEN("its virtual time is unchanged: past service counts")
            {
                CHECK(tracker.virtualTime(keyOf("new"), start) == Approx(9000.0));
            }
        }
    }
    GIVEN("a pool with a virtual time of 7000 ms and no waiting requests")
    {
        VirtualTimeTracker tracker({});
        tracker.raisePoolVirtualTime(pool, 7000.0);
        tracker.raisePoolVirtualTime(pool, 300.0);

        THEN("a customer that becomes backlogged gets no credit for idle time")
        {
            tracker.setBacklogged(keyOf("new"), start);
            CHECK(tracker.virtualTime(keyOf("new"), start) == Approx(7000.0));
        }
    }
}

SCENARIO("service by other routers counts towards the virtual time")
{
    GIVEN("a customer with local and remote service")
    {
        VirtualTimeTracker tracker({});
        const ServiceKey key = keyOf("kitchen");
        tracker.charge(key, 100.0, 1.0);
        tracker.applyRemote(key, {1000.0, 200.0, 0.0}, false, at(0.0));

        THEN("remote service is extrapolated for a limited time")
        {
            CHECK(tracker.virtualTime(key, at(500.0)) == Approx(1200.0));
            CHECK(tracker.virtualTime(key, at(60000.0)) == Approx(1300.0));
        }
        WHEN("another aggregator, which lost counters, reports a lower total")
        {
            tracker.applyRemote(key, {0.0, 0.0, 0.0}, true, at(0.0));

            THEN("the virtual time does not decrease")
            {
                CHECK(tracker.virtualTime(key, at(0.0)) == Approx(1100.0));
            }
        }
    }
    GIVEN("a tracker that ignores remote service")
    {
        VirtualTimeSettings settings;
        settings.countRemote = false;
        VirtualTimeTracker tracker(settings);
        tracker.applyRemote(keyOf("kitchen"), {1000.0, 0.0, 50.0}, false, start);
        CHECK(tracker.virtualTime(keyOf("kitchen"), start) == Approx(0.0));
    }
}

TEST_CASE("a customer that lags is raised to the catch-up cap and no further")
{
    REQUIRE(rc::check("any service during a partition", [] {
        VirtualTimeSettings settings;
        settings.catchUpCapMs = 1000.0;
        VirtualTimeTracker tracker(settings);
        const auto services = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000000)));
        std::vector<ServiceKey> keys;
        while (keys.size() < services.size()) {
            keys.push_back(keyOf("customer-" + std::to_string(keys.size())));
            tracker.setBacklogged(keys.back(), start);
        }
        for (std::size_t i = 0; i < keys.size(); ++i)
            tracker.charge(keys[i], services[i], 1.0);
        tracker.setPoolVirtualTime(pool, 0.0);
        tracker.capCatchUp(start);
        const int most = *std::max_element(services.begin(), services.end());
        for (std::size_t i = 0; i < keys.size(); ++i) {
            const double time = tracker.virtualTime(keys[i], start);
            RC_ASSERT(time == std::max<double>(services[i], most - settings.catchUpCapMs));
        }
    }));
}
