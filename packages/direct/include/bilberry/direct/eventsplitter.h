#ifndef BILBERRY_DIRECT_EVENTSPLITTER_H
#define BILBERRY_DIRECT_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::direct {

/// Splits a text/event-stream into whole events, so that a stream that broke in the middle of one
/// can go on behind the last whole one.
class EventSplitter
{
public:
    /// @param data the next bytes of the stream
    /// @return all whole events that are new: those with an id not above the last one are dropped
    std::string append(std::string_view data);

    /// Forgets the part of an event that is here; its server will not send the rest.
    void discardPartial() { m_partial.clear(); }

    /// @return true when the last byte taken ended an event
    bool isAtEventEnd() const { return m_partial.empty(); }

    /// @return id of the last whole event, absent when none had a numeric id
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    bool isDuplicate(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace bilberry::direct

#endif
