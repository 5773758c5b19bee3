#ifndef BILBERRY_DIRECT_RESPONSERELAY_H
#define BILBERRY_DIRECT_RESPONSERELAY_H

#include "caller/callerconnection.h"
#include "headerfields.h"

#include "bilberry/direct/eventsplitter.h"
#include "bilberry/direct/headernames.h"
#include "bilberry/http/eventboundary.h"

#include <functional>
#include <optional>
#include <string>

namespace bilberry::direct {

/// Passes the response to one request on to its caller: streams as they arrive, others when they
/// are complete or too large to be kept. Until the first byte is passed on, and at the end of an
/// event of a resumable stream, another attempt can take over.
class ResponseRelay
{
public:
    /// What becomes of an attempt after more of its response has arrived.
    enum class Progress {
        Continue,
        Invalid, ///< the response can't become valid any more
        Refused, ///< the server did not run the request; the rest of its response is not needed
    };

    /// @param isStream the route's responses are passed on as they arrive
    /// @param isResumable a stream that breaks off may be continued by another attempt
    ResponseRelay(CallerConnectionPtr caller, const HeaderNames &names, bool isStream,
                  bool isResumable);

    /// Called when the caller has received enough for more to be passed on.
    std::function<void()> onCallerReady;

    /// Forgets the response of the attempt before, except for what was passed on.
    void beginAttempt();
    /// @param expectsBody false for the response to HEAD
    Progress addHeader(const ResponseHeader &header, bool expectsBody);
    Progress addBody(std::string &&data);
    /// Forgets an event of which only a part has arrived, before another attempt continues.
    void discardPartialEvent();

    /// Keeps the response, with status 5xx, to be sent if no other attempt succeeds.
    void keepAsServerError();
    bool hasServerError() const { return m_serverErrorHeader.has_value(); }
    void sendServerError();

    /// Passes on what is left of a complete response.
    void finish();
    /// Resets the caller's connection, so that the response does not look complete.
    void abort() { m_caller->abort(); }

    bool hasHeader() const { return m_header.has_value(); }
    unsigned status() const { return m_header->result_int(); }
    const char *framing() const { return m_header ? toText(bodyFraming(*m_header)) : ""; }
    /// @return true when the server states that it did not run the request
    bool isRefusal() const { return m_isRefusal; }
    /// @return true while the body is passed on as it arrives
    bool isStreaming() const { return m_isStreaming && !m_isRefusal; }
    /// @return true when a part of the response was passed on
    bool hasStarted() const { return m_hasStarted; }
    /// @return true when another attempt may take over
    bool canBeReplaced() const { return !m_hasStarted || lastEventId().has_value(); }
    /// @return false for a successful response that did not come unchanged from the server
    bool isAuthentic() const;
    /// @return true when the stream received is incomplete, whatever its framing says
    bool isBrokenOff() const;
    /// @return true when the event stream being received ends inside an event so far
    bool isInsideEvent() const { return m_boundary && !m_boundary->isAtEventEnd(); }
    /// @return bytes of the response that were not passed on yet
    std::size_t heldBytes() const
    {
        return m_buffered.capacity() + m_serverErrorBody.capacity()
               + (m_splitter ? m_splitter->incompleteBytes() : 0);
    }
    /// @return true while the caller has received too little for more to be passed on
    bool isCallerBehind() const;
    std::optional<std::uint64_t> lastEventId() const
    {
        return m_splitter ? m_splitter->lastId() : std::nullopt;
    }

private:
    void start();
    void forward(std::string &&data);

    CallerConnectionPtr m_caller;
    const HeaderNames &m_names;
    bool m_isStream;
    std::optional<CallerResponseHeader> m_header; ///< of the response being received
    std::string m_buffered; ///< not passed on yet, so that another attempt can replace it
    bool m_isStreaming = false;
    bool m_isRefusal = false;
    bool m_hasStarted = false;
    std::optional<EventSplitter> m_splitter;                 ///< of a resumable stream
    std::optional<bilberry::http::EventBoundary> m_boundary; ///< while events are received
    std::optional<CallerResponseHeader> m_serverErrorHeader;
    std::string m_serverErrorBody;
};

} // namespace bilberry::direct

#endif
