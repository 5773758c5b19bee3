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
        window.completed(firstByte, kind);
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

        WHEN("answers come as quickly as ever")
        {
            complete(window, 100, 100ms, kind);
            THEN("it grows to the full limit and no further")
            {
                CHECK(window.size() == limits.full);
                CHECK_FALSE(window.cold());
            }
            AND_WHEN("the server says that it is cold")
            {
                window.reported(true);
                complete(window, 100, 100ms, kind);
                CHECK(window.size() == limits.cold);
                window.reported(false);
                complete(window, 100, 100ms, kind);
                CHECK(window.size() == limits.full);
            }
            AND_WHEN("latency rises twentyfold without a word of the server")
            {
                complete(window, 8, 2s, kind);
                THEN("eight answers are enough to notice")
                {
                    CHECK(window.size() == limits.cold);
                }
            }
            AND_WHEN("a single answer takes long")
            {
                complete(window, 1, 5s, kind);
                CHECK(window.size() == limits.full);
            }
        }
    }
}

SCENARIO("a mix of short and long requests is not taken for a cold start")
{
    GIVEN("plain requests whose costs differ by a hundred to one")
    {
        const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> exponent(0.0, 1.0);
        AdmissionWindow window(limits);
        complete(window, 100, 200ms, AnswerKind::Whole);
        int narrow = 0;
        constexpr int requests = 2000;
        for (int i = 0; i < requests; ++i) {
            window.completed(fromMilliseconds(50.0 * std::pow(100.0, exponent(random))),
                             AnswerKind::Whole);
            narrow += window.size() < limits.full ? 1 : 0;
        }
        THEN("the window stays wide for 97 of 100 requests")
        {
            CHECK(narrow <= requests * 3 / 100);
        }
    }
}
