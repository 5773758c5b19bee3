#include "bilberry/decision/serverselector.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

/// Fraction of an engine's memory that prompts can occupy; generated tokens occupy the rest.
constexpr double prefixCacheFraction = 0.9;
/// Connections to a server that each router may use, however small its share of them is.
constexpr double minConnections = 4.0;
/// Smallest change of queued prefill work that calls the load-changed hook, in milliseconds.
constexpr double minReportedChangeMs = 1.0;
/// Minimum time between two scans for expired reports and routers.
constexpr Duration expiryCheckPeriod = std::chrono::milliseconds(200);
/// Time for which a server isn't chosen after another server answered at its address, so that the
/// platform's list can catch up.
constexpr Duration wrongServerCooldown = std::chrono::seconds(5);
/// Part of a turn's validity for which small requests leave it to others.
constexpr double smallRequestLeftFor = 0.5;
/// Part of its fair share below which a customer's small requests needn't do so.
constexpr double underservedUsageRatio = 0.5;
/// Weight of a request in the mean prompt size of its pool.
constexpr double meanTokensWeight = 0.02;

} // namespace

ServerSelector::ServerSelector(ServerSelectorSettings settings)
    : m_settings(std::move(settings)), m_cost(m_settings), m_peerLoads(m_settings.reportLifetime),
      m_routerShareHook([this](TimePoint) { return 1.0 / static_cast<double>(routerCount()); }),
      m_routers(m_settings.router, m_settings.routerLifetime)
{
}

void ServerSelector::update(const DirectServer &descriptor, TimePoint now)
{
    const DirectPool *pool = m_plan ? m_plan->pool(descriptor.pool) : nullptr;
    const std::uint64_t memoryTokens = pool && pool->engine ? pool->engine->memoryTokens : 0;
    const auto cacheTokens
            = static_cast<std::uint64_t>(prefixCacheFraction * static_cast<double>(memoryTokens));
    const auto [found, added] = m_servers.try_emplace(descriptor.id, m_settings, cacheTokens);
    Server &server = found->second;
    const bool restarted = !added
                           && (server.descriptor.startedAtMs != descriptor.startedAtMs
                               || server.descriptor.address != descriptor.address
                               || server.descriptor.port != descriptor.port);
    if (restarted) {
        server.cache.clear();
        server.health = ServerHealth(m_settings.health);
        server.wrongServerAt = {};
        m_statements.reset({server.key, descriptor.startedAtMs});
    }
    server.cache.setCapacity(cacheTokens);
    server.descriptor = descriptor;
    server.key = serverKey(descriptor.id);
    m_serversByKey[server.key] = &server;
    if (descriptor.warmupLeft > Duration::zero())
        extendColdStart(server, now + descriptor.warmupLeft, now);
    else if (restarted)
        markCold(server, now);
}

void ServerSelector::remove(const ServerId &id)
{
    m_serversByKey.erase(serverKey(id));
    m_servers.erase(id);
}

void ServerSelector::setZonesOut(const std::set<ZoneId> &zones, TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        if (m_zonesOut.contains(server.descriptor.zone) && !zones.contains(server.descriptor.zone))
            markCold(server, now);
    }
    m_zonesOut = zones;
}

void ServerSelector::setMissing(const ServerId &id, bool missing)
{
    if (Server *server = find(id))
        server->missing = missing;
}

void ServerSelector::updatePeerLoads(const RouterId &router, const std::vector<ReportedLoad> &loads,
                                     bool complete, TimePoint now)
{
    recordRouter(router, now);
    m_peerLoads.update(router, loads, complete, now);
}

void ServerSelector::recordRouter(const RouterId &router, TimePoint now)
{
    m_routers.record(router, now);
}

void ServerSelector::recordPeerPlacement(const PlacedPrefix &placed)
{
    const auto found = m_serversByKey.find(placed.server);
    if (found != m_serversByKey.end())
        found->second->cache.insertShared(placed.prefix, placed.ownTokens);
}

void ServerSelector::notifyLoadChanged(double changeMs) const
{
    if (m_loadChangedHook && changeMs >= minReportedChangeMs)
        m_loadChangedHook();
}

void ServerSelector::expirePeers(TimePoint now)
{
    if (now - m_expiryCheckedAt < expiryCheckPeriod)
        return;
    m_expiryCheckedAt = now;
    m_routers.expire(now);
    m_statements.expire(now);
    m_peerLoads.expire(now);
}

std::vector<ReportedLoad> ServerSelector::ownLoads() const
{
    std::vector<ReportedLoad> loads;
    for (const auto &[id, server] : m_servers) {
        if (server.ownLoad.inFlight > 0)
            loads.push_back({server.key, server.ownLoad});
    }
    return loads;
}

