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

/// Version of an object; the platform assigns a new one on each write.
using ObjectVersion = std::uint64_t;

/// An object in the platform's store.
struct Object
{
    std::string name;
    ObjectVersion version = 0;
    std::string value; ///< at most 1 MiB
    bool operator==(const Object &) const = default;
};

enum class VmRole { Router, Agent };

/// An entry of the platform's list of VMs. The list may be outdated.
struct Vm
{
    std::string name; ///< name of the router or of the backend server
    VmRole role = VmRole::Router;
    ZoneId zone;
    std::string address;         ///< IP address
    std::uint16_t port = 0;      ///< UDP port of a router, TCP port of an agent
    std::uint16_t adminPort = 0; ///< port of the HTTP admin server
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

    /// @return the object, or CallBudgetExhausted, NotFound, RateLimited, Unavailable, Malformed
    virtual Awaitable<Result<Object>> get(std::string name) = 0;

    /// @return all objects whose names start with the prefix, ordered by name, or an error of get()
    virtual Awaitable<Result<std::vector<Object>>> list(std::string prefix) = 0;

    /// Creates an object if no object has that name.
    /// @return the first version, or Conflict, OutcomeUnknown, TooLarge, or an error of get()
    virtual Awaitable<Result<ObjectVersion>> create(std::string name, std::string value) = 0;

    /// Replaces the value if the object still has the expected version.
    /// @return the new version, or Conflict, OutcomeUnknown, TooLarge, or an error of get()
    virtual Awaitable<Result<ObjectVersion>> update(std::string name, ObjectVersion expected,
                                                    std::string value)
            = 0;

    /// Deletes the object if it still has the expected version.
    /// @return success, or Conflict, OutcomeUnknown, or an error of get()
    virtual Awaitable<Status> remove(std::string name, ObjectVersion expected) = 0;

    /// Waits until the object has another version than the known one.
    /// @param known version that the caller has; 0 if it has none
    /// @param limit maximum wait
    /// @return the object, NotChanged when the limit has passed, or an error of get()
    virtual Awaitable<Result<Object>> watch(std::string name, ObjectVersion known, Duration limit)
            = 0;

    /// @return the live and leaving VMs, or an error of get()
    virtual Awaitable<Result<std::vector<Vm>>> vms() = 0;
};

} // namespace bilberry::store

#endif
