#include "bilberry/router/routercore.h"

#include "bilberry/base/digest.h"
#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::router {

namespace {

/// Requests that are described to an agent; grants beyond them go by the last value.
constexpr std::size_t demandDepth = 4;
/// Agents that got no dispatch meanwhile hear of a changed demand at most this often.
constexpr Duration demandGap = std::chrono::milliseconds(250);
constexpr std::uint32_t shortRetrySeconds = 1;
constexpr std::uint32_t longRetrySeconds = 5;

std::uint64_t fingerprintOf(const Submit &submit)
{
    return decision::stableHash(submit.customer.text() + '\n' + submit.method + '\n' + submit.target
                                + '\n' + submit.body);
}

std::string claimNameOf(const Submit &submit)
{
    return "claims/" + submit.customer.text() + '/' + sha256Hex(submit.idempotencyKey);
}

decision::QueueOrder orderOf(FairnessMode mode)
{
    return mode == FairnessMode::Fifo ? decision::QueueOrder::FirstInFirstOut
                                      : decision::QueueOrder::Fair;
}

} // namespace

RouterCore::RouterCore(const RouterSettings &settings, Incarnation incarnation, RouterHooks hooks,
                       decision::RandomIndexHook random)
    : m_settings(settings), m_hooks(std::move(hooks)), m_lastAttempt(incarnation),
      m_ledger({std::chrono::seconds(1), settings.catchUpCap,
                settings.fairness == FairnessMode::Fleet}),
      m_placement(std::move(random))
{
}

void RouterCore::caller(CallerEvent &&event, TimePoint now)
{
    std::visit([&](auto &alternative) { this->event(alternative, now); }, event);
}

void RouterCore::received(const ServerId &server, wire::LinkMessage &&message, TimePoint now)
{
    if (m_agents.contains(server))
        std::visit([&](auto &alternative) { handle(server, alternative, now); }, message);
}

RouterCore::PoolQueue &RouterCore::poolQueue(const PoolId &pool)
{
    const auto found = m_queues.find(pool);
    if (found != m_queues.end())
        return found->second;
    decision::FairQueue queue(orderOf(m_settings.fairness), m_settings.queueLimit);
    return m_queues.emplace(pool, PoolQueue{std::move(queue), false, false, {}}).first->second;
}

std::size_t RouterCore::waiting(const PoolId &pool) const
{
    const auto found = m_queues.find(pool);
    return found == m_queues.end() ? 0 : found->second.queue.size();
}

double RouterCore::share(const CustomerId &customer) const
{
    const Customer *found = m_configuration ? m_configuration->customer(customer) : nullptr;
    return found ? found->share : 1.0;
}

decision::ServiceKey RouterCore::keyOf(const Request &request) const
{
    return {request.submit.pool, request.submit.customer};
}

decision::PriorityLookup RouterCore::standing(const PoolId &pool, TimePoint now) const
{
    return [this, pool, now](const CustomerId &customer) {
        const decision::ServiceKey key{pool, customer};
        return decision::CustomerPriority{m_ledger.virtualTime(key, now),
                                          m_estimator.estimate(key, std::nullopt)
                                                  / share(customer)};
    };
}

void RouterCore::event(Submit &submit, TimePoint now)
{
    ++m_counts.submitted;
    const RequestId id = submit.request;
    Request &request = m_requests[id];
    request.submit = std::move(submit);
    request.arrivedAt = now;
    request.fingerprint = fingerprintOf(request.submit);
    if (!request.submit.mayRepeat && !request.submit.idempotencyKey.empty())
        request.claimName = claimNameOf(request.submit);
    m_retryBudgets[request.submit.pool].recordRequest();
    if (m_quarantine.isQuarantined(request.fingerprint)) {
        refuse(id, RefusalKind::Quarantined, RequestOutcome::NotRun, 0, now);
        return;
    }
    // A request with a claim takes its grant first, so that no claim is made for a request that
    // can't run.
    const bool mayTry = request.claimName.empty() && poolQueue(request.submit.pool).queue.empty();
    if (!mayTry || !dispatchAtOnce(id, request, now))
        enqueue(id, request, now);
}

