#include "support/resourcewatch.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace bilberry::tests {

namespace {

constexpr auto samplePeriod = std::chrono::milliseconds(5);
constexpr int hexadecimal = 16;

std::string processFile(int process, const std::string &name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

/// @return 0 when the process has ended
std::size_t residentBytes(int process)
{
    std::ifstream statm(processFile(process, "statm"));
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    constexpr std::size_t pageBytes = 4096;
    return resident * pageBytes;
}

/// @param address "ADDRESS:PORT" in hexadecimal digits
std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(
            std::stoul(address.substr(address.find(':') + 1), nullptr, hexadecimal));
}

void raise(std::atomic<std::size_t> &peak, std::size_t value)
{
    peak = std::max<std::size_t>(peak, value);
}

} // namespace

std::size_t peakResidentBytes(int process)
{
    std::ifstream status(processFile(process, "status"));
    const std::string field = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) << 10U;
    }
    return 0;
}

ResourceWatch::ResourceWatch(int process, WatchedPorts ports)
    : m_process(process), m_ports(std::move(ports)), m_thread([this] {
          while (!m_stopping) {
              raise(m_peakBytes, bytes());
              raise(m_peakDescriptors, descriptors());
              std::this_thread::sleep_for(samplePeriod);
          }
      })
{
}

ResourceWatch::~ResourceWatch()
{
    m_stopping = true;
    m_thread.join();
}

std::size_t ResourceWatch::bytes() const
{
    return residentBytes(m_process) + unreadBytes();
}

std::size_t ResourceWatch::unreadBytes() const
{
    // On a listening socket, the receive queue counts connections.
    const std::string listening = "0A";
    std::ifstream table(processFile(m_process, "net/tcp"));
    std::string line;
    std::getline(table, line);
    std::size_t unread = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        const bool isOfProcess
                = m_ports.own.contains(portOf(local)) || m_ports.peer.contains(portOf(remote));
        if (isOfProcess && state != listening)
            unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return unread;
}

std::size_t ResourceWatch::descriptors() const
{
    std::error_code ignored;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry(processFile(m_process, "fd"), ignored), end;
         !ignored && entry != end; entry.increment(ignored))
        ++count;
    return count;
}

} // namespace bilberry::tests
