// Measures what one decision, one report and one account cost, each at two sizes, and prints the
// slopes that docs/CAPACITY.md works with.

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
constexpr Duration measuringTime = std::chrono::milliseconds(300);

CustomerId customer(std::size_t index)
{
    return CustomerId("customer-" + std::to_string(index));
}

/// @return microseconds of one call
double microseconds(const std::function<void()> &call)
{
    const TimePoint start = Clock::now();
    std::size_t calls = 0;
    while (Clock::now() - start < measuringTime) {
        call();
        ++calls;
    }
    return 1000.0 * toMilliseconds(Clock::now() - start) / static_cast<double>(calls);
}

/// @return bytes that the heap has handed out
double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

VirtualTimeTracker makeLedger(std::size_t customers, std::size_t backlogged)
{
    VirtualTimeTracker ledger({});
    for (std::size_t i = 0; i < customers; ++i) {
        const ServiceKey key{pool, customer(i)};
        ledger.charge(key, static_cast<double>(i % 97), 1.0);
        ledger.applyRemote(key, {100.0, 10.0, 0.0}, false, {});
        if (i < backlogged)
            ledger.setBacklogged(key, {});
    }
    return ledger;
}

/// A pop with its push and the demand that a dispatch carries.
double oneDecision(std::size_t customers, std::size_t backlogged)
{
    VirtualTimeTracker ledger = makeLedger(customers, backlogged);
    FairQueue queue(QueueOrder::Fair, 1000000);
    RequestId id = 0;
    for (std::size_t i = 0; i < backlogged; ++i)
        queue.push(++id, customer(i), 100);
    const TimePoint now{};
    const PriorityLookup standing = [&](const CustomerId &of) {
        return CustomerPriority{ledger.virtualTime({pool, of}, now), 1.0};
    };
    return microseconds([&] {
        const QueuedRequest next = *queue.pop(standing);
        ledger.charge({pool, next.customer}, 100.0, 1.0);
        queue.push(++id, next.customer, 100);
        constexpr std::size_t demandDepth = 4;
        queue.nextVirtualTimes(standing, demandDepth);
    });
}

/// Planning of reports, once a period of 20 ms.
double planning(std::size_t customers, std::size_t backlogged)
{
    VirtualTimeTracker ledger = makeLedger(customers, backlogged);
    ReportPlanner planner({});
    TimePoint now = Clock::now();
    const LocalAggregationPredicate local = [](const ServiceKey &) { return false; };
    return microseconds([&] {
        now += std::chrono::milliseconds(100);
        planner.plan(ledger.localCounters(), local, now);
    });
}

double ledgerBytes(std::size_t customers)
{
    const double before = heapBytes();
    const VirtualTimeTracker ledger = makeLedger(customers, 0);
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

wire::GossipMessage makeReport(std::size_t counters)
{
    wire::ServiceReport report;
    report.sender = {RouterId("router-0"), 1, ZoneId("a")};
    for (std::size_t i = 0; i < counters; ++i)
        report.counters.push_back({customer(i), pool, 1.0, 0.0, true});
    return report;
}

wire::GossipMessage makeAnswer(std::size_t counters)
{
    wire::ServiceTotals totals;
    totals.sender = {RouterId("router-0"), 1, ZoneId("a")};
    for (std::size_t i = 0; i < counters; ++i)
        totals.totals.push_back({customer(i), pool, 1.0, 0.0, 0.0});
    return totals;
}

double codec(std::size_t counters)
{
    const wire::GossipMessage report = makeReport(counters);
    return microseconds([&] {
        if (!wire::decodeDatagram(wire::encodeDatagram(report)))
            std::abort();
    });
}

double bytes(const wire::GossipMessage &message)
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
    print("decision, by backlogged of 780 and 7,800", "us", 78, oneDecision(780, 78), 780,
          oneDecision(7800, 780));
    print("planning of reports, by customers", "us", 780, planning(780, 78), 7800,
          planning(7800, 780));
    print("ledger, by customers", "bytes", 780, ledgerBytes(780), 7800, ledgerBytes(7800));
    print("aggregator of one customer, by routers", "bytes", 33, aggregatorBytes(33), 330,
          aggregatorBytes(330));
    print("report, by counters", "bytes", 1, bytes(makeReport(1)), 20, bytes(makeReport(20)));
    print("answer to a report, by counters", "bytes", 1, bytes(makeAnswer(1)), 20,
          bytes(makeAnswer(20)));
    print("encode and decode a report, by counters", "us", 1, codec(1), 20, codec(20));
    return 0;
}
