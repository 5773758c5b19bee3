#ifndef BILBERRY_TESTS_PLATFORMSTANDIN_H
#define BILBERRY_TESTS_PLATFORMSTANDIN_H

#include "bilberry/base/eventloopthread.h"
#include "bilberry/store/objectstore.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bilberry::tests {

/// Faults of the platform, switchable while it runs.
struct PlatformFaults
{
    std::atomic<bool> down = false;           ///< connections are cut without an answer
    std::atomic<int> delayMs = 0;             ///< before each answer
    std::atomic<int> lostWriteAnswers = 0;    ///< so many writes take effect without an answer
    std::atomic<int> lostWrites = 0;          ///< so many writes have neither effect nor answer
    std::atomic<int> callsPerSecond = 100000; ///< above it calls are refused with 429
};

/// Stands in for the platform's object API and VM list, on a thread of its own.
class PlatformStandin
{
public:
    /// @param port TCP port on loopback; 0 takes a free one
    explicit PlatformStandin(std::uint16_t port = 0);
    ~PlatformStandin();

    std::uint16_t port() const;
    PlatformFaults &faults();
    void setVms(std::vector<store::Vm> vms);

    /// @return number of calls answered or cut since the start
    std::uint64_t calls() const;

    /// @return the present value of an object; empty when there is none
    std::string value(const std::string &name) const;

    /// @return names of all objects with the prefix
    std::vector<std::string> names(const std::string &prefix) const;

private:
    struct State;
    EventLoopThread m_duty; ///< goes last: the state's sockets belong to its event loop
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::tests

#endif
