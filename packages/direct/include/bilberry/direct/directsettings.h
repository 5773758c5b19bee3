#ifndef BILBERRY_DIRECT_DIRECTSETTINGS_H
#define BILBERRY_DIRECT_DIRECTSETTINGS_H

#include "bilberry/base/processlimits.h"
#include "bilberry/base/settings.h"
#include "bilberry/decision/crashsuspicion.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/decision/windowedretrybudget.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <string>

namespace bilberry::direct {

/// IP address and port to listen on or to connect to.
struct Endpoint
{
    std::string address; ///< numeric IP address
    std::uint16_t port = 0;
    bool operator==(const Endpoint &) const = default;
};

/// Settings of a DirectRouter.
struct DirectSettings
{
    RouterId router;
    ZoneId zone;
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    std::string readinessPath; ///< requested by the load balancer
    Endpoint metricsEndpoint;
    Endpoint peerEndpoint; ///< UDP, receives reports of other routers
    Endpoint storeEndpoint;
    /// Time since the plan was last confirmed as the newest, from which on requests with an API key
    /// are refused. Less than the time within which a withdrawn key must be refused.
    Duration maxPlanStaleness = std::chrono::milliseconds(3500);
    /// Time since the plan was last confirmed, from which on another confirmation is asked of the
    /// store, or of a router that asks the store.
    Duration planRefreshAge = std::chrono::milliseconds(1000);
    /// The time from which on every router asks the store itself.
    Duration planFallbackAge = std::chrono::milliseconds(1800);
    Duration shutdownTimeout = std::chrono::milliseconds(7300); ///< limit of a graceful shutdown
    /// Time that the load balancer needs to take a router out of rotation that is not ready.
    Duration balancerLag = std::chrono::milliseconds(2500);
    Duration connectTimeout = std::chrono::milliseconds(250); ///< for a connection to a server
    /// Window in which the use of each customer is measured.
    Duration fairnessWindow = std::chrono::seconds(4);
    std::size_t maxCallerConnections = 3000;
    ProcessLimits limits;
    decision::WindowedRetryBudgetSettings retryBudget;
    decision::ServerSelectorSettings serverSelector;
    decision::CrashSuspicionSettings crashSuspicion;
    bool operator==(const DirectSettings &) const = default;
};

/// Reads the settings.
/// @param reader collects the faults
/// @param vm size of the VM where the file doesn't tell it
/// @return the settings, usable when the reader has no faults
DirectSettings readDirectSettings(SettingsReader &reader, const VmSize &vm = {});

} // namespace bilberry::direct

#endif
