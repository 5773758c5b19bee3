#ifndef BILBERRY_DIRECT_SERVERREQUEST_H
#define BILBERRY_DIRECT_SERVERREQUEST_H

#include "caller/callerconnection.h"

#include "bilberry/base/time.h"
#include "bilberry/direct/headernames.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bilberry::direct {

/// What the router adds to a caller's request before it sends it to a server.
struct ServerRequestFields
{
    ServerId server;     ///< any other server rejects the request
    CustomerId customer; ///< empty for a public route
    Duration remainingTime{};
    std::optional<std::uint64_t> lastEventId; ///< of a stream that is resumed
    bool operator==(const ServerRequestFields &) const = default;
};

/// @return the header of the request to a server: the caller's without its API key, the fields that
///         concern one connection only and those that the router sets itself. The body follows as
///         it is.
std::string serializeServerRequestHeader(const CallerRequest &request,
                                         const ServerRequestFields &fields,
                                         const HeaderNames &names);

} // namespace bilberry::direct

#endif
