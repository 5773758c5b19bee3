#include "bilberry/router/problem.h"

#include <boost/json.hpp>

namespace bilberry::router {

namespace {

struct Description
{
    unsigned status;
    const char *name;
    const char *title;
};

Description describe(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::MissingKey:
        return {401, "missing-key", "An API key is required."};
    case RefusalKind::UnknownKey:
        return {401, "unknown-key", "The API key is unknown."};
    case RefusalKind::UnknownRoute:
        return {404, "unknown-route", "No route matches the path."};
    case RefusalKind::MalformedRequest:
        return {400, "malformed-request", "The request is malformed."};
    case RefusalKind::HeadTooLarge:
        return {431, "head-too-large", "The request head is too large."};
    case RefusalKind::BodyTooLarge:
        return {413, "body-too-large", "The request body is too large."};
    case RefusalKind::SlowSender:
        return {408, "slow-sender", "The request arrived too slowly."};
    case RefusalKind::CustomerQueueFull:
        return {429, "customer-queue-full", "Too many requests of this customer wait."};
    case RefusalKind::QueueFull:
        return {503, "queue-full", "Too many requests wait."};
    case RefusalKind::QueueTimeout:
        return {503, "queue-timeout", "No backend server became free in time."};
    case RefusalKind::NoConfiguration:
        return {503, "no-configuration", "The router has no configuration yet."};
    case RefusalKind::Stopping:
        return {503, "stopping", "The router is shutting down."};
    case RefusalKind::Overloaded:
        return {503, "overloaded", "The router is overloaded."};
    case RefusalKind::MemoryFull:
        return {503, "memory-full", "The router's memory is full."};
    case RefusalKind::Quarantined:
        return {422, "quarantined", "The request crashed backend servers before."};
    case RefusalKind::ClaimUnavailable:
        return {503, "claim-unavailable", "The request can't be recorded, so it may not run."};
    case RefusalKind::AlreadyClaimed:
        return {409, "already-claimed", "A request with this idempotency key was accepted."};
    case RefusalKind::ServerFailed:
        break;
    }
    return {502, "server-failed", "The backend server gave no whole answer."};
}

} // namespace

const char *toText(RefusalKind kind)
{
    return describe(kind).name;
}

const char *toText(RequestOutcome outcome)
{
    return outcome == RequestOutcome::NotRun ? "not-run" : "unknown";
}

Problem makeProblem(const ReplyRefusal &refusal)
{
    const Description description = describe(refusal.kind);
    Problem problem;
    problem.status = description.status;
    problem.type = std::string("urn:bilberrystile:problem:") + description.name;
    problem.title = description.title;
    boost::json::object body = {{"type", problem.type},
                                {"title", problem.title},
                                {"status", problem.status},
                                {"outcome", toText(refusal.outcome)}};
    if (!refusal.detail.empty())
        body["detail"] = refusal.detail;
    problem.body = boost::json::serialize(body);
    return problem;
}

} // namespace bilberry::router
