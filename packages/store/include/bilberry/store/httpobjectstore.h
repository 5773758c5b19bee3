#ifndef BILBERRY_STORE_HTTPOBJECTSTORE_H
#define BILBERRY_STORE_HTTPOBJECTSTORE_H

#include "bilberry/store/objectstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace bilberry::store {

/// Where the platform is and how patient its client is.
struct PlatformSettings
{
    std::string address; ///< IP number
    std::uint16_t port = 0;
    Duration callLimit = std::chrono::seconds(2); ///< longest duration of a call but watch()
    double callsPerSecond = 50.0;                 ///< call budget of the process
    bool operator==(const PlatformSettings &) const = default;
};

/// Told about each call sent, for the metrics.
using CallHook = std::function<void(const char *kind)>;

/// @param context event loop that the calls run on
/// @param settings address and limits
/// @param onCall told the kind of each call sent
/// @return the adapter for the platform's HTTP protocol
std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &context,
                                                 const PlatformSettings &settings, CallHook onCall);

} // namespace bilberry::store

#endif
