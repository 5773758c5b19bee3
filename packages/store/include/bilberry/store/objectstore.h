#ifndef BILBERRY_STORE_OBJECTSTORE_H
#define BILBERRY_STORE_OBJECTSTORE_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"
#include "bilberry/store/storeerror.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry::store {

/// Version that the platform gives to each state of an object.
using ObjectVersion = std::uint64_t;

/// A named value in the platform.
struct Object
{
    std::string name;
    ObjectVersion version = 0;
    std::string value; ///< at most 1 MiB
    bool operator==(const Object &) const = default;
};

enum class VmRole { Router, Agent };

/// One line of the platform's list of VMs. The list lags.
struct Vm
{
    std::string name; ///< router or server name
    VmRole role = VmRole::Router;
    ZoneId zone;
    std::string address;         ///< IP number
    std::uint16_t port = 0;      ///< UDP port of a router, TCP port of an agent
    std::uint16_t adminPort = 0; ///< HTTP port for operators
    bool leaving = false;
    bool operator==(const Vm &) const = default;
};

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

/// The platform's object API and VM list. Writes are conditional; each call has a time limit.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /// @param name the object's name
    /// @return the object, or NotFound, RateLimited, Unavailable, Malformed
    virtual Awaitable<Result<Object>> get(std::string name) = 0;

    /// @param prefix start of the names
    /// @return all objects whose names start so, ordered by name
    virtual Awaitable<Result<std::vector<Object>>> list(std::string prefix) = 0;

    /// Creates an object if there is none of that name.
    /// @return the first version, or Conflict, OutcomeUnknown, or an error of get()
    virtual Awaitable<Result<ObjectVersion>> create(std::string name, std::string value) = 0;

    /// Replaces the value if the version is still the given one.
    /// @return the new version, or Conflict, OutcomeUnknown, or an error of get()
    virtual Awaitable<Result<ObjectVersion>> update(std::string name, ObjectVersion expected,
                                                    std::string value)
            = 0;

    /// Deletes the object if the version is still the given one.
    virtual Awaitable<Status> remove(std::string name, ObjectVersion expected) = 0;

    /// Waits until the object has another version than the known one.
    /// @param known version that the caller has; 0 for none
    /// @param limit longest wait
    /// @return the object, NotChanged after the limit, or an error of get()
    virtual Awaitable<Result<Object>> watch(std::string name, ObjectVersion known, Duration limit)
            = 0;

    /// @return the list of live and leaving VMs
    virtual Awaitable<Result<std::vector<Vm>>> vms() = 0;
};

} // namespace bilberry::store

#endif
