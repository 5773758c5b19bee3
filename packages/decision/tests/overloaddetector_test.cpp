#include "bilberry/decision/overloaddetector.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("pattern: one small router gets the flood of a large customer")
{
    GIVEN("a router that measures its lag ten times a second")
    {
        OverloadDetector detector({});
        const auto measure = [&](Duration lag, int times) {
            for (int i = 0; i < times; ++i)
                detector.addMeasurement(lag, 100ms);
        };
        measure(1ms, 20);
        CHECK_FALSE(detector.isOverloaded());

        WHEN("the VM is paused once")
        {
            measure(5s, 1);
            THEN("that is no overload")
            {
                CHECK_FALSE(detector.isOverloaded());
            }
        }
        WHEN("timers come 300 ms late, again and again")
        {
            measure(300ms, 10);
            THEN("it is overloaded within a second")
            {
                CHECK(detector.isOverloaded());
            }
            AND_WHEN("the lag falls just below the limit")
            {
                measure(80ms, 30);
                THEN("it stays out of rotation, so that it does not come and go")
                {
                    CHECK(detector.isOverloaded());
                }
            }
            AND_WHEN("its work is done")
            {
                measure(1ms, 30);
                THEN("it is back within three seconds")
                {
                    CHECK_FALSE(detector.isOverloaded());
                }
            }
        }
    }
}
