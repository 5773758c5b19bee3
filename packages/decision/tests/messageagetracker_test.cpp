#include "bilberry/decision/messageagetracker.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("a message is not older than the one that it echoes")
{
    GIVEN("two messages sent a second apart")
    {
        const TimePoint start{1h};
        MessageAgeTracker tracker(~std::uint64_t(1)); // the numbers wrap around
        CHECK(tracker.maxAge(0, 0ms, start) == std::nullopt);
        const std::uint64_t first = tracker.recordSent(start);
        const std::uint64_t second = tracker.recordSent(start + 1s);
        REQUIRE(first != 0);
        REQUIRE(second != 0);
        REQUIRE(second != first);

        THEN("the age is bounded by the time since the echoed message was sent, minus the time "
             "that the "
             "peer held it")
        {
            CHECK(tracker.maxAge(first, 0ms, start + 1500ms) == Duration(1500ms));
            CHECK(tracker.maxAge(first, 1200ms, start + 1500ms) == Duration(300ms));
            CHECK(tracker.maxAge(second, 0ms, start + 1500ms) == Duration(500ms));
            CHECK(tracker.maxAge(second, 1h, start + 1500ms) == Duration());
        }
        THEN("there is no bound for an unknown or discarded number")
        {
            CHECK(tracker.maxAge(second + 1, 0ms, start + 2s) == std::nullopt);
            for (int i = 0; i < 1000; ++i)
                tracker.recordSent(start + 2s);
            CHECK(tracker.maxAge(first, 0ms, start + 2s) == std::nullopt);
        }
    }
}
