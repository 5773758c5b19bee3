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

BackendHealth connectionRefused()
{
    BackendHealth health;
    health.connectionRefused = true;
    return health;
}

struct Step
{
    int seconds;
    BackendHealth health;
    bool crashed;
};

} // namespace

TEST_CASE("a crash is reported once, and a failed health check is not a crash")
{
    const BackendHealth noResponse{};
    const std::vector<std::pair<const char *, std::vector<Step>>> cases = {
            {"not started yet",
             {{0, connectionRefused(), false}, {1, noResponse, false}, {2, up(1), false}}},
            {"restart between two checks", {{0, up(1), false}, {1, up(2), true}}},
            {"down, then up again",
             {{0, up(1), false}, {1, connectionRefused(), true}, {2, up(2), false}}},
            {"two crashes",
             {{0, up(1), false},
              {1, connectionRefused(), true},
              {2, up(2), false},
              {3, up(3), true}}},
            {"busy for a while",
             {{0, up(1), false},
              {1, noResponse, false},
              {9, noResponse, false},
              {10, up(1), false}}},
            {"busy, then restarted", {{0, up(1), false}, {1, noResponse, false}, {2, up(2), true}}},
            {"unresponsive",
             {{0, up(1), false},
              {1, noResponse, false},
              {11, noResponse, true},
              {12, noResponse, false}}},
            {"reports no incarnation",
             {{0, up(0), false}, {1, up(0), false}, {2, connectionRefused(), true}}},
    };
    for (const auto &[name, steps] : cases) {
        DYNAMIC_SECTION(name)
        {
            HealthTracker tracker;
            for (const Step &step : steps)
                CHECK(tracker.update(step.health, TimePoint{} + std::chrono::seconds(step.seconds))
                      == step.crashed);
        }
    }
}
