#ifndef BILBERRY_DECISION_CUSTOMERUSAGEMETER_H
#define BILBERRY_DECISION_CUSTOMERUSAGEMETER_H

#include "bilberry/decision/slidingsum.h"
#include "bilberry/model/ids.h"

#include <map>

namespace bilberry::decision {

/// @param peers number of other routers
/// @return interval at which a router reports its usage to the others; longer in a larger fleet,
///         where each receives more reports, but two reports fit in the lifetime of one
Duration usageReportInterval(std::size_t peers);

/// Measures each customer's requests in a sliding window, over all routers, and compares them with
/// the customer's max-min fair share of all dispatched work.
class CustomerUsageMeter
{
public:
    /// @param window length of the sliding window
    explicit CustomerUsageMeter(Duration window) : m_window(window) {}

    /// Total costs of one customer's requests within the window.
    struct Usage
    {
        double requested = 0.0;  ///< of all requests that arrived
        double dispatched = 0.0; ///< of the requests that were sent to a server
        bool operator==(const Usage &) const = default;
    };

    /// Records that a request arrived.
    /// @param cost expected cost of the request, in any unit that all routers share
    void recordRequested(const CustomerId &customer, double cost, TimePoint now);

    /// Records that a request was sent to a server.
    /// @param cost expected cost of the request, in the same unit
    void recordDispatched(const CustomerId &customer, double cost, TimePoint now);

    /// Replaces the usage that another router has reported.
    /// @param usages the router's usage in a window of the same length
    void updatePeerUsage(const RouterId &router, const std::map<CustomerId, Usage> &usages,
                         TimePoint now);

    /// @return usage of the requests that this router received, without customers that have none
    std::map<CustomerId, Usage> ownUsage(TimePoint now);

    /// @return the customer's dispatched cost relative to the fair level: 1 at the level, 0 when
    ///         nothing was dispatched
    double usageRatio(const CustomerId &customer, TimePoint now);

    /// @param routers number of all routers, also of those whose reports are missing
    /// @return this router's part of the requests of all routers, those of each customer counted up
    ///         to its fair share
    double routerShare(std::size_t routers, TimePoint now);

    /// @return number of customers of which requests of this router are kept
    std::size_t customerCount() const { return m_accounts.size(); }

private:
    struct Account
    {
        SlidingSum requested;
        SlidingSum dispatched;
    };

    /// Newest usage that another router has reported.
    struct Peer
    {
        std::map<CustomerId, Usage> usages;
        TimePoint reportedAt{};
    };

    Account &account(const CustomerId &customer);
    /// @return this router's usage and the valid reports of the others, added up
    const std::map<CustomerId, Usage> &fleetUsage(TimePoint now);
    double fairRequested(const std::map<CustomerId, Usage> &usages) const;
    /// @return highest dispatched cost that is within the max-min fair share
    static double fairLevel(const std::map<CustomerId, Usage> &usages);

    Duration m_window;
    std::map<CustomerId, Account> m_accounts;
    std::map<RouterId, Peer> m_peers;
    std::map<CustomerId, Usage> m_fleetUsage;
    double m_fairLevel = 0.0;
    TimePoint m_fleetUsageAt{};
    double m_routerShare = 1.0;
    TimePoint m_routerShareAt{};
};

} // namespace bilberry::decision

#endif
