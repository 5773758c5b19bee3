#include "bilberry/decision/restoreinquiry.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

std::vector<RouterId> routers(int count)
{
    std::vector<RouterId> all;
    for (int i = 0; i < count; ++i)
        all.emplace_back("r" + std::to_string(i));
    return all;
}

} // namespace

// A router that starts must not believe a restored store before it has asked (CONFIG).
SCENARIO("a router asks the others what a restored store lacks")
{
    const TimePoint start(1h);
    RestoreInquiry inquiry({}, 100);
    CHECK_FALSE(inquiry.isOpen());
    inquiry.start(start);
    GIVEN("two other routers")
    {
        const auto others = routers(2);
        const auto round = inquiry.nextRound(others, start);
        CHECK(round.query == 100);
        CHECK(round.routers.size() == 2);
        THEN("the next round comes later, to those that have not answered")
        {
            CHECK(inquiry.nextRound(others, start + 199ms).routers.empty());
            CHECK(inquiry.recordAnswer(others[0], 100, false, start + 10ms));
            CHECK(inquiry.nextRound(others, start + 200ms).routers == std::vector{others[1]});
        }
        THEN("it ends when both have answered, even if they are starting as well")
        {
            CHECK(inquiry.recordAnswer(others[0], 100, true, start + 1ms));
            CHECK_FALSE(inquiry.endIfComplete(others, start + 1ms));
            CHECK(inquiry.recordAnswer(others[1], 100, true, start + 2ms));
            CHECK(inquiry.endIfComplete(others, start + 2ms));
            CHECK_FALSE(inquiry.isOpen());
        }
        THEN("it waits a little for a further answer, and longer for the first one that counts")
        {
            inquiry.recordAnswer(others[0], 100, true, start + 10ms);
            CHECK_FALSE(inquiry.endIfComplete(others, start + 1400ms));
            CHECK(inquiry.endIfComplete(others, start + 1500ms));
            inquiry.start(start + 2s);
            inquiry.nextRound(others, start + 2s);
            inquiry.recordAnswer(others[0], 101, false, start + 2010ms);
            CHECK_FALSE(inquiry.endIfComplete(others, start + 2300ms));
            CHECK(inquiry.endIfComplete(others, start + 2310ms));
        }
        THEN("answers to an earlier inquiry don't count")
        {
            inquiry.start(start + 50ms);
            CHECK_FALSE(inquiry.recordAnswer(others[0], 100, false, start + 60ms));
            CHECK_FALSE(inquiry.recordAnswer(others[0], 101, false, start + 60ms));
            inquiry.nextRound(others, start + 60ms);
            CHECK(inquiry.recordAnswer(others[0], 101, false, start + 70ms));
        }
    }
    GIVEN("no other router")
    {
        THEN("it waits, since their entries may be lost, and goes on")
        {
            CHECK_FALSE(inquiry.endIfComplete({}, start + 1499ms));
            CHECK(inquiry.endIfComplete({}, start + 1500ms));
        }
    }
    GIVEN("a hundred routers, most of which are dead")
    {
        const auto others = routers(100);
        THEN("a round asks few, and the rounds of an inquiry ask different ones")
        {
            std::set<RouterId> asked;
            for (int i = 0; i < 7; ++i) {
                const auto round = inquiry.nextRound(others, start + i * 200ms);
                CHECK(round.routers.size() == 8);
                asked.insert(round.routers.begin(), round.routers.end());
            }
            CHECK(asked.size() == 56);
        }
    }
}
