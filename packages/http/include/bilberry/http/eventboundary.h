#ifndef BILBERRY_HTTP_EVENTBOUNDARY_H
#define BILBERRY_HTTP_EVENTBOUNDARY_H

#include <string>
#include <string_view>

namespace bilberry::http {

/// @return true when a Content-Type field names text/event-stream
bool isEventStream(std::string_view contentType);

/// Tells whether the bytes of a text/event-stream so far end with a complete event. An event ends
/// with a blank line; lines end with LF, CR LF or CR.
class EventBoundary
{
public:
    /// @param data the next bytes of the stream
    void append(std::string_view data);

    /// @return true when the last byte ended an event, or nothing was appended
    bool isAtEventEnd() const;

    /// A stream that its server broke off ends inside an event. Without a length or chunks, one
    /// that was broken off before its first event looks like one without events.
    /// @param endsWithConnection true when the body has neither a length nor chunks
    /// @return true when the stream ends where a complete one does not
    bool isBrokenOff(bool endsWithConnection) const
    {
        return !isAtEventEnd() || (endsWithConnection && m_tail.empty());
    }

private:
    std::string m_tail; ///< the last bytes, enough for two line endings
};

} // namespace bilberry::http

#endif
