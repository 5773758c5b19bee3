#ifndef BILBERRY_DIRECT_DIRECTROUTER_H
#define BILBERRY_DIRECT_DIRECTROUTER_H

#include "bilberry/direct/directsettings.h"
#include "bilberry/direct/headernames.h"
#include "bilberry/store/collectionstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bilberry::direct {

/// Names of the collections in the platform's store.
struct CollectionNames
{
    std::string plans = "plans"; ///< contains the plan under the name planItem
    std::string planItem = "current";
    std::string servers = "servers";    ///< one item for each server
    std::string zonesOut = "zones-out"; ///< one item for each zone that receives no work
    std::string routers = "routers"; ///< one item for each router, registered by the router itself
    /// One item for each feature of requests that is refused since it crashed servers.
    std::string crashSuspects = "crash-suspects";
    bool operator==(const CollectionNames &) const = default;
};

/// Called with the kind of each call to the store.
using StoreCallHook = std::function<void(const char *kind)>;

/// Connects the router to a platform: names, decoders and the store.
struct PlatformAdapter
{
    HeaderNames headers;
    CollectionNames collections;
    std::function<Result<TrafficPlan>(const std::string &)> decodePlan;
    std::function<Result<DirectServer>(const std::string &id, const std::string &)> decodeServer;
    std::function<std::unique_ptr<store::CollectionStore>(boost::asio::io_context &,
                                                          const Endpoint &, StoreCallHook)>
            openStore;
};

/// A router that sends requests directly to backend servers, without an agent. All its tasks share
/// one event loop: on a fraction of a core, passing work between threads costs more than it gains.
class DirectRouter
{
public:
    /// Starts to listen.
    /// @throws std::system_error when an address can't be used
    DirectRouter(const DirectSettings &settings, PlatformAdapter adapter);
    ~DirectRouter();

    /// Serves requests until stop() has drained the router or its time limit has passed.
    void run();

    /// Starts a graceful shutdown. Must be called on the event loop, for example from a signal
    /// handler.
    void stop();

    boost::asio::io_context &context();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bilberry::direct

#endif
