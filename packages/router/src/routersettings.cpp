#include "bilberry/router/routersettings.h"

#include <charconv>
#include <optional>
#include <set>

namespace bilberry::router {

namespace {

Duration readMilliseconds(SettingsReader &reader, const std::string &key, std::int64_t low,
                          std::int64_t high, Duration fallback)
{
    const auto fallbackMs = static_cast<std::int64_t>(toMilliseconds(fallback));
    return std::chrono::milliseconds(reader.integer(key, low, high, fallbackMs));
}

std::optional<std::uint16_t> parsePort(const std::string &text)
{
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = text.find(separator, start);
        parts.push_back(text.substr(start, end - start));
        if (end == std::string::npos)
            return parts;
        start = end + 1;
    }
}

/// Parses "name@address:port:adminPort".
std::optional<store::Vm> parseVm(const std::string &text, store::VmRole role)
{
    const std::size_t at = text.find('@');
    if (at == std::string::npos || at == 0)
        return std::nullopt;
    const auto parts = split(text.substr(at + 1), ':');
    if (parts.size() != 3)
        return std::nullopt;
    const auto port = parsePort(parts[1]);
    const auto adminPort = parsePort(parts[2]);
    if (!port || !adminPort || !isIpAddress(parts[0]))
        return std::nullopt;
    store::Vm vm;
    vm.name = text.substr(0, at);
    vm.role = role;
    vm.address = parts[0];
    vm.port = *port;
    vm.adminPort = *adminPort;
    return vm;
}

std::vector<store::Vm> readVms(SettingsReader &reader, const std::string &key, store::VmRole role)
{
    std::vector<store::Vm> result;
    for (const std::string &text : reader.list(key)) {
        const auto vm = parseVm(text, role);
        if (vm)
            result.push_back(*vm);
        else
            reader.addFault(SettingsErrc::UnknownValue, key,
                            text + " is not name@address:port:adminPort with an IP address");
    }
    return result;
}

FairnessMode readFairness(SettingsReader &reader)
{
    const std::string mode = reader.choice("fairness.mode", {"fleet", "local", "fifo"}, "fleet");
    if (mode == "local")
        return FairnessMode::Local;
    return mode == "fifo" ? FairnessMode::Fifo : FairnessMode::Fleet;
}

void readCallerLimits(SettingsReader &reader, CallerLimits &limits)
{
    limits.headBytes = static_cast<std::size_t>(
            reader.integer("callers.headBytes", 1024, 1 << 20, 16 << 10));
    limits.bodyBytes
            = static_cast<std::size_t>(reader.integer("callers.bodyBytes", 1024, 4 << 20, 1 << 20));
    limits.connections
            = static_cast<std::size_t>(reader.integer("callers.connections", 1, 100000, 20000));
    limits.headTimeout
            = readMilliseconds(reader, "callers.headLimitMs", 100, 600000, limits.headTimeout);
    limits.bodyTimeout
            = readMilliseconds(reader, "callers.bodyLimitMs", 100, 600000, limits.bodyTimeout);
    limits.idleTimeout
            = readMilliseconds(reader, "callers.idleLimitMs", 100, 3600000, limits.idleTimeout);
}

/// Checks rules that involve several keys.
void checkConsistency(SettingsReader &reader, const RouterSettings &settings)
{
    if (settings.callerPort != 0 && settings.callerPort == settings.adminPort)
        reader.addFault(SettingsErrc::Contradiction, "listen.adminPort",
                        "equals listen.callerPort");
    std::set<std::string> names;
    for (const store::Vm &peer : settings.peers) {
        if (!names.insert(peer.name).second)
            reader.addFault(SettingsErrc::Contradiction, "peers", peer.name + " is listed twice");
    }
    if (settings.callers.idleTimeout < settings.callers.headTimeout)
        reader.addFault(SettingsErrc::Contradiction, "callers.idleLimitMs",
                        "is shorter than callers.headLimitMs");
}

} // namespace

RouterSettings readRouterSettings(SettingsReader &reader, const VmSize &vm)
{
    RouterSettings settings;
    settings.router = RouterId(reader.identifier("name"));
    settings.zone = ZoneId(reader.identifier("zone"));
    settings.listenAddress = reader.address("listen.address");
    settings.callerPort = reader.port("listen.callerPort");
    settings.gossipPort = reader.port("listen.gossipPort");
    settings.adminPort = reader.port("listen.adminPort");
    settings.platform.address = reader.address("platform.address");
    settings.platform.port = reader.port("platform.port");
    settings.platform.callLimit = readMilliseconds(reader, "platform.callLimitMs", 50, 60000,
                                                   settings.platform.callLimit);
    settings.platform.callsPerSecond = reader.number("platform.callsPerSecond", 1, 1000, 50);
    settings.peers = readVms(reader, "peers", store::VmRole::Router);
    settings.agents = readVms(reader, "agents", store::VmRole::Agent);
    readCallerLimits(reader, settings.callers);
    settings.fairness = readFairness(reader);
    settings.catchUpCapMs
            = reader.number("fairness.catchUpCapMs", 1000, 1e9, settings.catchUpCapMs);
    settings.reports.bytesPerSecond
            = reader.number("fairness.reportBytesPerSecond", 100, 1e7, 2000);
    settings.reports.quantumMs = reader.number("fairness.reportQuantumMs", 1, 1e6, 100);
    settings.queueLimit
            = static_cast<std::size_t>(reader.integer("queue.limit", 1, 1000000, 10000));
    settings.queueTimeout
            = readMilliseconds(reader, "queue.timeLimitMs", 10, 3600000, settings.queueTimeout);
    settings.drainTimeout
            = readMilliseconds(reader, "drainLimitMs", 0, 3600000, settings.drainTimeout);
    settings.vmListPeriod
            = readMilliseconds(reader, "platform.listPeriodMs", 100, 600000, settings.vmListPeriod);
    settings.configurationWatchers
            = static_cast<std::size_t>(reader.integer("platform.watchers", 1, 1000, 3));
    settings.ringCapacity
            = static_cast<std::size_t>(reader.integer("ringCapacity", 8, 1 << 20, 65536));
    settings.freshness.maxProofAge = readMilliseconds(reader, "island.proofLimitMs", 500, 60000,
                                                      settings.freshness.maxProofAge);
    settings.limits = readProcessLimits(reader, vm);
    checkConsistency(reader, settings);
    return settings;
}

} // namespace bilberry::router
