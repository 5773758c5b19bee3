#include "request/responserelay.h"

namespace bilberry::direct {

namespace http = boost::beast::http;

namespace {

/// Bytes of a response body that are buffered until the response is complete, so that a failed
/// attempt can be replaced.
constexpr std::size_t maxBufferedBytes = 256U << 10U;
/// Size of an incomplete event from which on its stream counts as broken.
constexpr std::size_t maxEventBytes = 256U << 10U;
constexpr unsigned misdirected = 421;

/// @return false for a successful response without a signature or with an encoded body
bool isSigned(const ResponseHeader &header, const HeaderNames &names)
{
    const bool success = header.result_int() / 100 == 2;
    return !success
           || (header.count(names.signature) > 0
               && header.count(http::field::content_encoding) == 0);
}

} // namespace

ResponseRelay::ResponseRelay(CallerConnectionPtr caller, const HeaderNames &names, bool isStream,
                             bool isResumable)
    : m_caller(std::move(caller)), m_names(names), m_isStream(isStream)
{
    if (isStream && isResumable)
        m_splitter.emplace();
}

void ResponseRelay::beginAttempt()
{
    m_header.reset();
    m_buffered.clear();
    m_boundary.reset();
    m_isRefusal = false;
}

ResponseRelay::Progress ResponseRelay::addHeader(const ResponseHeader &header, bool expectsBody)
{
    const unsigned status = header.result_int();
    m_isRefusal = status == misdirected || header.count(m_names.notRun) > 0;
    m_header = header;
    // An unsigned response is buffered, and handled as a failed attempt when it ends.
    m_isStreaming = m_isStream && status / 100 == 2 && isSigned(header, m_names);
    const bool hasEvents = m_isStreaming && expectsBody
                           && header.result() != http::status::no_content
                           && bilberry::http::isEventStream(header[http::field::content_type]);
    // Only events may follow the ones that were already passed on.
    if (m_hasStarted && !hasEvents)
        return m_isRefusal ? Progress::Refused : Progress::Invalid;
    if (hasEvents)
        m_boundary.emplace();
    return Progress::Continue;
}

ResponseRelay::Progress ResponseRelay::addBody(std::string &&data)
{
    if (isStreaming()) {
        if (m_boundary)
            m_boundary->append(data);
        forward(m_splitter ? m_splitter->append(data) : std::move(data));
        const bool isEndless = m_splitter && m_splitter->incompleteBytes() > maxEventBytes;
        return isEndless ? Progress::Invalid : Progress::Continue;
    }
    m_buffered += data;
    if (m_buffered.size() <= maxBufferedBytes)
        return Progress::Continue;
    if (m_isRefusal)
        return Progress::Refused;
    if (!isAuthentic())
        return Progress::Invalid;
    forward(std::exchange(m_buffered, {}));
    return Progress::Continue;
}

void ResponseRelay::discardPartialEvent()
{
    if (m_splitter)
        m_splitter->discardPartial();
}

void ResponseRelay::keepAsServerError()
{
    m_serverErrorHeader = m_header;
    m_serverErrorBody = m_buffered;
}

void ResponseRelay::sendServerError()
{
    CallerResponseHeader header = *m_serverErrorHeader;
    header.erase(http::field::transfer_encoding);
    m_caller->sendResponse(header, m_serverErrorBody);
}

void ResponseRelay::finish()
{
    if (m_hasStarted || m_isStreaming) {
        start();
        forward(std::exchange(m_buffered, {}));
        m_caller->finishResponse();
        return;
    }
    CallerResponseHeader header = *m_header;
    header.erase(http::field::transfer_encoding);
    m_caller->sendResponse(header, m_buffered);
}

bool ResponseRelay::isAuthentic() const
{
    return isSigned(*m_header, m_names);
}

bool ResponseRelay::isBrokenOff() const
{
    if (m_splitter && !m_splitter->isAtEventEnd())
        return true;
    const bool endsWithConnection = bodyFraming(*m_header) == BodyFraming::Close;
    return m_boundary && m_boundary->isBrokenOff(endsWithConnection);
}

bool ResponseRelay::isCallerBehind() const
{
    return m_hasStarted && m_caller->unsentBytes() >= CallerConnection::maxUnsentBytes;
}

void ResponseRelay::start()
{
    if (std::exchange(m_hasStarted, true))
        return;
    CallerResponseHeader header = *m_header;
    header.erase(http::field::content_length);
    header.erase(http::field::transfer_encoding);
    if (m_caller->isClosed())
        return;
    m_caller->beginResponse(header);
    m_caller->onWritten = [this] {
        if (!isCallerBehind() && onCallerReady)
            onCallerReady();
    };
}

void ResponseRelay::forward(std::string &&data)
{
    if (data.empty())
        return;
    start();
    m_caller->sendBody(data);
}

} // namespace bilberry::direct
