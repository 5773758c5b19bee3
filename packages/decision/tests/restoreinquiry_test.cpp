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
    inquiry.start(true, start);
    GIVEN("two other routers")
    {
        const auto others = routers(2);
        const auto round = inquiry.nextRound({}, others, start);
        CHECK(round.query == 100);
        CHECK(round.routers.size() == 2);
        THEN("the next round comes later, to those that have not answered")
        {
            CHECK(inquiry.nextRound({}, others, start + 199ms).routers.empty());
            inquiry.recordAnswer(others[0], false, start + 10ms);
            CHECK(inquiry.nextRound({}, others, start + 200ms).routers == std::vector{others[1]});
        }
        THEN("it is complete when both have answered, even if they are starting as well")
        {
            inquiry.recordAnswer(others[0], true, start + 1ms);
            CHECK_FALSE(inquiry.isComplete(others, start + 1ms));
            inquiry.recordAnswer(others[1], true, start + 2ms);
            CHECK(inquiry.isComplete(others, start + 2ms));
            inquiry.end();
            CHECK_FALSE(inquiry.isOpen());
        }
        THEN("it waits a little for a further answer, and longer for the first one that counts")
        {
            inquiry.recordAnswer(others[0], true, start + 10ms);
            CHECK_FALSE(inquiry.isComplete(others, start + 1400ms));
            CHECK_FALSE(inquiry.isOverdue(start + 1499ms));
            CHECK(inquiry.isOverdue(start + 1500ms));
            inquiry.start(true, start + 2s);
            inquiry.nextRound({}, others, start + 2s);
            inquiry.recordAnswer(others[0], false, start + 2010ms);
            CHECK_FALSE(inquiry.isComplete(others, start + 2300ms));
            CHECK(inquiry.isComplete(others, start + 2310ms));
        }
        THEN("only the questions of this inquiry are its own")
        {
            CHECK(inquiry.isOwnQuery(100));
            inquiry.start(true, start + 50ms);
            CHECK_FALSE(inquiry.isOwnQuery(100));
            CHECK_FALSE(inquiry.isOwnQuery(101));
            inquiry.nextRound({}, others, start + 60ms);
            CHECK(inquiry.isOwnQuery(101));
        }
    }
    GIVEN("no other router")
    {
        THEN("one that starts waits, since the list may lack some, and goes on")
        {
            CHECK_FALSE(inquiry.isComplete({}, start + 1499ms));
            CHECK(inquiry.isOverdue(start + 1500ms));
        }
        THEN("one that knew the list before doesn't wait")
        {
            inquiry.start(false, start);
            CHECK(inquiry.isComplete({}, start));
        }
    }
    GIVEN("a hundred routers, most of which are dead")
    {
        const auto others = routers(100);
        THEN("a round asks few, and the rounds of an inquiry ask different ones")
        {
            std::set<RouterId> asked;
            for (int i = 0; i < 7; ++i) {
                const auto round = inquiry.nextRound({}, others, start + i * 200ms);
                CHECK(round.routers.size() == 8);
                asked.insert(round.routers.begin(), round.routers.end());
            }
            CHECK(asked.size() == 56);
        }
        THEN("those that live are asked first")
        {
            const auto round = inquiry.nextRound({others[77], others[3]}, others, start);
            CHECK(round.routers.size() == 8);
            CHECK(round.routers[0] == others[77]);
            CHECK(round.routers[1] == others[3]);
        }
    }
}