void RouterCore::event(CallerGone &gone, TimePoint)
{
    const auto found = m_requests.find(gone.request);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    request.callerGone = true;
    if (request.stage == Stage::Queued) {
        finishClaim(request, false);
        const PoolId pool = request.submit.pool;
        const CustomerId customer = request.submit.customer;
        poolQueue(pool).queue.remove(gone.request);
        leaveQueue(pool, customer);
        m_requests.erase(found);
        return;
    }
    if (request.stage != Stage::Running)
        return;
    // A request that may not be repeated runs to its end: cutting it off would leave its outcome
    // open. Nobody reads its answer, so that it must not wait for credit.
    if (request.submit.mayRepeat)
        m_hooks.send(request.server, wire::Cancel{request.attempt});
    else
        m_hooks.send(request.server, wire::AnswerCredit{request.attempt, wire::unlimitedCredit});
}

void RouterCore::event(CallerDrained &drained, TimePoint)
{
    const auto found = m_requests.find(drained.request);
    if (found != m_requests.end() && found->second.stage == Stage::Running)
        m_hooks.send(found->second.server,
                     wire::AnswerCredit{found->second.attempt, drained.bytes});
}

bool RouterCore::dispatchAtOnce(RequestId id, Request &request, TimePoint now)
{
    const auto usable = [this](const ZoneId &zone) {
        return m_configuration && !m_configuration->zoneIsOut(zone);
    };
    const auto server = m_placement.choose(request.submit.pool, request.refusedBy, usable);
    if (!server)
        return false;
    dispatch(id, request, *server, 0, now);
    return true;
}

void RouterCore::dispatch(RequestId id, Request &request, const ServerId &server,
                          std::uint64_t grant, TimePoint now)
{
    const decision::ServiceKey key = keyOf(request);
    const double virtualTime = m_ledger.virtualTime(key, now);
    request.stage = Stage::Running;
    request.server = server;
    request.grant = grant;
    request.attempt = ++m_lastAttempt;
    request.sequence = {};
    m_requestOf[request.attempt] = id;
    m_charges.chargeEstimate(request.attempt, key, share(request.submit.customer),
                             m_estimator.estimate(key, request.submit.costHint));
    if (grant == 0)
        m_ledger.raisePoolVirtualTime(key.pool, virtualTime);
    m_placement.recordDispatch(server);
    wire::Dispatch message;
    message.attempt = request.attempt;
    message.grantId = grant;
    message.agentIncarnation = m_agents[server].incarnation;
    message.customer = request.submit.customer;
    message.virtualTime = virtualTime;
    message.fingerprint = request.fingerprint;
    message.mayRepeat = request.submit.mayRepeat;
    message.method = request.submit.method;
    message.target = request.submit.target;
    message.headers = request.submit.headers;
    message.body = request.submit.body;
    message.demand = demand(key.pool, now);
    m_agents[server].demandAt = now;
    // The agent runs a suspect apart from others, so it has to know before.
    if (m_quarantine.isSuspect(request.fingerprint))
        m_hooks.send(server, wire::QuarantineNotice{request.fingerprint,
                                                    m_quarantine.crashes(request.fingerprint)});
    m_hooks.send(server, std::move(message));
}

void RouterCore::enqueue(RequestId id, Request &request, TimePoint now)
{
    const PoolId pool = request.submit.pool;
    const CustomerId customer = request.submit.customer;
    const BackendPool *rules = m_configuration ? m_configuration->pool(pool) : nullptr;
    PoolQueue &queue = poolQueue(pool);
    const auto pushed = queue.queue.push(id, customer, rules ? rules->queueLimit : 1);
    if (pushed != decision::PushResult::Queued) {
        const bool customerFull = pushed == decision::PushResult::CustomerFull;
        refuse(id, customerFull ? RefusalKind::CustomerQueueFull : RefusalKind::QueueFull,
               RequestOutcome::NotRun, shortRetrySeconds, now);
        return;
    }
    request.stage = Stage::Queued;
    m_ledger.setBacklogged({pool, customer}, now);
    queue.demandStale = true;
    if (!queue.demandStands)
        refreshDemand(pool, queue, now);
}

