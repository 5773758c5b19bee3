// Measures the time of one decision and one report and the memory of one customer's counters, each
// at two sizes, and prints the slopes that docs/CAPACITY.md uses.

#include "bilberry/decision/fairqueue.h"
#include "bilberry/decision/reportplanner.h"
#include "bilberry/decision/serviceaggregator.h"
#include "bilberry/wire/codec.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

const PoolId pool("models");
constexpr Duration measurementTime = std::chrono::milliseconds(300);

CustomerId customer(std::size_t index)
{
    return CustomerId("customer-" + std::to_string(index));
}

/// @return mean time of one call, microseconds
double microsecondsPerCall(const std::function<void()> &call)
{
    const TimePoint start = Clock::now();
    std::size_t calls = 0;
    while (Clock::now() - start < measurementTime) {
        call();
        ++calls;
    }
    return 1000.0 * toMilliseconds(Clock::now() - start) / static_cast<double>(calls);
}

/// @return bytes allocated from the heap
double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

VirtualTimeTracker makeTracker(std::size_t customers, std::size_t backlogged)
{
    VirtualTimeTracker tracker({});
    for (std::size_t i = 0; i < customers; ++i) {
        const ServiceKey key{pool, customer(i)};
        tracker.charge(key, static_cast<double>(i % 97), 1.0);
        tracker.applyRemote(key, {100.0, 10.0, 0.0}, false, {});
        if (i < backlogged)
            tracker.setBacklogged(key, {});
    }
    return tracker;
}

/// Time to pop and push a request and to compute the demand that a dispatch carries.
double decisionMicroseconds(std::size_t customers, std::size_t backlogged)
{
    VirtualTimeTracker tracker = makeTracker(customers, backlogged);
    FairQueue queue(QueueOrder::Fair, 1000000);
    RequestId id = 0;
    for (std::size_t i = 0; i < backlogged; ++i)
        queue.push(++id, customer(i), 100);
    const TimePoint now{};
    const PriorityLookup priorityOf = [&](const CustomerId &customerId) {
        return CustomerPriority{tracker.virtualTime({pool, customerId}, now), 1.0};
    };
    return microsecondsPerCall([&] {
        const QueuedRequest next = *queue.pop(priorityOf);
        tracker.charge({pool, next.customer}, 100.0, 1.0);
        queue.push(++id, next.customer, 100);
        constexpr std::size_t demandDepth = 4;
        queue.nextVirtualTimes(priorityOf, demandDepth);
    });
}

/// Time to plan the reports; a router does so every 20 ms.
double planningMicroseconds(std::size_t customers, std::size_t backlogged)
{
    VirtualTimeTracker tracker = makeTracker(customers, backlogged);
    ReportPlanner planner({});
    TimePoint now = Clock::now();
    const LocalAggregationPredicate isLocal = [](const ServiceKey &) { return false; };
    return microsecondsPerCall([&] {
        now += std::chrono::milliseconds(100);
        planner.plan(tracker.localCounters(), isLocal, now);
    });
}

double trackerBytes(std::size_t customers)
{
    const double before = heapBytes();
    const VirtualTimeTracker tracker = makeTracker(customers, 0);
    return heapBytes() - before;
}

double aggregatorBytes(std::size_t routers)
{
    const double before = heapBytes();
    ServiceAggregator aggregator({});
    for (std::size_t i = 0; i < routers; ++i)
        aggregator.applyReport({RouterId("router-" + std::to_string(i)), 1}, 1,
                               {{pool, customer(0)}, 1.0, 0.0, true}, {});
    return heapBytes() - before;
}

wire::GossipMessage makeServiceReport(std::size_t counters)
{
    wire::ServiceReport report;
    report.sender = {RouterId("router-0"), 1, ZoneId("a")};
    for (std::size_t i = 0; i < counters; ++i)
        report.counters.push_back({customer(i), pool, 1.0, 0.0, true});
    return report;
}

wire::GossipMessage makeServiceTotals(std::size_t counters)
{
    wire::ServiceTotals totals;
    totals.sender = {RouterId("router-0"), 1, ZoneId("a")};
    for (std::size_t i = 0; i < counters; ++i)
        totals.totals.push_back({customer(i), pool, 1.0, 0.0, 0.0});
    return totals;
}

double codecMicroseconds(std::size_t counters)
{
    const wire::GossipMessage report = makeServiceReport(counters);
    return microsecondsPerCall([&] {
        if (!wire::decodeDatagram(wire::encodeDatagram(report)))
            std::abort();
    });
}

double datagramBytes(const wire::GossipMessage &message)
{
    return static_cast<double>(wire::encodeDatagram(message).size());
}

void print(const char *title, const char *unit, double smallSize, double smallValue,
           double largeSize, double largeValue)
{
    std::printf("%-44s %10.2f at %5.0f %10.2f at %5.0f, slope %10.4f %s\n", title, smallValue,
                smallSize, largeValue, largeSize,
                (largeValue - smallValue) / (largeSize - smallSize), unit);
}

} // namespace

int main()
{
    print("decision, by backlogged of 780 and 7,800", "us", 78, decisionMicroseconds(780, 78), 780,
          decisionMicroseconds(7800, 780));
    print("planning of reports, by customers", "us", 780, planningMicroseconds(780, 78), 7800,
          planningMicroseconds(7800, 780));
    print("ledger, by customers", "bytes", 780, trackerBytes(780), 7800, trackerBytes(7800));
    print("aggregator of one customer, by routers", "bytes", 33, aggregatorBytes(33), 330,
          aggregatorBytes(330));
    print("report, by counters", "bytes", 1, datagramBytes(makeServiceReport(1)), 20,
          datagramBytes(makeServiceReport(20)));
    print("answer to a report, by counters", "bytes", 1, datagramBytes(makeServiceTotals(1)), 20,
          datagramBytes(makeServiceTotals(20)));
    print("encode and decode a report, by counters", "us", 1, codecMicroseconds(1), 20,
          codecMicroseconds(20));
    return 0;
}
