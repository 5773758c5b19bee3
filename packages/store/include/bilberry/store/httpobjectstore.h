#ifndef BILBERRY_STORE_HTTPOBJECTSTORE_H
#define BILBERRY_STORE_HTTPOBJECTSTORE_H

#include "bilberry/store/objectstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bilberry::store {

/// Address of the platform's HTTP API and limits of the calls to it.
struct PlatformSettings
{
    std::string address; ///< IP address
    std::uint16_t port = 0;
    Duration callLimit = std::chrono::seconds(2); ///< maximum duration; watch() adds its wait
    double callsPerSecond = 50.0;                 ///< call budget of this process
    bool operator==(const PlatformSettings &) const = default;
};

/// Called with the kind of each call that is sent, for the metrics.
using CallHook = std::function<void(const char *kind)>;

/// @param context event loop that runs the calls
/// @return the adapter for the platform's HTTP protocol
std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &context,
                                                 const PlatformSettings &settings, CallHook onCall);

} // namespace bilberry::store

#endif
