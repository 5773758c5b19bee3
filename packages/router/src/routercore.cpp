#include "bilberry/router/routercore.h"

#include "bilberry/base/digest.h"
#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::router {

namespace {

/// Virtual times listed in one demand; the agent uses the last one for further grants.
constexpr std::size_t maxVirtualTimesPerDemand = 4;
/// Minimum time between two demands to the same agent; dispatches also carry the demand.
constexpr Duration minDemandInterval = std::chrono::milliseconds(250);
constexpr std::uint32_t shortRetryAfterSeconds = 1;
constexpr std::uint32_t longRetryAfterSeconds = 5;

std::uint64_t fingerprintOf(const SubmittedRequest &submitted)
{
    return decision::stableHash(submitted.customer.text() + '\n' + submitted.method + '\n'
                                + submitted.target + '\n' + submitted.body);
}

std::string claimNameOf(const SubmittedRequest &submitted)
{
    return "claims/" + submitted.customer.text() + '/' + sha256Hex(submitted.idempotencyKey);
}

decision::QueueOrder queueOrderOf(FairnessMode mode)
{
    return mode == FairnessMode::Fifo ? decision::QueueOrder::FirstInFirstOut
                                      : decision::QueueOrder::Fair;
}

} // namespace

RouterCore::RouterCore(const RouterSettings &settings, Incarnation incarnation,
                       RouterCoreHooks hooks, decision::RandomIndexHook random)
    : m_settings(settings), m_hooks(std::move(hooks)), m_lastAttempt(incarnation),
      m_virtualTimes({std::chrono::seconds(1), settings.catchUpCapMs,
                      settings.fairness == FairnessMode::Fleet}),
      m_placement(std::move(random))
{
}

void RouterCore::handleCallerEvent(CallerEvent &&event, TimePoint now)
{
    std::visit([&](auto &alternative) { this->handleEvent(alternative, now); }, event);
}

void RouterCore::handleAgentMessage(const ServerId &server, wire::LinkMessage &&message,
                                    TimePoint now)
{
    if (m_agents.contains(server))
        std::visit([&](auto &alternative) { handle(server, alternative, now); }, message);
}

RouterCore::PoolQueue &RouterCore::poolQueue(const PoolId &pool)
{
    const auto found = m_queues.find(pool);
    if (found != m_queues.end())
        return found->second;
    decision::FairQueue queue(queueOrderOf(m_settings.fairness), m_settings.queueLimit);
    return m_queues.emplace(pool, PoolQueue{std::move(queue), false, false, {}}).first->second;
}

std::size_t RouterCore::waitingRequests(const PoolId &pool) const
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
    return {request.submitted.pool, request.submitted.customer};
}

decision::PriorityLookup RouterCore::customerPriorities(const PoolId &pool, TimePoint now) const
{
    return [this, pool, now](const CustomerId &customer) {
        const decision::ServiceKey key{pool, customer};
        return decision::CustomerPriority{m_virtualTimes.virtualTime(key, now),
                                          m_estimator.estimate(key, std::nullopt)
                                                  / share(customer)};
    };
}

void RouterCore::handleEvent(SubmittedRequest &submitted, TimePoint now)
{
    ++m_counters.submitted;
    const RequestId id = submitted.request;
    Request &request = m_requests[id];
    request.submitted = std::move(submitted);
    request.arrivedAt = now;
    request.fingerprint = fingerprintOf(request.submitted);
    if (!request.submitted.mayRepeat && !request.submitted.idempotencyKey.empty())
        request.claimName = claimNameOf(request.submitted);
    m_retryBudgets[request.submitted.pool].recordRequest();
    if (m_quarantine.isQuarantined(request.fingerprint)) {
        refuse(id, RefusalKind::Quarantined, RequestOutcome::NotRun, 0, now);
        return;
    }
    // A request that needs a claim waits for a grant first, so that no claim is created for a
    // request that can't run.
    const bool mayDispatch
            = request.claimName.empty() && poolQueue(request.submitted.pool).queue.empty();
    if (!mayDispatch || !dispatchWithoutGrant(id, request, now))
        enqueue(id, request, now);
}

