#include "bilberry/decision/restoreinquiry.h"

#include <algorithm>

namespace bilberry::decision {

void RestoreInquiry::start(bool mayMissOthers, TimePoint now)
{
    m_isOpen = true;
    m_mayMissOthers = mayMissOthers;
    m_firstOpenQuery = m_nextQuery;
    m_startedAt = now;
    m_nextRoundAt = now;
    m_knownAt = TimePoint::max();
    m_answered.clear();
}

RestoreInquiry::Round RestoreInquiry::nextRound(const std::vector<RouterId> &live,
                                                const std::vector<RouterId> &others, TimePoint now)
{
    Round round;
    if (!m_isOpen || now < m_nextRoundAt || others.empty())
        return round;
    m_nextRoundAt = now + m_settings.roundInterval;
    round.query = m_nextQuery++;
    const auto add = [&](const RouterId &router) {
        const bool isChosen = std::find(round.routers.begin(), round.routers.end(), router)
                              != round.routers.end();
        if (round.routers.size() < m_settings.routersPerRound && !isChosen
            && !m_answered.contains(router))
            round.routers.push_back(router);
    };
    std::for_each(live.begin(), live.end(), add);
    // Begins elsewhere each time, as some of the routers may be dead.
    const std::size_t begin = round.query * m_settings.routersPerRound % others.size();
    for (std::size_t i = 0; i < others.size(); ++i)
        add(others[(begin + i) % others.size()]);
    return round;
}

void RestoreInquiry::recordAnswer(const RouterId &router, bool isStarting, TimePoint now)
{
    m_answered.insert(router);
    if (!isStarting)
        m_knownAt = std::min(m_knownAt, now);
}

bool RestoreInquiry::isComplete(const std::vector<RouterId> &others, TimePoint now) const
{
    const bool isKnown
            = m_knownAt != TimePoint::max() && now - m_knownAt >= m_settings.furtherAnswersTime;
    if (isKnown)
        return true;
    return (!m_mayMissOthers || !others.empty())
           && std::all_of(others.begin(), others.end(),
                          [&](const RouterId &other) { return m_answered.contains(other); });
}

} // namespace bilberry::decision
