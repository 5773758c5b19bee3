#ifndef BILBERRY_TOOLS_DEMOMEASURE_H
#define BILBERRY_TOOLS_DEMOMEASURE_H

#include "support/fleet.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry::tools {

/// Milliseconds of service by customer.
using Service = std::map<std::string, double>;

/// @return service in one pool, summed over all routers since their start
Service readService(const tests::Fleet &fleet, const std::string &pool);

/// @return service that each customer received between two readings
Service serviceDifference(const Service &before, const Service &after);

/// @param shares by customer
/// @return largest difference between two customers' service divided by share, in milliseconds
double fairnessGap(const Service &service, const std::map<std::string, double> &shares);

/// Reading of the busy time of some servers' slots, summed over the slots.
struct BusySlots
{
    TimePoint at{}; ///< time of the reading
    double busyMs = 0.0;
};

/// @param servers names of the servers to count
BusySlots readBusySlots(tests::Fleet &fleet, const std::vector<std::string> &servers);

/// @param slots number of slots of the counted servers together
/// @return share of the slots that was busy between two readings, 0 to 1
double utilisation(const BusySlots &before, const BusySlots &after, std::size_t slots);

/// @return control bytes that each process sent since its start
std::map<std::string, double> readControlBytes(const tests::Fleet &fleet);

} // namespace bilberry::tools

#endif
