#include "bilberry/decision/customerusagemeter.h"

#include <algorithm>
#include <vector>

namespace bilberry::decision {

namespace {

/// Time after which another router's report is ignored.
constexpr Duration reportLifetime = std::chrono::seconds(2);
/// Minimum time between two computations of the fleet's usage; own requests in between are included
/// in the next one.
constexpr Duration refreshPeriod = std::chrono::milliseconds(20);

/// Minimum time between two computations of this router's share.
constexpr Duration sharePeriod = std::chrono::milliseconds(200);
/// Part of the shares that is the same for all routers: requests that count for no customer come
/// to all of them.
constexpr double evenPart = 0.3;
/// Interval of reports in a small fleet; increases by this much for each reportIntervalPeers
/// others.
constexpr Duration minReportInterval = std::chrono::milliseconds(250);
constexpr std::size_t reportIntervalPeers = 8;
/// Leaves a tenth of the lifetime for the delay of the second of two reports.
constexpr Duration maxReportInterval = reportLifetime * 9 / 20;

} // namespace

Duration usageReportInterval(std::size_t peers)
{
    const Duration interval = minReportInterval * static_cast<int>(1 + peers / reportIntervalPeers);
    return std::min(interval, maxReportInterval);
}

void CustomerUsageMeter::recordRequested(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).requested.add(cost, now);
}

void CustomerUsageMeter::recordDispatched(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).dispatched.add(cost, now);
}

void CustomerUsageMeter::updatePeerUsage(const RouterId &router,
                                         const std::map<CustomerId, Usage> &usages, TimePoint now)
{
    m_peers[router] = {usages, now};
}

std::map<CustomerId, CustomerUsageMeter::Usage> CustomerUsageMeter::ownUsage(TimePoint now)
{
    std::map<CustomerId, Usage> usages;
    for (auto account = m_accounts.begin(); account != m_accounts.end();) {
        const Usage usage{account->second.requested.sum(now), account->second.dispatched.sum(now)};
        if (usage.requested <= 0.0) {
            account = m_accounts.erase(account);
            continue;
        }
        usages.emplace(account->first, usage);
        ++account;
    }
    return usages;
}

double CustomerUsageMeter::usageRatio(const CustomerId &customer, TimePoint now)
{
    const auto &usages = fleetUsage(now);
    const auto found = usages.find(customer);
    return found == usages.end() || m_fairLevel <= 0.0 ? 0.0
                                                       : found->second.dispatched / m_fairLevel;
}

double CustomerUsageMeter::routerShare(std::size_t routers, TimePoint now)
{
    if (m_routerShareAt != TimePoint() && now - m_routerShareAt < sharePeriod)
        return m_routerShare;
    m_routerShareAt = now;
    fleetUsage(now);
    const double own = fairRequested(ownUsage(now));
    double sum = own;
    std::size_t known = 1;
    for (const auto &[router, peer] : m_peers) {
        if (now - peer.reportedAt > reportLifetime)
            continue;
        sum += fairRequested(peer.usages);
        ++known;
    }
    const double equalShare = 1.0 / static_cast<double>(std::max(routers, known));
    // A router whose report is missing may get as many requests as the others do in the mean.
    const double missing = 1.0 - static_cast<double>(known) * equalShare;
    const double ownShare = sum > 0.0 ? (1.0 - missing) * own / sum : equalShare;
    m_routerShare = evenPart * equalShare + (1.0 - evenPart) * ownShare;
    return m_routerShare;
}

/// @return the requested costs of one router, those of each customer reduced to its fair share of
/// what the customer requested from all routers
double CustomerUsageMeter::fairRequested(const std::map<CustomerId, Usage> &usages) const
{
    double sum = 0.0;
    for (const auto &[customer, usage] : usages) {
        const auto fleet = m_fleetUsage.find(customer);
        const double requested = fleet == m_fleetUsage.end() ? 0.0 : fleet->second.requested;
        sum += requested > m_fairLevel ? usage.requested * m_fairLevel / requested
                                       : usage.requested;
    }
    return sum;
}

const std::map<CustomerId, CustomerUsageMeter::Usage> &CustomerUsageMeter::fleetUsage(TimePoint now)
{
    if (m_fleetUsageAt != TimePoint() && now - m_fleetUsageAt < refreshPeriod)
        return m_fleetUsage;
    m_fleetUsageAt = now;
    m_fleetUsage = ownUsage(now);
    for (const auto &[router, peer] : m_peers) {
        if (now - peer.reportedAt > reportLifetime)
            continue;
        for (const auto &[customer, usage] : peer.usages) {
            m_fleetUsage[customer].requested += usage.requested;
            m_fleetUsage[customer].dispatched += usage.dispatched;
        }
    }
    m_fairLevel = fairLevel(m_fleetUsage);
    return m_fleetUsage;
}

CustomerUsageMeter::Account &CustomerUsageMeter::account(const CustomerId &customer)
{
    return m_accounts.try_emplace(customer, Account{SlidingSum(m_window), SlidingSum(m_window)})
            .first->second;
}

/// Water filling: customers that request less than the level get all of it, the others share the
/// remaining cost equally.
double CustomerUsageMeter::fairLevel(const std::map<CustomerId, Usage> &usages)
{
    std::vector<double> requested;
    double remaining = 0.0;
    for (const auto &[customer, usage] : usages) {
        remaining += usage.dispatched;
        if (usage.requested > 0.0)
            requested.push_back(usage.requested);
    }
    std::sort(requested.begin(), requested.end());
    for (std::size_t i = 0; i < requested.size(); ++i) {
        const double equalShare = remaining / static_cast<double>(requested.size() - i);
        if (requested[i] >= equalShare)
            return equalShare;
        remaining -= requested[i];
    }
    return requested.empty() ? 0.0 : requested.back();
}

} // namespace bilberry::decision
