#include "crashes/crashrecords.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::direct;
using namespace std::chrono_literals;
using std::chrono::system_clock;

SCENARIO("a record of what crashes servers is read by a router that starts later")
{
    const system_clock::time_point written(1000000h);
    decision::CrashSuspect suspect;
    suspect.feature = 0xfedcba9876543210U;
    suspect.crashes = {{0xffffffffffffffffU, 4s, false}, {7, 1500ms, true}};
    suspect.probes = 1;
    const store::Item record = encodeCrashRecord(suspect, written);
    GIVEN("a record and the same clock")
    {
        const auto read = decodeCrashRecord(record, written + 10s);
        THEN("its crashes have aged")
        {
            REQUIRE(read);
            CHECK(read->feature == suspect.feature);
            CHECK(read->probes == 1);
            REQUIRE(read->crashes.size() == 2);
            CHECK(read->crashes[0]
                  == decision::CrashSuspect::Crash{0xffffffffffffffffU, 14s, false});
            CHECK(read->crashes[1] == decision::CrashSuspect::Crash{7, 11500ms, true});
        }
    }
    GIVEN("a clock that is behind the writer's")
    {
        const auto read = decodeCrashRecord(record, written - 1h);
        THEN("the newest crash has just been, and the others keep their distance")
        {
            REQUIRE(read);
            REQUIRE(read->crashes.size() == 2);
            CHECK(read->crashes[0].age == 2500ms);
            CHECK(read->crashes[1].age == Duration::zero());
        }
    }
    GIVEN("items that are no records")
    {
        THEN("nothing is read")
        {
            for (const store::Item &item :
                 {store::Item{"no number", record.value}, store::Item{"", record.value},
                  store::Item{record.name, "not JSON"}, store::Item{record.name, "[]"},
                  store::Item{record.name, R"({"crashes":7})"},
                  store::Item{record.name, R"({"crashes":[{"run":7,"atMs":1}]})"},
                  store::Item{record.name, R"({"crashes":[{"run":"7","atMs":"1"}]})"},
                  store::Item{record.name, R"({"crashes":[{"run":"7g","atMs":1}]})"}})
                CHECK_FALSE(decodeCrashRecord(item, written));
        }
    }
}
