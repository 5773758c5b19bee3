#ifndef BILBERRY_BENCHMARK_DEPLOYMENT_H
#define BILBERRY_BENCHMARK_DEPLOYMENT_H

#include "support/fleet.h"

#include <string>
#include <vector>

namespace bilberry::benchmark {

/// How one customer loads the model pool.
struct CustomerLoad
{
    std::string name;
    double share = 1.0;
    std::vector<std::size_t> routers; ///< that its callers use
    std::size_t callersPerRouter = 0; ///< each sends its next request at once; 0: open load
    double meanMs = 100.0;            ///< of a request's cost
    double largeFraction = 0.0;       ///< of requests that cost the deployment's largest
    double burstSeconds = 0.0;        ///< pauses and loads in turn for so long; 0: always
};

/// One fleet and its load.
struct Deployment
{
    std::string name;
    std::string appPool; ///< pool of the plain services
    std::vector<std::string> zones;
    tests::FleetPlan plan;
    std::vector<CustomerLoad> customers;
    std::size_t modelServers = 0;
    double largestMs = 2000.0; ///< cost of the largest request
    bool streamed = true;      ///< answers of the model servers begin at once

    std::size_t modelSlots() const { return modelServers * slotsPerServer; }

    static constexpr std::size_t slotsPerServer = 8;
};

/// @param name ovsena or krathin
/// @param mode fairness.mode of the routers
Deployment makeDeployment(const std::string &name, const std::string &mode);

/// @return the key of a customer
std::string keyOf(const std::string &customer);

} // namespace bilberry::benchmark

#endif
