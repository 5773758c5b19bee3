#ifndef BILBERRY_DIRECT_EVENTSPLITTER_H
#define BILBERRY_DIRECT_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::direct {

/// Splits a text/event-stream into complete events, so that a stream that breaks in the middle of
/// an event can be resumed after the last complete one.
class EventSplitter
{
public:
    /// @param data the next bytes of the stream
    /// @return the complete events; those whose id is not above the last id are dropped as
    /// duplicates
    std::string append(std::string_view data);

    /// Discards the incomplete event, whose rest its server will not send.
    void discardPartial() { m_incompleteEvent.clear(); }

    /// @return true when the last appended byte ended an event
    bool isAtEventEnd() const { return m_incompleteEvent.empty(); }

    /// @return size of the incomplete event
    std::size_t incompleteBytes() const { return m_incompleteEvent.size(); }

    /// @return highest id of a complete event, absent when none had a numeric id
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    bool isDuplicate(std::string_view event);

    std::string m_incompleteEvent;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace bilberry::direct

#endif
