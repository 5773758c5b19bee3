#ifndef BILBERRY_BENCHMARK_MEASURES_H
#define BILBERRY_BENCHMARK_MEASURES_H

#include "load.h"

#include <string>
#include <vector>

namespace bilberry::benchmark {

/// Fairness and utilisation under a saturating load.
struct FairnessMeasures
{
    /// Largest difference of service divided by share between two customers over any period in
    /// which both had requests waiting, milliseconds.
    double gapMs = 0.0;
    double gapInLargestCharges = 0.0;    ///< gapMs divided by the charge of the largest request
    std::string gapBetween;              ///< names of the two customers with the largest gap
    double utilisation = 0.0;            ///< of the model slots while requests waited, 0 to 1
    std::vector<double> servicePerShare; ///< milliseconds, by customer
};

/// Results of the repeatable calls while a zone is taken out of service and returned.
struct CallMeasures
{
    std::size_t calls = 0;
    std::size_t failedRepeatable = 0;
    double inTimeFraction = 0.0; ///< fraction whose first byte came within the objective
    double p95FirstByteMs = 0.0;
};

/// One execution of a request on a server.
struct Execution
{
    std::size_t customer = 0;
    TimePoint startedAt{};
    double durationMs = 0.0;
};

/// @return the executions on the model servers
std::vector<Execution> modelExecutions(tests::Fleet &fleet);

FairnessMeasures measureFairness(const Deployment &deployment,
                                 const std::vector<Execution> &executions,
                                 const std::vector<CallRecord> &calls, TimePoint from,
                                 TimePoint until);

CallMeasures measureCalls(const std::vector<CallRecord> &calls);

} // namespace bilberry::benchmark

#endif
