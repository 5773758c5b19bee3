#include "bilberry/decision/messageagetracker.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

constexpr std::size_t maxEntries = 64;

} // namespace

std::uint64_t MessageAgeTracker::recordSent(TimePoint now)
{
    if (++m_last == 0)
        ++m_last;
    m_sent.push_back({m_last, now});
    if (m_sent.size() > maxEntries)
        m_sent.pop_front();
    return m_last;
}

std::optional<Duration> MessageAgeTracker::maxAge(std::uint64_t echo, Duration held,
                                                  TimePoint now) const
{
    const auto entry = std::find_if(m_sent.begin(), m_sent.end(),
                                    [&](const Entry &each) { return each.number == echo; });
    if (entry == m_sent.end())
        return std::nullopt;
    // A peer whose clock runs fast could say that it held the message longer than it was away.
    return std::max(Duration(), now - entry->sentAt - held);
}

} // namespace bilberry::decision
