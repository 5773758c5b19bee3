#include "bilberry/decision/quarantine.h"

#include "bilberry/decision/retrybudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

constexpr Fingerprint crashingRequest = 1;
constexpr Fingerprint harmlessRequest = 2;
constexpr CrashId firstCrash{10, 1};
constexpr CrashId secondCrash{20, 1};

} // namespace

SCENARIO("a request that is in flight during two crashes is quarantined")
{
    const TimePoint now{};
    GIVEN("two agents and a router that receives their crash reports")
    {
        Quarantine firstAgent{{}};
        Quarantine secondAgent{{}};
        Quarantine router{{}};
        firstAgent.recordCrash(firstCrash, {crashingRequest, harmlessRequest}, now);
        router.merge(crashingRequest, firstAgent.crashes(crashingRequest), now);
        router.merge(harmlessRequest, firstAgent.crashes(harmlessRequest), now);
        CHECK(router.isSuspect(crashingRequest));
        CHECK_FALSE(router.isQuarantined(crashingRequest));

        WHEN("a suspect crashes another server, whose agent knows only the second crash")
        {
            secondAgent.recordCrash(secondCrash, {crashingRequest}, now);
            router.merge(crashingRequest, secondAgent.crashes(crashingRequest), now);

            THEN("the crashes add up, and the other request is still only a suspect")
            {
                CHECK(router.isQuarantined(crashingRequest));
                CHECK_FALSE(router.isQuarantined(harmlessRequest));
            }
        }
        WHEN("the other request completes and the crash is reported again")
        {
            router.recordCompletion(harmlessRequest);

            THEN("it is no longer a suspect")
            {
                CHECK_FALSE(router.merge(harmlessRequest, {firstCrash}, now));
                CHECK_FALSE(router.isSuspect(harmlessRequest));
                CHECK(router.entries().size() == 1);
            }
        }
        WHEN("the suspicion lifetime has passed")
        {
            router.expire(now + std::chrono::minutes(11));
            THEN("the suspects are removed")
            {
                CHECK(router.entries().empty());
            }
        }
    }
}

TEST_CASE("crash reports may arrive in any order and more than once")
{
    REQUIRE(rc::check([] {
        const auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::inRange<std::uint32_t>(1, 4));
        Quarantine quarantine{{}};
        std::set<std::uint32_t> distinct;
        for (const std::uint32_t number : numbers) {
            quarantine.merge(crashingRequest, {CrashId{number, 1}}, {});
            distinct.insert(number);
        }
        RC_ASSERT(quarantine.isQuarantined(crashingRequest) == (distinct.size() >= 2));
    }));
}

TEST_CASE("retries are limited to a tenth of the requests plus the reserve")
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
