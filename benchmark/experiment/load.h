#ifndef BILBERRY_BENCHMARK_LOAD_H
#define BILBERRY_BENCHMARK_LOAD_H

#include "deployment.h"

#include "bilberry/base/eventloopthread.h"

#include <memory>
#include <random>

namespace bilberry::benchmark {

/// One request as measured by its caller.
struct CallRecord
{
    std::size_t customer = 0;
    bool repeatable = true;
    TimePoint sentAt{};
    TimePoint firstByteAt{};
    TimePoint endedAt{};
    int status = 0; ///< HTTP status; 0: no complete answer
};

/// Kind and rate of the load.
struct LoadPlan
{
    bool saturating = true; ///< closed-loop callers send; false: all customers send open-loop
    double openRequestsPerSecond = 2.0; ///< of each open-loop customer at each router
    double ordersPerSecond = 5.0;       ///< non-repeatable requests, over all routers
    double openMeanCostMs = 50.0;
};

/// Sends requests from one thread over many connections.
class LoadGenerator
{
public:
    LoadGenerator(const Deployment &deployment, std::vector<std::uint16_t> ports);
    ~LoadGenerator();

    /// Sends until a point in time and waits for the last answers.
    /// @param meanwhile runs in the calling thread while requests are sent
    /// @return all calls
    std::vector<CallRecord> run(const LoadPlan &plan, TimePoint until,
                                const std::function<void()> &meanwhile);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bilberry::benchmark

#endif
