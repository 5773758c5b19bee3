#ifndef BILBERRY_DECISION_SERVERHEALTH_H
#define BILBERRY_DECISION_SERVERHEALTH_H

#include "bilberry/base/time.h"

#include <cstdint>

namespace bilberry::decision {

/// How a request to a server ended.
enum class AttemptOutcome {
    Answered,      ///< a whole answer that is not a server error
    ServerError,   ///< a whole answer that says that the server failed
    Shed,          ///< the server refused it and did not run it
    WrongServer,   ///< another server has the address; not run
    BrokenAnswer,  ///< the connection ended, or sent what is no answer, before the answer's end
    TimedOut,      ///< no whole answer within the request's time
    ConnectFailed, ///< no connection; not run
    Cancelled,     ///< the caller left
};

struct HealthSettings
{
    double failureShare = 0.3; ///< share of failures that ejects a server
    double minFailures = 3.0;  ///< recent failures without which a server is not ejected
    Duration halfLife = std::chrono::seconds(2); ///< weight of an outcome halves in this time
    Duration ejection = std::chrono::seconds(3); ///< until an ejected server is tried again
    Duration firstBackoff = std::chrono::milliseconds(250); ///< after one failed connection
    Duration maxBackoff = std::chrono::seconds(2);
    bool operator==(const HealthSettings &) const = default;
};

/// Judges one server by what its requests ended with.
class ServerHealth
{
public:
    explicit ServerHealth(HealthSettings settings) : m_settings(settings) {}

    void recordOutcome(AttemptOutcome outcome, TimePoint now);

    /// The server was seen to accept a connection.
    void recordConnection() { m_connectFailures = 0; }

    /// @return true while too many of its requests failed
    bool ejected(TimePoint now) const { return now < m_ejectedUntil; }

    /// @return true while it is not worth trying to connect
    bool unreachable(TimePoint now) const { return now < m_unreachableUntil; }

private:
    void decay(TimePoint now);

    HealthSettings m_settings;
    double m_good = 0.0;
    double m_bad = 0.0;
    TimePoint m_decayedAt{};
    TimePoint m_ejectedUntil{};
    TimePoint m_unreachableUntil{};
    std::uint32_t m_connectFailures = 0;
};

} // namespace bilberry::decision

#endif
