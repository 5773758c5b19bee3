#include "bilberry/decision/serverselector.h"

#include "bilberry/base/errorcategory.h"
#include "bilberry/decision/rendezvous.h"

#include <algorithm>
#include <limits>

namespace bilberry::decision {

namespace {

/// Fraction of an engine's memory that prompts can occupy; generated tokens occupy the rest.
constexpr double prefixCacheFraction = 0.9;
/// Probability that the rendezvous owner of a shared prefix has it cached, when no router's request
/// is known to have put it into any cache.
constexpr double ownerCacheProbability = 0.8;
/// Delay that each running request adds to an engine's answers, in milliseconds.
constexpr double runningRequestCostMs = 0.3;
/// Expected duration of a request to a service without an engine, in milliseconds.
constexpr double plainRequestMs = 30.0;
/// Latency objective for which the backlog limits are given, in milliseconds.
constexpr double referenceObjectiveMs = 600.0;
/// Mean backlog of a pool's servers, relative to the limit, below which the pool has capacity to
/// spare.
constexpr double spareCapacityBacklog = 0.4;
/// Weight of recomputed prefill work against the backlog limit while the pool has capacity to
/// spare.
constexpr double spareCapacityRecomputeWeight = 2.0;
/// Connections to a server that each router may use, however small its share of them is.
constexpr double minConnections = 4.0;
/// Cost of a server in a cold start: it is chosen only when no other server may receive the
/// request.
constexpr double coldCostMs = 1000.0;
/// Smallest change of queued prefill work that calls the load-changed hook, in milliseconds.
constexpr double minReportedChangeMs = 1.0;
/// Minimum time between two scans for expired reports and routers.
constexpr Duration expiryCheckPeriod = std::chrono::milliseconds(200);
/// Time for which a server isn't chosen after another server answered at its address, so that the
/// platform's list can catch up.
constexpr Duration wrongServerCooldown = std::chrono::seconds(5);
/// Upper bound of the age of a statement in reports, far beyond the life of any of them.
constexpr Duration maxStatementAge = std::chrono::hours(24);
/// Time for which a process that is leaving is remembered.
constexpr Duration leavingLifetime = std::chrono::minutes(10);
/// Part of a turn's validity for which small requests leave it to others.
constexpr double smallRequestLeftFor = 0.5;
/// Part of its fair share below which a customer's small requests needn't do so.
constexpr double underservedUsageRatio = 0.5;
/// Weight of a request in the mean prompt size of its pool.
constexpr double meanTokensWeight = 0.02;
/// Time for which the end of a server's limit is repeated to the other routers.
constexpr Duration endedLimitRepeatTime = std::chrono::seconds(2);

const char *describe(int code)
{
    switch (static_cast<ServerChoiceErrc>(code)) {
    case ServerChoiceErrc::NoServer:
        return "no server in the pool may receive requests";
    case ServerChoiceErrc::Overloaded:
        return "the servers of the pool are at their backlog or connection limit";
    case ServerChoiceErrc::OnlyColdServers:
        return "the remaining servers are in a cold start and at their request rate limit";
    }
    return "unknown server choice error";
}

const ErrorCategory category("choice", describe);

} // namespace

std::error_code make_error_code(ServerChoiceErrc error)
{
    return {static_cast<int>(error), category};
}

ServerSelector::ServerSelector(ServerSelectorSettings settings)
    : m_settings(std::move(settings)), m_peerLoads(m_settings.reportLifetime),
      m_routerShareHook([this](TimePoint) { return 1.0 / static_cast<double>(routerCount()); })
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
        server.limit = {};
        server.waitUntil = {};
        server.wrongServerAt = {};
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
    m_routersSeenAt[router] = now;
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
    std::erase_if(m_routersSeenAt,
                  [&](const auto &seen) { return now - seen.second > m_settings.routerLifetime; });
    std::erase_if(m_leaving, [&](const auto &left) { return now - left.second > leavingLifetime; });
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
    Server *server = find(id);
    if (!server || !applyLimit(*server, perSecond, now, now))
        return false;
    if (m_loadChangedHook)
        m_loadChangedHook();
    return true;
}

