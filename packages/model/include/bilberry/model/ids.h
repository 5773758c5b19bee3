#ifndef BILBERRY_MODEL_IDS_H
#define BILBERRY_MODEL_IDS_H

#include "bilberry/base/name.h"

#include <compare>
#include <cstdint>

namespace bilberry {

using CustomerId = Name<struct CustomerTag>;
using PoolId = Name<struct PoolTag>;
using ZoneId = Name<struct ZoneTag>;
using RouterId = Name<struct RouterTag>;
using ServerId = Name<struct ServerTag>;

/// Version of the fleet's configuration; rises by one with each accepted change.
using Revision = std::uint64_t;

/// Random number that a process draws at start; tells its lives apart.
using Incarnation = std::uint64_t;

/// Unique number of one attempt to run a request on a backend server.
using AttemptId = std::uint64_t;

/// Identifies one crash of a backend server: the agent's life and the count of crashes in it.
struct CrashId
{
    Incarnation agent = 0;
    std::uint32_t crash = 0;
    auto operator<=>(const CrashId &) const = default;
};

} // namespace bilberry

#endif
