#ifndef BILBERRY_HTTP_EVENTBOUNDARY_H
#define BILBERRY_HTTP_EVENTBOUNDARY_H

#include <string>
#include <string_view>

namespace bilberry::http {

/// Tells whether the bytes of a text/event-stream so far end with a complete event. An event ends
/// with a blank line; lines end with LF, CR LF or CR.
class EventBoundary
{
public:
    /// @param data the next bytes of the stream
    void append(std::string_view data);

    /// @return true when the last byte ended an event, or nothing was appended
    bool isAtEventEnd() const;

    /// @return true when nothing was appended
    bool isEmpty() const { return m_tail.empty(); }

private:
    std::string m_tail; ///< the last bytes, enough for two line endings
};

} // namespace bilberry::http

#endif
