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

SCENARIO("a customer that starts to wait begins where the others are")
{
    GIVEN("two customers that wait, one far ahead")
    {
        VirtualTimeTracker ledger({});
        ledger.setBacklogged(keyOf("small"), start);
        ledger.setBacklogged(keyOf("large"), start);
        ledger.charge(keyOf("small"), 500.0, 1.0);
        ledger.charge(keyOf("large"), 20000.0, 10.0);
        ledger.setPoolVirtualTime(pool, 2000.0);

        WHEN("an idle customer comes with less service than both")
        {
            ledger.setBacklogged(keyOf("new"), start);

            THEN("it starts beside the neediest one, not behind the most served one")
            {
                CHECK(ledger.virtualTime(keyOf("new"), start) == Approx(500.0));
            }
        }
        WHEN("the neediest customer's queue is empty for a moment")
        {
            ledger.setIdle(keyOf("small"));
            ledger.setPoolVirtualTime(pool, 400.0);
            ledger.setBacklogged(keyOf("small"), start);

            THEN("it is not set back")
            {
                CHECK(ledger.virtualTime(keyOf("small"), start) == Approx(500.0));
            }
        }
        WHEN("an idle customer comes with more service than both")
        {
            ledger.charge(keyOf("new"), 9000.0, 1.0);
            ledger.setBacklogged(keyOf("new"), start);

            THEN("its virtual time stays: past service counts")
            {
                CHECK(ledger.virtualTime(keyOf("new"), start) == Approx(9000.0));
            }
        }
    }
    GIVEN("a pool in which nobody waits, after much service")
    {
        VirtualTimeTracker ledger({});
        ledger.raisePoolVirtualTime(pool, 7000.0);
        ledger.raisePoolVirtualTime(pool, 300.0);

        THEN("a customer that starts to wait saved up no idle time")
        {
            ledger.setBacklogged(keyOf("new"), start);
            CHECK(ledger.virtualTime(keyOf("new"), start) == Approx(7000.0));
        }
    }
}

SCENARIO("what other routers served counts")
{
    GIVEN("a customer with own and remote service")
    {
        VirtualTimeTracker ledger({});
        const ServiceKey key = keyOf("kitchen");
        ledger.charge(key, 100.0, 1.0);
        ledger.applyRemote(key, {1000.0, 200.0, 0.0}, false, at(0.0));

        THEN("remote service is extrapolated for a limited time")
        {
            CHECK(ledger.virtualTime(key, at(500.0)) == Approx(1200.0));
            CHECK(ledger.virtualTime(key, at(60000.0)) == Approx(1300.0));
        }
        WHEN("another aggregator answers, which lost counters")
        {
            ledger.applyRemote(key, {0.0, 0.0, 0.0}, true, at(0.0));

            THEN("the virtual time doesn't fall")
            {
                CHECK(ledger.virtualTime(key, at(0.0)) == Approx(1100.0));
            }
        }
    }
    GIVEN("a ledger for measurements without exchange")
    {
        VirtualTimeSettings settings;
        settings.countRemote = false;
        VirtualTimeTracker ledger(settings);
        ledger.applyRemote(keyOf("kitchen"), {1000.0, 0.0, 50.0}, false, start);
        CHECK(ledger.virtualTime(keyOf("kitchen"), start) == Approx(0.0));
    }
}

TEST_CASE("catching up is capped in both directions")
{
    REQUIRE(rc::check("any service while apart", [] {
        VirtualTimeSettings settings;
        settings.catchUpCapMs = 1000.0;
        VirtualTimeTracker ledger(settings);
        const auto services = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000000)));
        std::vector<ServiceKey> keys;
        while (keys.size() < services.size()) {
            keys.push_back(keyOf("customer-" + std::to_string(keys.size())));
            ledger.setBacklogged(keys.back(), start);
        }
        for (std::size_t i = 0; i < keys.size(); ++i)
            ledger.charge(keys[i], services[i], 1.0);
        ledger.setPoolVirtualTime(pool, 0.0);
        ledger.capCatchUp(start);
        const int most = *std::max_element(services.begin(), services.end());
        for (std::size_t i = 0; i < keys.size(); ++i) {
            const double time = ledger.virtualTime(keys[i], start);
            RC_ASSERT(time == std::max<double>(services[i], most - settings.catchUpCapMs));
        }
    }));
}
