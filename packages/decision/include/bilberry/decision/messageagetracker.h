#ifndef BILBERRY_DECISION_MESSAGEAGETRACKER_H
#define BILBERRY_DECISION_MESSAGEAGETRACKER_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bilberry::decision {

/// Bounds the time that a peer's message spent on its way, in buffers included. The peer repeats
/// the number of the newest message that it had received, so that its own message can't be older
/// than that one. Only this process's clock is read.
class MessageAgeTracker
{
public:
    /// @param start numbers follow this one; random, so that an answer to a process's earlier
    ///        incarnation matches none
    explicit MessageAgeTracker(std::uint64_t start) : m_last(start) {}

    /// Notes that a numbered message leaves now.
    /// @return its number, never 0
    std::uint64_t recordSent(TimePoint now);

    /// @param echo number that the peer repeated; 0 when it had none
    /// @param held how long the peer had held that message when it made its own
    /// @return longest possible time since the peer made its message; nothing when the number is
    ///         unknown or too old
    std::optional<Duration> maxAge(std::uint64_t echo, Duration held, TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t number = 0;
        TimePoint sentAt{};
    };

    std::uint64_t m_last;
    std::deque<Entry> m_sent;
};

} // namespace bilberry::decision

#endif
