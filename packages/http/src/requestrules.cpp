#include "bilberry/http/requestrules.h"

#include <boost/beast/http/rfc7230.hpp>

namespace bilberry::http {

namespace beast = boost::beast;
using Field = beast::http::field;

namespace {

/// @return true when the message's Connection header names the field
bool namedInConnection(const beast::http::fields &fields, beast::string_view name)
{
    const auto named = fields.equal_range(Field::connection);
    for (auto field = named.first; field != named.second; ++field) {
        if (beast::http::token_list(field->value()).exists(name))
            return true;
    }
    return false;
}

} // namespace

bool hasAmbiguousFraming(const RequestHeader &header)
{
    const bool encoded = header.count(Field::transfer_encoding) > 0;
    const bool lengthToo = encoded && header.count(Field::content_length) > 0;
    const bool onlyChunked = beast::iequals(header[Field::transfer_encoding], "chunked")
                             && header.count(Field::transfer_encoding) == 1
                             && header.version() == 11;
    return lengthToo || (encoded && !onlyChunked);
}

bool hasDotSegments(std::string path)
{
    for (std::size_t at = 0; (at = path.find('%', at)) != std::string::npos;) {
        const std::string digits = path.substr(at + 1, 2);
        if (beast::iequals(digits, "2e"))
            path.replace(at, 3, ".");
        else if (beast::iequals(digits, "2f") || beast::iequals(digits, "5c"))
            path.replace(at, 3, "/");
        else
            ++at;
    }
    path += '/';
    return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
}

bool hasValidHostCount(const RequestHeader &header)
{
    const std::size_t hosts = header.count(Field::host);
    return hosts == 1 || (header.version() < 11 && hosts == 0);
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
        return namedInConnection(fields, name);
    }
}

std::string pathOf(beast::string_view target)
{
    const std::string text(target);
    return text.substr(0, text.find('?'));
}

} // namespace bilberry::http
