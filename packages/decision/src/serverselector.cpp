#include "bilberry/decision/serverselector.h"

#include "bilberry/base/errorcategory.h"
#include "bilberry/decision/rendezvous.h"

#include <algorithm>
#include <limits>

namespace bilberry::decision {

namespace {

/// Part of an engine's memory that keeps prompts; the rest holds running requests.
constexpr double cachedShare = 0.6;
/// What other routers sent to a prompt's home is held there with this likelihood.
constexpr double homeLikelihood = 0.8;
/// Slow-down of an engine's answers by one more running request, in milliseconds.
constexpr double runningCostMs = 0.3;
/// Expected duration of a request at a plain service, in milliseconds.
constexpr double plainWorkMs = 30.0;
/// Latency objective for which the backlog limits are given.
constexpr double limitObjectiveMs = 600.0;
/// A change of unread work that others are told of at once, in milliseconds of a server's work.
constexpr double reportedChangeMs = 1.0;
/// Reports are looked through for old ones in this period.
constexpr Duration reportCheckPeriod = std::chrono::milliseconds(200);
/// An address that another server took over is left alone until the list catches up.
constexpr Duration misdirectedPause = std::chrono::seconds(5);

const char *describe(int code)
{
    switch (static_cast<ServerChoiceErrc>(code)) {
    case ServerChoiceErrc::NoServer:
        return "no server may take work";
    case ServerChoiceErrc::Overloaded:
        return "each server would answer too late";
    case ServerChoiceErrc::OnlyColdServers:
        return "only servers in a cold start are left";
    }
    return "unknown choice error";
}

const ErrorCategory category("choice", describe);

} // namespace

ServerKey serverKey(const ServerId &id)
{
    return stableHash(id.text());
}

std::error_code make_error_code(ServerChoiceErrc error)
{
    return {static_cast<int>(error), category};
}

void ServerSelector::update(const DirectServer &entry, TimePoint now)
{
    const DirectPool *pool = m_plan ? m_plan->pool(entry.pool) : nullptr;
    const std::uint64_t memory = pool && pool->engine ? pool->engine->memoryTokens : 0;
    const auto kept = static_cast<std::uint64_t>(cachedShare * static_cast<double>(memory));
    const auto [found, added] = m_servers.try_emplace(entry.id, m_settings, kept);
    Server &server = found->second;
    const bool restarted
            = !added
              && (server.entry.startedAtMs != entry.startedAtMs
                  || server.entry.address != entry.address || server.entry.port != entry.port);
    if (restarted) {
        server.cache.clear();
        server.health = ServerHealth(m_settings.health);
        server.misdirectedAt = {};
    }
    server.entry = entry;
    server.key = serverKey(entry.id);
    m_byKey[server.key] = &server;
    if (entry.warmupLeft > Duration::zero())
        coldUntil(server, now + entry.warmupLeft, now);
    else if (restarted)
        markCold(server, now);
}

void ServerSelector::remove(const ServerId &id)
{
    m_byKey.erase(serverKey(id));
    m_servers.erase(id);
}

void ServerSelector::setZonesOut(const std::set<ZoneId> &zones, TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        if (m_zonesOut.contains(server.entry.zone) && !zones.contains(server.entry.zone))
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
    Peer &peer = m_peers[router];
    peer.at = now;
    if (complete) {
        for (const auto &[key, load] : peer.loads)
            countRemote(key, load, -1.0);
        peer.loads.clear();
    }
    for (const ReportedLoad &reported : loads) {
        RouterLoad &known = peer.loads[reported.server];
        countRemote(reported.server, known, -1.0);
        countRemote(reported.server, reported.load, 1.0);
        known = reported.load;
    }
}

void ServerSelector::recordRouter(const RouterId &router, TimePoint now)
{
    m_routers[router] = now;
}

/// Keeps the sums of all reports up to date, so that a choice need not form them.
void ServerSelector::countRemote(ServerKey key, const RouterLoad &load, double sign)
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return;
    RouterLoad &remote = found->second->remote;
    remote.backlogMs = std::max(0.0, remote.backlogMs + sign * load.backlogMs);
    if (sign > 0.0)
        remote.inFlight += load.inFlight;
    else
        remote.inFlight -= std::min(remote.inFlight, load.inFlight);
}

