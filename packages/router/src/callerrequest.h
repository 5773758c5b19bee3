#ifndef BILBERRY_ROUTER_CALLERREQUEST_H
#define BILBERRY_ROUTER_CALLERREQUEST_H

#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"

#include <boost/beast/http.hpp>

#include <optional>

namespace bilberry::router {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// @param request a request that the parser accepted
/// @return false when another server might read it in another way
bool isWellFormed(const HttpRequest &request);

/// Finds the request's customer and pool, and what is passed on of it.
/// @param request a well-formed request
/// @param configuration nullptr when there is none yet
/// @param submit filled when nothing is returned
/// @return why the request is refused
std::optional<RefusalKind> authorize(const HttpRequest &request, const Configuration *configuration,
                                     SubmittedRequest &submitted);

/// @return true when an answer to the method has no body
bool hasNoBody(std::uint16_t status, boost::beast::http::verb method);

} // namespace bilberry::router

#endif
