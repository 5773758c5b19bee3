#ifndef BILBERRY_ADMIN_ADMINSERVER_H
#define BILBERRY_ADMIN_ADMINSERVER_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/base/result.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bilberry::admin {

/// Limit of a request's body by default: more than twice the configuration of the largest fleet
/// that is planned for.
inline constexpr std::size_t maxAdminBodyBytes = 2U << 20U;

/// An HTTP request to an admin server.
struct AdminRequest
{
    std::string method;
    std::string body;
};

/// An HTTP response of an admin server.
struct AdminResponse
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// Handles the requests of one path and method.
using AdminHandler = std::function<AdminResponse(const AdminRequest &)>;

/// HTTP server of a daemon for metrics, health checks and operators' requests, on a port of its
/// own.
class AdminServer
{
public:
    /// Starts listening. Throws std::system_error when the address can't be bound or parsed.
    /// @param context event loop that the handlers run on
    /// @param address IP address
    /// @param handlers keyed by the path for GET and by "METHOD path" for other methods. A path
    /// without a GET handler gets status 404, another method of a known path 405.
    /// @param maxBodyBytes limit of a request's body; a longer one ends its connection
    /// @param memory account of the process; null for one of its own
    AdminServer(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                std::map<std::string, AdminHandler> handlers,
                std::size_t maxBodyBytes = maxAdminBodyBytes,
                std::shared_ptr<MemoryAccount> memory = nullptr);
    ~AdminServer();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::admin

#endif
