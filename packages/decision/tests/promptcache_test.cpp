#include "bilberry/decision/promptcache.h"

#include <catch2/catch.hpp>

using namespace bilberry::decision;

SCENARIO("a server caches the prefixes of the prompts that it has received")
{
    GIVEN("a prompt of three parts")
    {
        const Prompt prompt("m", {{1, 100}, {2, 50}, {3, 10}});
        PromptCache cache(1000);
        CHECK(prompt.tokens() == 160);
        CHECK(prompt.sharedPrefixTokens() == 150);
        CHECK(cache.cachedTokens(prompt) == 0);
        cache.insert(prompt);

        THEN("another prompt shares the parts before the first different one")
        {
            CHECK(cache.cachedTokens(Prompt("m", {{1, 100}, {2, 50}, {4, 10}})) == 150);
            CHECK(cache.cachedTokens(Prompt("m", {{1, 100}, {5, 50}, {3, 10}})) == 100);
        }
        THEN("the same part after a different prefix is not shared")
        {
            CHECK(cache.cachedTokens(Prompt("m", {{2, 50}, {3, 10}})) == 0);
        }
        THEN("nothing is shared between models")
        {
            CHECK(cache.cachedTokens(Prompt("n", {{1, 100}, {2, 50}, {3, 10}})) == 0);
        }
        WHEN("more tokens are inserted than the capacity")
        {
            for (std::uint64_t i = 0; i < 10; ++i)
                cache.insert(Prompt("m", {{100 + i, 200}}));
            THEN("the least recently used parts are evicted")
            {
                CHECK(cache.cachedTokens(prompt) == 0);
            }
        }
        WHEN("the cache is cleared")
        {
            cache.clear();
            THEN("nothing is cached")
            {
                CHECK(cache.cachedTokens(prompt) == 0);
            }
        }
    }
    GIVEN("a prompt of one part")
    {
        THEN("it has no shared prefix")
        {
            CHECK(Prompt("m", {{1, 100}}).sharedPrefixKey() == 0);
        }
    }
}
