#include "bilberry/decision/promptcache.h"

#include <catch2/catch.hpp>

using namespace bilberry::decision;

SCENARIO("a server holds the leading parts of prompts that it read")
{
    GIVEN("a prompt of three parts")
    {
        const Prompt prompt("m", {{1, 100}, {2, 50}, {3, 10}});
        PromptCache cache(1000);
        CHECK(prompt.tokens() == 160);
        CHECK(prompt.sharedTokens() == 150);
        CHECK(cache.held(prompt) == 0);
        cache.read(prompt);

        THEN("another prompt shares the parts up to the first other one")
        {
            CHECK(cache.held(Prompt("m", {{1, 100}, {2, 50}, {4, 10}})) == 150);
            CHECK(cache.held(Prompt("m", {{1, 100}, {5, 50}, {3, 10}})) == 100);
        }
        THEN("a part behind another beginning is another part")
        {
            CHECK(cache.held(Prompt("m", {{2, 50}, {3, 10}})) == 0);
        }
        THEN("another model shares nothing")
        {
            CHECK(cache.held(Prompt("n", {{1, 100}, {2, 50}, {3, 10}})) == 0);
        }
        WHEN("more is read than fits")
        {
            for (std::uint64_t i = 0; i < 10; ++i)
                cache.read(Prompt("m", {{100 + i, 200}}));
            THEN("the least recently used parts are gone")
            {
                CHECK(cache.held(prompt) == 0);
            }
        }
        WHEN("the server loses its memory")
        {
            cache.clear();
            THEN("nothing is held")
            {
                CHECK(cache.held(prompt) == 0);
            }
        }
    }
    GIVEN("a prompt of one part")
    {
        THEN("nothing of it is shared")
        {
            CHECK(Prompt("m", {{1, 100}}).sharedKey() == 0);
        }
    }
}