bool ServerSelector::recordLeaving(const ServerId &id, TimePoint now)
{
    const Server *server = find(id);
    if (!server || isLeaving(*server))
        return false;
    m_leaving[{server->key, server->descriptor.startedAtMs}] = now;
    if (m_loadChangedHook)
        m_loadChangedHook();
    return true;
}

void ServerSelector::recordWait(const ServerId &id, TimePoint until)
{
    if (Server *server = find(id))
        server->waitUntil = std::max(server->waitUntil, until);
}

bool ServerSelector::isLeaving(const Server &server) const
{
    return !m_leaving.empty() && m_leaving.contains({server.key, server.descriptor.startedAtMs});
}

bool ServerSelector::mergeStatement(const ReportedStatement &statement, TimePoint now)
{
    const bool newlyLeaving
            = statement.leaving
              && m_leaving.try_emplace({statement.server, statement.startedAtMs}, now).second;
    const auto found = m_serversByKey.find(statement.server);
    if (found == m_serversByKey.end()
        || found->second->descriptor.startedAtMs != statement.startedAtMs)
        return newlyLeaving;
    return applyLimit(*found->second, statement.perSecond, now - statement.age, now)
           || newlyLeaving;
}

std::vector<ReportedStatement> ServerSelector::statements(TimePoint now) const
{
    std::vector<ReportedStatement> statements;
    for (const auto &[id, server] : m_servers) {
        const Duration age = now - server.limit.saidAt();
        const bool leaving = isLeaving(server);
        if (server.limit.perSecond() || age < endedLimitRepeatTime || leaving)
            statements.push_back({server.key, server.descriptor.startedAtMs,
                                  server.limit.perSecond(), std::min(age, maxStatementAge),
                                  leaving});
    }
    return statements;
}

/// @return true when the limit has changed
bool ServerSelector::applyLimit(Server &server, std::optional<double> perSecond, TimePoint saidAt,
                                TimePoint now)
{
    const auto change = server.limit.record(perSecond, saidAt);
    if (change == RequestLimit::Change::Began)
        server.limit.startTurns(routersBefore(server), now);
    return change != RequestLimit::Change::None;
}

