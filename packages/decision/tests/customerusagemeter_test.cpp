#include "bilberry/decision/customerusagemeter.h"
#include "bilberry/decision/windowedretrybudget.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

const CustomerId large("large");
const CustomerId small("small");
const CustomerId middle("middle");

} // namespace

SCENARIO("pattern: a flood meets a fleet of many routers")
{
    GIVEN("routers that each report their usage at the interval for their number")
    {
        for (const std::size_t routers : {4U, 24U, 68U, 330U}) {
            WHEN(std::to_string(routers)
                 + " routers have dispatched a flood, and one report is lost")
            {
                CustomerUsageMeter meter(4s);
                TimePoint now = TimePoint() + 1h;
                const Duration interval = usageReportInterval(routers - 1);
                meter.updatePeerUsage(RouterId("other"), {{large, {900, 900}}}, now);
                now += 2 * interval;
                meter.recordRequested(small, 100, now);
                meter.recordDispatched(small, 50, now);
                THEN("the flooding customer is still known to be above the fair level")
                {
                    CHECK(meter.usageRatio(large, now) > 1.0);
                }
            }
        }
    }
}

// A part that is equal for all routers would leave the capacity of idle ones unused.
SCENARIO("pattern: callers come to few of the routers")
{
    CustomerUsageMeter meter(4s);
    const TimePoint now = TimePoint() + 1h;
    const auto report = [&](const std::string &router, double requested) {
        meter.updatePeerUsage(RouterId(router), {{middle, {requested, requested}}}, now);
    };
    meter.recordRequested(middle, 300, now);
    meter.recordDispatched(middle, 300, now);
    GIVEN("three other routers, one of which gets requests, too")
    {
        report("r1", 100);
        report("r2", 0);
        report("r3", 0);
        THEN("this router's share is near its part of the requests")
        {
            CHECK(meter.routerShare(4, now) > 0.5);
            CHECK(meter.routerShare(4, now) < 0.75);
        }
    }
    GIVEN("no report of the other routers")
    {
        THEN("it has an equal part")
        {
            CHECK(meter.routerShare(4, now) == Approx(0.25));
        }
    }
    GIVEN("a customer that floods this router")
    {
        report("r1", 300);
        meter.recordRequested(large, 100000, now);
        meter.recordDispatched(large, 300, now);
        THEN("its requests count up to its fair share")
        {
            CHECK(meter.routerShare(2, now) < 0.75);
        }
    }
}

SCENARIO("a customer's usage is compared with the max-min fair level")
{
    GIVEN("a fleet that dispatches a total cost of 120")
    {
        CustomerUsageMeter meter(4s);
        const TimePoint now = TimePoint() + 1h;
        const auto record = [&](const CustomerId &customer, double requested, double dispatched) {
            meter.recordRequested(customer, requested, now);
            meter.recordDispatched(customer, dispatched, now);
        };
        WHEN("one customer has most of the dispatched cost while another has requests waiting")
        {
            record(small, 10, 10);
            record(middle, 100, 20);
            record(large, 500, 90);
            THEN("the first is above the fair level, the second below, and the small one has all "
                 "that it requested")
            {
                CHECK(meter.usageRatio(large, now) == Approx(90.0 / 55.0));
                CHECK(meter.usageRatio(middle, now) == Approx(20.0 / 55.0));
                CHECK(meter.usageRatio(small, now) < 1.0);
            }
        }
        WHEN("all other customers have what they requested")
        {
            record(small, 10, 10);
            record(large, 500, 110);
            THEN("the large one may use the remaining capacity")
            {
                CHECK(meter.usageRatio(large, now) == Approx(1.0));
            }
        }
        WHEN("a customer has sent nothing for a window")
        {
            record(large, 60, 60);
            CHECK(meter.customerCount() == 1);
            meter.ownUsage(now + 5s);
            THEN("the meter keeps nothing of it")
            {
                CHECK(meter.customerCount() == 0);
            }
        }
        WHEN("another router reports requests of the same customer")
        {
            record(large, 60, 60);
            meter.updatePeerUsage(RouterId("other"), {{large, {300, 60}}, {middle, {100, 20}}},
                                  now);
            THEN("the usage on both routers is added")
            {
                CHECK(meter.usageRatio(large, now) == Approx(120.0 / 70.0));
                CHECK(meter.usageRatio(middle, now) == Approx(20.0 / 70.0));
            }
        }
        WHEN("the window has passed")
        {
            record(large, 500, 110);
            THEN("the usage is zero")
            {
                CHECK(meter.usageRatio(large, now + 5s) == 0.0);
            }
        }
    }
}

SCENARIO("retries are limited by the requests of the same window")
{
    GIVEN("a pool without requests")
    {
        WindowedRetryBudget budget({0.2, 3.0, 10s});
        TimePoint now = TimePoint() + 1h;
        const auto acquire = [&](int tries) {
            int count = 0;
            for (int i = 0; i < tries; ++i)
                count += budget.tryAcquire(now) ? 1 : 0;
            return count;
        };
        THEN("only the reserve is available")
        {
            CHECK(acquire(20) == 3);
        }
        WHEN("a hundred requests arrive")
        {
            for (int i = 0; i < 100; ++i)
                budget.recordRequest(now);
            THEN("a fifth of them and the reserve are available")
            {
                CHECK(acquire(100) == 23);
            }
            THEN("retries are counted until the window has passed")
            {
                CHECK(acquire(100) == 23);
                now += 11s;
                CHECK(acquire(100) == 3);
            }
        }
    }
}
