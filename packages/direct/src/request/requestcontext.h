#ifndef BILBERRY_DIRECT_REQUESTCONTEXT_H
#define BILBERRY_DIRECT_REQUESTCONTEXT_H

#include "crashes/crashguard.h"
#include "request/refusal.h"
#include "server/serverconnections.h"

#include "bilberry/base/log.h"
#include "bilberry/base/memoryaccount.h"
#include "bilberry/decision/customerusagemeter.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/decision/windowedretrybudget.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/direct/headernames.h"

#include <functional>
#include <map>
#include <optional>
#include <random>

namespace bilberry::direct {

/// Numbers of requests since the start of the router.
struct RequestCounters
{
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0; ///< further attempts after a failed one
    std::uint64_t resumed = 0; ///< streams continued by another attempt
    std::uint64_t callerDisconnects = 0;
    std::uint64_t truncated = 0; ///< responses cut off after their header was sent
    std::map<RefusalReason, std::uint64_t> refused;
};

/// State that all requests of a router share.
struct RequestContext
{
    boost::asio::io_context &io;
    const DirectSettings &settings;
    const HeaderNames &headerNames;
    std::shared_ptr<MemoryAccount> memory;
    ServerConnections &connections;
    decision::ServerSelector &serverSelector;
    decision::CustomerUsageMeter &usageMeter;
    decision::CrashSuspicion &crashSuspicion;
    CrashDetector &crashDetector;
    std::map<PoolId, decision::WindowedRetryBudget> &retryBudgets;
    RequestCounters &counters;
    Log &log;
    std::mt19937_64 &random;
    std::function<TrafficPlanPtr()> currentPlan;
    std::function<bool()> planIsFresh; ///< false: the plan may still contain withdrawn keys
    /// @return when all requests must have ended, once a shutdown has come so far that a request
    ///         received now may not end in time by itself
    std::function<std::optional<TimePoint>()> stopsAt;
    std::function<void(const PoolId &, Duration)> recordFirstByteLatency;
    /// @return true while a refused caller should return on another connection
    std::function<bool()> shouldCloseAfterRefusal;
};

} // namespace bilberry::direct

#endif
