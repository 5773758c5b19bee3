#ifndef BILBERRY_BENCHMARK_DEPLOYMENT_H
#define BILBERRY_BENCHMARK_DEPLOYMENT_H

#include "support/fleet.h"

#include <string>
#include <vector>

namespace bilberry::benchmark {

/// Load of one customer on the model pool.
struct CustomerLoad
{
    std::string name;
    double share = 1.0;
    std::vector<std::size_t> routers; ///< indices of the routers that its callers use
    std::size_t callersPerRouter = 0; ///< closed-loop callers; 0: open-loop load
    double meanCostMs = 100.0;        ///< mean cost of a request
    double largestCostFraction = 0.0; ///< fraction of requests with the deployment's largest cost
    double burstSeconds = 0.0;        ///< length of alternating pauses and bursts; 0: constant load
};

/// A fleet and its customers.
struct Deployment
{
    std::string name;
    std::string appPool; ///< pool of the services without a model
    std::vector<std::string> zones;
    tests::FleetPlan plan;
    std::vector<CustomerLoad> customers;
    std::size_t modelServers = 0;
    double largestCostMs = 2000.0; ///< cost of the largest request
    bool streamed = true; ///< model servers stream their answers; false: sent whole at the end

    std::size_t modelSlots() const { return modelServers * slotsPerServer; }

    static constexpr std::size_t slotsPerServer = 8;
};

/// @param name `ovsena` or `krathin`
/// @param mode setting fairness.mode of the routers
Deployment makeDeployment(const std::string &name, const std::string &mode);

/// @return the API key of a customer
std::string apiKey(const std::string &customer);

} // namespace bilberry::benchmark

#endif
