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

/// Faults of the platform; can be changed while it runs.
struct PlatformFaults
{
    std::atomic<bool> down = false;        ///< connections are closed without an answer
    std::atomic<int> delayMs = 0;          ///< before each answer
    std::atomic<int> lostWriteAnswers = 0; ///< number of writes that take effect without an answer
    std::atomic<int> lostWrites = 0;       ///< number of writes without effect and answer
    std::atomic<int> callsPerSecond = 100000; ///< calls above this rate are refused with 429
};

/// Stand-in for the platform's object API and VM list that runs on its own thread.
class PlatformStandin
{
public:
    /// @param port TCP port on loopback; 0 picks a free one
    explicit PlatformStandin(std::uint16_t port = 0);
    ~PlatformStandin();

    std::uint16_t port() const;
    PlatformFaults &faults();
    void setVms(std::vector<store::Vm> vms);

    /// @return number of calls since the start, answered or not
    std::uint64_t calls() const;

    /// @return the current value of an object; empty when it does not exist
    std::string value(const std::string &name) const;

    /// @return names of all objects that start with the prefix
    std::vector<std::string> names(const std::string &prefix) const;

private:
    struct State;
    EventLoopThread m_eventLoop; ///< destroyed last: the state's sockets belong to its event loop
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::tests

#endif
