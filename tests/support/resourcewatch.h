#ifndef BILBERRY_TESTS_RESOURCEWATCH_H
#define BILBERRY_TESTS_RESOURCEWATCH_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <set>
#include <thread>

namespace bilberry::tests {

/// TCP ports that tell which of the machine's connections belong to a process.
struct WatchedPorts
{
    std::set<std::uint16_t> own;  ///< the process listens on these
    std::set<std::uint16_t> peer; ///< the process connects to these
};

/// @return largest resident memory of a process since its start, in bytes; 0 when it has ended
std::size_t peakResidentBytes(int process);

/// Samples the memory and the descriptors of a process until it is destroyed. Memory is what is
/// resident and what the kernel has received for the process and the process hasn't read, also on
/// connections that it hasn't accepted yet.
class ResourceWatch
{
public:
    ResourceWatch(int process, WatchedPorts ports);
    ~ResourceWatch();
    ResourceWatch(const ResourceWatch &) = delete;
    ResourceWatch &operator=(const ResourceWatch &) = delete;

    std::size_t peakBytes() const { return m_peakBytes; }
    std::size_t peakDescriptors() const { return m_peakDescriptors; }
    /// @return memory now
    std::size_t bytes() const;

private:
    std::size_t unreadBytes() const;
    std::size_t descriptors() const;

    int m_process;
    WatchedPorts m_ports;
    std::atomic<std::size_t> m_peakBytes = 0;
    std::atomic<std::size_t> m_peakDescriptors = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace bilberry::tests

#endif