void RouterCore::handleEvent(CallerDisconnected &disconnected, TimePoint)
{
    const auto found = m_requests.find(disconnected.request);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    request.callerDisconnected = true;
    if (request.stage == Stage::Queued) {
        endClaim(request, false);
        const PoolId pool = request.submitted.pool;
        const CustomerId customer = request.submitted.customer;
        poolQueue(pool).queue.remove(disconnected.request);
        updateAfterDequeue(pool, customer);
        m_requests.erase(found);
        return;
    }
    releaseBody(request);
    if (request.stage != Stage::Running)
        return;
    // A request that may not be repeated runs to completion: cancelling it would leave its outcome
    // unknown. Nobody reads its answer, so it gets unlimited credit.
    if (request.submitted.mayRepeat)
        m_hooks.sendToAgent(request.server, wire::Cancel{request.attempt});
    else
        m_hooks.sendToAgent(request.server,
                            wire::AnswerCredit{request.attempt, wire::unlimitedCredit});
}

void RouterCore::handleEvent(AnswerBytesWritten &written, TimePoint)
{
    const auto found = m_requests.find(written.request);
    if (found != m_requests.end() && found->second.stage == Stage::Running)
        m_hooks.sendToAgent(found->second.server,
                            wire::AnswerCredit{found->second.attempt, written.bytes});
}

bool RouterCore::dispatchWithoutGrant(RequestId id, Request &request, TimePoint now)
{
    const auto isUsable = [this](const ZoneId &zone) {
        return m_configuration && !m_configuration->isZoneOutOfService(zone);
    };
    const auto server = m_placement.choose(request.submitted.pool, request.refusedBy, isUsable);
    if (!server)
        return false;
    dispatch(id, request, *server, 0, now);
    return true;
}

void RouterCore::dispatch(RequestId id, Request &request, const ServerId &server,
                          std::uint64_t grantId, TimePoint now)
{
    const decision::ServiceKey key = keyOf(request);
    const double virtualTime = m_virtualTimes.virtualTime(key, now);
    request.stage = Stage::Running;
    request.server = server;
    request.grantId = grantId;
    request.attempt = ++m_lastAttempt;
    request.sequence = {};
    m_requestByAttempt[request.attempt] = id;
    m_inFlightCharges.chargeEstimate(request.attempt, key, share(request.submitted.customer),
                                     m_estimator.estimate(key, request.submitted.costHint));
    if (grantId == 0)
        m_virtualTimes.raisePoolVirtualTime(key.pool, virtualTime);
    m_placement.recordDispatch(server);
    wire::Dispatch message;
    message.attempt = request.attempt;
    message.grantId = grantId;
    message.agentIncarnation = m_agents[server].incarnation;
    message.customer = request.submitted.customer;
    message.virtualTime = virtualTime;
    message.fingerprint = request.fingerprint;
    message.mayRepeat = request.submitted.mayRepeat;
    message.method = request.submitted.method;
    message.target = request.submitted.target;
    message.headers = request.submitted.headers;
    message.body = request.submitted.body;
    message.demand = currentDemand(key.pool, now);
    m_agents[server].demandSentAt = now;
    // The agent runs a suspected request in isolation, so the notice precedes the dispatch.
    if (m_quarantine.isSuspect(request.fingerprint))
        m_hooks.sendToAgent(server,
                            wire::QuarantineNotice{request.fingerprint,
                                                   m_quarantine.crashes(request.fingerprint)});
    m_hooks.sendToAgent(server, std::move(message));
}

void RouterCore::enqueue(RequestId id, Request &request, TimePoint now)
{
    const PoolId pool = request.submitted.pool;
    const CustomerId customer = request.submitted.customer;
    const BackendPool *backendPool = m_configuration ? m_configuration->pool(pool) : nullptr;
    PoolQueue &queue = poolQueue(pool);
    const auto pushed = queue.queue.push(id, customer, backendPool ? backendPool->queueLimit : 1);
    if (pushed != decision::PushResult::Queued) {
        const bool customerFull = pushed == decision::PushResult::CustomerFull;
        refuse(id, customerFull ? RefusalKind::CustomerQueueFull : RefusalKind::QueueFull,
               RequestOutcome::NotRun, shortRetryAfterSeconds, now);
        return;
    }
    request.stage = Stage::Queued;
    m_virtualTimes.setBacklogged({pool, customer}, now);
    queue.demandChanged = true;
    if (!queue.demandAnnounced)
        sendDemand(pool, queue, now);
}

