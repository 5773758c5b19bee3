#include "measures.h"

#include <algorithm>
#include <cmath>

namespace bilberry::benchmark {

namespace {

constexpr Duration samplePeriod = std::chrono::milliseconds(20);
constexpr double objectiveMs = 1800.0;

/// State of one customer, or of the pool, at each sample.
struct Series
{
    std::vector<double> service; ///< milliseconds used so far
    std::vector<int> running;
    std::vector<int> outstanding; ///< sent and not answered

    explicit Series(std::size_t samples) : service(samples), running(samples), outstanding(samples)
    {
    }
    bool waits(std::size_t sample) const { return outstanding[sample] > running[sample]; }
};

/// Calls a function with each sample that lies in a span of time.
template <typename Function>
void eachSample(TimePoint start, TimePoint end, TimePoint from, std::size_t samples,
                const Function &function)
{
    const auto first = std::max<std::int64_t>(0, (start - from) / samplePeriod + 1);
    const auto last = std::min<std::int64_t>(static_cast<std::int64_t>(samples) - 1,
                                             (end - from) / samplePeriod);
    for (std::int64_t i = start <= from ? 0 : first; i <= last; ++i)
        function(static_cast<std::size_t>(i));
}

std::vector<Series> makeSeries(std::size_t customers, const std::vector<Run> &runs,
                               const std::vector<CallRecord> &calls, TimePoint from,
                               std::size_t samples)
{
    std::vector<Series> series(customers, Series(samples));
    const TimePoint until = from + samplePeriod * static_cast<std::int64_t>(samples);
    for (const Run &run : runs) {
        Series &of = series[run.customer];
        const TimePoint end = run.startedAt + fromMilliseconds(run.ms);
        eachSample(run.startedAt, end, from, samples, [&](std::size_t i) { ++of.running[i]; });
        eachSample(run.startedAt, until, from, samples, [&](std::size_t i) {
            const TimePoint at = from + samplePeriod * static_cast<std::int64_t>(i);
            of.service[i] += std::clamp(toMilliseconds(at - run.startedAt), 0.0, run.ms);
        });
    }
    for (const CallRecord &call : calls) {
        if (!call.repeatable)
            continue;
        eachSample(call.sentAt, call.endedAt, from, samples,
                   [&](std::size_t i) { ++series[call.customer].outstanding[i]; });
    }
    return series;
}

/// @return the largest change of the difference while both wait
double pairGap(const Series &left, const Series &right, double leftShare, double rightShare)
{
    double gap = 0.0;
    bool both = false;
    double lowest = 0.0;
    double highest = 0.0;
    for (std::size_t i = 0; i < left.service.size(); ++i) {
        const double difference = left.service[i] / leftShare - right.service[i] / rightShare;
        const bool wait = left.waits(i) && right.waits(i);
        lowest = wait && both ? std::min(lowest, difference) : difference;
        highest = wait && both ? std::max(highest, difference) : difference;
        both = wait;
        gap = std::max(gap, highest - lowest);
    }
    return gap;
}

double utilisation(const std::vector<Series> &series, std::size_t slots, std::size_t samples)
{
    double busy = 0.0;
    double possible = 0.0;
    for (std::size_t i = 0; i < samples; ++i) {
        int running = 0;
        bool waits = false;
        for (const Series &of : series) {
            running += of.running[i];
            waits = waits || of.waits(i);
        }
        if (!waits)
            continue;
        busy += running;
        possible += static_cast<double>(slots);
    }
    return possible > 0.0 ? busy / possible : 1.0;
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

std::vector<Run> modelRuns(tests::Fleet &fleet)
{
    std::vector<Run> runs;
    for (const tests::ServerPlan &server : fleet.plan().servers) {
        if (server.pool != "models")
            continue;
        for (const tests::JournalEntry &entry : fleet.backend(server.name).journal()) {
            const std::size_t colon = entry.tag.find(':');
            if (colon != std::string::npos)
                runs.push_back({std::stoul(entry.tag.substr(0, colon)), entry.startedAt,
                                std::stod(entry.tag.substr(colon + 1))});
        }
    }
    return runs;
}

FairnessMeasures measureFairness(const Deployment &deployment, const std::vector<Run> &runs,
                                 const std::vector<CallRecord> &calls, TimePoint from,
                                 TimePoint until)
{
    const auto samples = static_cast<std::size_t>((until - from) / samplePeriod);
    const auto &customers = deployment.customers;
    const std::vector<Series> series = makeSeries(customers.size(), runs, calls, from, samples);
    FairnessMeasures measures;
    double smallestShare = customers.front().share;
    for (std::size_t i = 0; i < customers.size(); ++i) {
        smallestShare = std::min(smallestShare, customers[i].share);
        measures.servicePerShare.push_back((series[i].service.back() - series[i].service.front())
                                           / customers[i].share);
        for (std::size_t j = i + 1; j < customers.size(); ++j) {
            const double gap
                    = pairGap(series[i], series[j], customers[i].share, customers[j].share);
            if (gap <= measures.gapMs)
                continue;
            measures.gapMs = gap;
            measures.gapBetween = customers[i].name + " and " + customers[j].name;
        }
    }
    measures.gapInLargest = measures.gapMs / (deployment.largestMs / smallestShare);
    measures.utilisation = utilisation(series, deployment.modelSlots(), samples);
    return measures;
}

ServiceMeasures measureService(const std::vector<CallRecord> &calls)
{
    ServiceMeasures measures;
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
        else if (firstByteMs <= objectiveMs)
            ++inTime;
    }
    if (measures.calls > 0)
        measures.inTime = static_cast<double>(inTime) / static_cast<double>(measures.calls);
    measures.p95FirstByteMs = percentile(std::move(firstBytes), 0.95);
    return measures;
}

} // namespace bilberry::benchmark
