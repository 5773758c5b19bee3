#ifndef BILBERRY_DECISION_MESSAGEAGETRACKER_H
#define BILBERRY_DECISION_MESSAGEAGETRACKER_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bilberry::decision {

/// Computes an upper bound of the age of a peer's message, including the time in buffers. The
/// peer's message echoes the number of the newest message that the peer has received, so it can't
/// be older than that one. Reads only the clock of this process.
class MessageAgeTracker
{
public:
    /// @param initialNumber number before that of the first message; random, so that answers to an
    ///        earlier incarnation of the process match no message
    explicit MessageAgeTracker(std::uint64_t initialNumber) : m_lastNumber(initialNumber) {}

    /// Records that a message is sent.
    /// @return number of the message, never 0
    std::uint64_t recordSent(TimePoint now);

    /// @param echoedNumber number that the peer echoed; 0 when it has received no message
    /// @param heldFor time between the peer's receipt of that message and the creation of its own
    /// @return maximum time since the peer created its message, at least 0; std::nullopt when the
    ///         number is unknown or no longer stored
    std::optional<Duration> maxAge(std::uint64_t echoedNumber, Duration heldFor,
                                   TimePoint now) const;

private:
    struct SentMessage
    {
        std::uint64_t number = 0;
        TimePoint sentAt{};
    };

    std::uint64_t m_lastNumber;
    std::deque<SentMessage> m_sentMessages;
};

} // namespace bilberry::decision

#endif
