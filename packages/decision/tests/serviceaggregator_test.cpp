#include "bilberry/decision/serviceaggregator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

const ServiceKey key{PoolId("models"), CustomerId("kitchen")};
const ReportOrigin first{RouterId("router-0"), 1};
const ReportOrigin second{RouterId("router-1"), 2};
const ReportOrigin third{RouterId("router-2"), 3};

TimePoint at(double ms)
{
    return TimePoint{} + fromMilliseconds(ms);
}

LocalServiceCounter counter(double normalisedMs, double offset = 0.0)
{
    return {key, normalisedMs, offset, true};
}

} // namespace

SCENARIO("an aggregator sums the service of the other routers")
{
    GIVEN("counters of two routers")
    {
        ServiceAggregator aggregator({});
        aggregator.applyReport(first, 1, counter(100.0), at(0.0));
        aggregator.applyReport(second, 1, counter(40.0, 7.0), at(0.0));

        THEN("it returns totals only after all routers had time to report")
        {
            CHECK_FALSE(aggregator.totalFor(key, first, at(500.0)));
            REQUIRE(aggregator.totalFor(key, first, at(1000.0)));
        }
        THEN("the total excludes the receiver's own counter and has the largest offset")
        {
            CHECK(aggregator.totalFor(key, first, at(1000.0))->normalisedMs == Approx(40.0));
            CHECK(aggregator.totalFor(key, third, at(1000.0))->normalisedMs == Approx(140.0));
            CHECK(aggregator.totalFor(key, first, at(1000.0))->offset == Approx(7.0));
        }
        WHEN("a router reports again after a long silence")
        {
            aggregator.applyReport(first, 2, counter(100.0), at(15000.0));
            aggregator.expire(at(15000.0));
            aggregator.applyReport(second, 2, counter(40.0), at(20000.0));

            THEN("its service is counted once")
            {
                CHECK(aggregator.totalFor(key, third, at(20000.0))->normalisedMs == Approx(140.0));
            }
        }
        WHEN("no router reports for a minute")
        {
            aggregator.expire(at(60000.0));

            THEN("all counters are kept")
            {
                CHECK(aggregator.totalFor(key, third, at(60000.0))->normalisedMs == Approx(140.0));
            }
        }
        WHEN("a router restarts with empty counters")
        {
            aggregator.applyReport({RouterId("router-1"), 9}, 1, counter(5.0), at(2000.0));

            THEN("service of its earlier incarnation remains in the total")
            {
                CHECK(aggregator.totalFor(key, first, at(2000.0))->normalisedMs == Approx(45.0));
                aggregator.applyReport(first, 2, counter(100.0), at(15000.0));
                aggregator.expire(at(15000.0));
                CHECK(aggregator.totalFor(key, first, at(15000.0))->normalisedMs == Approx(45.0));
            }
        }
    }
    GIVEN("a router that serves 300 ms per second in requests of 150 ms and reports every 100 ms")
    {
        ServiceAggregator aggregator({});
        double largest = 0.0;
        for (int i = 0; i < 50; ++i) {
            const TimePoint now = at(100.0 * i);
            aggregator.applyReport(first, i + 1, counter(150.0 * (i / 5)), now);
            if (i >= 20)
                largest = std::max(largest, aggregator.totalFor(key, second, now)->ratePerSecond);
        }

        THEN("a single dispatch is not taken for a sustained rate")
        {
            CHECK(largest < 600.0);
            CHECK(aggregator.totalFor(key, second, at(4900.0))->ratePerSecond > 150.0);
        }
    }
}

TEST_CASE("reports may be lost, repeated and reordered")
{
    REQUIRE(rc::check("the newest report of each origin applies", [] {
        const auto steps = *rc::gen::nonEmpty<std::vector<std::uint8_t>>();
        std::vector<std::pair<std::uint64_t, double>> sent;
        double total = 0.0;
        for (std::size_t i = 0; i < steps.size(); ++i)
            sent.emplace_back(i + 1, total += steps[i]);
        auto arrived = sent;
        const auto last = sent.back();
        for (const auto &report : sent) {
            if (*rc::gen::arbitrary<bool>())
                arrived.push_back(report);
        }
        std::shuffle(arrived.begin(), arrived.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        ServiceAggregator aggregator({});
        for (const auto &[sequence, value] : arrived) {
            const bool lost = sequence != last.first && *rc::gen::arbitrary<bool>();
            if (!lost)
                aggregator.applyReport(first, sequence, counter(value), at(0.0));
        }
        // A later incarnation retires the counter, so that the total is exact and not extrapolated.
        aggregator.applyReport({first.router, 99}, 1, counter(0.0), at(12000.0));
        aggregator.expire(at(12000.0));
        const auto sum = aggregator.totalFor(key, second, at(12000.0));
        RC_ASSERT(sum.has_value());
        RC_ASSERT(sum->normalisedMs == last.second);
    }));
}
