#ifndef BILBERRY_DECISION_PEERLOADS_H
#define BILBERRY_DECISION_PEERLOADS_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// Load that one router places on one server.
struct RouterLoad
{
    double backlogMs = 0.0;   ///< prefill work of requests without a first byte
    std::size_t inFlight = 0; ///< requests that have not ended
    bool operator==(const RouterLoad &) const = default;
};

/// Hash of a server's id; identifies the server in reports between routers.
using ServerKey = std::uint64_t;

/// @return the key of a server, identical on all routers
ServerKey serverKey(const ServerId &id);

/// Load on one server, as one router reports it to the others.
struct ReportedLoad
{
    ServerKey server = 0;
    RouterLoad load;
    bool operator==(const ReportedLoad &) const = default;
};

/// Adds up the loads that other routers report, also of servers that this router doesn't know yet.
class PeerLoads
{
public:
    /// @param lifetime time after which a router's report is discarded
    explicit PeerLoads(Duration lifetime) : m_lifetime(lifetime) {}

    /// Applies a report of another router.
    /// @param loads the router's load on servers, or on those where it has changed
    /// @param complete true when the router has no load on servers that are not in `loads`
    void update(const RouterId &router, const std::vector<ReportedLoad> &loads, bool complete,
                TimePoint now);

    /// Discards the reports that have expired.
    void expire(TimePoint now);

    /// @return load of all routers on the server
    RouterLoad load(ServerKey server) const;
    /// @return number of routers whose newest report has not expired
    std::size_t liveCount(TimePoint now) const;
    bool isEmpty() const { return m_reports.empty(); }

private:
    /// Newest loads reported by one router.
    struct Report
    {
        std::unordered_map<ServerKey, RouterLoad> loads;
        TimePoint reportedAt{};
    };

    void add(ServerKey server, const RouterLoad &load);
    void subtract(ServerKey server, const RouterLoad &load);

    Duration m_lifetime;
    std::map<RouterId, Report> m_reports;
    std::unordered_map<ServerKey, RouterLoad> m_sums; ///< by server, over all reports
};

} // namespace bilberry::decision

#endif
