/// Simulates several routers, their aggregators and one pool of slots, to test the classes in
/// combination. Each step is one simulated millisecond.

#include "bilberry/decision/costestimator.h"
#include "bilberry/decision/fairqueue.h"
#include "bilberry/decision/inflightcharges.h"
#include "bilberry/decision/rendezvous.h"
#include "bilberry/decision/reportplanner.h"
#include "bilberry/decision/serviceaggregator.h"

#include <catch2/catch.hpp>

#include <random>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

const PoolId pool("models");
constexpr double maxCostMs = 2000.0;
constexpr int reportPeriodMs = 20;

/// A customer that is always backlogged.
struct Load
{
    CustomerId customer;
    double share = 1.0;
    std::vector<std::size_t> routers;
    double meanMs = 100.0;
    double maxCostFraction = 0.0;
};

const std::vector<Load> loads = {
        {CustomerId("wholesaler"), 10.0, {0, 1, 2}, 200.0, 0.0},
        {CustomerId("contracts"), 5.0, {0}, 500.0, 0.02},
        {CustomerId("depots"), 4.0, {0, 1}, 100.0, 0.0},
        {CustomerId("flood"), 1.0, {0, 1, 2}, 100.0, 0.02},
        {CustomerId("lodge-1"), 1.0, {1}, 20.0, 0.0},
        {CustomerId("lodge-2"), 1.0, {2}, 400.0, 0.02},
};

struct Fault
{
    enum Kind { None, AggregatorLost, RouterRestarted, Partition } kind = None;
    int fromMs = 0;
    int untilMs = 0;
};

/// One incarnation of a router.
struct Router
{
    explicit Router(Incarnation number, VirtualTimeSettings settings)
        : incarnation(number), tracker(settings)
    {
    }

    Incarnation incarnation;
    VirtualTimeTracker tracker;
    InFlightCharges charges{tracker};
    CostEstimator estimator;
    FairQueue queue{QueueOrder::Fair, 100000};
    ReportPlanner planner{ReportSettings{}};
    ServiceAggregator aggregator{AggregatorSettings{}};
    std::map<ServiceKey, std::size_t> lastOwner;
    std::uint64_t sequence = 0;
};

class Simulation
{
public:
    Simulation(Fault fault, double hintFactor, bool exchange)
        : m_fault(fault), m_hintFactor(hintFactor)
    {
        m_settings.countRemote = exchange;
        for (std::size_t i = 0; i < 3; ++i)
            m_routers.push_back(std::make_unique<Router>(++m_lastIncarnation, m_settings));
        fill();
    }

    /// Runs the simulation.
    /// @return the largest change, since measureFromMs, of the difference in normalised service
    ///         between two customers, normalised milliseconds
    double maxServiceDifference(int untilMs, int measureFromMs)
    {
        for (m_ms = 0; m_ms < untilMs; ++m_ms)
            step(m_ms >= measureFromMs);
        double largest = 0.0;
        for (const auto &[pair, range] : m_ranges)
            largest = std::max(largest, range.second - range.first);
        return largest;
    }

private:
    struct Running
    {
        std::size_t load = 0;
        std::size_t router = 0;
        Incarnation incarnation = 0;
        double cost = 0.0;
        int startedMs = 0;
    };

    TimePoint now() const { return TimePoint{} + std::chrono::milliseconds(m_ms); }

    bool isActive(Fault::Kind kind) const
    {
        return m_fault.kind == kind && m_ms >= m_fault.fromMs && m_ms < m_fault.untilMs;
    }

    static ServiceKey keyOf(std::size_t load) { return {pool, loads[load].customer}; }

    void fill()
    {
        for (std::size_t load = 0; load < loads.size(); ++load) {
            for (const std::size_t router : loads[load].routers) {
                Router &target = *m_routers[router];
                while (target.queue.waitingCount(loads[load].customer) < 3)
                    target.queue.push(m_lastRequest++ * loads.size() + load, loads[load].customer,
                                      3);
                target.tracker.setBacklogged(keyOf(load), now());
            }
        }
    }

    double drawCost(const Load &load)
    {
        if (std::uniform_real_distribution<>(0.0, 1.0)(m_random) < load.maxCostFraction)
            return maxCostMs;
        return std::min(4.0 * load.meanMs,
                        1.0 + std::exponential_distribution<>(1.0 / load.meanMs)(m_random));
    }

    PriorityLookup priorityOf(std::size_t router) const
    {
        return [this, router](const CustomerId &customer) {
            return CustomerPriority{m_routers[router]->tracker.virtualTime({pool, customer}, now()),
                                    1.0};
        };
    }

    void finishCompleted()
    {
        for (auto running = m_running.begin(); running != m_running.end();) {
            Running &attempt = running->second;
            const double used = m_ms - attempt.startedMs;
            m_service[attempt.load] += 1.0 / loads[attempt.load].share;
            if (used + 1.0 < attempt.cost) {
                ++running;
                continue;
            }
            Router &router = *m_routers[attempt.router];
            if (router.incarnation == attempt.incarnation) {
                router.charges.chargeFinal(running->first, attempt.cost);
                router.estimator.addSample(keyOf(attempt.load), attempt.cost);
            }
            running = m_running.erase(running);
        }
    }

