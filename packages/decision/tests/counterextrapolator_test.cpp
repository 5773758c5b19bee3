#include "bilberry/decision/counterextrapolator.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

TimePoint at(double ms)
{
    return TimePoint{} + fromMilliseconds(ms);
}

} // namespace

SCENARIO("a counter is reckoned between its reports")
{
    GIVEN("a counter that grows by 100 a second, reported each 200 ms for 10 s")
    {
        CounterExtrapolator reckoning;
        for (int i = 0; i <= 50; ++i)
            reckoning.report(20.0 * i, at(200.0 * i));

        THEN("its growth is expected, for a limited time")
        {
            CHECK(reckoning.reported() == Approx(1000.0));
            CHECK(reckoning.rate(at(10000.0)) == Approx(100.0).epsilon(0.01));
            CHECK(reckoning.expected(at(10500.0)) == Approx(1050.0).epsilon(0.01));
            CHECK(reckoning.expected(at(60000.0)) == Approx(1100.0).epsilon(0.01));
            CHECK(reckoning.rate(at(60000.0)) == 0.0);
        }
        WHEN("a charge is given back")
        {
            reckoning.report(0.0, at(10200.0));
            THEN("the value falls, and no fall is extrapolated")
            {
                CHECK(reckoning.expected(at(10200.0)) == 0.0);
                CHECK(reckoning.expected(at(10700.0)) >= 0.0);
            }
        }
    }
}
