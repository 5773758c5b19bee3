#ifndef BILBERRY_DECISION_COSTESTIMATOR_H
#define BILBERRY_DECISION_COSTESTIMATOR_H

#include "bilberry/decision/virtualtimetracker.h"
#include "bilberry/model/backendpool.h"

#include <functional>
#include <optional>

namespace bilberry::decision {

/// Resources that a finished request used on its server.
struct RequestUsage
{
    Duration slotTime{};      ///< time during which it occupied a slot
    std::uint64_t events = 0; ///< number of streamed parts of the answer
    bool operator==(const RequestUsage &) const = default;
};

/// Converts usage to milliseconds of capacity.
using CostFunction = std::function<double(const RequestUsage &)>;

/// @return the function for the pool's cost unit
CostFunction makeCostFunction(const BackendPool &pool);

/// Estimates the cost of a customer's requests in a pool by an exponential moving average.
class CostEstimator
{
public:
    /// @param hint the caller's own estimate, milliseconds; adjusts the average within narrow
    ///        limits
    /// @return expected cost of the next request, milliseconds of capacity
    double estimate(const ServiceKey &key, std::optional<double> hint) const;

    /// Updates the average.
    /// @param cost true cost of a finished request, milliseconds of capacity
    void addSample(const ServiceKey &key, double cost);

private:
    std::map<ServiceKey, double> m_means;
};

} // namespace bilberry::decision

#endif
