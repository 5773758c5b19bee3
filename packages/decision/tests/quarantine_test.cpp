#include "bilberry/decision/quarantine.h"

#include "bilberry/decision/retrybudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

constexpr Fingerprint crasher = 1;
constexpr Fingerprint innocent = 2;
constexpr CrashId atFirst{10, 1};
constexpr CrashId atSecond{20, 1};

} // namespace

SCENARIO("a request seen in a second crash is refused")
{
    const TimePoint now{};
    GIVEN("two agents and a router that hears of their crashes")
    {
        Quarantine first{{}};
        Quarantine second{{}};
        Quarantine router{{}};
        first.recordCrash(atFirst, {crasher, innocent}, now);
        router.merge(crasher, first.crashes(crasher), now);
        router.merge(innocent, first.crashes(innocent), now);
        CHECK(router.isSuspect(crasher));
        CHECK_FALSE(router.isQuarantined(crasher));

        WHEN("it crashes another server, whose agent knows of the second crash only")
        {
            second.recordCrash(atSecond, {crasher}, now);
            router.merge(crasher, second.crashes(crasher), now);

            THEN("the crashes add up, and its neighbour stays a mere suspect")
            {
                CHECK(router.isQuarantined(crasher));
                CHECK_FALSE(router.isQuarantined(innocent));
            }
        }
        WHEN("the neighbour completes and an old notice of the crash comes again")
        {
            router.recordCompletion(innocent);

            THEN("it is no suspect")
            {
                CHECK_FALSE(router.merge(innocent, {atFirst}, now));
                CHECK_FALSE(router.isSuspect(innocent));
                CHECK(router.entries().size() == 1);
            }
        }
        WHEN("the suspicion is old")
        {
            router.expire(now + std::chrono::minutes(11));
            THEN("it is forgotten")
            {
                CHECK(router.entries().empty());
            }
        }
    }
}

TEST_CASE("notices may come in any order and number")
{
    REQUIRE(rc::check([] {
        const auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::inRange<std::uint32_t>(1, 4));
        Quarantine quarantine{{}};
        std::set<std::uint32_t> distinct;
        for (const std::uint32_t number : numbers) {
            quarantine.merge(crasher, {CrashId{number, 1}}, {});
            distinct.insert(number);
        }
        RC_ASSERT(quarantine.isQuarantined(crasher) == (distinct.size() >= 2));
    }));
}

TEST_CASE("retries stay within a tenth of the requests and the reserve")
{
    REQUIRE(rc::check([](const std::vector<bool> &steps) {
        RetryBudget budget;
        double requests = 0.0;
        double retries = 0.0;
        for (const bool isRequest : steps) {
            if (isRequest) {
                budget.recordRequest();
                ++requests;
            } else if (budget.tryAcquire()) {
                ++retries;
            }
            RC_ASSERT(retries <= 10.0 + requests / 10.0 + 1e-6);
        }
    }));
}
