#include "bilberry/decision/restoreinquiry.h"

#include <algorithm>

namespace bilberry::decision {

void RestoreInquiry::start(TimePoint now)
{
    m_isOpen = true;
    m_firstOpenQuery = m_nextQuery;
    m_startedAt = now;
    m_nextRoundAt = now;
    m_knownAt = TimePoint::max();
    m_answered.clear();
}

RestoreInquiry::Round RestoreInquiry::nextRound(const std::vector<RouterId> &others, TimePoint now)
{
    Round round;
    if (!m_isOpen || now < m_nextRoundAt || others.empty())
        return round;
    m_nextRoundAt = now + m_settings.roundInterval;
    round.query = m_nextQuery++;
    // Begins elsewhere each time, as some of the routers may be dead.
    const std::size_t begin = round.query * m_settings.routersPerRound % others.size();
    for (std::size_t i = 0; i < others.size(); ++i) {
        const RouterId &router = others[(begin + i) % others.size()];
        if (round.routers.size() < m_settings.routersPerRound && !m_answered.contains(router))
            round.routers.push_back(router);
    }
    return round;
}

bool RestoreInquiry::recordAnswer(const RouterId &router, std::uint64_t query, bool isStarting,
                                  TimePoint now)
{
    if (!isOwnQuery(query))
        return false;
    m_answered.insert(router);
    if (!isStarting)
        m_knownAt = std::min(m_knownAt, now);
    return true;
}

bool RestoreInquiry::endIfComplete(const std::vector<RouterId> &others, TimePoint now)
{
    if (!m_isOpen)
        return false;
    const bool allAnswered
            = !others.empty() && std::all_of(others.begin(), others.end(), [&](const auto &other) {
                  return m_answered.contains(other);
              });
    const bool isKnown
            = m_knownAt != TimePoint::max() && now - m_knownAt >= m_settings.furtherAnswersTime;
    if (!allAnswered && !isKnown && now - m_startedAt < m_settings.limit)
        return false;
    m_isOpen = false;
    return true;
}

} // namespace bilberry::decision
