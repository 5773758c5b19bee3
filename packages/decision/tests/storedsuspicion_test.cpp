#include "bilberry/decision/crashsuspicion.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

using Admission = CrashSuspicion::Admission;
using Features = std::vector<RequestFeature>;

constexpr RequestFeature document = 0xf00d;
constexpr RequestFeature crashing = 0xdead;
constexpr RequestFeature otherCrashing = 0xbad;

/// Time from a request to the crash of its server.
constexpr auto crashDelay = 1ms;

} // namespace

// A router that read a record which was cleared since refused sound requests for minutes.
SCENARIO("a router that starts reads crashes that were cleared since")
{
    CrashSuspicion running({});
    TimePoint now = TimePoint() + 1h;
    for (ServerRun run = 0; run < 5; ++run) {
        running.recordCrash(run, {document}, now - crashDelay, now);
        now += 2s;
    }
    CrashSuspicion starting({});
    for (const CrashSuspect &read : running.summary(now))
        starting.merge(read, now);
    running.takeStoreChanges(now);
    running.recordCrash(7, {otherCrashing}, now - crashDelay, now);
    running.recordAnswer({document, otherCrashing}, now);
    now += 10s;
    REQUIRE(starting.check({document}, now) == Admission::Refuse);
    GIVEN("a running router that repeats all it knows")
    {
        running.repeatAll(now);
        for (const CrashSuspect &told : running.summary(now))
            starting.merge(told, now);
        THEN("requests with the feature are admitted")
        {
            CHECK(starting.check({document}, now) == Admission::Admit);
        }
        THEN("crashes that no record had are left out")
        {
            CHECK(running.summary(now).size() == 1);
        }
    }
}

SCENARIO("what is refused is told to a store that serves routers which start later")
{
    CrashSuspicion suspicion({});
    TimePoint now = TimePoint() + 1h;
    const auto crash = [&](ServerRun run) {
        suspicion.recordCrash(run, {crashing}, now - crashDelay, now);
        now += 1s;
    };
    GIVEN("a part that has crashed two servers")
    {
        crash(1);
        CHECK(suspicion.takeStoreChanges(now).suspected.empty());
        crash(2);
        const auto likely = suspicion.takeStoreChanges(now).suspected;
        REQUIRE(likely.size() == 1);
        CHECK(likely.front().crashes.size() == 2);
        WHEN("a request with it is answered")
        {
            suspicion.recordAnswer({crashing}, now);
            THEN("it is told once that it is cleared")
            {
                CHECK(suspicion.takeStoreChanges(now).cleared == Features{crashing});
                CHECK(suspicion.takeStoreChanges(now).cleared.empty());
            }
        }
        WHEN("it crashes further ones")
        {
            crash(3);
            const auto quarantined = suspicion.takeStoreChanges(now).suspected;
            crash(4);
            const auto unchanged = suspicion.takeStoreChanges(now).suspected;
            crash(5);
            const auto permanent = suspicion.takeStoreChanges(now).suspected;
            THEN("it is told when it is quarantined, and when its probes end")
            {
                REQUIRE(quarantined.size() == 1);
                CHECK(quarantined.front().crashes.size() == 3);
                CHECK(unchanged.empty());
                REQUIRE(permanent.size() == 1);
                CHECK(permanent.front().feature == crashing);
                CHECK(permanent.front().crashes.size() == 5);
                CHECK(suspicion.takeStoreChanges(now).suspected.empty());
            }
        }
        WHEN("it is quarantined, and a request with it is answered")
        {
            crash(3);
            CHECK(suspicion.takeStoreChanges(now).cleared.empty());
            suspicion.recordAnswer({crashing}, now);
            THEN("it is told once that it is cleared")
            {
                CHECK(suspicion.takeStoreChanges(now).cleared == Features{crashing});
                CHECK(suspicion.takeStoreChanges(now).cleared.empty());
            }
        }
    }
}

// What only the routers write must be written again when the store has lost it.
SCENARIO("the store is restored from a copy that may lack what crashes servers")
{
    CrashSuspicion suspicion{CrashSuspicionSettings()};
    TimePoint now = TimePoint() + 1h;
    const auto crash = [&](RequestFeature feature, ServerRun run) {
        suspicion.recordCrash(run, {feature}, now - crashDelay, now);
        now += 1s;
    };
    GIVEN("a part that has crashed three servers, and another one that was cleared")
    {
        for (ServerRun run = 1; run <= 3; ++run)
            crash(crashing, run);
        crash(otherCrashing, 11);
        crash(otherCrashing, 12);
        // In flight during one crash, which is in no record.
        crash(document, 21);
        suspicion.takeStoreChanges(now);
        suspicion.recordAnswer({otherCrashing, document}, now);
        suspicion.takeStoreChanges(now);
        REQUIRE(suspicion.takeStoreChanges(now).suspected.empty());
        WHEN("the store is restored")
        {
            suspicion.forgetStored();
            const auto changes = suspicion.takeStoreChanges(now);
            THEN("the first is written again, and the other one removed again, once")
            {
                REQUIRE(changes.suspected.size() == 1);
                CHECK(changes.suspected.front().feature == crashing);
                CHECK(changes.cleared == Features{otherCrashing});
                CHECK(suspicion.takeStoreChanges(now).suspected.empty());
                CHECK(suspicion.takeStoreChanges(now).cleared.empty());
            }
        }
    }
}
