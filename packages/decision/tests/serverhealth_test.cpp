#include "bilberry/decision/serverhealth.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("a server's health follows the outcomes of its requests")
{
    GIVEN("a server that has answered five requests")
    {
        ServerHealth health{HealthSettings()};
        TimePoint now = TimePoint() + 1h;
        for (int i = 0; i < 5; ++i)
            health.recordOutcome(AttemptOutcome::Answered, now);
        REQUIRE_FALSE(health.isEjected(now));

        WHEN("half of its answers are broken")
        {
            for (int i = 0; i < 5; ++i)
                health.recordOutcome(AttemptOutcome::BrokenAnswer, now);
            THEN("it is ejected for 3 s")
            {
                CHECK(health.isEjected(now));
                CHECK_FALSE(health.isEjected(now + 4s));
            }
        }
        WHEN("one of six answers is broken")
        {
            health.recordOutcome(AttemptOutcome::BrokenAnswer, now);
            THEN("it is not ejected")
            {
                CHECK_FALSE(health.isEjected(now));
            }
        }
        WHEN("callers disconnect")
        {
            for (int i = 0; i < 50; ++i)
                health.recordOutcome(AttemptOutcome::Cancelled, now);
            THEN("the server is not ejected")
            {
                CHECK_FALSE(health.isEjected(now));
            }
        }
        WHEN("a connection attempt fails")
        {
            health.recordOutcome(AttemptOutcome::ConnectFailed, now);
            THEN("it is unreachable, for longer with each failure")
            {
                CHECK(health.isUnreachable(now + 200ms));
                CHECK_FALSE(health.isUnreachable(now + 300ms));
                health.recordOutcome(AttemptOutcome::ConnectFailed, now);
                CHECK(health.isUnreachable(now + 400ms));
            }
            THEN("a successful connection resets the backoff")
            {
                health.recordConnection();
                health.recordOutcome(AttemptOutcome::ConnectFailed, now);
                CHECK_FALSE(health.isUnreachable(now + 300ms));
            }
        }
    }
}
