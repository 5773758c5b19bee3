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

/// A customer of the demo and how many callers it has.
struct DemoCustomer
{
    std::string name;
    double share = 1.0;
    int chatCallers = 0; ///< each sends its next request when it has the answer
};

/// What all callers saw.
struct LoadCounts
{
    std::uint64_t answered = 0;                   ///< whole answers
    std::uint64_t broken = 0;                     ///< no or no whole answer
    std::map<std::string, std::uint64_t> refused; ///< by status and outcome
    std::vector<std::string> bookings;            ///< tags of all bookings
};

/// Callers that keep the fleet busy until they are stopped.
class DemoLoad
{
public:
    DemoLoad(const tests::Fleet &fleet, const std::vector<DemoCustomer> &customers);
    ~DemoLoad();

    /// Stops the callers and waits for their last answers.
    void stop();
    LoadCounts counts() const;

private:
    void chat(const DemoCustomer &customer, std::size_t caller);
    void order(const DemoCustomer &customer, std::size_t caller);
    tests::Answer send(const DemoCustomer &customer, std::size_t router, tests::Call request);

    const tests::Fleet &m_fleet;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex;
    LoadCounts m_counts;
    std::vector<std::thread> m_callers;
};

/// @return API key of a customer
std::string keyOf(const DemoCustomer &customer);

} // namespace bilberry::tools

#endif
