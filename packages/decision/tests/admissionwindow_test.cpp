#include "bilberry/decision/admissionwindow.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

constexpr WindowLimits limits{2, 8};

void complete(AdmissionWindow &window, int count, Duration firstByte, AnswerKind kind)
{
    for (int i = 0; i < count; ++i)
        window.recordCompletion(firstByte, kind);
}

} // namespace

SCENARIO("the admission window follows the state of its server")
{
    const AnswerKind kind = GENERATE(AnswerKind::Streamed, AnswerKind::Whole);
    GIVEN("a server in a cold start")
    {
        AdmissionWindow window(limits);
        CHECK(window.size() == limits.cold);
        CHECK(window.cold());

        WHEN("the latency is constant")
        {
            complete(window, 100, 100ms, kind);
            THEN("it grows to the full limit and no further")
            {
                CHECK(window.size() == limits.full);
                CHECK_FALSE(window.cold());
            }
            AND_WHEN("the server reports that it is cold")
            {
                window.setReportedCold(true);
                complete(window, 100, 100ms, kind);
                CHECK(window.size() == limits.cold);
                window.setReportedCold(false);
                complete(window, 100, 100ms, kind);
                CHECK(window.size() == limits.full);
            }
            AND_WHEN("the latency rises twentyfold without a report of the server")
            {
                complete(window, 8, 2s, kind);
                THEN("eight answers reduce the window to the cold limit")
                {
                    CHECK(window.size() == limits.cold);
                }
            }
            AND_WHEN("a single answer is slow")
            {
                complete(window, 1, 5s, kind);
                CHECK(window.size() == limits.full);
            }
        }
    }
}

SCENARIO("a mix of short and long requests is not taken for a cold start")
{
    GIVEN("unstreamed requests whose costs differ by up to a factor of 100")
    {
        const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> exponent(0.0, 1.0);
        AdmissionWindow window(limits);
        complete(window, 100, 200ms, AnswerKind::Whole);
        int reducedCount = 0;
        constexpr int requests = 2000;
        for (int i = 0; i < requests; ++i) {
            window.recordCompletion(fromMilliseconds(50.0 * std::pow(100.0, exponent(random))),
                                    AnswerKind::Whole);
            reducedCount += window.size() < limits.full ? 1 : 0;
        }
        THEN("the window stays at the full limit for at least 97 of 100 requests")
        {
            CHECK(reducedCount <= requests * 3 / 100);
        }
    }
}
