#include "selectingrouter.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t largeTokens = 17000;
constexpr std::uint32_t smallTokens = 1400;

const ServerId limited("s0");
const ServerId other("s1");

RequestTraits requestOf(const SelectingRouter &router, std::uint64_t number, std::uint32_t tokens)
{
    RequestTraits traits = router.traits(prompt(number, number, tokens / 2, tokens / 2));
    traits.customerUsageRatio = 1.0;
    return traits;
}

} // namespace

// A server that counts requests, not their work, must not be filled with small ones.
SCENARIO("pattern: a server takes few requests, and small and large ones come")
{
    SelectingRouter router(2);
    router.selector.recordLimit(limited, 2.0, router.now);
    GIVEN("twelve small requests and eight large ones a second")
    {
        int largeThere = 0;
        int smallThere = 0;
        constexpr auto step = 500ms;
        for (std::uint64_t i = 0; i < 40; ++i) {
            for (std::uint64_t small = 0; small < 6; ++small) {
                const auto choice
                        = router.send(requestOf(router, 1000 + 10 * i + small, smallTokens));
                smallThere += choice && choice.value().server == limited ? 1 : 0;
            }
            for (std::uint64_t large = 0; large < 4; ++large) {
                const auto choice
                        = router.send(requestOf(router, 5000 + 10 * i + large, largeTokens));
                largeThere += choice && choice.value().server == limited ? 1 : 0;
            }
            router.now += step;
            router.finishAll();
        }
        THEN("most turns go to large ones")
        {
            CHECK(largeThere >= 25);
            CHECK(largeThere >= 4 * smallThere);
        }
    }
    GIVEN("small requests only")
    {
        int there = 0;
        for (std::uint64_t i = 0; i < 400; ++i) {
            const auto choice = router.send(requestOf(router, 1000 + i, smallTokens));
            there += choice && choice.value().server == limited ? 1 : 0;
            router.now += 50ms;
            router.finishAll();
        }
        THEN("they take the turns")
        {
            CHECK(there >= 15);
        }
    }
}

// The turns must not go to whoever comes first: one customer's flood would take them all.
SCENARIO("pattern: all servers take few requests, and one customer sends many times its usual load")
{
    SelectingRouter router(2);
    router.selector.recordLimit(limited, 2.0, router.now);
    router.selector.recordLimit(other, 2.0, router.now);
    GIVEN("ten requests of a customer above its fair share for each one of another below it")
    {
        int within = 0;
        int beyond = 0;
        for (std::uint64_t i = 0; i < 40; ++i) {
            for (std::uint64_t flood = 0; flood < 10; ++flood) {
                RequestTraits traits = requestOf(router, 1000 + 20 * i + flood, largeTokens);
                traits.customerUsageRatio = 1.5;
                beyond += router.send(traits) ? 1 : 0;
                router.now += 50ms;
            }
            RequestTraits traits = requestOf(router, 5000 + i, smallTokens);
            traits.customerUsageRatio = 0.2;
            within += router.send(traits) ? 1 : 0;
            router.finishAll();
        }
        THEN("nearly all of the other one's are sent, and the flood gets what they leave")
        {
            CHECK(within >= 36);
            CHECK(beyond >= 20);
        }
    }
}

SCENARIO("routers tell each other the limits that servers name")
{
    SelectingRouter heard(2);
    SelectingRouter told(2);
    heard.selector.recordLimit(limited, 2.0, heard.now);
    const auto exchange = [&] {
        for (const ReportedStatement &said : heard.selector.statements(heard.now))
            told.selector.mergeStatement(said, told.now);
    };
    exchange();
    GIVEN("a router that got no answer from there")
    {
        THEN("it keeps the limit")
        {
            CHECK(told.selector.limitedCount() == 1);
        }
        WHEN("the limit ends in an answer to the other router")
        {
            heard.now += 1s;
            told.now += 1s;
            heard.selector.recordLimit(limited, std::nullopt, heard.now);
            exchange();
            THEN("it hears that, too")
            {
                CHECK(told.selector.limitedCount() == 0);
            }
        }
        WHEN("its own answer is newer than what the other router says")
        {
            told.now += 1s;
            heard.now += 1s;
            told.selector.recordLimit(limited, std::nullopt, told.now);
            exchange();
            THEN("its own holds")
            {
                CHECK(told.selector.limitedCount() == 0);
            }
        }
        WHEN("the server restarts, and the other router doesn't know yet")
        {
            DirectServer restarted = *told.selector.server(limited);
            restarted.startedAtMs = 2;
            told.selector.update(restarted, told.now);
            exchange();
            THEN("the new process has no limit")
            {
                CHECK(told.selector.limitedCount() == 0);
            }
        }
    }
}

SCENARIO("a server that is leaving is used by no router, whatever the store lists")
{
    SelectingRouter heard(2);
    SelectingRouter told(2);
    CHECK(heard.selector.recordLeaving(limited, heard.now));
    const auto neverChosen = [](SelectingRouter &router) {
        bool never = true;
        for (std::uint64_t i = 0; i < 50; ++i) {
            const auto choice = router.send(requestOf(router, 100 + i, smallTokens));
            never = never && choice && choice.value().server != limited;
            router.finishAll();
        }
        return never;
    };
    CHECK(neverChosen(heard));
    GIVEN("another router that hears of it")
    {
        for (const ReportedStatement &said : heard.selector.statements(heard.now))
            told.selector.mergeStatement(said, told.now);
        THEN("it doesn't choose it either")
        {
            CHECK(neverChosen(told));
        }
        WHEN("the server's entry lapses and comes back")
        {
            const DirectServer entry = *told.selector.server(limited);
            told.selector.remove(limited);
            told.selector.update(entry, told.now);
            THEN("it still doesn't")
            {
                CHECK(neverChosen(told));
            }
        }
        WHEN("a new process starts under the id")
        {
            DirectServer restarted = *told.selector.server(limited);
            restarted.startedAtMs = 2;
            told.selector.update(restarted, told.now);
            told.now += 10s;
            THEN("it is used")
            {
                CHECK_FALSE(neverChosen(told));
            }
        }
    }
}

SCENARIO("all servers of a pool name a limit")
{
    SelectingRouter router(2);
    router.selector.recordLimit(limited, 1.0, router.now);
    router.selector.recordLimit(other, 1.0, router.now);
    int sent = 0;
    int refused = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const auto choice = router.send(requestOf(router, 1000 + i, largeTokens));
        sent += choice ? 1 : 0;
        refused += !choice && choice.error() == ServerChoiceErrc::Overloaded ? 1 : 0;
        router.now += 100ms;
        router.finishAll();
    }
    THEN("they get what they take, and the other callers are told that the pool is overloaded")
    {
        CHECK(sent >= 18);
        CHECK(sent <= 24);
        CHECK(sent + refused == 100);
    }
}
