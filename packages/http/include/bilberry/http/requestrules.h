#ifndef BILBERRY_HTTP_REQUESTRULES_H
#define BILBERRY_HTTP_REQUESTRULES_H

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

/// Rules of HTTP/1.1 that each of the product's servers applies to what callers send.
namespace bilberry::http {

using RequestHeader = boost::beast::http::request_header<>;

/// @return true when another server might read the message's framing in another way, so that one
/// request hides a second
bool hasAmbiguousFraming(const RequestHeader &header);

/// @return true when a server may take the path for another one than a route is chosen by
bool hasDotSegments(std::string path);

/// @return true when the header has the hosts that its version asks for
bool hasValidHostCount(const RequestHeader &header);

/// @return true when the field concerns one connection only, by itself or by the Connection field
bool isHopByHop(const boost::beast::http::fields &fields, boost::beast::http::field field,
                boost::beast::string_view name);

/// @return the target without its query
std::string pathOf(boost::beast::string_view target);

} // namespace bilberry::http

#endif
