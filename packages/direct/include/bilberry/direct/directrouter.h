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

/// Names of the store's collections, as the platform has them.
struct CollectionNames
{
    std::string plans = "plans"; ///< holds the plan under planItem
    std::string planItem = "current";
    std::string servers = "servers";    ///< one item for each server
    std::string zonesOut = "zones-out"; ///< one item for each zone that receives no work
    std::string routers = "routers";    ///< routers enter themselves
    bool operator==(const CollectionNames &) const = default;
};

/// Told the kind of each call to the store.
using StoreCallHook = std::function<void(const char *kind)>;

/// What an adapter for a platform supplies.
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

/// A router whose servers are reached directly. All its duties share one event loop: on a fraction
/// of a core each hand-over between threads would cost more than it gains.
class DirectRouter
{
public:
    /// Listens at once; throws std::system_error when an address can't be used.
    DirectRouter(const DirectSettings &settings, PlatformAdapter adapter);
    ~DirectRouter();

    /// Serves until stop() has drained the router.
    void run();

    /// Starts a graceful shutdown; safe to call from a signal's handler on the event loop.
    void stop();

    boost::asio::io_context &context();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bilberry::direct

#endif
