#include "bilberry/decision/messageagetracker.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("a message is at least as young as the one that it echoes")
{
    GIVEN("two messages sent a second apart")
    {
        const TimePoint start{1h};
        MessageAgeTracker clock(~std::uint64_t(1)); // the numbers wrap around
        CHECK(clock.maxAge(0, 0ms, start) == std::nullopt);
        const std::uint64_t first = clock.recordSent(start);
        const std::uint64_t second = clock.recordSent(start + 1s);
        REQUIRE(first != 0);
        REQUIRE(second != 0);
        REQUIRE(second != first);

        THEN("an echo bounds the age of its answer, less the time that the peer held it")
        {
            CHECK(clock.maxAge(first, 0ms, start + 1500ms) == Duration(1500ms));
            CHECK(clock.maxAge(first, 1200ms, start + 1500ms) == Duration(300ms));
            CHECK(clock.maxAge(second, 0ms, start + 1500ms) == Duration(500ms));
            CHECK(clock.maxAge(second, 1h, start + 1500ms) == Duration());
        }
        THEN("an unknown or forgotten number bounds nothing")
        {
            CHECK(clock.maxAge(second + 1, 0ms, start + 2s) == std::nullopt);
            for (int i = 0; i < 1000; ++i)
                clock.recordSent(start + 2s);
            CHECK(clock.maxAge(first, 0ms, start + 2s) == std::nullopt);
        }
    }
}
