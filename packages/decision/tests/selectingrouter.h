#ifndef BILBERRY_DECISION_TESTS_SELECTINGROUTER_H
#define BILBERRY_DECISION_TESTS_SELECTINGROUTER_H

#include "bilberry/decision/serverselector.h"

#include <string>
#include <vector>

namespace bilberry::decision {

inline const PoolId models("models");
inline const ZoneId nearZone("a");
inline const ZoneId farZone("b");

inline TrafficPlanPtr planWithEngines()
{
    TrafficPlanParts parts;
    DirectPool pool;
    pool.id = models;
    pool.maxConnections = 1000;
    pool.warmup = std::chrono::seconds(3);
    pool.warmupRate = 8.0;
    pool.engine = EngineTraits{64, 500000};
    parts.pools.emplace(models, pool);
    return std::make_shared<const TrafficPlan>(TrafficPlan::create(1, parts).value());
}

inline DirectServer serverNamed(const std::string &name, const ZoneId &zone = nearZone)
{
    DirectServer server;
    server.id = ServerId(name);
    server.pool = models;
    server.zone = zone;
    server.address = "127.0.0.1";
    server.port = 1;
    server.startedAtMs = 1;
    return server;
}

/// @return a prompt with a shared prefix and a part of its own
inline Prompt prompt(std::uint64_t shared, std::uint64_t own, std::uint32_t sharedTokens = 13000,
                     std::uint32_t ownTokens = 3000)
{
    return Prompt("m", {{shared, sharedTokens}, {1000000 + own, ownTokens}});
}

/// A router's selector for a pool of language model servers, and the attempts under way.
struct SelectingRouter
{
    explicit SelectingRouter(int servers, ServerSelectorSettings settings = {})
        : selector(withZone(settings))
    {
        selector.setPlan(planWithEngines());
        for (int i = 0; i < servers; ++i)
            selector.update(serverNamed("s" + std::to_string(i)), now);
    }

    static ServerSelectorSettings withZone(ServerSelectorSettings settings)
    {
        settings.zone = nearZone;
        return settings;
    }

    RequestTraits traits(const Prompt &prompt) const
    {
        RequestTraits result;
        result.pool = models;
        result.prompt = prompt;
        return result;
    }

    /// Chooses a server for the request and starts an attempt there.
    Result<ServerChoice> send(const RequestTraits &request)
    {
        const auto choice = selector.choose(request, now);
        if (choice)
            attempts.push_back(selector.startAttempt(choice.value(), request, now));
        return choice;
    }

    void finishAll(AttemptOutcome outcome = AttemptOutcome::Answered)
    {
        for (const AttemptNumber attempt : attempts) {
            selector.recordFirstByte(attempt, now);
            selector.endAttempt(attempt, outcome, now);
        }
        attempts.clear();
    }

    TimePoint now = TimePoint() + std::chrono::hours(1);
    ServerSelector selector;
    std::vector<AttemptNumber> attempts;
};

} // namespace bilberry::decision

#endif
