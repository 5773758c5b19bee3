#include "bilberry/http/requestrules.h"

#include <boost/beast/http/rfc7230.hpp>

namespace bilberry::http {

namespace beast = boost::beast;
using Field = beast::http::field;

namespace {

/// @return true if a Connection field names the field
bool isNamedInConnection(const beast::http::fields &fields, beast::string_view name)
{
    const auto connectionFields = fields.equal_range(Field::connection);
    for (auto field = connectionFields.first; field != connectionFields.second; ++field) {
        if (beast::http::token_list(field->value()).exists(name))
            return true;
    }
    return false;
}

} // namespace

bool hasAmbiguousFraming(const RequestHeader &header)
{
    const bool hasTransferEncoding = header.count(Field::transfer_encoding) > 0;
    const bool hasBothFramings = hasTransferEncoding && header.count(Field::content_length) > 0;
    const bool isSingleChunked = beast::iequals(header[Field::transfer_encoding], "chunked")
                                 && header.count(Field::transfer_encoding) == 1
                                 && header.version() == 11;
    return hasBothFramings || (hasTransferEncoding && !isSingleChunked);
}

bool hasDotSegments(std::string path)
{
    for (std::size_t position = 0; (position = path.find('%', position)) != std::string::npos;) {
        const std::string hexDigits = path.substr(position + 1, 2);
        if (beast::iequals(hexDigits, "2e"))
            path.replace(position, 3, ".");
        else if (beast::iequals(hexDigits, "2f") || beast::iequals(hexDigits, "5c"))
            path.replace(position, 3, "/");
        else
            ++position;
    }
    path += '/';
    return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
}

bool hasValidHostCount(const RequestHeader &header)
{
    const std::size_t hostCount = header.count(Field::host);
    return hostCount == 1 || (header.version() < 11 && hostCount == 0);
}

bool isHopByHop(const beast::http::fields &fields, Field field, beast::string_view name)
{
    switch (field) {
    case Field::connection:
    case Field::content_length:
    case Field::expect:
    case Field::keep_alive:
    case Field::proxy_authorization:
    case Field::proxy_connection:
    case Field::te:
    case Field::trailer:
    case Field::transfer_encoding:
    case Field::upgrade:
        return true;
    default:
        return isNamedInConnection(fields, name);
    }
}

std::string pathOf(beast::string_view target)
{
    const std::string text(target);
    return text.substr(0, text.find('?'));
}

} // namespace bilberry::http
