#ifndef BILBERRY_DECISION_REQUESTLIMIT_H
#define BILBERRY_DECISION_REQUESTLIMIT_H

#include "bilberry/base/time.h"

#include <cstddef>
#include <optional>

namespace bilberry::decision {

/// The rate of requests that a server takes from all routers together, as it says itself, and this
/// router's part of it. Each router has turns at even intervals, each of which is valid for a
/// while; the turns of all routers are spread. So they keep the limit together without an exchange
/// for each request.
class RequestLimit
{
public:
    enum class Change {
        None,
        Began, ///< the server names a limit and named none before; startTurns() must follow
        Other, ///< the limit has another value, or has ended
    };

    /// Applies what an answer of the server said. Older answers than the newest one are ignored.
    /// @param perSecond limit of all routers together; absent when the answer named none
    /// @param saidAt when this or another router received the answer
    Change record(std::optional<double> perSecond, TimePoint saidAt);

    /// Starts this router's turns.
    /// @param routersBefore number of routers whose first turns come before
    void startTurns(std::size_t routersBefore, TimePoint now);

    /// @param share this router's part of the limit, from 0 to 1
    /// @param leftFor part of its validity, from 0 to 1, for which other requests must have left
    ///        the turn that this one may take
    /// @return true when the server names no limit, or a turn of this router is valid
    bool allows(double share, double leftFor, TimePoint now);

    /// Records that a request is sent to the server, which takes one turn.
    /// @param share this router's part of the limit, from 0 to 1
    void recordSent(double share);

    std::optional<double> perSecond() const { return m_perSecond; }
    /// @return when the answer was received that told the limit or its end; unset when no answer
    ///         has named a limit yet
    TimePoint saidAt() const { return m_saidAt; }

private:
    Duration interval(double share) const;

    std::optional<double> m_perSecond;
    TimePoint m_saidAt{};
    TimePoint m_nextTurnAt{};
};

} // namespace bilberry::decision

#endif
