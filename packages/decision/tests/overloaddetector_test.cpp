#include "bilberry/decision/overloaddetector.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("pattern: one small router receives all requests of a large customer")
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
            THEN("it is not overloaded")
            {
                CHECK_FALSE(detector.isOverloaded());
            }
        }
        WHEN("timers are repeatedly 300 ms late")
        {
            measure(300ms, 10);
            THEN("it is overloaded within a second")
            {
                CHECK(detector.isOverloaded());
            }
            AND_WHEN("the lag falls just below the limit for overload")
            {
                measure(80ms, 30);
                THEN("it stays overloaded, so that it doesn't leave and join the rotation "
                     "repeatedly")
                {
                    CHECK(detector.isOverloaded());
                }
            }
            AND_WHEN("the lag falls to 1 ms")
            {
                measure(1ms, 30);
                THEN("it recovers within three seconds")
                {
                    CHECK_FALSE(detector.isOverloaded());
                }
            }
        }
    }
}
