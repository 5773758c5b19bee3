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
Service serviceOf(const tests::Fleet &fleet, const std::string &pool);

/// @return what each customer received between two readings
Service between(const Service &before, const Service &after);

/// @param shares by customer
/// @return largest difference of service divided by share, in milliseconds
double gapOf(const Service &service, const std::map<std::string, double> &shares);

/// Time for which the slots of some servers were busy.
struct BusySlots
{
    TimePoint at{};
    double busyMs = 0.0;
};

/// @param servers names of the servers to count
BusySlots busyOf(tests::Fleet &fleet, const std::vector<std::string> &servers);

/// @param slots number of slots of the counted servers together
/// @return share of the slots that was busy between two readings, 0 to 1
double utilisation(const BusySlots &before, const BusySlots &after, std::size_t slots);

/// @return control bytes that each process sent since its start
std::map<std::string, double> controlBytes(const tests::Fleet &fleet);

} // namespace bilberry::tools

#endif
