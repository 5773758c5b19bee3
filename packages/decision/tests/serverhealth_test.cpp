#include "bilberry/decision/serverhealth.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("a server is judged by how its requests end")
{
    GIVEN("a server that answered well")
    {
        ServerHealth health{HealthSettings()};
        TimePoint now = TimePoint() + 1h;
        for (int i = 0; i < 5; ++i)
            health.recordOutcome(AttemptOutcome::Answered, now);
        REQUIRE_FALSE(health.ejected(now));

        WHEN("half of its answers break")
        {
            for (int i = 0; i < 5; ++i)
                health.recordOutcome(AttemptOutcome::BrokenAnswer, now);
            THEN("it is ejected for a while")
            {
                CHECK(health.ejected(now));
                CHECK_FALSE(health.ejected(now + 4s));
            }
        }
        WHEN("one answer of many breaks")
        {
            health.recordOutcome(AttemptOutcome::BrokenAnswer, now);
            THEN("it stays")
            {
                CHECK_FALSE(health.ejected(now));
            }
        }
        WHEN("callers leave")
        {
            for (int i = 0; i < 50; ++i)
                health.recordOutcome(AttemptOutcome::Cancelled, now);
            THEN("that says nothing of the server")
            {
                CHECK_FALSE(health.ejected(now));
            }
        }
        WHEN("connections fail")
        {
            health.recordOutcome(AttemptOutcome::ConnectFailed, now);
            THEN("it is left alone, longer with each failure")
            {
                CHECK(health.unreachable(now + 200ms));
                CHECK_FALSE(health.unreachable(now + 300ms));
                health.recordOutcome(AttemptOutcome::ConnectFailed, now);
                CHECK(health.unreachable(now + 400ms));
            }
            THEN("a connection that opens ends the backoff's growth")
            {
                health.recordConnection();
                health.recordOutcome(AttemptOutcome::ConnectFailed, now);
                CHECK_FALSE(health.unreachable(now + 300ms));
            }
        }
    }
}
