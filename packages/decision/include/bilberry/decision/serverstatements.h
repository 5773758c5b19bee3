#ifndef BILBERRY_DECISION_SERVERSTATEMENTS_H
#define BILBERRY_DECISION_SERVERSTATEMENTS_H

#include "bilberry/decision/peerloads.h"
#include "bilberry/decision/requestlimit.h"

#include <compare>
#include <map>
#include <optional>

namespace bilberry::decision {

/// One run of a server's process.
struct ServerProcess
{
    ServerKey server = 0;
    std::uint64_t startedAtMs = 0; ///< Unix time of its start
    auto operator<=>(const ServerProcess &) const = default;
};

/// What a server has said of itself in its answers, as routers tell each other.
struct ReportedStatement
{
    ServerKey server = 0;
    std::uint64_t startedAtMs = 0;   ///< start time of the server's process
    std::optional<double> perSecond; ///< absent when the server names none any more
    Duration age{};                  ///< since the answer that named the limit, or its end
    bool leaving = false;            ///< the process wants no further requests
    bool operator==(const ReportedStatement &) const = default;
};

/// What servers say of themselves in their answers: that they are leaving, how many requests they
/// take from all routers, and for how long they want none from this one. It holds for one run of a
/// server's process, whatever the store lists. Servers that say nothing take no memory.
class ServerStatements
{
public:
    /// Records the limit that an answer names.
    /// @param perSecond limit of all routers together; absent when the answer names none
    /// @param saidAt when this or another router received the answer
    /// @return startTurns() must follow RequestLimit::Change::Began
    RequestLimit::Change recordLimit(const ServerProcess &process, std::optional<double> perSecond,
                                     TimePoint saidAt, TimePoint now);
    /// Starts this router's turns at a process that has begun to name a limit.
    /// @param routersBefore number of routers whose first turns come before
    void startTurns(const ServerProcess &process, std::size_t routersBefore, TimePoint now);
    /// Records that the process is leaving.
    /// @return true when that is new
    bool recordLeaving(const ServerProcess &process, TimePoint now);
    /// Records that the process wants no request from this router before a point in time.
    void recordWait(const ServerProcess &process, TimePoint until, TimePoint now);
    /// Records that a request is sent to the process.
    /// @param share this router's part of the limit, from 0 to 1
    void recordSent(const ServerProcess &process, double share);
    /// Forgets the limit and the wait of a process whose address has changed.
    void reset(const ServerProcess &process);
    /// Forgets processes that nothing was heard of for long.
    void expire(TimePoint now);

    bool isLeaving(const ServerProcess &process) const;
    /// @return true while the process wants no request from this router
    bool asksToWait(const ServerProcess &process, TimePoint now) const;
    /// @param leftFor part of a turn's validity for which other requests must have left it
    /// @return true when the process names no limit, or a turn of this router is valid
    bool mayTakeTurn(const ServerProcess &process, double share, double leftFor, TimePoint now);
    /// @return requests a second that the process takes from all routers; absent when it names none
    std::optional<double> limit(const ServerProcess &process) const;
    /// @return what other routers should know; absent when there is nothing to tell
    std::optional<ReportedStatement> report(const ServerProcess &process, TimePoint now) const;

private:
    struct Statement
    {
        RequestLimit limit;
        TimePoint waitUntil{};
        bool isLeaving = false;
        TimePoint heardAt{}; ///< of the newest answer or report
    };

    const Statement *find(const ServerProcess &process) const;
    Statement *find(const ServerProcess &process);

    std::map<ServerProcess, Statement> m_statements;
};

} // namespace bilberry::decision

#endif