void RouterCore::requeue(RequestId id, Request &request, TimePoint now)
{
    const PoolId pool = request.submitted.pool;
    PoolQueue &queue = poolQueue(pool);
    request.stage = Stage::Queued;
    queue.queue.pushFront(id, request.submitted.customer);
    m_virtualTimes.setBacklogged(keyOf(request), now);
    queue.demandChanged = true;
    if (!queue.demandAnnounced)
        sendDemand(pool, queue, now);
}

void RouterCore::updateAfterDequeue(const PoolId &pool, const CustomerId &customer)
{
    PoolQueue &queue = poolQueue(pool);
    queue.demandChanged = true;
    if (!queue.queue.hasWaiting(customer))
        m_virtualTimes.setIdle({pool, customer});
}

void RouterCore::useGrant(const ServerId &server, std::uint64_t grantId, TimePoint now)
{
    const PoolId pool = m_agents[server].pool;
    PoolQueue &queue = poolQueue(pool);
    const auto next = queue.queue.pop(customerPriorities(pool, now));
    if (!next) {
        returnGrant(server, grantId, now);
        return;
    }
    updateAfterDequeue(pool, next->customer);
    Request &request = m_requests[next->request];
    if (request.claimName.empty() || request.claimHeld) {
        dispatch(next->request, request, server, grantId, now);
        return;
    }
    request.stage = Stage::Claiming;
    request.server = server;
    request.grantId = grantId;
    m_hooks.sendClaimCommand(OpenClaim{next->request, request.claimName});
}

void RouterCore::returnGrant(const ServerId &server, std::uint64_t grantId, TimePoint now)
{
    const auto agent = m_agents.find(server);
    if (agent == m_agents.end())
        return;
    agent->second.demandSentAt = now;
    m_hooks.sendToAgent(server, wire::GrantReturn{grantId, currentDemand(agent->second.pool, now)});
}

void RouterCore::handleOpenClaimReply(const OpenClaimReply &reply, TimePoint now)
{
    const auto found = m_requests.find(reply.request);
    if (found == m_requests.end() || found->second.stage != Stage::Claiming)
        return;
    Request &request = found->second;
    const ServerId server = request.server;
    const std::uint64_t grantId = request.grantId;
    if (reply.result == ClaimResult::Taken) {
        returnGrant(server, grantId, now);
        refuse(reply.request, RefusalKind::AlreadyClaimed, RequestOutcome::Unknown, 0, now,
               reply.detail);
        return;
    }
    if (reply.result == ClaimResult::Refused) {
        returnGrant(server, grantId, now);
        refuse(reply.request, RefusalKind::ClaimUnavailable, RequestOutcome::NotRun,
               longRetryAfterSeconds, now);
        return;
    }
    request.claimHeld = true;
    if (request.callerDisconnected) {
        returnGrant(server, grantId, now);
        endClaim(request, false);
        m_requests.erase(found);
        return;
    }
    if (m_agents.contains(server))
        dispatch(reply.request, request, server, grantId, now);
    else
        requeue(reply.request, request, now);
}

void RouterCore::endClaim(Request &request, bool ran)
{
    if (!request.claimHeld)
        return;
    request.claimHeld = false;
    if (ran)
        m_hooks.sendClaimCommand(FinishClaim{request.submitted.request, request.status});
    else
        m_hooks.sendClaimCommand(ReleaseClaim{request.submitted.request});
}

void RouterCore::addAgent(const wire::AgentHello &hello, TimePoint now)
{
    m_agents[hello.server] = {hello.incarnation, hello.pool, hello.zone, {}};
    applyLoad(hello.server, hello.load);
    PoolQueue &queue = poolQueue(hello.pool);
    queue.demandChanged = queue.demandChanged || !queue.queue.empty();
    if (!queue.queue.empty())
        m_hooks.sendToAgent(hello.server, currentDemand(hello.pool, now));
    for (const wire::QuarantineNotice &notice : quarantineEntries())
        m_hooks.sendToAgent(hello.server, wire::QuarantineNotice(notice));
}

