#ifndef BILBERRY_ADMIN_ADMINSERVER_H
#define BILBERRY_ADMIN_ADMINSERVER_H

#include "bilberry/base/result.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bilberry::admin {

/// Body of an operator's HTTP request.
struct AdminRequest
{
    std::string method;
    std::string body;
};

/// Answer to an operator's HTTP request.
struct AdminResponse
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
};

using AdminHandler = std::function<AdminResponse(const AdminRequest &)>;

/// Small HTTP server for /metrics, /healthz, /readyz and the operators' client.
class AdminServer
{
public:
    /// Listens at once; throws std::system_error when the address can't be used.
    /// @param context event loop that the handlers run on
    /// @param address IP number
    /// @param handlers by path for GET, by "METHOD path" for other methods; an unknown path is
    /// answered with 404, another method of a known path with 405
    AdminServer(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                std::map<std::string, AdminHandler> handlers);
    ~AdminServer();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::admin

#endif
