#ifndef BILBERRY_MODEL_BACKENDPOOL_H
#define BILBERRY_MODEL_BACKENDPOOL_H

#include "bilberry/model/ids.h"
#include "bilberry/model/modelerror.h"

#include <cstdint>
#include <vector>

namespace bilberry {

/// Unit in which the service of a request is measured.
enum class CostUnit {
    SlotTime, ///< milliseconds for which the request occupied a slot
    Tokens,   ///< streamed events, each counted as tokenCost milliseconds
};

/// Service level objective of a pool; the burn report measures against it.
struct Objective
{
    double firstByteMilliseconds = 1800.0; ///< a request is good below this
    double goodFraction = 0.95; ///< target fraction of good requests, above 0 and below 1
    bool operator==(const Objective &) const = default;
};

/// Interchangeable backend servers and their load limits.
struct BackendPool
{
    PoolId id;
    std::vector<ZoneId> zones;       ///< zones with servers of the pool
    std::uint32_t coldLimit = 1;     ///< concurrent requests on a server during its cold start
    std::uint32_t fullLimit = 8;     ///< concurrent requests on a warm server
    std::uint32_t queueLimit = 1000; ///< queued requests of one customer at one router
    CostUnit costUnit = CostUnit::SlotTime;
    double tokenCost = 1.0; ///< milliseconds per streamed event, above 0
    Objective objective;
    bool operator==(const BackendPool &) const = default;
};

/// Checks a pool by itself, without its references to zones.
/// @param faults violations are appended
void check(const BackendPool &pool, ModelFaults &faults);

} // namespace bilberry

#endif