void ServerSelector::workChanged(double byMs) const
{
    if (m_workChanged && byMs >= reportedChangeMs)
        m_workChanged();
}

void ServerSelector::dropOldReports(TimePoint now)
{
    if (now - m_reportsCheckedAt < reportCheckPeriod)
        return;
    m_reportsCheckedAt = now;
    std::erase_if(m_routers,
                  [&](const auto &seen) { return now - seen.second > m_settings.routerLifetime; });
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.at <= m_settings.reportLifetime) {
            ++peer;
            continue;
        }
        for (const auto &[key, load] : peer->second.loads)
            countRemote(key, load, -1.0);
        peer = m_peers.erase(peer);
    }
}

std::vector<ReportedLoad> ServerSelector::ownLoads() const
{
    std::vector<ReportedLoad> work;
    for (const auto &[id, server] : m_servers) {
        if (server.own.inFlight > 0)
            work.push_back({server.key, server.own});
    }
    return work;
}

std::size_t ServerSelector::livePeerCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
                return now - entry.second.at <= m_settings.reportLifetime;
            }));
}

Result<ServerChoice> ServerSelector::choose(const RequestTraits &traits, TimePoint now)
{
    struct Candidate
    {
        Server *server = nullptr;
        Tier tier = Tier::Healthy;
    };
    std::vector<Candidate> usable;
    usable.reserve(m_servers.size());
    std::size_t healthy = 0;
    for (auto &[id, server] : m_servers) {
        const auto tier = this->tier(server, traits, now);
        if (!tier)
            continue;
        usable.push_back({&server, *tier});
        healthy += *tier == Tier::Healthy ? 1 : 0;
    }
    if (usable.empty())
        return ServerChoiceErrc::NoServer;
    // When most of a pool looks bad, the fault is rarely the servers': ejection would only
    // concentrate the load.
    Tier worst = Tier::Healthy;
    if (2 * healthy < usable.size())
        worst = Tier::Ejected;
    const bool allUnreachable = std::all_of(usable.begin(), usable.end(), [](const Candidate &c) {
        return c.tier == Tier::Unreachable;
    });
    if (allUnreachable)
        worst = Tier::Unreachable;

    const Server *home = nullptr;
    if (const std::uint64_t key = traits.prompt.sharedKey(); key != 0) {
        home = std::max_element(usable.begin(), usable.end(),
                                [key](const Candidate &left, const Candidate &right) {
                                    return rendezvousWeight(key, left.server->key)
                                           < rendezvousWeight(key, right.server->key);
                                })
                       ->server;
    }
    const DirectPool *pool = m_plan ? m_plan->pool(traits.pool) : nullptr;
    std::optional<ServerChoice> best;
    double bestScore = 0.0;
    bool coldSkipped = false;
    bool full = false;
    dropOldReports(now);
    const double limitMs = backlogLimitMs(traits, m_peers.empty());
    std::vector<RouterLoad> works;
    std::vector<ServerChoice> choices;
    works.reserve(usable.size());
    choices.reserve(usable.size());
    double leastReadMs = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < usable.size(); ++i) {
        const Server &server = *usable[i].server;
        const RouterLoad work{server.own.backlogMs + server.remote.backlogMs,
                              server.own.inFlight + server.remote.inFlight};
        works.push_back(work);
        choices.push_back(assess(server, work, traits, &server == home));
        leastReadMs = std::min(leastReadMs, choices.back().prefillMs);
    }
    for (std::size_t i = 0; i < usable.size(); ++i) {
        Server &server = *usable[i].server;
        if (usable[i].tier > worst)
            continue;
        if (pool
            && static_cast<double>(server.own.inFlight)
                       >= std::max(4.0, m_settings.maxConnectionShare * pool->maxConnections)) {
            full = true;
            continue;
        }
        const bool cold = now < server.coldUntil;
        if (cold && now < server.coldSlotAt) {
            coldSkipped = true;
            continue;
        }
        const ServerChoice &choice = choices[i];
        // What is read again counts like work that waits: under overload, spilling from a prompt's
        // home would only add to the load.
        const double againMs = choice.prefillMs - leastReadMs;
        if (pool && pool->engine && choice.backlogMs + againMs > limitMs) {
            full = true;
            continue;
        }
        const double score
                = this->score(server, works[i], choice, leastReadMs, pool) + (cold ? 1000.0 : 0.0);
        if (!best || score < bestScore) {
            best = choice;
            bestScore = score;
        }
    }
    if (best)
        return *best;
    if (full)
        return ServerChoiceErrc::Overloaded;
    return coldSkipped ? Result<ServerChoice>(ServerChoiceErrc::OnlyColdServers)
                       : ServerChoiceErrc::NoServer;
}

