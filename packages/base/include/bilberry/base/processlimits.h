#ifndef BILBERRY_BASE_PROCESSLIMITS_H
#define BILBERRY_BASE_PROCESSLIMITS_H

#include "bilberry/base/settings.h"

#include <cstddef>
#include <cstdint>

namespace bilberry {

/// What the VM gives to the process. The defaults are the smallest VM's memory and the descriptors
/// that the system allows the process.
struct VmSize
{
    std::int64_t memoryMb = 120;
    std::int64_t descriptors = 0; ///< 0: as the system allows
    bool operator==(const VmSize &) const = default;
};

/// Limits that keep a process within its VM, whatever its callers and peers send.
struct ProcessLimits
{
    std::size_t memoryBytes = 48U << 20U; ///< held for connections and requests
    std::size_t descriptors = 0;          ///< 0: as the system allows

    /// @return how many descriptors may be sockets
    std::size_t maxSockets() const;
    bool operator==(const ProcessLimits &) const = default;
};

/// Reads the limits of a process of any role.
/// @param reader collects the faults
/// @param vm size of the VM where the file doesn't tell it
ProcessLimits readProcessLimits(SettingsReader &reader, const VmSize &vm);

/// Lets freed memory of large requests return to the system at once. To be called before the
/// process starts to serve.
void returnLargeBlocksToSystem();

} // namespace bilberry

#endif
