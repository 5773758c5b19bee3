#ifndef BILBERRY_HTTP_REQUESTRULES_H
#define BILBERRY_HTTP_REQUESTRULES_H

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

/// HTTP/1.1 rules that all HTTP servers of the product apply to callers' requests.
namespace bilberry::http {

using RequestHeader = boost::beast::http::request_header<>;

/// @return true if another server may determine another end of the message, which would allow
/// request smuggling: Transfer-Encoding with Content-Length, or any encoding other than a single
/// "chunked" in HTTP/1.1
bool hasAmbiguousFraming(const RequestHeader &header);

/// @return true if the path, with encoded dots and slashes decoded, has a "." or ".." segment; a
/// server that resolves it would see another path than the one that the route was chosen by
bool hasDotSegments(std::string path);

/// @return true if there is one Host field, or none in a version before HTTP/1.1
bool hasValidHostCount(const RequestHeader &header);

/// @return true if the field applies to one connection only, by its definition or because the
/// Connection field names it
bool isHopByHop(const boost::beast::http::fields &fields, boost::beast::http::field field,
                boost::beast::string_view name);

/// @return the target without its query
std::string pathOf(boost::beast::string_view target);

} // namespace bilberry::http

#endif