AttemptNumber ServerSelector::startAttempt(const ServerChoice &choice, const RequestTraits &traits,
                                           TimePoint now)
{
    const AttemptNumber ticket = ++m_lastTicket;
    m_sent[ticket] = {choice.server, choice.prefillMs, true};
    if (Server *server = find(choice.server)) {
        server->own.backlogMs += choice.prefillMs;
        server->waiting.emplace(ticket, now);
        ++server->own.inFlight;
        server->cache.read(traits.prompt);
        if (now < server->coldUntil)
            server->coldSlotAt = now + coldInterval(*server);
        workChanged(choice.prefillMs);
    }
    return ticket;
}

void ServerSelector::recordConnection(AttemptNumber ticket)
{
    const auto found = m_sent.find(ticket);
    Server *server = found == m_sent.end() ? nullptr : find(found->second.server);
    if (server)
        server->health.recordConnection();
}

void ServerSelector::recordFirstByte(AttemptNumber ticket, TimePoint now)
{
    const auto found = m_sent.find(ticket);
    if (found == m_sent.end() || !std::exchange(found->second.waiting, false))
        return;
    Server *server = find(found->second.server);
    if (!server)
        return;
    server->lastByteAt = now;
    server->waiting.erase(ticket);
    server->own.backlogMs = std::max(0.0, server->own.backlogMs - found->second.prefillMs);
    workChanged(found->second.prefillMs);
}

void ServerSelector::endAttempt(AttemptNumber ticket, AttemptOutcome outcome, TimePoint now)
{
    const auto found = m_sent.find(ticket);
    if (found == m_sent.end())
        return;
    const Sent sent = found->second;
    m_sent.erase(found);
    Server *server = find(sent.server);
    if (!server)
        return;
    if (sent.waiting) {
        server->waiting.erase(ticket);
        server->own.backlogMs = std::max(0.0, server->own.backlogMs - sent.prefillMs);
    }
    if (server->waiting.empty())
        server->own.backlogMs = 0.0;
    server->own.inFlight -= server->own.inFlight > 0 ? 1 : 0;
    if (sent.waiting)
        workChanged(sent.prefillMs);
    server->health.recordOutcome(outcome, now);
    if (outcome == AttemptOutcome::WrongServer)
        server->misdirectedAt = now;
    // A server that can't be reached may be starting again, cold and with an empty memory.
    if (outcome == AttemptOutcome::ConnectFailed)
        markCold(*server, now);
}

const DirectServer *ServerSelector::server(const ServerId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second.entry;
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
    return found == m_servers.end() ? 0 : found->second.own.inFlight;
}

std::optional<ServerSelector::Tier>
ServerSelector::tier(const Server &server, const RequestTraits &traits, TimePoint now) const
{
    const DirectServer &entry = server.entry;
    if (entry.pool != traits.pool || entry.draining || m_zonesOut.contains(entry.zone)
        || traits.excluded.contains(entry.id))
        return std::nullopt;
    const bool misdirected
            = server.misdirectedAt != TimePoint() && now - server.misdirectedAt < misdirectedPause;
    if (misdirected)
        return std::nullopt;
    if (server.missing || server.health.unreachable(now) || silent(server, now))
        return Tier::Unreachable;
    return server.health.ejected(now) ? Tier::Ejected : Tier::Healthy;
}

/// Requests wait, and nothing at all came from the server since the oldest of them was sent.
bool ServerSelector::silent(const Server &server, TimePoint now) const
{
    if (server.waiting.empty())
        return false;
    const TimePoint oldest = server.waiting.begin()->second;
    const Duration allowed
            = m_settings.unresponsiveTimeout + fromMilliseconds(server.own.backlogMs);
    return now - std::max(oldest, server.lastByteAt) > allowed;
}

