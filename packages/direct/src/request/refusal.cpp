#include "request/refusal.h"

#include <algorithm>
#include <sstream>

namespace bilberry::direct {

namespace {

/// Range of Retry-After, in milliseconds.
constexpr double minRetryAfterMs = 300.0;
constexpr double maxRetryAfterMs = 900.0;
/// The same for overload, in latency objectives.
constexpr double minRetryAfterObjectives = 0.2;
constexpr double maxRetryAfterObjectives = 0.5;
/// Callers ignore a Retry-After above this fraction of their remaining time.
constexpr double maxRetryAfterFraction = 1.0 / 3.0;

Duration randomRetryAfter(double minMs, double maxMs, Duration remaining, std::mt19937_64 &random)
{
    const Duration delay
            = fromMilliseconds(std::uniform_real_distribution<double>(minMs, maxMs)(random));
    if (remaining == Duration::max())
        return delay;
    const Duration limit = fromMilliseconds(maxRetryAfterFraction * toMilliseconds(remaining));
    return std::max(std::min(delay, limit), Duration::zero());
}

struct Description
{
    unsigned status;
    const char *name;
    const char *title;
};

Description describe(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MissingKey:
        return {401, "missing-key", "An API key is required."};
    case RefusalReason::UnknownKey:
        return {401, "unknown-key", "The API key is unknown."};
    case RefusalReason::UnknownRoute:
        return {404, "unknown-route", "No route matches host and path."};
    case RefusalReason::Malformed:
        return {400, "malformed-request", "The request is malformed."};
    case RefusalReason::HeadTooLarge:
        return {431, "head-too-large", "The request head is too large."};
    case RefusalReason::BodyTooLarge:
        return {413, "body-too-large", "The request body is too large."};
    case RefusalReason::SlowSender:
        return {408, "slow-sender", "The request arrived too slowly."};
    case RefusalReason::MemoryFull:
        return {503, "memory-full", "The router's memory is full; it did not run the request."};
    case RefusalReason::Stopping:
        return {503, "stopping", "The router is shutting down; it did not run the request."};
    case RefusalReason::NoPlan:
        return {503, "no-plan", "The router has no plan of routes yet."};
    case RefusalReason::StalePlan:
        return {503, "stale-plan", "The router can't prove that the API key still holds."};
    case RefusalReason::Overloaded:
        return {503, "overloaded", "Each backend server would answer too late."};
    case RefusalReason::NoServer:
        return {503, "no-server", "No backend server may take the request."};
    case RefusalReason::CrashesServers:
        return {503, "crashes-servers",
                "Requests like it crashed backend servers; it did not run."};
    case RefusalReason::NotAccepted:
        return {503, "not-accepted", "The backend servers refused the request; it did not run."};
    case RefusalReason::TimedOut:
        return {504, "timed-out", "The request's time is over; it may have run."};
    case RefusalReason::ServerFailed:
        break;
    }
    return {502, "server-failed", "The backend server gave no whole answer; it may have run."};
}

} // namespace

unsigned httpStatus(RefusalReason reason)
{
    return describe(reason).status;
}

const char *toText(RefusalReason reason)
{
    return describe(reason).name;
}

std::string problemBody(RefusalReason reason)
{
    const Description description = describe(reason);
    return std::string(R"({"type":"urn:bilberrystile:problem:)") + description.name
           + R"(","title":")" + description.title + R"(","status":)"
           + std::to_string(description.status) + "}";
}

Duration defaultRetryAfter(Duration remaining, std::mt19937_64 &random)
{
    return randomRetryAfter(minRetryAfterMs, maxRetryAfterMs, remaining, random);
}

Duration overloadRetryAfter(Duration objective, Duration remaining, std::mt19937_64 &random)
{
    const double objectiveMs = toMilliseconds(objective);
    return randomRetryAfter(minRetryAfterObjectives * objectiveMs,
                            maxRetryAfterObjectives * objectiveMs, remaining, random);
}

std::string retryAfterText(Duration delay)
{
    std::ostringstream seconds;
    seconds.precision(3);
    seconds << toMilliseconds(delay) / 1000.0;
    return seconds.str();
}

} // namespace bilberry::direct
