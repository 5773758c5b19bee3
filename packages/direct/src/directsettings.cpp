#include "bilberry/direct/directsettings.h"

#include <charconv>

namespace bilberry::direct {

namespace {

/// Time that a request may take from the check of its key to the server.
constexpr Duration withdrawalMargin = std::chrono::milliseconds(300);

Endpoint readEndpoint(SettingsReader &reader, const std::string &key)
{
    Endpoint endpoint;
    const std::string text = reader.text(key);
    const std::size_t colon = text.rfind(':');
    bool valid = colon != std::string::npos;
    if (valid) {
        endpoint.address = text.substr(0, colon);
        const char *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
        valid = parsed.ec == std::errc() && parsed.ptr == end && isIpAddress(endpoint.address);
    }
    if (!text.empty() && !valid)
        reader.addFault(SettingsErrc::NotAnAddress, key,
                        "IP address and port, such as 10.0.0.1:80");
    return endpoint;
}

Duration readMilliseconds(SettingsReader &reader, const std::string &key, std::int64_t min,
                          std::int64_t max, Duration defaultValue)
{
    const auto defaultMs = static_cast<std::int64_t>(toMilliseconds(defaultValue));
    return std::chrono::milliseconds(reader.integer(key, min, max, defaultMs));
}

void readFleetSettings(SettingsReader &reader, decision::ServerSelectorSettings &fleet)
{
    fleet.backlogLimit
            = readMilliseconds(reader, "placement.backlogLimitMs", 1, 60000, fleet.backlogLimit);
    fleet.standaloneBacklogLimit = readMilliseconds(reader, "placement.lonelyBacklogLimitMs", 1,
                                                    60000, fleet.standaloneBacklogLimit);
    fleet.minOveruseFactor
            = reader.number("placement.leastOveruseFactor", 0.0, 1.0, fleet.minOveruseFactor);
    fleet.zonePenalty
            = readMilliseconds(reader, "placement.zonePenaltyMs", 0, 1000, fleet.zonePenalty);
    fleet.recomputeWeight
            = reader.number("placement.againWeight", 0.0, 100.0, fleet.recomputeWeight);
    fleet.previouslyRefusedFactor
            = reader.number("placement.returningFactor", 0.1, 100.0, fleet.previouslyRefusedFactor);
    fleet.overuseSlope = reader.number("placement.overuseSlope", 0.0, 100.0, fleet.overuseSlope);
    fleet.prefillTokensPerMs
            = reader.number("placement.tokensPerMs", 0.1, 100000.0, fleet.prefillTokensPerMs);
    fleet.coldRequestsPerS
            = reader.number("placement.coldRequestsPerS", 0.01, 1000.0, fleet.coldRequestsPerS);
    fleet.unresponsiveTimeout = readMilliseconds(reader, "placement.silenceLimitMs", 10, 60000,
                                                 fleet.unresponsiveTimeout);
    fleet.maxConnectionShare
            = reader.number("placement.connectionShare", 0.001, 1.0, fleet.maxConnectionShare);
}

} // namespace

DirectSettings readDirectSettings(SettingsReader &reader, const VmSize &vm)
{
    DirectSettings settings;
    settings.router = RouterId(reader.identifier("name"));
    settings.zone = ZoneId(reader.identifier("zone"));
    settings.serverSelector.router = settings.router;
    settings.serverSelector.zone = settings.zone;
    settings.callerEndpoint = readEndpoint(reader, "callers.listen");
    settings.maxCallerConnections
            = static_cast<std::size_t>(reader.integer("callers.connections", 1, 100000, 3000));
    settings.readinessEndpoint = readEndpoint(reader, "readiness.listen");
    settings.readinessPath = reader.text("readiness.path", "/readyz");
    settings.balancerLag
            = readMilliseconds(reader, "readiness.balancerLagMs", 0, 60000, settings.balancerLag);
    settings.metricsEndpoint = readEndpoint(reader, "metrics.listen");
    settings.peerEndpoint = readEndpoint(reader, "peers.listen");
    settings.storeEndpoint = readEndpoint(reader, "store.address");
    settings.planRefreshAge
            = readMilliseconds(reader, "store.refreshAgeMs", 10, 30000, settings.planRefreshAge);
    settings.planFallbackAge
            = readMilliseconds(reader, "store.fallbackAgeMs", 10, 30000, settings.planFallbackAge);
    const Duration withdrawalTime = readMilliseconds(reader, "keys.withdrawalMs", 500, 600000,
                                                     settings.maxPlanStaleness + withdrawalMargin);
    settings.maxPlanStaleness = readMilliseconds(reader, "store.proofLimitMs", 100, 600000,
                                                 withdrawalTime - withdrawalMargin);
    settings.shutdownTimeout
            = readMilliseconds(reader, "stopLimitMs", 0, 600000, settings.shutdownTimeout);
    settings.connectTimeout
            = readMilliseconds(reader, "servers.connectLimitMs", 1, 60000, settings.connectTimeout);
    settings.fairnessWindow
            = readMilliseconds(reader, "fairness.windowMs", 100, 600000, settings.fairnessWindow);
    settings.retryBudget.ratio
            = reader.number("retries.ratio", 0.0, 10.0, settings.retryBudget.ratio);
    settings.retryBudget.reserve
            = reader.number("retries.reserve", 0.0, 10000.0, settings.retryBudget.reserve);
    settings.retryBudget.window = readMilliseconds(reader, "retries.windowMs", 100, 600000,
                                                   settings.retryBudget.window);
    settings.limits = readProcessLimits(reader, vm);
    readFleetSettings(reader, settings.serverSelector);
    return settings;
}

} // namespace bilberry::direct
