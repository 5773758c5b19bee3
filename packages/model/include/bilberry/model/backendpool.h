#ifndef BILBERRY_MODEL_BACKENDPOOL_H
#define BILBERRY_MODEL_BACKENDPOOL_H

#include "bilberry/model/ids.h"
#include "bilberry/model/modelerror.h"

#include <cstdint>
#include <vector>

namespace bilberry {

/// What a request's service is counted in.
enum class CostUnit {
    SlotTime, ///< milliseconds for which the request held a slot
    Tokens,   ///< streamed events, each weighed with tokenCost milliseconds
};

/// Promise of a pool towards its customers, the base of the burn report.
struct Objective
{
    double firstByteMilliseconds = 1800.0; ///< a request counts as good below this
    double goodFraction = 0.95;            ///< promised share of good requests, below 1
    bool operator==(const Objective &) const = default;
};

/// Interchangeable backend servers and the rules for loading them.
struct BackendPool
{
    PoolId id;
    std::vector<ZoneId> zones;       ///< zones that the pool's servers live in
    std::uint32_t coldLimit = 1;     ///< requests at once on a server in a cold start
    std::uint32_t fullLimit = 8;     ///< requests at once on a warm server
    std::uint32_t queueLimit = 1000; ///< waiting requests for one customer at one router
    CostUnit costUnit = CostUnit::SlotTime;
    double tokenCost = 1.0; ///< milliseconds for one streamed event
    Objective objective;
    bool operator==(const BackendPool &) const = default;
};

/// Checks one pool's own rules.
/// @param pool the pool
/// @param faults receives the broken rules
void check(const BackendPool &pool, ModelFaults &faults);

} // namespace bilberry

#endif
