#ifndef BILBERRY_CROWD_CROWDCHECK_H
#define BILBERRY_CROWD_CROWDCHECK_H

#include "crowdforms.h"

#include "support/process.h"
#include "support/resourcewatch.h"

#include <functional>
#include <string>
#include <vector>

namespace bilberry::crowd {

/// A process that a crowd may harm.
struct WatchedProcess
{
    std::string name;
    tests::Process &process;
    tests::WatchedPorts ports;
};

/// Lets a crowd come, watches the processes while it is there, and checks with Catch2 that they
/// live, that their memory and descriptors stay below the bounds, that an ordinary request is
/// answered while the crowd's connections are still open, and that the memory is free again after
/// they have ended.
/// @param processes all that may be harmed
/// @param port the crowd connects to
/// @param callers the crowd
/// @param isServed sends an ordinary request; returns whether it was answered
/// @param connectionsPerCaller number of connections that each of them opens one after another
void checkCrowd(const std::vector<WatchedProcess> &processes, std::uint16_t port,
                std::vector<tests::CrowdCaller> callers, const std::function<bool()> &isServed,
                int connectionsPerCaller = 3);

/// As checkCrowd(), for many datagrams in place of connections.
/// @param datagram returns the datagram with a number
void checkDatagrams(const std::vector<WatchedProcess> &processes, std::uint16_t port,
                    const std::function<std::string(std::size_t)> &datagram,
                    const std::function<bool()> &isServed);

} // namespace bilberry::crowd

#endif
