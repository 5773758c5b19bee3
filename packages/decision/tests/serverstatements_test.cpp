#include "bilberry/decision/serverstatements.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

SCENARIO("what a server says of itself holds for one run of its process")
{
    const TimePoint now = TimePoint() + 1h;
    const ServerProcess process{7, 1000};
    const ServerProcess restarted{7, 2000};
    ServerStatements statements;
    GIVEN("a process that says nothing")
    {
        CHECK(statements.recordLimit(process, std::nullopt, now, now)
              == RequestLimit::Change::None);
        THEN("it is used as usual, and there is nothing to tell")
        {
            CHECK_FALSE(statements.isLeaving(process));
            CHECK_FALSE(statements.asksToWait(process, now));
            CHECK(statements.mayTakeTurn(process, 1.0, 0.0, now));
            CHECK_FALSE(statements.report(process, now));
        }
    }
    GIVEN("a process that leaves, names a limit and asks to wait")
    {
        CHECK(statements.recordLeaving(process, now));
        CHECK(statements.recordLimit(process, 5.0, now, now) == RequestLimit::Change::Began);
        statements.startTurns(process, 0, now);
        statements.recordWait(process, now + 2s, now);
        THEN("all of it stands, and the other routers are told of the first two")
        {
            CHECK(statements.isLeaving(process));
            CHECK(statements.limit(process) == 5.0);
            CHECK(statements.asksToWait(process, now + 1s));
            CHECK_FALSE(statements.asksToWait(process, now + 2s));
            CHECK(statements.report(process, now + 1s)
                  == ReportedStatement{7, 1000, 5.0, 1s, true});
        }
        THEN("it says nothing of the next run")
        {
            CHECK_FALSE(statements.isLeaving(restarted));
            CHECK_FALSE(statements.limit(restarted));
            CHECK_FALSE(statements.asksToWait(restarted, now + 1s));
        }
        THEN("an older answer changes nothing, and the end of the limit is told")
        {
            CHECK(statements.recordLimit(process, 9.0, now - 1s, now)
                  == RequestLimit::Change::None);
            CHECK(statements.recordLimit(process, std::nullopt, now + 1s, now + 1s)
                  == RequestLimit::Change::Other);
            CHECK_FALSE(statements.report(process, now + 2s)->perSecond);
        }
        THEN("a reset for another address keeps that it is leaving")
        {
            statements.reset(process);
            CHECK(statements.isLeaving(process));
            CHECK_FALSE(statements.limit(process));
            CHECK_FALSE(statements.asksToWait(process, now + 1s));
        }
        THEN("it is forgotten long after the last word, and not before")
        {
            statements.expire(now + 9min);
            CHECK(statements.isLeaving(process));
            statements.expire(now + 11min);
            CHECK_FALSE(statements.isLeaving(process));
        }
    }
}
