#ifndef BILBERRY_DIRECT_CRASHDETECTOR_H
#define BILBERRY_DIRECT_CRASHDETECTOR_H

#include "server/serverconnections.h"

#include "bilberry/base/log.h"
#include "bilberry/decision/crashsuspicion.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bilberry::direct {

/// Finds out whether a server has crashed when requests fail there, and tells what they had in
/// common: a server that only breaks off some answers still accepts connections.
class CrashDetector
{
public:
    /// All arguments must outlive this object.
    CrashDetector(boost::asio::io_context &io, ServerConnections &connections,
                  decision::CrashSuspicion &suspicion, Log &log);

    /// Records that a connection ended before an answer was under way.
    /// @param server the server with the start time of the process that the request was sent to
    /// @param features of the request
    /// @param sentAt when the request was sent
    void recordBrokenAttempt(const DirectServer &server,
                             const std::vector<decision::RequestFeature> &features,
                             TimePoint sentAt);

    /// Called when a crash was recorded; set by the owner.
    std::function<void()> onCrash;

private:
    struct BrokenAttempt
    {
        std::vector<decision::RequestFeature> features;
        TimePoint sentAt{};
    };

    /// A run of a server's process that may have crashed, and the requests that failed there.
    struct Check
    {
        Check(boost::asio::io_context &io, DirectServer checked)
            : server(std::move(checked)), timer(io)
        {
        }

        DirectServer server;
        TimePoint brokenAt = Clock::now(); ///< when the first attempt failed
        std::vector<BrokenAttempt> attempts;
        boost::asio::steady_timer timer;
    };

    void connect(decision::ServerRun run);
    void finish(decision::ServerRun run, bool crashed);

    boost::asio::io_context &m_io;
    ServerConnections &m_connections;
    decision::CrashSuspicion &m_suspicion;
    Log &m_log;
    std::map<decision::ServerRun, std::unique_ptr<Check>> m_checks;
};

} // namespace bilberry::direct

#endif