    /// Assigns each free slot to the router with the smallest virtual time, as agents do.
    void startNext()
    {
        constexpr std::size_t slots = 72;
        while (m_running.size() < slots) {
            std::size_t best = 0;
            double bestTime = std::numeric_limits<double>::max();
            for (std::size_t i = 0; i < m_routers.size(); ++i) {
                const double time = m_routers[i]->queue.nextVirtualTimes(priorityOf(i), 1).at(0);
                if (time < bestTime) {
                    best = i;
                    bestTime = time;
                }
            }
            Router &router = *m_routers[best];
            const QueuedRequest next = *router.queue.pop(priorityOf(best));
            const std::size_t load = next.request % loads.size();
            const double cost = drawCost(loads[load]);
            const bool overestimates = std::bernoulli_distribution(0.5)(m_random);
            const double hint = overestimates ? cost * m_hintFactor : cost / m_hintFactor;
            const AttemptId attempt = ++m_lastAttempt;
            router.charges.chargeEstimate(attempt, keyOf(load), loads[load].share,
                                          router.estimator.estimate(keyOf(load), hint));
            router.charges.markStarted(attempt, now());
            router.tracker.setPoolVirtualTime(pool, bestTime);
            m_running[attempt] = {load, best, router.incarnation, cost, m_ms};
            fill();
        }
    }

    std::size_t ownerOf(const ServiceKey &key) const
    {
        std::vector<std::string> live{"router-0", "router-1"};
        if (!isActive(Fault::AggregatorLost))
            live.emplace_back("router-2");
        return rendezvousOwner(key.customer.text(), live);
    }

    bool isPartitioned(std::size_t left, std::size_t right) const
    {
        return isActive(Fault::Partition) && left != right && (left == 2 || right == 2);
    }

    void exchangeReports()
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            Router &from = *m_routers[i];
            from.charges.chargeElapsed(now());
            from.tracker.capCatchUp(now());
            const ReportOrigin origin{RouterId("router-" + std::to_string(i)), from.incarnation};
            ++from.sequence;
            const auto isLocal = [&](const ServiceKey &key) { return ownerOf(key) == i; };
            for (const LocalServiceCounter &own :
                 from.planner.plan(from.tracker.localCounters(), isLocal, now())) {
                const std::size_t owner = ownerOf(own.key);
                if (isPartitioned(i, owner))
                    continue;
                ServiceAggregator &aggregator = m_routers[owner]->aggregator;
                aggregator.applyReport(origin, from.sequence, own, now());
                const auto total = aggregator.totalFor(own.key, origin, now());
                if (!total)
                    continue;
                const auto last = from.lastOwner.find(own.key);
                const bool changed = last == from.lastOwner.end() || last->second != owner;
                from.lastOwner[own.key] = owner;
                from.tracker.applyRemote(own.key, *total, changed, now());
            }
        }
        for (const auto &router : m_routers)
            router->aggregator.expire(now());
    }

    void recordDifferences()
    {
        for (std::size_t i = 0; i < loads.size(); ++i) {
            for (std::size_t j = i + 1; j < loads.size(); ++j) {
                const double difference = m_service[i] - m_service[j];
                const auto [range, isNew]
                        = m_ranges.try_emplace({i, j}, std::pair(difference, difference));
                range->second.first = std::min(range->second.first, difference);
                range->second.second = std::max(range->second.second, difference);
            }
        }
    }

    void step(bool measured)
    {
        finishCompleted();
        if (m_fault.kind == Fault::RouterRestarted && m_ms == m_fault.fromMs) {
            m_routers[0] = std::make_unique<Router>(++m_lastIncarnation, m_settings);
            fill();
        }
        startNext();
        if (m_ms % reportPeriodMs == 0)
            exchangeReports();
        if (measured)
            recordDifferences();
    }

    Fault m_fault;
    double m_hintFactor;
    VirtualTimeSettings m_settings;
    std::mt19937 m_random{7};
    Incarnation m_lastIncarnation = 0;
    int m_ms = 0;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::map<AttemptId, Running> m_running;
    std::map<std::size_t, double> m_service;
    std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>> m_ranges;
    RequestId m_lastRequest = 0;
    AttemptId m_lastAttempt = 0;
};

} // namespace

SCENARIO("the difference in normalised service between backlogged customers stays bounded")
{
    struct Case
    {
        const char *name;
        Fault fault;
        double hintFactor;
        int measureFromMs;
    };
    // The most expensive request costs 2000 normalised ms at the smallest share.
    constexpr double bound = 2.0 * maxCostMs;
    const Case cases[] = {
            {"customers on different routers, shares 1:10", {}, 1.0, 3000},
            {"hints wrong by a factor of ten in both directions", {}, 10.0, 3000},
            {"aggregator lost", {Fault::AggregatorLost, 8000, 30000}, 1.0, 3000},
            {"aggregator lost and recovered", {Fault::AggregatorLost, 8000, 12000}, 1.0, 3000},
            {"router restarted with empty state", {Fault::RouterRestarted, 8000, 0}, 1.0, 12000},
            {"after a partition of 3 s", {Fault::Partition, 5000, 8000}, 1.0, 14000},
    };
    for (const Case &example : cases) {
        GIVEN(example.name)
        {
            Simulation simulation(example.fault, example.hintFactor, true);
            const double maxServiceDifference
                    = simulation.maxServiceDifference(20000, example.measureFromMs);
            INFO(maxServiceDifference);
            THEN("it is at most twice the cost of the most expensive request")
            {
                CHECK(maxServiceDifference <= bound);
            }
        }
    }
    GIVEN("no exchange between the routers")
    {
        Simulation simulation({}, 1.0, false);
        THEN("the difference exceeds the bound, so the bound above is not met by chance")
        {
            CHECK(simulation.maxServiceDifference(20000, 3000) > 2.0 * bound);
        }
    }
}
