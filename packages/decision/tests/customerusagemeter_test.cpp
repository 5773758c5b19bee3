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

SCENARIO("a customer's use is compared with the max-min fair level")
{
    GIVEN("a fleet that gave 120 in all")
    {
        CustomerUsageMeter meter(4s);
        const TimePoint now = TimePoint() + 1h;
        const auto count = [&](const CustomerId &customer, double asked, double given) {
            meter.recordRequested(customer, asked, now);
            meter.recordDispatched(customer, given, now);
        };
        WHEN("one customer got most of it while another waits")
        {
            count(small, 10, 10);
            count(middle, 100, 20);
            count(large, 500, 90);
            THEN("the first is above its part, the other below, and the small one has what it "
                 "asked")
            {
                CHECK(meter.usageRatio(large, now) == Approx(90.0 / 55.0));
                CHECK(meter.usageRatio(middle, now) == Approx(20.0 / 55.0));
                CHECK(meter.usageRatio(small, now) < 1.0);
            }
        }
        WHEN("all others have what they asked for")
        {
            count(small, 10, 10);
            count(large, 500, 110);
            THEN("the large one may take the rest")
            {
                CHECK(meter.usageRatio(large, now) == Approx(1.0));
            }
        }
        WHEN("a customer's requests went through another router")
        {
            count(large, 60, 60);
            meter.updatePeerUsage(RouterId("other"), {{large, {300, 60}}, {middle, {100, 20}}},
                                  now);
            THEN("both routers' counts are added")
            {
                CHECK(meter.usageRatio(large, now) == Approx(120.0 / 70.0));
                CHECK(meter.usageRatio(middle, now) == Approx(20.0 / 70.0));
            }
        }
        WHEN("the window has passed")
        {
            count(large, 500, 110);
            THEN("nothing is held against anybody")
            {
                CHECK(meter.usageRatio(large, now + 5s) == 0.0);
            }
        }
    }
}

SCENARIO("retries are bounded by the requests of the same window")
{
    GIVEN("a pool without requests")
    {
        WindowedRetryBudget window({0.2, 3.0, 10s});
        TimePoint now = TimePoint() + 1h;
        const auto taken = [&](int tries) {
            int count = 0;
            for (int i = 0; i < tries; ++i)
                count += window.tryAcquire(now) ? 1 : 0;
            return count;
        };
        THEN("only the reserve may be used")
        {
            CHECK(taken(20) == 3);
        }
        WHEN("a hundred requests came")
        {
            for (int i = 0; i < 100; ++i)
                window.recordRequest(now);
            THEN("a fifth of them and the reserve may be used")
            {
                CHECK(taken(100) == 23);
            }
            THEN("retries count until the window has passed")
            {
                CHECK(taken(100) == 23);
                now += 11s;
                CHECK(taken(100) == 3);
            }
        }
    }
}
