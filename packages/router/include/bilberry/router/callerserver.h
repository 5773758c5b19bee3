#ifndef BILBERRY_ROUTER_CALLERSERVER_H
#define BILBERRY_ROUTER_CALLERSERVER_H

#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"
#include "bilberry/router/routersettings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bilberry::router {

/// HTTP/1.1 towards callers: checks requests, passes answers on as they come. Runs on one event
/// loop.
class CallerServer
{
public:
    /// Hands an event to the core; false when the core's ring is full.
    using EventHook = std::function<bool(CallerEvent &&)>;

    /// Listens at once; throws std::system_error when the address can't be used.
    CallerServer(boost::asio::io_context &context, const RouterSettings &settings,
                 EventHook onEvent);
    ~CallerServer();

    /// Starts accepting.
    void start();
    void reply(CallerReply &&reply);
    /// Cuts a caller off whose answer can't be passed on.
    void disconnect(RequestId request);
    void setConfiguration(ConfigurationPtr configuration);

    /// Refuses new requests and closes idle connections.
    void startDraining();
    /// @return true when no caller waits for an answer or the rest of one
    bool isIdle() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::router

#endif
