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
        WHEN("another router reports a prompt with two shared parts")
        {
            const Prompt reported("m", {{1, 100}, {7, 50}, {8, 10}});
            cache.insertShared({reported.sharedPrefixKey(), 150}, 10);
            THEN("prompts with both parts share them")
            {
                CHECK(cache.cachedTokens(Prompt("m", {{1, 100}, {7, 50}, {9, 10}})) == 150);
            }
            AND_WHEN("its own parts fill the cache")
            {
                for (std::uint64_t i = 0; i < 5; ++i)
                    cache.insertShared({reported.sharedPrefixKey(), 150}, 200);
                THEN("parts that were used before are evicted, the shared ones are not")
                {
                    CHECK(cache.cachedTokens(prompt) == 0);
                    CHECK(cache.cachedTokens(reported) == 150);
                }
            }
        }
        WHEN("the server's memory turns out smaller")
        {
            cache.setCapacity(80);
            THEN("the least recently used parts are evicted")
            {
                CHECK(cache.cachedTokens(Prompt("m", {{1, 100}})) == 0);
            }
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
    GIVEN("a cache, and many prompts with parts without tokens, no two alike")
    {
        PromptCache cache(1000);
        constexpr std::uint64_t prompts = 10'000;
        constexpr std::size_t maxRemembered = 4096;
        for (std::uint64_t i = 0; i < prompts; ++i)
            cache.insert(Prompt("m", {{i, 0}, {1, 0}}));
        THEN("it remembers some of them")
        {
            CHECK(cache.size() < maxRemembered);
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
