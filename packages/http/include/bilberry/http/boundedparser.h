#ifndef BILBERRY_HTTP_BOUNDEDPARSER_H
#define BILBERRY_HTTP_BOUNDEDPARSER_H

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <type_traits>

namespace bilberry::http {

/// Limit of a header or trailer field, name and value together. Beast's field container throws
/// above 64 KiB.
inline constexpr std::size_t maxFieldBytes = 60U << 10U;
/// Limit of the header and trailer fields of one message.
inline constexpr std::size_t maxFields = 512;
/// Memory of a field in Beast's container besides its name and value, with its allocation.
inline constexpr std::size_t fieldOverheadBytes = 96;
/// Bytes that a parser may leave unconsumed, such as an incomplete chunk header or trailer, before
/// its message is given up. A parser's header limit must be lower.
inline constexpr std::size_t maxUnparsedBytes = 96U << 10U;

/// Appends the bytes of a body to a string as they arrive.
class GrowingBodyReader
{
public:
    template <bool isRequest, typename Fields>
    GrowingBodyReader(boost::beast::http::header<isRequest, Fields> &, std::string &body)
        : m_body(body)
    {
    }

    void init(const boost::optional<std::uint64_t> &declaredBytes, boost::system::error_code &error)
    {
        error = {};
        m_declaredBytes = declaredBytes.value_or(m_body.max_size());
    }

    template <typename ConstBufferSequence>
    std::size_t put(const ConstBufferSequence &buffers, boost::system::error_code &error)
    {
        error = {};
        const std::size_t before = m_body.size();
        grow(before + boost::beast::buffer_bytes(buffers));
        for (const auto buffer : boost::beast::buffers_range_ref(buffers))
            m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
        return m_body.size() - before;
    }

    void finish(boost::system::error_code &error) { error = {}; }

private:
    /// Doubles the capacity, but not beyond the declared length.
    void grow(std::size_t size)
    {
        if (size > m_body.capacity())
            m_body.reserve(std::max<std::size_t>(
                    size, std::min<std::uint64_t>(2 * m_body.capacity(), m_declaredBytes)));
    }

    std::string &m_body;
    std::uint64_t m_declaredBytes = 0;
};

/// A message body in a string that grows as its bytes arrive. Beast's string_body reserves the
/// declared length first.
struct GrowingBody
{
    using value_type = std::string;
    using reader = GrowingBodyReader;
    using writer = boost::beast::http::string_body::writer;

    static std::uint64_t size(const value_type &body) { return body.size(); }
};

/// @return false for a status outside the classes that HTTP defines; such an answer means nothing
inline bool isValidStatus(int status)
{
    constexpr int lowest = 100;
    constexpr int highest = 599;
    return status >= lowest && status <= highest;
}

/// Parser for messages of untrusted senders. Fields beyond the limits above are an error
/// (http::error::header_limit) instead of an exception, and so is a status that isn't valid
/// (http::error::bad_status). Trailer fields are checked and discarded: merged into the header,
/// they could change what was decided by it.
template <bool isRequest, typename Body = GrowingBody>
class BoundedParser : public boost::beast::http::parser<isRequest, Body>
{
public:
    BoundedParser() = default;

    /// @return memory that the message holds, estimated for its fields
    std::size_t heldBytes() const
    {
        std::size_t bytes = m_fieldBytes;
        if constexpr (std::is_same_v<Body, GrowingBody>)
            bytes += this->get().body().capacity();
        return bytes;
    }

private:
    void on_response_impl(int code, boost::beast::string_view reason, int version,
                          boost::system::error_code &error) override
    {
        if constexpr (!isRequest) {
            if (!isValidStatus(code)) {
                error = boost::beast::http::error::bad_status;
                return;
            }
            this->get().base().result(static_cast<unsigned>(code));
            this->get().base().version(static_cast<unsigned>(version));
            this->get().base().reason(reason);
        }
    }

    void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
                       boost::beast::string_view value, boost::system::error_code &error) override
    {
        if (++m_fieldCount > maxFields || nameText.size() + value.size() > maxFieldBytes) {
            error = boost::beast::http::error::header_limit;
            return;
        }
        if (this->is_header_done())
            return;
        this->get().base().insert(name, nameText, value);
        m_fieldBytes += nameText.size() + value.size() + fieldOverheadBytes;
    }

    std::size_t m_fieldCount = 0;
    std::size_t m_fieldBytes = 0;
};

using BoundedRequestParser = BoundedParser<true>;
using BoundedResponseParser = BoundedParser<false>;
using GrowingRequest = boost::beast::http::request<GrowingBody>;

} // namespace bilberry::http

#endif