bool ServerSelector::recordLimit(const ServerId &id, std::optional<double> perSecond, TimePoint now)
{
    const Server *server = find(id);
    const bool changed = server && applyLimit(server->process(), perSecond, now, now);
    if (changed && m_loadChangedHook)
        m_loadChangedHook();
    return changed;
}

bool ServerSelector::recordLeaving(const ServerId &id, TimePoint now)
{
    const Server *server = find(id);
    const bool changed = server && m_statements.recordLeaving(server->process(), now);
    if (changed && m_loadChangedHook)
        m_loadChangedHook();
    return changed;
}

void ServerSelector::recordWait(const ServerId &id, TimePoint until, TimePoint now)
{
    if (const Server *server = find(id))
        m_statements.recordWait(server->process(), until, now);
}

bool ServerSelector::mergeStatement(const ReportedStatement &statement, TimePoint now)
{
    const ServerProcess process{statement.server, statement.startedAtMs};
    const bool newlyLeaving = statement.leaving && m_statements.recordLeaving(process, now);
    const auto found = m_serversByKey.find(statement.server);
    if (found == m_serversByKey.end() || found->second->process() != process)
        return newlyLeaving;
    return applyLimit(process, statement.perSecond, now - statement.age, now) || newlyLeaving;
}

/// @return true when the limit has changed
bool ServerSelector::applyLimit(const ServerProcess &process, std::optional<double> perSecond,
                                TimePoint saidAt, TimePoint now)
{
    const auto change = m_statements.recordLimit(process, perSecond, saidAt, now);
    if (change == RequestLimit::Change::Began)
        m_statements.startTurns(process, m_routers.countBefore(process.server), now);
    return change != RequestLimit::Change::None;
}

std::vector<ReportedStatement> ServerSelector::statements(TimePoint now) const
{
    std::vector<ReportedStatement> statements;
    for (const auto &[id, server] : m_servers) {
        if (const auto statement = m_statements.report(server.process(), now))
            statements.push_back(*statement);
    }
    return statements;
}

std::size_t ServerSelector::limitedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_servers.begin(), m_servers.end(), [this](const auto &item) {
                return m_statements.limit(item.second.process()).has_value();
            }));
}

std::size_t ServerSelector::livePeerCount(TimePoint now) const
{
    return m_peerLoads.liveCount(now);
}

Result<ServerChoice> ServerSelector::choose(const RequestTraits &traits, TimePoint now)
{
    expirePeers(now);
    const DirectPool *pool = m_plan ? m_plan->pool(traits.pool) : nullptr;
    std::vector<PlacementCandidate> candidates;
    bool overloaded = false;
    bool coldLimited = false;
    const double leftFor = turnLeftFor(traits);
    for (const Server *server : bestTierServers(traits, now)) {
        if (isAtConnectionLimit(*server, pool) || m_statements.asksToWait(server->process(), now)
            || !mayTakeTurn(*server, leftFor, now))
            overloaded = true;
        else if (server->coldStart.holdsBack(now))
            coldLimited = true;
        else
            candidates.push_back(candidateFor(*server, traits, now));
    }
    m_cost.estimate(candidates, traits.prompt);
    const PlacementCandidate *best
            = m_cost.cheapest(candidates, traits, pool, m_peerLoads.isEmpty());
    if (best)
        return best->choice;
    if (overloaded || !candidates.empty())
        return ServerChoiceErrc::Overloaded;
    return coldLimited ? ServerChoiceErrc::OnlyColdServers : ServerChoiceErrc::NoServer;
}

/// @return the servers of the request's pool that may receive it, without those that are less
/// available than the others
std::vector<ServerSelector::Server *> ServerSelector::bestTierServers(const RequestTraits &traits,
                                                                      TimePoint now)
{
    std::vector<std::pair<Server *, Tier>> eligible;
    eligible.reserve(m_servers.size());
    std::size_t healthy = 0;
    std::size_t unreachable = 0;
    for (auto &[id, server] : m_servers) {
        const auto tier = this->tier(server, traits, now);
        if (!tier)
            continue;
        eligible.emplace_back(&server, *tier);
        healthy += *tier == Tier::Healthy ? 1 : 0;
        unreachable += *tier == Tier::Unreachable ? 1 : 0;
    }
    // When most servers of a pool fail, the cause is rarely the servers, and ejecting them would
    // only concentrate the load on the others.
    Tier worstTier = Tier::Healthy;
    if (2 * healthy < eligible.size())
        worstTier = unreachable == eligible.size() ? Tier::Unreachable : Tier::Ejected;
    std::vector<Server *> servers;
    servers.reserve(eligible.size());
    for (const auto &[server, tier] : eligible) {
        if (tier <= worstTier)
            servers.push_back(server);
    }
    return servers;
}

