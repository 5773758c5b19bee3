#include "crashes/crashdetector.h"

#include "hexnumber.h"

#include "bilberry/decision/rendezvous.h"

namespace bilberry::direct {

namespace {

/// Delay before the check, in which further connections to a crashed server end.
constexpr Duration checkDelay = std::chrono::milliseconds(30);

decision::ServerRun serverRun(const DirectServer &server)
{
    return decision::stableHash(server.id.text() + '/' + std::to_string(server.startedAtMs));
}

} // namespace

CrashDetector::CrashDetector(boost::asio::io_context &io, ServerConnections &connections,
                             decision::CrashSuspicion &suspicion, Log &log)
    : m_io(io), m_connections(connections), m_suspicion(suspicion), m_log(log)
{
}

void CrashDetector::recordBrokenAttempt(const DirectServer &server,
                                        const std::vector<decision::RequestFeature> &features,
                                        TimePoint sentAt)
{
    if (features.empty())
        return;
    const decision::ServerRun run = serverRun(server);
    auto &check = m_checks[run];
    if (!check) {
        check = std::make_unique<Check>(m_io, server);
        check->timer.expires_after(checkDelay);
        check->timer.async_wait([this, run](boost::system::error_code error) {
            if (!error)
                connect(run);
        });
    }
    check->attempts.push_back({features, sentAt});
}

void CrashDetector::connect(decision::ServerRun run)
{
    const DirectServer &server = m_checks.at(run)->server;
    const ServerConnectionPtr idle
            = m_connections.acquire(server, [this, run](const ServerConnectionPtr &connection) {
                  if (connection)
                      m_connections.release(m_checks.at(run)->server.id, connection);
                  finish(run, connection == nullptr);
              });
    if (!idle)
        return;
    m_connections.release(server.id, idle);
    finish(run, false);
}

void CrashDetector::finish(decision::ServerRun run, bool crashed)
{
    const std::unique_ptr<Check> check = std::move(m_checks.at(run));
    m_checks.erase(run);
    if (!crashed)
        return;
    std::set<decision::RequestFeature> suspects;
    for (const BrokenAttempt &attempt : check->attempts) {
        m_suspicion.recordCrash(run, attempt.features, attempt.sentAt, check->brokenAt);
        suspects.insert(attempt.features.begin(), attempt.features.end());
    }
    const auto most = m_suspicion.mostCrashes({suspects.begin(), suspects.end()});
    m_log.decision("A server crashed.",
                   {{"server", check->server.id.text()},
                    {"run", toHex(run)},
                    {"suspects", std::to_string(suspects.size())},
                    {"feature", toHex(most.feature)},
                    {"crashes", std::to_string(most.crashes)},
                    {"distinctCrashes", std::to_string(most.distinct)},
                    {"quarantined", std::to_string(m_suspicion.quarantinedCount())},
                    {"closedRoutes", std::to_string(m_suspicion.closedRouteCount(Clock::now()))}});
    onCrash();
}

} // namespace bilberry::direct
