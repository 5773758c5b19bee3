#include "enginepoolmodel.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::decision;
using namespace bilberry::decision::tests;
using namespace std::chrono_literals;

namespace {

/// Engines whose prompts are mostly not shared, so that a shared part is evicted within about ten
/// seconds. At a load of 1 the requests take all that the engines can read.
PoolModelSettings settingsFor(int routers, int engines, double load)
{
    PoolModelSettings settings;
    settings.routers = routers;
    settings.engines = engines;
    const double factor = load * engines;
    settings.classes = {{3.8 * factor, 512, 3, 4870, 163, 6610, 384, 800ms},
                        {8.6 * factor, 119, 40, 79, 241, 628, 294, 400ms},
                        {5.9 * factor, 341, 20, 227, 374, 1800, 23, 400ms}};
    return settings;
}

PoolModelResult play(const PoolModelSettings &settings)
{
    return EnginePoolModel(settings).play(20s);
}

/// A fifth of the engines' time is spare at the load of the first scenario; recomputing may take a
/// quarter of that.
constexpr double maxRecomputedShare = 0.05;

double recomputedShare(const PoolModelResult &result)
{
    return static_cast<double>(result.recomputedTokens) / static_cast<double>(result.promptTokens);
}

double onTimeShare(const PoolModelResult &result)
{
    return static_cast<double>(result.onTime) / static_cast<double>(result.requests);
}

} // namespace

SCENARIO("pattern: requests with the same shared prefix arrive at many routers")
{
    GIVEN("24 routers, 45 engines and four fifths of the load that these can take")
    {
        PoolModelSettings settings = settingsFor(24, 45, 0.8);
        WHEN("the routers tell each other where they sent prompts")
        {
            const PoolModelResult result = play(settings);
            THEN("few shared tokens are recomputed, and nearly all requests are on time")
            {
                CHECK(recomputedShare(result) < maxRecomputedShare);
                CHECK(onTimeShare(result) > 0.95);
            }
            THEN("a router rarely knows no server that has a prefix which some server has")
            {
                CHECK(result.recomputedUnknown < result.promptTokens / 100);
            }
            AND_WHEN("they don't tell each other")
            {
                settings.sharePlacements = false;
                const PoolModelResult unshared = play(settings);
                THEN("more than twice as many shared tokens are recomputed")
                {
                    CHECK(unshared.recomputedTokens > 2 * result.recomputedTokens);
                }
            }
        }
    }
}

SCENARIO("pattern: more prompts arrive than the engines can read")
{
    GIVEN("four routers, 18 engines and a load above what these can take")
    {
        const PoolModelResult result = play(settingsFor(4, 18, 1.4));
        THEN("requests are refused rather than moved to servers that would recompute their prefix")
        {
            CHECK(result.refused > 0);
            CHECK(recomputedShare(result) < maxRecomputedShare);
        }
        THEN("more than half of the requests are still on time")
        {
            CHECK(onTimeShare(result) > 0.5);
        }
    }
}
