#include "bilberry/decision/fairqueue.h"

#include "bilberry/decision/costestimator.h"
#include "bilberry/decision/rendezvous.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

const CustomerId large("large");
const CustomerId small("small");

/// Serves requests from a queue that is never empty.
/// @return milliseconds of capacity that each customer used
std::map<CustomerId, double> serve(const std::map<CustomerId, double> &costs,
                                   const std::map<CustomerId, double> &shares, int requests)
{
    FairQueue queue(QueueOrder::Fair, 1000);
    std::map<CustomerId, double> service;
    const PriorityLookup priorityOf = [&](const CustomerId &customer) {
        return CustomerPriority{service[customer] / shares.at(customer), 1.0};
    };
    RequestId id = 0;
    for (const auto &[customer, cost] : costs)
        queue.push(++id, customer, 10);
    for (int i = 0; i < requests; ++i) {
        const QueuedRequest next = *queue.pop(priorityOf);
        service[next.customer] += costs.at(next.customer);
        queue.push(++id, next.customer, 10);
    }
    return service;
}

} // namespace

SCENARIO("a fair queue serves the customer with the least service")
{
    GIVEN("two customers that always have waiting requests")
    {
        struct Case
        {
            const char *name;
            double largeCost;
            double smallCost;
            double largeShare;
        };
        const Case cases[] = {
                {"requests that cost 100 times as much", 5000.0, 50.0, 1.0},
                {"requests that cost a hundredth", 50.0, 5000.0, 1.0},
                {"ten times the share", 100.0, 100.0, 10.0},
                {"ten times the share and requests that cost 100 times as much", 5000.0, 50.0,
                 10.0},
        };
        for (const Case &example : cases) {
            DYNAMIC_SECTION(example.name)
            {
                auto service = serve({{large, example.largeCost}, {small, example.smallCost}},
                                     {{large, example.largeShare}, {small, 1.0}}, 5000);
                const double difference = service[large] / example.largeShare - service[small];
                CHECK(std::abs(difference)
                      <= example.largeCost / example.largeShare + example.smallCost);
                CHECK(service[small] > 0.0);
            }
        }
    }
    GIVEN("a full queue")
    {
        FairQueue queue(QueueOrder::Fair, 3);
        CHECK(queue.push(1, large, 2) == PushResult::Queued);
        CHECK(queue.push(2, large, 2) == PushResult::Queued);
        CHECK(queue.push(3, large, 2) == PushResult::CustomerFull);
        CHECK(queue.push(4, small, 2) == PushResult::Queued);
        CHECK(queue.push(5, CustomerId("other"), 2) == PushResult::TotalFull);

        THEN("a request that could not be placed returns to the head of the queue")
        {
            const PriorityLookup equal = [](const CustomerId &) { return CustomerPriority{}; };
            const QueuedRequest first = *queue.pop(equal);
            queue.pushFront(first.request, first.customer);
            CHECK(queue.pop(equal) == first);
        }
        THEN("a request can be removed only once")
        {
            CHECK(queue.remove(1));
            CHECK_FALSE(queue.remove(1));
            CHECK(queue.size() == 2);
        }
        THEN("the predicted virtual times follow the order of pop()")
        {
            const PriorityLookup priorityOf = [](const CustomerId &customer) {
                return customer == large ? CustomerPriority{10.0, 5.0}
                                         : CustomerPriority{12.0, 1.0};
            };
            CHECK(queue.nextVirtualTimes(priorityOf, 2) == std::vector<double>{10.0, 12.0});
            CHECK(queue.nextVirtualTimes(priorityOf, 9) == std::vector<double>{10.0, 12.0, 15.0});
        }
    }
}

TEST_CASE(
        "the normalised service of two backlogged customers differs by at most one request of each")
{
    REQUIRE(rc::check("any costs and shares", [] {
        const double largeCost = *rc::gen::inRange(1, 5000);
        const double smallCost = *rc::gen::inRange(1, 5000);
        const double share = *rc::gen::inRange(1, 10);
        auto service = serve({{large, largeCost}, {small, smallCost}},
                             {{large, share}, {small, 1.0}}, *rc::gen::inRange(1, 500));
        RC_ASSERT(std::abs(service[large] / share - service[small])
                  <= largeCost / share + smallCost);
    }));
}

SCENARIO("a cost estimate follows the mean, and hints adjust it within limits")
{
    const ServiceKey key{PoolId("models"), large};
    CostEstimator estimator;
    for (int i = 0; i < 50; ++i)
        estimator.addSample(key, 200.0);
    struct Case
    {
        std::optional<double> hint;
        double lowest;
        double highest;
    };
    for (const Case &example : {Case{std::nullopt, 199.0, 201.0}, Case{20.0, 150.0, 200.0},
                                Case{2000.0, 200.0, 260.0}, Case{210.0, 209.0, 211.0}}) {
        const double estimate = estimator.estimate(key, example.hint);
        CHECK(estimate >= example.lowest);
        CHECK(estimate <= example.highest);
    }
}

TEST_CASE("losing a router moves only the customers that it owned")
{
    REQUIRE(rc::check("any number of routers", [] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 40);
        std::vector<std::string> nodes;
        for (std::size_t i = 0; i < count; ++i)
            nodes.push_back("router-" + std::to_string(i));
        const std::string key = "customer-" + std::to_string(*rc::gen::arbitrary<unsigned>());
        const std::size_t owner = rendezvousOwner(key, nodes);
        const auto lost = *rc::gen::inRange<std::size_t>(0, count);
        auto remaining = nodes;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lost));
        if (lost != owner)
            RC_ASSERT(remaining[rendezvousOwner(key, remaining)] == nodes[owner]);
        const auto subset = rendezvousSubset(key, nodes, 3);
        RC_ASSERT(std::set<std::size_t>(subset.begin(), subset.end()).size()
                  == std::min<std::size_t>(3, count));
    }));
}
