#include "bilberry/decision/customerusagemeter.h"

#include <algorithm>
#include <vector>

namespace bilberry::decision {

namespace {

/// A report of another router counts for this long.
constexpr Duration reportLifetime = std::chrono::seconds(2);
/// The fleet's sums are formed anew in this period; within it only own requests are added.
constexpr Duration refreshPeriod = std::chrono::milliseconds(20);

} // namespace

void CustomerUsageMeter::recordRequested(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).requested.add(cost, now);
}

void CustomerUsageMeter::recordDispatched(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).dispatched.add(cost, now);
}

void CustomerUsageMeter::updatePeerUsage(const RouterId &router,
                                         const std::map<CustomerId, Usage> &demands, TimePoint now)
{
    m_peers[router] = {demands, now};
}

std::map<CustomerId, CustomerUsageMeter::Usage> CustomerUsageMeter::ownUsage(TimePoint now)
{
    std::map<CustomerId, Usage> demands;
    for (auto &[customer, account] : m_accounts) {
        const Usage demand{account.requested.sum(now), account.dispatched.sum(now)};
        if (demand.requested > 0.0)
            demands.emplace(customer, demand);
    }
    return demands;
}

double CustomerUsageMeter::usageRatio(const CustomerId &customer, TimePoint now)
{
    const auto &demands = fleet(now);
    const auto found = demands.find(customer);
    return found == demands.end() || m_level <= 0.0 ? 0.0 : found->second.dispatched / m_level;
}

const std::map<CustomerId, CustomerUsageMeter::Usage> &CustomerUsageMeter::fleet(TimePoint now)
{
    if (m_fleetAt != TimePoint() && now - m_fleetAt < refreshPeriod)
        return m_fleet;
    m_fleetAt = now;
    m_fleet = ownUsage(now);
    for (const auto &[router, peer] : m_peers) {
        if (now - peer.at > reportLifetime)
            continue;
        for (const auto &[customer, demand] : peer.demands) {
            m_fleet[customer].requested += demand.requested;
            m_fleet[customer].dispatched += demand.dispatched;
        }
    }
    m_level = fairLevel(m_fleet);
    return m_fleet;
}

CustomerUsageMeter::Account &CustomerUsageMeter::account(const CustomerId &customer)
{
    return m_accounts.try_emplace(customer, Account{SlidingSum(m_window), SlidingSum(m_window)})
            .first->second;
}

/// Water filling: who asked for less than the level gets it all, the others share the rest evenly.
double CustomerUsageMeter::fairLevel(const std::map<CustomerId, Usage> &demands)
{
    std::vector<double> asked;
    double rest = 0.0;
    for (const auto &[customer, demand] : demands) {
        rest += demand.dispatched;
        if (demand.requested > 0.0)
            asked.push_back(demand.requested);
    }
    std::sort(asked.begin(), asked.end());
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double even = rest / static_cast<double>(asked.size() - i);
        if (asked[i] >= even)
            return even;
        rest -= asked[i];
    }
    return asked.empty() ? 0.0 : asked.back();
}

} // namespace bilberry::decision
