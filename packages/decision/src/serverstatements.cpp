#include "bilberry/decision/serverstatements.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

/// Upper bound of the age of a statement in reports, far beyond the life of any of them.
constexpr Duration maxReportedAge = std::chrono::hours(24);
/// Time after the newest answer or report for which a process is remembered.
constexpr Duration statementLifetime = std::chrono::minutes(10);
/// Time for which the end of a server's limit is repeated to the other routers.
constexpr Duration endedLimitRepeatTime = std::chrono::seconds(2);

} // namespace

RequestLimit::Change ServerStatements::recordLimit(const ServerProcess &process,
                                                   std::optional<double> perSecond,
                                                   TimePoint saidAt, TimePoint now)
{
    if (!perSecond && !find(process))
        return RequestLimit::Change::None;
    Statement &statement = m_statements[process];
    statement.heardAt = now;
    return statement.limit.record(perSecond, saidAt);
}

void ServerStatements::startTurns(const ServerProcess &process, std::size_t routersBefore,
                                  TimePoint now)
{
    if (Statement *statement = find(process))
        statement->limit.startTurns(routersBefore, now);
}

bool ServerStatements::recordLeaving(const ServerProcess &process, TimePoint now)
{
    Statement &statement = m_statements[process];
    statement.heardAt = now;
    return !std::exchange(statement.isLeaving, true);
}

void ServerStatements::recordWait(const ServerProcess &process, TimePoint until, TimePoint now)
{
    Statement &statement = m_statements[process];
    statement.heardAt = now;
    statement.waitUntil = std::max(statement.waitUntil, until);
}

void ServerStatements::recordSent(const ServerProcess &process, double share)
{
    Statement *statement = find(process);
    if (statement && statement->limit.perSecond())
        statement->limit.recordSent(share);
}

void ServerStatements::reset(const ServerProcess &process)
{
    if (Statement *statement = find(process)) {
        statement->limit = {};
        statement->waitUntil = {};
    }
}

void ServerStatements::expire(TimePoint now)
{
    std::erase_if(m_statements, [&](const auto &item) {
        return now - item.second.heardAt > statementLifetime && now >= item.second.waitUntil;
    });
}

bool ServerStatements::isLeaving(const ServerProcess &process) const
{
    const Statement *statement = find(process);
    return statement && statement->isLeaving;
}

bool ServerStatements::asksToWait(const ServerProcess &process, TimePoint now) const
{
    const Statement *statement = find(process);
    return statement && now < statement->waitUntil;
}

bool ServerStatements::mayTakeTurn(const ServerProcess &process, double share, double leftFor,
                                   TimePoint now)
{
    Statement *statement = find(process);
    return !statement || statement->limit.allows(share, leftFor, now);
}

std::optional<double> ServerStatements::limit(const ServerProcess &process) const
{
    const Statement *statement = find(process);
    return statement ? statement->limit.perSecond() : std::nullopt;
}

std::optional<ReportedStatement> ServerStatements::report(const ServerProcess &process,
                                                          TimePoint now) const
{
    const Statement *statement = find(process);
    if (!statement)
        return std::nullopt;
    const Duration age = now - statement->limit.saidAt();
    const bool isNews = statement->limit.perSecond() || age < endedLimitRepeatTime;
    if (!isNews && !statement->isLeaving)
        return std::nullopt;
    return ReportedStatement{process.server, process.startedAtMs, statement->limit.perSecond(),
                             std::min(age, maxReportedAge), statement->isLeaving};
}

const ServerStatements::Statement *ServerStatements::find(const ServerProcess &process) const
{
    if (m_statements.empty())
        return nullptr;
    const auto found = m_statements.find(process);
    return found == m_statements.end() ? nullptr : &found->second;
}

ServerStatements::Statement *ServerStatements::find(const ServerProcess &process)
{
    return const_cast<Statement *>(std::as_const(*this).find(process));
}

} // namespace bilberry::decision
