#ifndef BILBERRY_TOOLS_DEMOLOAD_H
#define BILBERRY_TOOLS_DEMOLOAD_H

#include "support/fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bilberry::tools {

/// A customer of the demo and the number of its callers.
struct DemoCustomer
{
    std::string name;
    double share = 1.0;
    int chatCallers = 0; ///< each sends its next request after the previous answer
};

/// Results of all callers.
struct LoadCounts
{
    std::uint64_t answered = 0;                   ///< complete answers with status 200
    std::uint64_t incomplete = 0;                 ///< missing or incomplete answers
    std::map<std::string, std::uint64_t> refused; ///< by status and outcome
    std::vector<std::string> bookings;            ///< tags of all bookings
};

/// Runs callers, each on a thread of its own, that send requests until they are stopped.
class DemoLoad
{
public:
    DemoLoad(const tests::Fleet &fleet, const std::vector<DemoCustomer> &customers);
    ~DemoLoad();

    /// Stops the callers and waits for their pending answers.
    void stop();
    LoadCounts counts() const;

private:
    void runChatCaller(const DemoCustomer &customer, std::size_t caller);
    void runOrderCaller(const DemoCustomer &customer, std::size_t caller);
    tests::Answer send(const DemoCustomer &customer, std::size_t router, tests::Call request);

    const tests::Fleet &m_fleet;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex;
    LoadCounts m_counts;
    std::vector<std::thread> m_callers;
};

/// @return API key of a customer
std::string apiKey(const DemoCustomer &customer);

} // namespace bilberry::tools

#endif
