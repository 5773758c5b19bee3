#ifndef BILBERRY_DECISION_COSTESTIMATOR_H
#define BILBERRY_DECISION_COSTESTIMATOR_H

#include "bilberry/decision/virtualtimetracker.h"
#include "bilberry/model/backendpool.h"

#include <functional>
#include <optional>

namespace bilberry::decision {

/// What a finished request used on its server.
struct RequestUsage
{
    Duration slotTime{};      ///< time for which it held a slot
    std::uint64_t events = 0; ///< streamed parts of the answer
    bool operator==(const RequestUsage &) const = default;
};

/// Turns usage into milliseconds of capacity.
using CostFunction = std::function<double(const RequestUsage &)>;

/// @return the hook for the pool's cost unit
CostFunction makeCostFunction(const BackendPool &pool);

/// Learns the mean cost of a customer's requests in a pool.
class CostEstimator
{
public:
    /// @param key customer and pool
    /// @param hint the caller's own estimate in milliseconds; nudges the result only slightly
    /// @return expected cost of the next request, milliseconds of capacity
    double estimate(const ServiceKey &key, std::optional<double> hint) const;

    /// @param cost true cost of a finished request, milliseconds of capacity
    void addSample(const ServiceKey &key, double cost);

private:
    std::map<ServiceKey, double> m_means;
};

} // namespace bilberry::decision

#endif