bool ServerSelector::isAtConnectionLimit(const Server &server, const DirectPool *pool) const
{
    return pool
           && static_cast<double>(server.ownLoad.inFlight) >= std::max(
                      minConnections, m_settings.maxConnectionShare * pool->maxConnections);
}

PlacementCandidate ServerSelector::candidateFor(const Server &server, const RequestTraits &traits,
                                                TimePoint now) const
{
    const RouterLoad peerLoad = m_peerLoads.load(server.key);
    PlacementCandidate candidate;
    candidate.server = &server.descriptor;
    candidate.key = server.key;
    candidate.load = {server.ownLoad.backlogMs + peerLoad.backlogMs,
                      server.ownLoad.inFlight + peerLoad.inFlight};
    candidate.isCold = server.coldStart.isCold(now);
    candidate.choice.cachedTokens = server.cache.cachedTokens(traits.prompt);
    return candidate;
}

AttemptNumber ServerSelector::startAttempt(const ServerChoice &choice, const RequestTraits &traits,
                                           TimePoint now)
{
    const AttemptNumber number = ++m_lastAttempt;
    m_attempts[number] = {choice.server, choice.prefillMs, true};
    if (Server *server = find(choice.server)) {
        server->ownLoad.backlogMs += choice.prefillMs;
        server->awaitingFirstByte.emplace(number, now);
        ++server->ownLoad.inFlight;
        server->cache.insert(traits.prompt);
        const std::uint64_t prefixKey = traits.prompt.sharedPrefixKey();
        if (m_prefixPlacedHook && prefixKey != 0) {
            const std::uint32_t sharedTokens = traits.prompt.sharedPrefixTokens();
            m_prefixPlacedHook({server->key,
                                {prefixKey, sharedTokens},
                                traits.prompt.tokens() - sharedTokens});
        }
        server->coldStart.recordSent(coldRequestInterval(*server), now);
        if (m_statements.limit(server->process()))
            m_statements.recordSent(server->process(), m_routerShareHook(now));
        notifyLoadChanged(choice.prefillMs);
    }
    return number;
}

void ServerSelector::recordConnection(AttemptNumber number)
{
    const auto found = m_attempts.find(number);
    Server *server = found == m_attempts.end() ? nullptr : find(found->second.server);
    if (server)
        server->health.recordConnection();
}

void ServerSelector::recordFirstByte(AttemptNumber number, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end() || !std::exchange(found->second.awaitingFirstByte, false))
        return;
    Server *server = find(found->second.server);
    if (!server)
        return;
    server->lastFirstByteAt = now;
    server->awaitingFirstByte.erase(number);
    server->ownLoad.backlogMs = std::max(0.0, server->ownLoad.backlogMs - found->second.prefillMs);
    notifyLoadChanged(found->second.prefillMs);
}

void ServerSelector::endAttempt(AttemptNumber number, AttemptOutcome outcome, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    const Attempt attempt = found->second;
    m_attempts.erase(found);
    Server *server = find(attempt.server);
    if (!server)
        return;
    if (attempt.awaitingFirstByte) {
        server->awaitingFirstByte.erase(number);
        server->ownLoad.backlogMs = std::max(0.0, server->ownLoad.backlogMs - attempt.prefillMs);
    }
    if (server->awaitingFirstByte.empty())
        server->ownLoad.backlogMs = 0.0;
    server->ownLoad.inFlight -= server->ownLoad.inFlight > 0 ? 1 : 0;
    if (attempt.awaitingFirstByte)
        notifyLoadChanged(attempt.prefillMs);
    server->health.recordOutcome(outcome, now);
    if (outcome == AttemptOutcome::WrongServer)
        server->wrongServerAt = now;
    // An unreachable server may be restarting, with a cold start and an empty cache to follow.
    if (outcome == AttemptOutcome::ConnectFailed)
        markCold(*server, now);
}

const DirectServer *ServerSelector::server(const ServerId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second.descriptor;
}

std::vector<ServerId> ServerSelector::servers() const
{
    std::vector<ServerId> ids;
    ids.reserve(m_servers.size());
    for (const auto &[id, server] : m_servers)
        ids.push_back(id);
    return ids;
}

std::size_t ServerSelector::inFlight(const ServerId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? 0 : found->second.ownLoad.inFlight;
}