void RouterCore::requeue(RequestId id, Request &request, TimePoint now)
{
    const PoolId pool = request.submit.pool;
    PoolQueue &queue = poolQueue(pool);
    request.stage = Stage::Queued;
    queue.queue.pushFront(id, request.submit.customer);
    m_ledger.setBacklogged(keyOf(request), now);
    queue.demandStale = true;
    if (!queue.demandStands)
        refreshDemand(pool, queue, now);
}

void RouterCore::leaveQueue(const PoolId &pool, const CustomerId &customer)
{
    PoolQueue &queue = poolQueue(pool);
    queue.demandStale = true;
    if (!queue.queue.hasWaiting(customer))
        m_ledger.setIdle({pool, customer});
}

void RouterCore::useGrant(const ServerId &server, std::uint64_t grant, TimePoint now)
{
    const PoolId pool = m_agents[server].pool;
    PoolQueue &queue = poolQueue(pool);
    const auto next = queue.queue.pop(standing(pool, now));
    if (!next) {
        returnGrant(server, grant, now);
        return;
    }
    leaveQueue(pool, next->customer);
    Request &request = m_requests[next->request];
    if (request.claimName.empty() || request.claimHeld) {
        dispatch(next->request, request, server, grant, now);
        return;
    }
    request.stage = Stage::Claiming;
    request.server = server;
    request.grant = grant;
    m_hooks.claim(OpenClaim{next->request, request.claimName});
}

void RouterCore::returnGrant(const ServerId &server, std::uint64_t grant, TimePoint now)
{
    const auto agent = m_agents.find(server);
    if (agent == m_agents.end())
        return;
    agent->second.demandAt = now;
    m_hooks.send(server, wire::GrantReturn{grant, demand(agent->second.pool, now)});
}

void RouterCore::claimOpened(const ClaimOpened &opened, TimePoint now)
{
    const auto found = m_requests.find(opened.request);
    if (found == m_requests.end() || found->second.stage != Stage::Claiming)
        return;
    Request &request = found->second;
    const ServerId server = request.server;
    const std::uint64_t grant = request.grant;
    if (opened.result == ClaimResult::Taken) {
        returnGrant(server, grant, now);
        refuse(opened.request, RefusalKind::AlreadyClaimed, RequestOutcome::Unknown, 0, now,
               opened.detail);
        return;
    }
    if (opened.result == ClaimResult::Refused) {
        returnGrant(server, grant, now);
        refuse(opened.request, RefusalKind::ClaimUnavailable, RequestOutcome::NotRun,
               longRetrySeconds, now);
        return;
    }
    request.claimHeld = true;
    if (request.callerGone) {
        returnGrant(server, grant, now);
        finishClaim(request, false);
        m_requests.erase(found);
        return;
    }
    if (m_agents.contains(server))
        dispatch(opened.request, request, server, grant, now);
    else
        requeue(opened.request, request, now);
}

void RouterCore::finishClaim(Request &request, bool ran)
{
    if (!request.claimHeld)
        return;
    request.claimHeld = false;
    if (ran)
        m_hooks.claim(FinishClaim{request.submit.request, request.status});
    else
        m_hooks.claim(ReleaseClaim{request.submit.request});
}

void RouterCore::agentUp(const wire::AgentHello &hello, TimePoint now)
{
    m_agents[hello.server] = {hello.incarnation, hello.pool, hello.zone, {}};
    takeLoad(hello.server, hello.load);
    PoolQueue &queue = poolQueue(hello.pool);
    queue.demandStale = queue.demandStale || !queue.queue.empty();
    if (!queue.queue.empty())
        m_hooks.send(hello.server, demand(hello.pool, now));
    for (const wire::QuarantineNotice &notice : quarantineEntries())
        m_hooks.send(hello.server, wire::QuarantineNotice(notice));
}

