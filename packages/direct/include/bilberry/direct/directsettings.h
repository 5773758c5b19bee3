#ifndef BILBERRY_DIRECT_DIRECTSETTINGS_H
#define BILBERRY_DIRECT_DIRECTSETTINGS_H

#include "bilberry/base/settings.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/decision/windowedretrybudget.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <string>

namespace bilberry::direct {

struct Endpoint
{
    std::string address; ///< IP number
    std::uint16_t port = 0;
    bool operator==(const Endpoint &) const = default;
};

/// Settings of a router that reaches its servers directly.
struct DirectSettings
{
    RouterId router;
    ZoneId zone;
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    std::string readinessPath; ///< the balancer asks it
    Endpoint metricsEndpoint;
    Endpoint peerEndpoint; ///< UDP, for reports of other routers
    Endpoint storeEndpoint;
    /// Age of the newest proof of the plan at which keyed requests are refused.
    Duration maxPlanStaleness = std::chrono::milliseconds(3500);
    /// Of a watch call for the plan and the servers; twice it for the zones that are out. A silent
    /// connection is noticed so much later, and what it hid is bound to seconds.
    Duration watchTimeout = std::chrono::milliseconds(1800);
    Duration shutdownTimeout = std::chrono::milliseconds(7300); ///< of a graceful shutdown
    /// Time in which the balancer takes a router out that is not ready.
    Duration balancerLag = std::chrono::milliseconds(2500);
    Duration connectTimeout = std::chrono::milliseconds(250); ///< to open a server connection
    Duration fairnessWindow = std::chrono::seconds(4);
    std::size_t maxCallerConnections = 3000; ///< of callers
    decision::WindowedRetryBudgetSettings retryBudget;
    decision::ServerSelectorSettings fleet;
    bool operator==(const DirectSettings &) const = default;
};

/// Reads the settings; faults stay in the reader.
DirectSettings readDirectSettings(SettingsReader &reader);

} // namespace bilberry::direct

#endif
