#ifndef BILBERRY_ADMIN_ADMINCLIENT_H
#define BILBERRY_ADMIN_ADMINCLIENT_H

#include "bilberry/admin/adminserver.h"
#include "bilberry/base/time.h"

#include <boost/asio/awaitable.hpp>

namespace bilberry::admin {

/// Address of a daemon's admin server.
struct AdminEndpoint
{
    std::string address; ///< IP address; a host name is an error
    std::uint16_t port = 0;
    bool operator==(const AdminEndpoint &) const = default;
};

/// Sends one request to a daemon's admin server over a connection of its own.
/// @param path such as "/v1/status"
/// @param timeout limit of the whole call
/// @return the response, whatever its status; an error when connecting, writing, reading or parsing
/// fails or the timeout expires
boost::asio::awaitable<Result<AdminResponse>> callAdmin(AdminEndpoint endpoint, std::string path,
                                                        AdminRequest request, Duration timeout);

} // namespace bilberry::admin

#endif
