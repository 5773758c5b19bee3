#ifndef BILBERRY_BENCHMARK_MEASURES_H
#define BILBERRY_BENCHMARK_MEASURES_H

#include "load.h"

#include <string>
#include <vector>

namespace bilberry::benchmark {

/// What a saturating load showed.
struct FairnessMeasures
{
    /// Largest difference of service divided by share between two customers over any time in
    /// which both had work waiting, milliseconds.
    double gapMs = 0.0;
    double gapInLargest = 0.0; ///< the same in charges of the largest request
    std::string gapBetween;
    double utilisation = 0.0;            ///< of the model slots while work waited, 0 to 1
    std::vector<double> servicePerShare; ///< milliseconds, by customer
};

/// What callers saw while a zone left and returned.
struct ServiceMeasures
{
    std::size_t calls = 0;
    std::size_t failedRepeatable = 0;
    double inTime = 0.0; ///< fraction answered within the objective
    double p95FirstByteMs = 0.0;
};

/// One run of a request on a server.
struct Run
{
    std::size_t customer = 0;
    TimePoint startedAt{};
    double ms = 0.0;
};

/// @return the runs on the model servers
std::vector<Run> modelRuns(tests::Fleet &fleet);

FairnessMeasures measureFairness(const Deployment &deployment, const std::vector<Run> &runs,
                                 const std::vector<CallRecord> &calls, TimePoint from,
                                 TimePoint until);

ServiceMeasures measureService(const std::vector<CallRecord> &calls);

} // namespace bilberry::benchmark

#endif
