#ifndef BILBERRY_ROUTER_CALLERSERVER_H
#define BILBERRY_ROUTER_CALLERSERVER_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"
#include "bilberry/router/routersettings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bilberry::router {

/// HTTP/1.1 server for callers: validates requests and streams answers back. Runs on one event
/// loop.
class CallerServer
{
public:
    /// Passes an event to the core; returns false when the core's queue is full.
    using EventHook = std::function<bool(CallerEvent &&)>;

    /// Binds the listening socket; throws std::system_error when the address can't be used.
    /// @param memory account of the process; null for one of its own
    CallerServer(boost::asio::io_context &context, const RouterSettings &settings,
                 EventHook onEvent, std::shared_ptr<MemoryAccount> memory = nullptr);
    ~CallerServer();

    /// Starts accepting connections.
    void start();
    void reply(CallerReply &&reply);
    /// Closes the connection of a caller whose answer can't be completed.
    void disconnect(RequestId request);
    void setConfiguration(ConfigurationPtr configuration);

    /// Refuses new requests; an idle connection is closed when its next request arrives.
    void startDraining();
    /// @return true when no caller waits for an answer or a part of one
    bool isIdle() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::router

#endif
