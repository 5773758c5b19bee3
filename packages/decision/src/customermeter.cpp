#include "bilberry/decision/customermeter.h"

#include <algorithm>
#include <vector>

namespace bilberry::decision {

namespace {

/// A report of another router counts for this long.
constexpr Duration reportLifetime = std::chrono::seconds(2);
/// The fleet's sums are formed anew in this period; within it only own requests are added.
constexpr Duration refreshPeriod = std::chrono::milliseconds(20);

} // namespace

void CustomerMeter::asked(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).asked.add(cost, now);
}

void CustomerMeter::given(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).given.add(cost, now);
}

void CustomerMeter::report(const RouterId &router, const std::map<CustomerId, Demand> &demands,
                           TimePoint now)
{
    m_peers[router] = {demands, now};
}

std::map<CustomerId, CustomerMeter::Demand> CustomerMeter::own(TimePoint now)
{
    std::map<CustomerId, Demand> demands;
    for (auto &[customer, account] : m_accounts) {
        const Demand demand{account.asked.sum(now), account.given.sum(now)};
        if (demand.asked > 0.0)
            demands.emplace(customer, demand);
    }
    return demands;
}

double CustomerMeter::use(const CustomerId &customer, TimePoint now)
{
    const auto &demands = fleet(now);
    const auto found = demands.find(customer);
    return found == demands.end() || m_level <= 0.0 ? 0.0 : found->second.given / m_level;
}

const std::map<CustomerId, CustomerMeter::Demand> &CustomerMeter::fleet(TimePoint now)
{
    if (m_fleetAt != TimePoint() && now - m_fleetAt < refreshPeriod)
        return m_fleet;
    m_fleetAt = now;
    m_fleet = own(now);
    for (const auto &[router, peer] : m_peers) {
        if (now - peer.at > reportLifetime)
            continue;
        for (const auto &[customer, demand] : peer.demands) {
            m_fleet[customer].asked += demand.asked;
            m_fleet[customer].given += demand.given;
        }
    }
    m_level = fairLevel(m_fleet);
    return m_fleet;
}

CustomerMeter::Account &CustomerMeter::account(const CustomerId &customer)
{
    return m_accounts.try_emplace(customer, Account{SlidingSum(m_window), SlidingSum(m_window)})
            .first->second;
}

/// Water filling: who asked for less than the level gets it all, the others share the rest evenly.
double CustomerMeter::fairLevel(const std::map<CustomerId, Demand> &demands)
{
    std::vector<double> asked;
    double rest = 0.0;
    for (const auto &[customer, demand] : demands) {
        rest += demand.given;
        if (demand.asked > 0.0)
            asked.push_back(demand.asked);
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