void RouterCore::removeAgent(const ServerId &server, TimePoint now)
{
    m_agents.erase(server);
    m_placement.remove(server);
    std::vector<RequestId> lost;
    for (const auto &[id, request] : m_requests) {
        if (request.stage == Stage::Running && request.server == server)
            lost.push_back(id);
    }
    for (const RequestId id : lost)
        failAttempt(id, m_requests[id], now);
}

void RouterCore::applyLoad(const ServerId &server, const wire::ServerLoad &load)
{
    const Agent &agent = m_agents[server];
    m_placement.update(server, {agent.pool, agent.zone, load.window, load.running, load.held,
                                load.accepting, load.contended});
    if (load.contended)
        m_virtualTimes.setPoolVirtualTime(agent.pool, load.virtualTime);
    else
        m_virtualTimes.raisePoolVirtualTime(agent.pool, load.virtualTime);
}

void RouterCore::handle(const ServerId &server, wire::AgentHeartbeat &message, TimePoint)
{
    applyLoad(server, message.load);
}

void RouterCore::handle(const ServerId &server, wire::Grant &message, TimePoint now)
{
    applyLoad(server, message.load);
    useGrant(server, message.grantId, now);
}

void RouterCore::setConfiguration(ConfigurationPtr configuration, TimePoint)
{
    m_configuration = std::move(configuration);
}

void RouterCore::applyRemoteService(const decision::ServiceKey &key,
                                    const decision::RemoteService &remote, bool aggregatorChanged,
                                    TimePoint now)
{
    m_virtualTimes.applyRemote(key, remote, aggregatorChanged, now);
}

wire::Demand RouterCore::currentDemand(const PoolId &pool, TimePoint now)
{
    const PoolQueue &queue = poolQueue(pool);
    return {static_cast<std::uint32_t>(queue.queue.size()),
            queue.queue.nextVirtualTimes(customerPriorities(pool, now), maxVirtualTimesPerDemand)};
}

void RouterCore::sendDemand(const PoolId &pool, PoolQueue &queue, TimePoint now)
{
    const wire::Demand current = currentDemand(pool, now);
    // Dispatches carry the demand, so busy agents already have it.
    const bool sendToAll = !queue.demandAnnounced || current.waiting == 0;
    queue.demandChanged = false;
    queue.demandAnnounced = current.waiting > 0;
    queue.demandSentAt = now;
    for (const ServerId &server : m_placement.agents(pool)) {
        Agent &agent = m_agents[server];
        if (!sendToAll && now - agent.demandSentAt < minDemandInterval) {
            queue.demandChanged = true;
            continue;
        }
        agent.demandSentAt = now;
        m_hooks.sendToAgent(server, wire::Demand(current));
    }
}

void RouterCore::sendChangedDemands(TimePoint now)
{
    for (auto &[pool, queue] : m_queues) {
        const bool withdrawn = queue.demandAnnounced && queue.queue.empty();
        if (queue.demandChanged && (withdrawn || now - queue.demandSentAt >= minDemandInterval))
            sendDemand(pool, queue, now);
    }
}

void RouterCore::expireQueued(TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, request] : m_requests) {
        if (request.stage == Stage::Queued && now - request.arrivedAt > m_settings.queueTimeout)
            expired.push_back(id);
    }
    for (const RequestId id : expired) {
        const Request &request = m_requests[id];
        const PoolId pool = request.submitted.pool;
        const CustomerId customer = request.submitted.customer;
        poolQueue(pool).queue.remove(id);
        updateAfterDequeue(pool, customer);
        refuse(id, RefusalKind::QueueTimeout, RequestOutcome::NotRun, shortRetryAfterSeconds, now);
    }
}

void RouterCore::tick(TimePoint now)
{
    m_inFlightCharges.chargeElapsed(now);
    m_virtualTimes.capCatchUp(now);
    expireQueued(now);
    sendChangedDemands(now);
    m_quarantine.expire(now);
    m_burn.expire(now);
}

} // namespace bilberry::router
