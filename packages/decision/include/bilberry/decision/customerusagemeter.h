#ifndef BILBERRY_DECISION_CUSTOMERUSAGEMETER_H
#define BILBERRY_DECISION_CUSTOMERUSAGEMETER_H

#include "bilberry/decision/slidingsum.h"
#include "bilberry/model/ids.h"

#include <map>

namespace bilberry::decision {

/// Compares what each customer asked for and was given in the newest window with its max-min fair
/// part of what all were given.
class CustomerUsageMeter
{
public:
    /// @param window length of the window
    explicit CustomerUsageMeter(Duration window) : m_window(window) {}

    /// Costs of one customer's requests within the window.
    struct Usage
    {
        double requested = 0.0;
        double dispatched = 0.0;
        bool operator==(const Usage &) const = default;
    };

    /// A request arrived.
    /// @param cost its expected cost, in any unit
    void recordRequested(const CustomerId &customer, double cost, TimePoint now);

    /// The request was sent to a server.
    void recordDispatched(const CustomerId &customer, double cost, TimePoint now);

    /// Takes over what another router counted in the same window.
    void updatePeerUsage(const RouterId &router, const std::map<CustomerId, Usage> &demands,
                         TimePoint now);

    /// @return what this router counted
    std::map<CustomerId, Usage> ownUsage(TimePoint now);

    /// @return what the customer was given, relative to the fair level; 1 is the level itself. 0
    /// when nothing was given to it.
    double usageRatio(const CustomerId &customer, TimePoint now);

private:
    struct Account
    {
        SlidingSum requested;
        SlidingSum dispatched;
    };

    /// Newest report of another router.
    struct Peer
    {
        std::map<CustomerId, Usage> demands;
        TimePoint at{};
    };

    Account &account(const CustomerId &customer);
    /// @return the whole fleet's demands, as far as known
    const std::map<CustomerId, Usage> &fleet(TimePoint now);
    static double fairLevel(const std::map<CustomerId, Usage> &demands);

    Duration m_window;
    std::map<CustomerId, Account> m_accounts;
    std::map<RouterId, Peer> m_peers;
    std::map<CustomerId, Usage> m_fleet;
    double m_level = 0.0;
    TimePoint m_fleetAt{};
};

} // namespace bilberry::decision

#endif
