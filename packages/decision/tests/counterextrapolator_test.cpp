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

SCENARIO("a counter is extrapolated between its reports")
{
    GIVEN("a counter that grows by 100 a second, reported every 200 ms for 10 s")
    {
        CounterExtrapolator extrapolator;
        for (int i = 0; i <= 50; ++i)
            extrapolator.update(20.0 * i, at(200.0 * i));

        THEN("its growth is extrapolated for a limited time")
        {
            CHECK(extrapolator.lastValue() == Approx(1000.0));
            CHECK(extrapolator.rateAt(at(10000.0)) == Approx(100.0).epsilon(0.01));
            CHECK(extrapolator.valueAt(at(10500.0)) == Approx(1050.0).epsilon(0.01));
            CHECK(extrapolator.valueAt(at(60000.0)) == Approx(1100.0).epsilon(0.01));
            CHECK(extrapolator.rateAt(at(60000.0)) == 0.0);
        }
        WHEN("a charge is refunded")
        {
            extrapolator.update(0.0, at(10200.0));
            THEN("the value decreases, and no decrease is extrapolated")
            {
                CHECK(extrapolator.valueAt(at(10200.0)) == 0.0);
                CHECK(extrapolator.valueAt(at(10700.0)) >= 0.0);
            }
        }
    }
}