double ServerSelector::meanInFlight(const PoolId &pool, const ServerId &except) const
{
    std::size_t servers = 0;
    std::size_t requests = 0;
    for (const auto &[id, server] : m_servers) {
        if (server.descriptor.pool != pool || id == except)
            continue;
        ++servers;
        requests += server.ownLoad.inFlight + m_peerLoads.load(server.key).inFlight;
    }
    return servers == 0 ? 0.0 : static_cast<double>(requests) / static_cast<double>(servers);
}

std::optional<ServerSelector::Tier>
ServerSelector::tier(const Server &server, const RequestTraits &traits, TimePoint now) const
{
    const DirectServer &descriptor = server.descriptor;
    if (descriptor.pool != traits.pool || descriptor.draining
        || m_statements.isLeaving(server.process()) || m_zonesOut.contains(descriptor.zone)
        || traits.excluded.contains(descriptor.id))
        return std::nullopt;
    const bool inWrongServerCooldown = server.wrongServerAt != TimePoint()
                                       && now - server.wrongServerAt < wrongServerCooldown;
    if (inWrongServerCooldown)
        return std::nullopt;
    if (server.missing || server.health.isUnreachable(now) || isUnresponsive(server, now))
        return Tier::Unreachable;
    return server.health.isEjected(now) ? Tier::Ejected : Tier::Healthy;
}

/// @return true when requests wait for their first byte and the server has sent no first byte since
/// the oldest of them was sent, for longer than the timeout
bool ServerSelector::isUnresponsive(const Server &server, TimePoint now) const
{
    if (server.awaitingFirstByte.empty())
        return false;
    const TimePoint oldest = server.awaitingFirstByte.begin()->second;
    const Duration allowed
            = m_settings.unresponsiveTimeout + fromMilliseconds(server.ownLoad.backlogMs);
    return now - std::max(oldest, server.lastFirstByteAt) > allowed;
}

void ServerSelector::markCold(Server &server, TimePoint now)
{
    const DirectPool *pool = m_plan ? m_plan->pool(server.descriptor.pool) : nullptr;
    if (pool && pool->warmup > Duration::zero())
        extendColdStart(server, now + pool->warmup, now);
    server.cache.clear();
}

/// All routers learn of a cold start within 100 ms. To avoid a burst, their first requests to the
/// server are spread evenly over the request interval, in the order of their rendezvous weights.
void ServerSelector::extendColdStart(Server &server, TimePoint until, TimePoint now)
{
    if (server.coldStart.isCold(now)) {
        server.coldStart.extend(until, Duration::zero(), now);
        return;
    }
    const double phase = static_cast<double>(m_routers.countBefore(server.key))
                         / static_cast<double>(m_routers.count());
    server.coldStart.extend(
            until, fromMilliseconds(phase * toMilliseconds(coldRequestInterval(server))), now);
}

/// @return true for a prompt below the mean of the pool's recent requests
bool ServerSelector::isSmall(const RequestTraits &traits)
{
    const double tokens = traits.prompt.tokens();
    double &mean = m_meanTokens.try_emplace(traits.pool, tokens).first->second;
    mean += meanTokensWeight * (tokens - mean);
    return tokens < mean;
}

bool ServerSelector::mayTakeTurn(const Server &server, double leftFor, TimePoint now)
{
    const ServerProcess process = server.process();
    return !m_statements.limit(process)
           || m_statements.mayTakeTurn(process, m_routerShareHook(now), leftFor, now);
}

/// @return part of the validity for which other requests must have left a turn at a limited server
/// before this one takes it: small ones, since the server counts requests and not their work, and
/// those of customers above their fair share
double ServerSelector::turnLeftFor(const RequestTraits &traits)
{
    const bool small = isSmall(traits) && traits.customerUsageRatio >= underservedUsageRatio;
    return std::max(small ? smallRequestLeftFor : 0.0, 1.0 - m_cost.overuseFactor(traits));
}

/// @return time between two requests of this router to a server in a cold start, chosen so that all
/// routers together stay within the pool's warm-up rate
Duration ServerSelector::coldRequestInterval(const Server &server) const
{
    const DirectPool *pool = m_plan ? m_plan->pool(server.descriptor.pool) : nullptr;
    const double own = 1000.0 / m_settings.coldRequestsPerS;
    if (!pool || pool->warmupRate <= 0.0)
        return fromMilliseconds(own);
    const auto routers = static_cast<double>(m_routers.count());
    return fromMilliseconds(std::max(own, 1000.0 * routers / pool->warmupRate));
}

ServerSelector::Server *ServerSelector::find(const ServerId &id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace bilberry::decision
