#ifndef BILBERRY_HTTP_BOUNDEDPARSER_H
#define BILBERRY_HTTP_BOUNDEDPARSER_H

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>

namespace bilberry::http {

/// Limit of a header or trailer field, name and value together. Beast's field container throws
/// above 64 KiB.
inline constexpr std::size_t maxFieldBytes = 60U << 10U;
/// Limit of the header and trailer fields of one message.
inline constexpr std::size_t maxFields = 512;
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

    void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
    {
        error = {};
    }

    template <typename ConstBufferSequence>
    std::size_t put(const ConstBufferSequence &buffers, boost::system::error_code &error)
    {
        error = {};
        const std::size_t before = m_body.size();
        for (const auto buffer : boost::beast::buffers_range_ref(buffers))
            m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
        return m_body.size() - before;
    }

    void finish(boost::system::error_code &error) { error = {}; }

private:
    std::string &m_body;
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
        if (!this->is_header_done())
            this->get().base().insert(name, nameText, value);
    }

    std::size_t m_fieldCount = 0;
};

using BoundedRequestParser = BoundedParser<true>;
using BoundedResponseParser = BoundedParser<false>;
using GrowingRequest = boost::beast::http::request<GrowingBody>;

} // namespace bilberry::http

#endif