void RouterCore::agentDown(const ServerId &server, TimePoint now)
{
    m_agents.erase(server);
    m_placement.remove(server);
    std::vector<RequestId> lost;
    for (const auto &[id, request] : m_requests) {
        if (request.stage == Stage::Running && request.server == server)
            lost.push_back(id);
    }
    for (const RequestId id : lost)
        attemptFailed(id, m_requests[id], now);
}

void RouterCore::takeLoad(const ServerId &server, const wire::ServerLoad &load)
{
    const Agent &agent = m_agents[server];
    m_placement.update(server, {agent.pool, agent.zone, load.window, load.running, load.held,
                                load.accepting, load.contended});
    if (load.contended)
        m_ledger.setPoolVirtualTime(agent.pool, load.virtualTime);
    else
        m_ledger.raisePoolVirtualTime(agent.pool, load.virtualTime);
}

void RouterCore::handle(const ServerId &server, wire::AgentHeartbeat &message, TimePoint)
{
    takeLoad(server, message.load);
}

void RouterCore::handle(const ServerId &server, wire::Grant &message, TimePoint now)
{
    takeLoad(server, message.load);
    useGrant(server, message.grantId, now);
}

void RouterCore::setConfiguration(ConfigurationPtr configuration, TimePoint)
{
    m_configuration = std::move(configuration);
}

void RouterCore::applyRemote(const decision::ServiceKey &key, const decision::RemoteService &remote,
                             bool aggregatorChanged, TimePoint now)
{
    m_ledger.applyRemote(key, remote, aggregatorChanged, now);
}

wire::Demand RouterCore::demand(const PoolId &pool, TimePoint now)
{
    const PoolQueue &queue = poolQueue(pool);
    return {static_cast<std::uint32_t>(queue.queue.size()),
            queue.queue.nextVirtualTimes(standing(pool, now), demandDepth)};
}

void RouterCore::refreshDemand(const PoolId &pool, PoolQueue &queue, TimePoint now)
{
    const wire::Demand present = demand(pool, now);
    // Dispatches carry the demand, so that busy agents know it already.
    const bool tellAll = !queue.demandStands || present.waiting == 0;
    queue.demandStale = false;
    queue.demandStands = present.waiting > 0;
    queue.demandAt = now;
    for (const ServerId &server : m_placement.agents(pool)) {
        Agent &agent = m_agents[server];
        if (!tellAll && now - agent.demandAt < demandGap) {
            queue.demandStale = true;
            continue;
        }
        agent.demandAt = now;
        m_hooks.send(server, wire::Demand(present));
    }
}

void RouterCore::refreshDemands(TimePoint now)
{
    for (auto &[pool, queue] : m_queues) {
        const bool withdrawn = queue.demandStands && queue.queue.empty();
        if (queue.demandStale && (withdrawn || now - queue.demandAt >= demandGap))
            refreshDemand(pool, queue, now);
    }
}

void RouterCore::expireQueued(TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, request] : m_requests) {
        if (request.stage == Stage::Queued && now - request.arrivedAt > m_settings.queueTimeLimit)
            expired.push_back(id);
    }
    for (const RequestId id : expired) {
        const Request &request = m_requests[id];
        const PoolId pool = request.submit.pool;
        const CustomerId customer = request.submit.customer;
        poolQueue(pool).queue.remove(id);
        leaveQueue(pool, customer);
        refuse(id, RefusalKind::QueueTimeout, RequestOutcome::NotRun, shortRetrySeconds, now);
    }
}

void RouterCore::tick(TimePoint now)
{
    m_charges.chargeElapsed(now);
    m_ledger.capCatchUp(now);
    expireQueued(now);
    refreshDemands(now);
    m_quarantine.expire(now);
    m_burn.expire(now);
}

} // namespace bilberry::router
