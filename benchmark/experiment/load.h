#ifndef BILBERRY_BENCHMARK_LOAD_H
#define BILBERRY_BENCHMARK_LOAD_H

#include "deployment.h"

#include "bilberry/base/eventloopthread.h"

#include <memory>
#include <random>

namespace bilberry::benchmark {

/// One request as its caller saw it.
struct CallRecord
{
    std::size_t customer = 0;
    bool repeatable = true;
    TimePoint sentAt{};
    TimePoint firstByteAt{};
    TimePoint endedAt{};
    int status = 0; ///< 0: no whole answer
};

/// Which load is sent.
struct LoadPlan
{
    bool saturating = true;       ///< callers that send their next request at once
    double openPerSecond = 2.0;   ///< open load of each light customer
    double ordersPerSecond = 5.0; ///< requests that may not be repeated, in all
    double openMeanMs = 50.0;
};

/// Sends requests from one thread over many connections.
class LoadGenerator
{
public:
    LoadGenerator(const Deployment &deployment, std::vector<std::uint16_t> ports);
    ~LoadGenerator();

    /// Sends until a point in time and waits for the last answers.
    /// @return all calls
    std::vector<CallRecord> run(const LoadPlan &plan, TimePoint until,
                                const std::function<void()> &meanwhile);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bilberry::benchmark

#endif
