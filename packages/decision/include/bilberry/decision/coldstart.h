#ifndef BILBERRY_DECISION_COLDSTART_H
#define BILBERRY_DECISION_COLDSTART_H

#include "bilberry/base/time.h"

#include <algorithm>

namespace bilberry::decision {

/// A server's cold start, in which this router spaces its requests to it.
class ColdStart
{
public:
    bool isCold(TimePoint now) const { return now < m_until; }

    /// @return true when the next request in the cold start isn't due yet
    bool holdsBack(TimePoint now) const { return isCold(now) && now < m_nextRequestAt; }

    /// Begins a cold start or extends it.
    /// @param firstDelay time until the first request, when the server was not cold before
    void extend(TimePoint until, Duration firstDelay, TimePoint now)
    {
        if (!isCold(now))
            m_nextRequestAt = now + firstDelay;
        m_until = std::max(m_until, until);
    }

    /// @param interval time until the next request of this router
    void recordSent(Duration interval, TimePoint now)
    {
        if (isCold(now))
            m_nextRequestAt = now + interval;
    }

private:
    TimePoint m_until{};
    TimePoint m_nextRequestAt{};
};

} // namespace bilberry::decision

#endif
