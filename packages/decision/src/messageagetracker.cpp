#include "bilberry/decision/messageagetracker.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

/// Number of sent messages stored; older ones are discarded.
constexpr std::size_t maxTrackedMessages = 64;

} // namespace

std::uint64_t MessageAgeTracker::recordSent(TimePoint now)
{
    if (++m_lastNumber == 0)
        ++m_lastNumber;
    m_sentMessages.push_back({m_lastNumber, now});
    if (m_sentMessages.size() > maxTrackedMessages)
        m_sentMessages.pop_front();
    return m_lastNumber;
}

std::optional<Duration> MessageAgeTracker::maxAge(std::uint64_t echoedNumber, Duration heldFor,
                                                  TimePoint now) const
{
    const auto found = std::find_if(
            m_sentMessages.begin(), m_sentMessages.end(),
            [&](const SentMessage &message) { return message.number == echoedNumber; });
    if (found == m_sentMessages.end())
        return std::nullopt;
    // A peer with a fast clock may report a longer time than the message's round trip.
    return std::max(Duration(), now - found->sentAt - heldFor);
}

} // namespace bilberry::decision
