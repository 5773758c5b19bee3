#ifndef BILBERRY_DECISION_SERVERHEALTH_H
#define BILBERRY_DECISION_SERVERHEALTH_H

#include "bilberry/base/time.h"

#include <cstdint>

namespace bilberry::decision {

/// Outcome of one attempt to send a request to a server.
enum class AttemptOutcome {
    Answered,      ///< a complete answer without a server error
    ServerError,   ///< a complete answer that reports a server error
    Shed,          ///< refused by the server; not run
    WrongServer,   ///< another server answered at the address; not run
    BrokenAnswer,  ///< the connection closed or the answer was malformed before its end
    TimedOut,      ///< no complete answer within the request's time limit
    ConnectFailed, ///< no connection was established; not run
    Cancelled,     ///< the caller disconnected
};

struct HealthSettings
{
    double ejectionFailureRatio = 0.3; ///< fraction of failures from which a server is ejected
    double minFailures = 3.0;          ///< weighted recent failures required for an ejection
    Duration halfLife = std::chrono::seconds(2); ///< time in which the weight of an outcome halves
    Duration ejectionDuration = std::chrono::seconds(3);      ///< then requests are sent again
    Duration initialBackoff = std::chrono::milliseconds(250); ///< after the first failure
    Duration maxBackoff = std::chrono::seconds(2);
    bool operator==(const HealthSettings &) const = default;
};

/// Tracks the health of one server by the outcomes of its requests: ejects it after too many
/// failures, and backs off exponentially after failed connection attempts.
class ServerHealth
{
public:
    explicit ServerHealth(HealthSettings settings) : m_settings(settings) {}

    void recordOutcome(AttemptOutcome outcome, TimePoint now);

    /// Records that the server accepted a connection, which resets the backoff.
    void recordConnection() { m_connectFailures = 0; }

    /// @return true while the server is ejected because of failed requests
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }

    /// @return true during the backoff after a failed connection attempt
    bool isUnreachable(TimePoint now) const { return now < m_unreachableUntil; }

private:
    void decay(TimePoint now);

    HealthSettings m_settings;
    double m_successWeight = 0.0;
    double m_failureWeight = 0.0;
    TimePoint m_decayedAt{};
    TimePoint m_ejectedUntil{};
    TimePoint m_unreachableUntil{};
    std::uint32_t m_connectFailures = 0;
};

} // namespace bilberry::decision

#endif
