#include "bilberry/decision/inflightcharges.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("a failed attempt is charged for the time that it has run")
{
    const ServiceKey key{PoolId("models"), CustomerId("kitchen")};
    VirtualTimeTracker tracker({});
    InFlightCharges charges(tracker);
    const TimePoint start = TimePoint() + 1h;
    GIVEN("an attempt that has run longer than estimated")
    {
        charges.chargeEstimate(1, key, 1.0, 100.0);
        charges.markStarted(1, start);
        charges.chargeElapsed(start + 900ms);
        WHEN("it fails")
        {
            charges.keepCharge(1);
            THEN("the customer is charged for the time, not for the estimate")
            {
                CHECK(tracker.chargedMs(key) == Approx(900.0));
                CHECK(charges.size() == 0);
            }
        }
    }
    GIVEN("an attempt that fails before it has run as long as estimated")
    {
        charges.chargeEstimate(1, key, 1.0, 100.0);
        charges.markStarted(1, start);
        charges.chargeElapsed(start + 40ms);
        charges.keepCharge(1);
        THEN("the estimate is charged")
        {
            CHECK(tracker.chargedMs(key) == Approx(100.0));
        }
    }
}
