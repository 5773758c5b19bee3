#include "bilberry/base/processlimits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace bilberry {

namespace {

constexpr std::int64_t maxMegabytes = 1 << 20;
constexpr std::int64_t maxDescriptors = 1 << 20;
constexpr std::int64_t minLimitMb = 8;
constexpr std::int64_t minVmMb = 32;
/// Part of the VM's memory that is held for connections and requests, in fifths. The rest is for
/// the process itself, for what the kernel has received for it, and for what the allocator loses.
constexpr std::int64_t heldFifths = 2;
constexpr std::int64_t fifths = 5;
/// Descriptors that are not for sockets.
constexpr std::size_t reservedDescriptors = 200;
/// Size from which on a block is returned to the system as soon as it is freed.
constexpr int largeBlockBytes = 128 << 10;

std::size_t allowedDescriptors()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur)
                                                   : static_cast<std::size_t>(maxDescriptors);
}

} // namespace

std::size_t ProcessLimits::maxSockets() const
{
    const std::size_t allowed = allowedDescriptors();
    const std::size_t usable = descriptors > 0 ? std::min(descriptors, allowed) : allowed;
    return usable > reservedDescriptors ? usable - reservedDescriptors : 0;
}

ProcessLimits readProcessLimits(SettingsReader &reader, const VmSize &vm)
{
    ProcessLimits limits;
    const std::int64_t memoryMb
            = reader.integer("vm.memoryMb", minVmMb, maxMegabytes,
                             std::clamp<std::int64_t>(vm.memoryMb, minVmMb, maxMegabytes));
    const std::int64_t limitMb = reader.integer("memory.limitMb", minLimitMb, maxMegabytes,
                                                memoryMb * heldFifths / fifths);
    limits.memoryBytes = static_cast<std::size_t>(limitMb) << 20U;
    limits.descriptors = static_cast<std::size_t>(
            reader.integer("vm.descriptors", 0, maxDescriptors,
                           std::clamp<std::int64_t>(vm.descriptors, 0, maxDescriptors)));
    return limits;
}

/// A fixed threshold keeps the allocator from raising it with each large block that is freed.
void returnLargeBlocksToSystem()
{
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

} // namespace bilberry
