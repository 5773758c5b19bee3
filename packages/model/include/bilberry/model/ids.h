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

/// Version of the fleet's configuration; each accepted change increments it.
using Revision = std::uint64_t;

/// Random number chosen at process start; distinguishes a process from its predecessors of the
/// same name.
using Incarnation = std::uint64_t;

/// Unique number of one attempt to run a request on a backend server.
using AttemptId = std::uint64_t;

/// Identifies one crash of a backend server.
struct CrashId
{
    Incarnation agent = 0;   ///< of the agent that observed the crash
    std::uint32_t crash = 0; ///< number of crashes seen by this incarnation
    auto operator<=>(const CrashId &) const = default;
};

} // namespace bilberry

#endif
