#ifndef BILBERRY_ROUTER_ROUTERSETTINGS_H
#define BILBERRY_ROUTER_ROUTERSETTINGS_H

#include "bilberry/base/processlimits.h"
#include "bilberry/base/settings.h"
#include "bilberry/decision/configurationfreshness.h"
#include "bilberry/decision/fairqueue.h"
#include "bilberry/decision/reportplanner.h"
#include "bilberry/store/httpobjectstore.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry::router {

/// How a router shares capacity between customers.
enum class FairnessMode {
    Fleet, ///< by service counted over all routers
    Local, ///< by service of this router only (a baseline for measurements)
    Fifo,  ///< by arrival (a baseline for measurements)
};

/// Limits on connections and requests of callers.
struct CallerLimits
{
    std::size_t headBytes = 16U << 10U;
    std::size_t bodyBytes = 1U << 20U;
    std::size_t connections = 20000;
    Duration headTimeout = std::chrono::seconds(10);  ///< for reading the whole head
    Duration bodyTimeout = std::chrono::seconds(30);  ///< from the head to the whole body
    Duration idleTimeout = std::chrono::seconds(120); ///< between two requests of a connection
    bool operator==(const CallerLimits &) const = default;
};

/// Settings of one router process.
struct RouterSettings
{
    RouterId router;
    ZoneId zone;
    std::string listenAddress;    ///< IP address for callers, routers and operators
    std::uint16_t callerPort = 0; ///< HTTP port for callers
    std::uint16_t gossipPort = 0; ///< UDP port for routers
    std::uint16_t adminPort = 0;  ///< HTTP port for operators
    store::PlatformSettings platform;
    std::vector<store::Vm> peers;  ///< used before the platform's list is read
    std::vector<store::Vm> agents; ///< used before the platform's list is read
    CallerLimits callers;
    FairnessMode fairness = FairnessMode::Fleet;
    std::size_t queueLimit = 10000; ///< queued requests of all customers of a pool
    Duration queueTimeout = std::chrono::seconds(30); ///< longest time in the queue
    Duration drainTimeout = std::chrono::minutes(10); ///< longest graceful shutdown
    Duration vmListPeriod = std::chrono::seconds(2);  ///< between two reads of the VM list
    std::size_t ringCapacity = 65536;      ///< maximum items in an event queue between two threads
    std::size_t configurationWatchers = 3; ///< routers that watch the configuration at the platform
    /// Largest lag of a waiting customer behind the most served waiting one, normalised
    /// milliseconds.
    double catchUpCapMs = 60000.0;
    decision::ReportSettings reports;
    decision::FreshnessSettings freshness;
    ProcessLimits limits;
    bool operator==(const RouterSettings &) const = default;
};

/// Reads the settings; faults are recorded in the reader.
/// @param vm size of the VM where the file doesn't tell it
RouterSettings readRouterSettings(SettingsReader &reader, const VmSize &vm = {});

} // namespace bilberry::router

#endif
