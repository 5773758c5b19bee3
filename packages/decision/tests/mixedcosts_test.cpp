#include "bilberry/decision/admissionwindow.h"

#include <catch2/catch.hpp>

#include <random>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

constexpr WindowLimits limits{2, 8};
constexpr std::uint32_t seed = 7;
constexpr int completions = 20000;

Duration milliseconds(double value)
{
    return std::chrono::microseconds(static_cast<int>(1000.0 * value));
}

} // namespace

TEST_CASE("requests of mixed cost are not taken for a cold server")
{
    struct Case
    {
        const char *name;
        double expensiveFraction;
        double costRatio;
    };
    const Case cases[] = {{"one in fifty costs 100 times as much", 0.02, 100.0},
                          {"one in ten costs 100 times as much", 0.1, 100.0},
                          {"half of them cost 10 times as much", 0.5, 10.0}};
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.name)
        {
            std::mt19937 random(seed);
            std::bernoulli_distribution expensive(c.expensiveFraction);
            AdmissionWindow window(limits);
            double sum = 0.0;
            for (int i = 0; i < completions; ++i) {
                window.recordCompletion(
                        milliseconds(expensive(random) ? 10.0 * c.costRatio : 10.0));
                sum += window.size();
            }
            // Required utilisation: capacity must not be idle while requests wait.
            CHECK(sum / completions >= 0.97 * limits.full);
        }
    }
}

TEST_CASE("a warm server that slows down by a factor of 20 or more is considered cold within one "
          "window of requests")
{
    for (const double slowdown : {20.0, 100.0, 1000.0}) {
        DYNAMIC_SECTION(slowdown)
        {
            std::mt19937 random(seed);
            std::normal_distribution<> spread(0.0, 0.5);
            AdmissionWindow window(limits);
            for (int i = 0; i < 200; ++i)
                window.recordCompletion(milliseconds(20.0 * std::exp(spread(random))));
            REQUIRE(window.size() == limits.full);
            std::uint32_t slow = 0;
            for (; window.size() > limits.cold && slow <= limits.full; ++slow)
                window.recordCompletion(milliseconds(20.0 * slowdown * std::exp(spread(random))));
            CHECK(slow <= limits.full);
            CHECK(window.cold());
        }
    }
}
