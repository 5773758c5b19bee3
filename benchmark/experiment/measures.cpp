#include "measures.h"

#include <algorithm>
#include <cmath>

namespace bilberry::benchmark {

namespace {

constexpr Duration samplePeriod = std::chrono::milliseconds(20);
constexpr double firstByteObjectiveMs = 1800.0;

/// State of one customer at each sample.
struct Series
{
    std::vector<double> serviceMs; ///< service used so far
    std::vector<int> running;      ///< requests on servers
    std::vector<int> outstanding;  ///< requests sent and not answered

    explicit Series(std::size_t samples)
        : serviceMs(samples), running(samples), outstanding(samples)
    {
    }
    bool hasWaiting(std::size_t sample) const { return outstanding[sample] > running[sample]; }
};

/// Calls a function with the index of each sample between two points in time.
/// @param from time of the first sample
/// @param samples number of samples
template <typename Function>
void forEachSample(TimePoint start, TimePoint end, TimePoint from, std::size_t samples,
                   const Function &function)
{
    const auto first = std::max<std::int64_t>(0, (start - from) / samplePeriod + 1);
    const auto last = std::min<std::int64_t>(static_cast<std::int64_t>(samples) - 1,
                                             (end - from) / samplePeriod);
    for (std::int64_t i = start <= from ? 0 : first; i <= last; ++i)
        function(static_cast<std::size_t>(i));
}

std::vector<Series> makeSeries(std::size_t customers, const std::vector<Execution> &executions,
                               const std::vector<CallRecord> &calls, TimePoint from,
                               std::size_t samples)
{
    std::vector<Series> series(customers, Series(samples));
    const TimePoint until = from + samplePeriod * static_cast<std::int64_t>(samples);
    for (const Execution &execution : executions) {
        Series &customer = series[execution.customer];
        const TimePoint end = execution.startedAt + fromMilliseconds(execution.durationMs);
        forEachSample(execution.startedAt, end, from, samples,
                      [&](std::size_t i) { ++customer.running[i]; });
        forEachSample(execution.startedAt, until, from, samples, [&](std::size_t i) {
            const TimePoint sampleAt = from + samplePeriod * static_cast<std::int64_t>(i);
            customer.serviceMs[i] += std::clamp(toMilliseconds(sampleAt - execution.startedAt), 0.0,
                                                execution.durationMs);
        });
    }
    for (const CallRecord &call : calls) {
        if (!call.repeatable)
            continue;
        forEachSample(call.sentAt, call.endedAt, from, samples,
                      [&](std::size_t i) { ++series[call.customer].outstanding[i]; });
    }
    return series;
}

/// @return the largest change of the difference of service per share within a period in which both
///         customers have requests waiting, milliseconds
double pairGap(const Series &left, const Series &right, double leftShare, double rightShare)
{
    double gap = 0.0;
    bool bothWaited = false;
    double lowest = 0.0;
    double highest = 0.0;
    for (std::size_t i = 0; i < left.serviceMs.size(); ++i) {
        const double difference = left.serviceMs[i] / leftShare - right.serviceMs[i] / rightShare;
        const bool bothWait = left.hasWaiting(i) && right.hasWaiting(i);
        lowest = bothWait && bothWaited ? std::min(lowest, difference) : difference;
        highest = bothWait && bothWaited ? std::max(highest, difference) : difference;
        bothWaited = bothWait;
        gap = std::max(gap, highest - lowest);
    }
    return gap;
}

double utilisation(const std::vector<Series> &series, std::size_t slots, std::size_t samples)
{
    double busySlotSamples = 0.0;
    double availableSlotSamples = 0.0;
    for (std::size_t i = 0; i < samples; ++i) {
        int running = 0;
        bool anyWaiting = false;
        for (const Series &customer : series) {
            running += customer.running[i];
            anyWaiting = anyWaiting || customer.hasWaiting(i);
        }
        if (!anyWaiting)
            continue;
        busySlotSamples += running;
        availableSlotSamples += static_cast<double>(slots);
    }
    return availableSlotSamples > 0.0 ? busySlotSamples / availableSlotSamples : 1.0;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

} // namespace

std::vector<Execution> modelExecutions(tests::Fleet &fleet)
{
    std::vector<Execution> executions;
    for (const tests::ServerPlan &server : fleet.plan().servers) {
        if (server.pool != "models")
            continue;
        for (const tests::JournalEntry &entry : fleet.backend(server.name).journal()) {
            const std::size_t colon = entry.tag.find(':');
            if (colon != std::string::npos)
                executions.push_back({std::stoul(entry.tag.substr(0, colon)), entry.startedAt,
                                      std::stod(entry.tag.substr(colon + 1))});
        }
    }
    return executions;
}

FairnessMeasures measureFairness(const Deployment &deployment,
                                 const std::vector<Execution> &executions,
                                 const std::vector<CallRecord> &calls, TimePoint from,
                                 TimePoint until)
{
    const auto samples = static_cast<std::size_t>((until - from) / samplePeriod);
    const auto &customers = deployment.customers;
    const std::vector<Series> series
            = makeSeries(customers.size(), executions, calls, from, samples);
    FairnessMeasures measures;
    double smallestShare = customers.front().share;
    for (std::size_t i = 0; i < customers.size(); ++i) {
        smallestShare = std::min(smallestShare, customers[i].share);
        measures.servicePerShare.push_back(
                (series[i].serviceMs.back() - series[i].serviceMs.front()) / customers[i].share);
        for (std::size_t j = i + 1; j < customers.size(); ++j) {
            const double gap
                    = pairGap(series[i], series[j], customers[i].share, customers[j].share);
            if (gap <= measures.gapMs)
                continue;
            measures.gapMs = gap;
            measures.gapBetween = customers[i].name + " and " + customers[j].name;
        }
    }
    measures.gapInLargestCharges = measures.gapMs / (deployment.largestCostMs / smallestShare);
    measures.utilisation = utilisation(series, deployment.modelSlots(), samples);
    return measures;
}

CallMeasures measureCalls(const std::vector<CallRecord> &calls)
{
    CallMeasures measures;
    std::vector<double> firstBytes;
    std::size_t inTime = 0;
    for (const CallRecord &call : calls) {
        if (!call.repeatable)
            continue;
        ++measures.calls;
        const double firstByteMs = toMilliseconds(call.firstByteAt - call.sentAt);
        firstBytes.push_back(firstByteMs);
        if (call.status != 200)
            ++measures.failedRepeatable;
        else if (firstByteMs <= firstByteObjectiveMs)
            ++inTime;
    }
    if (measures.calls > 0)
        measures.inTimeFraction = static_cast<double>(inTime) / static_cast<double>(measures.calls);
    measures.p95FirstByteMs = percentile(std::move(firstBytes), 0.95);
    return measures;
}

} // namespace bilberry::benchmark
