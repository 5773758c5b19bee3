#ifndef BILBERRY_ADMIN_ADMINCLIENT_H
#define BILBERRY_ADMIN_ADMINCLIENT_H

#include "bilberry/admin/adminserver.h"
#include "bilberry/base/time.h"

#include <boost/asio/awaitable.hpp>

namespace bilberry::admin {

/// A daemon's admin server.
struct AdminEndpoint
{
    std::string address; ///< IP number
    std::uint16_t port = 0;
    bool operator==(const AdminEndpoint &) const = default;
};

/// Calls a daemon's admin server.
/// @param endpoint where it listens
/// @param path such as "/v1/status"
/// @param request method and body
/// @param limit longest duration of the call
/// @return the answer, or a system error
boost::asio::awaitable<Result<AdminResponse>> callAdmin(AdminEndpoint endpoint, std::string path,
                                                        AdminRequest request, Duration limit);

} // namespace bilberry::admin

#endif
