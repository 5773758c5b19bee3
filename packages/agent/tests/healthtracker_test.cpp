#include "bilberry/agent/healthtracker.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::agent;

namespace {

BackendHealth up(std::uint64_t incarnation)
{
    BackendHealth health;
    health.reachable = true;
    health.serverIncarnation = incarnation;
    return health;
}

BackendHealth gone()
{
    BackendHealth health;
    health.gone = true;
    return health;
}

struct Step
{
    int seconds;
    BackendHealth health;
    bool crashed;
};

} // namespace

TEST_CASE("a crash is told once, a failed check is no crash")
{
    const BackendHealth silent{};
    const std::vector<std::pair<const char *, std::vector<Step>>> cases = {
            {"not up yet", {{0, gone(), false}, {1, silent, false}, {2, up(1), false}}},
            {"restart between two checks", {{0, up(1), false}, {1, up(2), true}}},
            {"away and back", {{0, up(1), false}, {1, gone(), true}, {2, up(2), false}}},
            {"two crashes",
             {{0, up(1), false}, {1, gone(), true}, {2, up(2), false}, {3, up(3), true}}},
            {"busy for a while",
             {{0, up(1), false}, {1, silent, false}, {9, silent, false}, {10, up(1), false}}},
            {"busy, then restarted", {{0, up(1), false}, {1, silent, false}, {2, up(2), true}}},
            {"hung",
             {{0, up(1), false}, {1, silent, false}, {11, silent, true}, {12, silent, false}}},
            {"reports no incarnation", {{0, up(0), false}, {1, up(0), false}, {2, gone(), true}}},
    };
    for (const auto &[name, steps] : cases) {
        DYNAMIC_SECTION(name)
        {
            HealthTracker tracker;
            for (const Step &step : steps)
                CHECK(tracker.report(step.health, TimePoint{} + std::chrono::seconds(step.seconds))
                      == step.crashed);
        }
    }
}