std::size_t ServerSelector::limitedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_servers.begin(), m_servers.end(), [](const auto &item) {
                return item.second.limit.perSecond().has_value();
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
    std::vector<Candidate> candidates;
    bool overloaded = false;
    bool coldLimited = false;
    const double leftFor = turnLeftFor(traits);
    for (Server *server : bestTierServers(traits, now)) {
        if (isAtConnectionLimit(*server, pool) || now < server->waitUntil
            || !mayTakeTurn(*server, leftFor, now))
            overloaded = true;
        else if (now < server->coldUntil && now < server->nextColdRequestAt)
            coldLimited = true;
        else
            candidates.push_back({server, {}, {}});
    }
    estimate(candidates, traits);
    const Candidate *best = bestCandidate(candidates, traits, pool, now);
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

/// Sets the loads of the candidates and the estimates of their work.
void ServerSelector::estimate(std::vector<Candidate> &candidates, const RequestTraits &traits) const
{
    std::uint32_t mostCachedTokens = 0;
    for (Candidate &candidate : candidates) {
        const Server &server = *candidate.server;
        const RouterLoad peerLoad = m_peerLoads.load(server.key);
        candidate.load = {server.ownLoad.backlogMs + peerLoad.backlogMs,
                          server.ownLoad.inFlight + peerLoad.inFlight};
        candidate.choice.cachedTokens = server.cache.cachedTokens(traits.prompt);
        mostCachedTokens = std::max(mostCachedTokens, candidate.choice.cachedTokens);
    }
    if (mostCachedTokens < traits.prompt.sharedPrefixTokens())
        assumeOwnerCache(candidates, traits.prompt);
    for (Candidate &candidate : candidates) {
        candidate.choice.server = candidate.server->descriptor.id;
        candidate.choice.backlogMs = candidate.load.backlogMs;
        candidate.choice.prefillMs = prefillMs(traits.prompt, candidate.choice.cachedTokens);
        candidate.choice.mostCachedTokens = mostCachedTokens;
    }
}

/// Assumes that the rendezvous owner has the shared prefix cached, so that routers that know
/// nothing of the prefix choose the same server.
void ServerSelector::assumeOwnerCache(std::vector<Candidate> &candidates, const Prompt &prompt)
{
    const std::uint64_t key = prompt.sharedPrefixKey();
    const auto owner = std::max_element(candidates.begin(), candidates.end(),
                                        [key](const Candidate &left, const Candidate &right) {
                                            return rendezvousWeight(key, left.server->key)
                                                   < rendezvousWeight(key, right.server->key);
                                        });
    if (key == 0 || owner == candidates.end())
        return;
    const auto expectedTokens = static_cast<std::uint32_t>(
            ownerCacheProbability * static_cast<double>(prompt.sharedPrefixTokens()));
    owner->choice.cachedTokens = std::max(owner->choice.cachedTokens, expectedTokens);
}

/// @return the candidate with the lowest cost whose backlog is within the limit, or nullptr
const ServerSelector::Candidate *
ServerSelector::bestCandidate(const std::vector<Candidate> &candidates, const RequestTraits &traits,
                              const DirectPool *pool, TimePoint now) const
{
    const double limitMs = backlogLimitMs(traits, m_peerLoads.isEmpty());
    double minPrefillMs = std::numeric_limits<double>::max();
    double loadSum = 0.0;
    for (const Candidate &candidate : candidates) {
        minPrefillMs = std::min(minPrefillMs, candidate.choice.prefillMs);
        loadSum += std::min(1.0, candidate.choice.backlogMs / limitMs);
    }
    // Under overload, moving a prompt away from the server that has it cached would only add load.
    const bool hasSpareCapacity
            = loadSum < spareCapacityBacklog * static_cast<double>(candidates.size());
    const double recomputeWeight
            = hasSpareCapacity ? std::min(spareCapacityRecomputeWeight, m_settings.recomputeWeight)
                               : m_settings.recomputeWeight;
    const Candidate *best = nullptr;
    double bestScore = 0.0;
    for (const Candidate &candidate : candidates) {
        const double recomputeMs = recomputeWeight * (candidate.choice.prefillMs - minPrefillMs);
        if (pool && pool->engine && candidate.choice.backlogMs + recomputeMs > limitMs)
            continue;
        const bool cold = now < candidate.server->coldUntil;
        const double score = this->score(candidate, minPrefillMs, pool) + (cold ? coldCostMs : 0.0);
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
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
        if (now < server->coldUntil)
            server->nextColdRequestAt = now + coldRequestInterval(*server);
        if (server->limit.perSecond())
            server->limit.recordSent(m_routerShareHook(now));
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

std::optional<ServerSelector::Tier>
ServerSelector::tier(const Server &server, const RequestTraits &traits, TimePoint now) const
{
    const DirectServer &descriptor = server.descriptor;
    if (descriptor.pool != traits.pool || descriptor.draining || isLeaving(server)
        || m_zonesOut.contains(descriptor.zone) || traits.excluded.contains(descriptor.id))
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

/// @return expected time to prefill the prompt, in milliseconds
double ServerSelector::prefillMs(const Prompt &prompt, std::uint32_t cachedTokens) const
{
    const double uncachedTokens = static_cast<double>(prompt.tokens() - cachedTokens);
    const double meanContext = static_cast<double>(cachedTokens) + uncachedTokens / 2.0;
    return uncachedTokens / m_settings.prefillTokensPerMs
           + m_settings.attentionMsPerMillionPairs * uncachedTokens * meanContext / 1e6;
}

/// @return cost of choosing the server, in milliseconds: queueing time, weighted recomputed prefill
/// work and penalties; lower is better
double ServerSelector::score(const Candidate &candidate, double minPrefillMs,
                             const DirectPool *pool) const
{
    const DirectServer &server = candidate.server->descriptor;
    const auto inFlight = static_cast<double>(candidate.load.inFlight);
    const double zoneMs
            = server.zone == m_settings.zone ? 0.0 : toMilliseconds(m_settings.zonePenalty);
    if (!pool || !pool->engine)
        return zoneMs + plainRequestMs * inFlight / std::max(1U, server.slots);
    const ServerChoice &choice = candidate.choice;
    return zoneMs + choice.backlogMs
           + m_settings.recomputeWeight * (choice.prefillMs - minPrefillMs)
           + runningRequestCostMs * inFlight;
}

double ServerSelector::backlogLimitMs(const RequestTraits &traits, bool standalone) const
{
    double limit = toMilliseconds(standalone ? m_settings.standaloneBacklogLimit
                                             : m_settings.backlogLimit);
    limit *= toMilliseconds(traits.latencyObjective) / referenceObjectiveMs;
    if (traits.previouslyRefused)
        limit *= m_settings.previouslyRefusedFactor;
    return limit * overuseFactor(traits);
}

/// @return 1 up to the customer's fair level; above it decreases steeply. The level itself rises
/// while all other customers get what they request, so that no capacity stays idle.
double ServerSelector::overuseFactor(const RequestTraits &traits) const
{
    const double overuse = std::max(0.0, traits.customerUsageRatio - 1.0);
    return std::max(m_settings.minOveruseFactor, 1.0 - m_settings.overuseSlope * overuse);
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
    const bool wasCold = now < server.coldUntil;
    server.coldUntil = std::max(server.coldUntil, until);
    if (wasCold)
        return;
    const double phase = static_cast<double>(routersBefore(server))
                         / static_cast<double>(m_routersSeenAt.size() + 1);
    server.nextColdRequestAt
            = now + fromMilliseconds(phase * toMilliseconds(coldRequestInterval(server)));
}

/// @return true for a prompt below the mean of the pool's recent requests
bool ServerSelector::isSmall(const RequestTraits &traits)
{
    const double tokens = traits.prompt.tokens();
    double &mean = m_meanTokens.try_emplace(traits.pool, tokens).first->second;
    mean += meanTokensWeight * (tokens - mean);
    return tokens < mean;
}

bool ServerSelector::mayTakeTurn(Server &server, double leftFor, TimePoint now) const
{
    return !server.limit.perSecond() || server.limit.allows(m_routerShareHook(now), leftFor, now);
}

/// @return part of the validity for which other requests must have left a turn at a limited server
/// before this one takes it: small ones, since the server counts requests and not their work, and
/// those of customers above their fair share
double ServerSelector::turnLeftFor(const RequestTraits &traits)
{
    const bool small = isSmall(traits) && traits.customerUsageRatio >= underservedUsageRatio;
    return std::max(small ? smallRequestLeftFor : 0.0, 1.0 - overuseFactor(traits));
}

/// @return number of routers that come before this one in the rendezvous order of the server
std::size_t ServerSelector::routersBefore(const Server &server) const
{
    const auto weight = [&](const RouterId &router) {
        return rendezvousWeight(server.key, stableHash(router.text()));
    };
    const std::uint64_t own = weight(m_settings.router);
    return static_cast<std::size_t>(
            std::count_if(m_routersSeenAt.begin(), m_routersSeenAt.end(),
                          [&](const auto &seen) { return weight(seen.first) > own; }));
}

/// @return time between two requests of this router to a server in a cold start, chosen so that all
/// routers together stay within the pool's warm-up rate
Duration ServerSelector::coldRequestInterval(const Server &server) const
{
    const DirectPool *pool = m_plan ? m_plan->pool(server.descriptor.pool) : nullptr;
    const double own = 1000.0 / m_settings.coldRequestsPerS;
    if (!pool || pool->warmupRate <= 0.0)
        return fromMilliseconds(own);
    const double routers = static_cast<double>(m_routersSeenAt.size()) + 1.0;
    return fromMilliseconds(std::max(own, 1000.0 * routers / pool->warmupRate));
}

ServerSelector::Server *ServerSelector::find(const ServerId &id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace bilberry::decision
