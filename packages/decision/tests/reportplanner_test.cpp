#include "bilberry/decision/reportplanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

TimePoint at(double ms)
{
    return TimePoint{} + std::chrono::hours(1) + fromMilliseconds(ms);
}

LocalServiceCounter makeCounter(const std::string &customer, double normalisedMs, bool backlogged)
{
    return {{PoolId("models"), CustomerId(customer)}, normalisedMs, 0.0, backlogged};
}

bool remote(const ServiceKey &)
{
    return false;
}

bool local(const ServiceKey &)
{
    return true;
}

} // namespace

SCENARIO("a counter is reported when its change is large enough")
{
    GIVEN("a customer that was reported")
    {
        struct Case
        {
            const char *name;
            double change;
            bool backlogged;
            double afterMs;
            bool reported;
        };
        const Case cases[] = {
                {"backlogged, changed by a quantum", 100.0, true, 200.0, true},
                {"backlogged, changed by less", 99.0, true, 200.0, false},
                {"backlogged, unchanged for a second", 0.0, true, 1000.0, true},
                {"no longer backlogged, changed by less", 50.0, false, 200.0, false},
                {"idle, changed by a quantum", 100.0, false, 2000.0, false},
                {"idle, changed by ten quanta", 1000.0, false, 200.0, true},
                {"changed immediately after the last report", 5000.0, true, 10.0, false},
        };
        for (const Case &example : cases) {
            DYNAMIC_SECTION(example.name)
            {
                ReportPlanner planner({});
                REQUIRE(planner.plan({makeCounter("kitchen", 10.0, true)}, remote, at(0.0)).size()
                        == 1);
                const auto planned = planner.plan(
                        {makeCounter("kitchen", 10.0 + example.change, example.backlogged)}, remote,
                        at(example.afterMs));
                CHECK(planned.size() == (example.reported ? 1U : 0U));
            }
        }
    }
    GIVEN("a backlogged customer whose service grows steadily")
    {
        ReportPlanner planner({});
        std::size_t steady = 0;
        for (int step = 0; step < 100; ++step)
            steady += planner.plan({makeCounter("kitchen", 50.0 * step, true)}, remote,
                                   at(100.0 * step))
                              .size();

        THEN("growth that the aggregator extrapolates is not reported")
        {
            CHECK(steady < 25);
        }
    }
    GIVEN("a customer that this router aggregates itself, and no byte budget")
    {
        ReportSettings settings;
        settings.bytesPerSecond = 1.0;
        ReportPlanner planner(settings);
        THEN("its reports cost nothing")
        {
            CHECK(planner.plan({makeCounter("kitchen", 500.0, true)}, remote, at(0.0)).empty());
            CHECK(planner.plan({makeCounter("kitchen", 500.0, true)}, local, at(0.0)).size() == 1);
        }
    }
    GIVEN("more changes than the budget allows")
    {
        ReportSettings settings;
        settings.bytesPerSecond = 400.0;
        ReportPlanner planner(settings);
        std::vector<LocalServiceCounter> counters;
        for (int i = 1; i <= 20; ++i)
            counters.push_back(makeCounter("customer-" + std::to_string(i), 0.0, true));
        for (int round = 0; round < 20; ++round)
            planner.plan(counters, remote, at(2000.0 * round));
        for (int i = 0; i < 20; ++i)
            counters[i].normalisedMs = 1000.0 * (i + 1);

        THEN("the largest changes are reported first")
        {
            const auto planned = planner.plan(counters, remote, at(60000.0));
            REQUIRE(planned.size() == 4);
            CHECK(planned.front().key.customer.text() == "customer-20");
            CHECK(planned.back().key.customer.text() == "customer-17");
        }
    }
}

TEST_CASE("reports stay within their byte budget")
{
    REQUIRE(rc::check("any changes over ten seconds", [] {
        const ReportSettings settings;
        ReportPlanner planner(settings);
        std::vector<LocalServiceCounter> counters;
        for (int i = 0; i < 30; ++i)
            counters.push_back(makeCounter("customer-" + std::to_string(i), 0.0, true));
        std::size_t bytes = 0;
        for (int step = 0; step < 100; ++step) {
            for (LocalServiceCounter &counter : counters)
                counter.normalisedMs += *rc::gen::inRange(0, 400);
            const auto planned = planner.plan(counters, remote, at(100.0 * step));
            if (!planned.empty())
                bytes += settings.bytesPerReport + planned.size() * settings.bytesPerCounter;
        }
        RC_ASSERT(static_cast<double>(bytes) <= settings.bytesPerSecond * (10.0 + 1.0));
    }));
}