ServerChoice ServerSelector::assess(const Server &server, const RouterLoad &work,
                                    const RequestTraits &traits, bool isHome) const
{
    ServerChoice choice;
    choice.server = server.entry.id;
    choice.backlogMs = work.backlogMs;
    const Prompt &prompt = traits.prompt;
    choice.cachedTokens = server.cache.held(prompt);
    if (isHome) {
        const double likely = homeLikelihood * static_cast<double>(prompt.sharedTokens());
        choice.cachedTokens = std::max(choice.cachedTokens, static_cast<std::uint32_t>(likely));
    }
    const double unread = static_cast<double>(prompt.tokens() - choice.cachedTokens);
    const double context = static_cast<double>(choice.cachedTokens) + unread / 2.0;
    choice.prefillMs = unread / m_settings.prefillTokensPerMs
                       + m_settings.attentionMsPerMillionPairs * unread * context / 1e6;
    return choice;
}

/// Time to wait and work done again, in milliseconds.
double ServerSelector::score(const Server &server, const RouterLoad &work,
                             const ServerChoice &choice, double leastReadMs,
                             const DirectPool *pool) const
{
    double score
            = server.entry.zone == m_settings.zone ? 0.0 : toMilliseconds(m_settings.zonePenalty);
    if (pool && pool->engine) {
        score += choice.backlogMs + m_settings.recomputeWeight * (choice.prefillMs - leastReadMs);
        score += runningCostMs * static_cast<double>(work.inFlight);
    } else {
        const double slots = std::max(1U, server.entry.slots);
        score += plainWorkMs * static_cast<double>(work.inFlight) / slots;
    }
    return score;
}

double ServerSelector::backlogLimitMs(const RequestTraits &traits, bool alone) const
{
    double limit
            = toMilliseconds(alone ? m_settings.standaloneBacklogLimit : m_settings.backlogLimit);
    limit *= toMilliseconds(traits.latencyObjective) / limitObjectiveMs;
    if (traits.previouslyRefused)
        limit *= m_settings.previouslyRefusedFactor;
    // Above the fair level the limit falls steeply; the level itself rises while all others have
    // what they ask for, so that capacity is not left idle.
    const double overuse = std::max(0.0, traits.customerUsageRatio - 1.0);
    return limit * std::max(m_settings.minOveruseFactor, 1.0 - m_settings.overuseSlope * overuse);
}

void ServerSelector::markCold(Server &server, TimePoint now)
{
    const DirectPool *pool = m_plan ? m_plan->pool(server.entry.pool) : nullptr;
    if (pool && pool->warmup > Duration::zero())
        coldUntil(server, now + pool->warmup, now);
    server.cache.clear();
}

/// The routers' turns at a server that has become cold are spread evenly over the interval, in the
/// order of their rendezvous weights: all of them learn of it within a tenth of a second.
void ServerSelector::coldUntil(Server &server, TimePoint until, TimePoint now)
{
    const bool wasCold = now < server.coldUntil;
    server.coldUntil = std::max(server.coldUntil, until);
    if (wasCold)
        return;
    const auto weight = [&](const RouterId &router) {
        return rendezvousWeight(server.key, stableHash(router.text()));
    };
    const std::uint64_t own = weight(m_settings.router);
    const auto before = std::count_if(m_routers.begin(), m_routers.end(),
                                      [&](const auto &seen) { return weight(seen.first) > own; });
    const double turn = static_cast<double>(before) / static_cast<double>(m_routers.size() + 1);
    server.coldSlotAt = now + fromMilliseconds(turn * toMilliseconds(coldInterval(server)));
}

/// @return time between two requests of this router to a cold server, so that all routers together
/// stay within what it bears
Duration ServerSelector::coldInterval(const Server &server) const
{
    const DirectPool *pool = m_plan ? m_plan->pool(server.entry.pool) : nullptr;
    const double own = 1000.0 / m_settings.coldRequestsPerS;
    if (!pool || pool->warmupRate <= 0.0)
        return fromMilliseconds(own);
    const double routers = static_cast<double>(m_routers.size()) + 1.0;
    return fromMilliseconds(std::max(own, 1000.0 * routers / pool->warmupRate));
}

ServerSelector::Server *ServerSelector::find(const ServerId &id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace bilberry::decision
