#ifndef BILBERRY_ROUTER_CALLERREQUEST_H
#define BILBERRY_ROUTER_CALLERREQUEST_H

#include "bilberry/http/boundedparser.h"
#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"

#include <boost/beast/http.hpp>

#include <optional>

namespace bilberry::router {

using HttpRequest = bilberry::http::GrowingRequest;

/// @param request a request that the parser accepted
/// @return false when other HTTP servers may interpret it differently, or when its idempotency key
///         is repeated or too long
bool isWellFormed(const HttpRequest &request);

/// Determines the request's customer and pool, and the parts that are forwarded.
/// @param request a well-formed request
/// @param request its body is moved to the submitted one
/// @param configuration nullptr when there is none yet
/// @param submitted filled when nothing is returned
/// @return why the request is refused; nothing when it is accepted
std::optional<RefusalKind> authorize(HttpRequest &request, const Configuration *configuration,
                                     SubmittedRequest &submitted);

/// @return true when an answer of this status to this method has no body
bool hasNoBody(std::uint16_t status, boost::beast::http::verb method);

} // namespace bilberry::router

#endif
