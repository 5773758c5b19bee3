#ifndef BILBERRY_DECISION_VIRTUALTIMETRACKER_H
#define BILBERRY_DECISION_VIRTUALTIMETRACKER_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <map>
#include <vector>

namespace bilberry::decision {

/// A customer in one pool: what service is counted for.
struct ServiceKey
{
    PoolId pool;
    CustomerId customer;
    auto operator<=>(const ServiceKey &) const = default;
};

/// What the other routers served, as an aggregator says.
struct RemoteService
{
    double normalisedMs = 0.0;  ///< sum of the other routers' counters
    double ratePerSecond = 0.0; ///< its growth
    double offset = 0.0;        ///< largest virtual-time offset known to the aggregator
    bool operator==(const RemoteService &) const = default;
};

/// This router's part of a customer's service, ready to be reported.
struct LocalServiceCounter
{
    ServiceKey key;
    double normalisedMs = 0.0;
    double offset = 0.0;
    bool backlogged = false;
    bool operator==(const LocalServiceCounter &) const = default;
};

struct VirtualTimeSettings
{
    /// The longest time for which remote service is extrapolated.
    Duration maxExtrapolation = std::chrono::seconds(1);
    /// A waiting customer is lifted to at most this far behind the most served waiting one, in
    /// normalised milliseconds: bounds for how long that one is kept waiting after a partition.
    double catchUpCapMs = 60000.0;
    /// false: other routers' service is left out (a baseline for measurements)
    bool countRemote = true;
    bool operator==(const VirtualTimeSettings &) const = default;
};

/// Counts service per customer and pool, and turns it into virtual time as in start-time fair
/// queueing. Service is normalised when it is charged: milliseconds of capacity divided by the
/// share in force then. The virtual time is `offset + own + remote`. The own part is a counter
/// that only this router writes, and the largest offset of any router holds, so that reports may
/// be lost, repeated and reordered.
class VirtualTimeTracker
{
public:
    explicit VirtualTimeTracker(VirtualTimeSettings settings) : m_settings(settings) {}

    /// Charges service, or gives it back with a negative amount.
    /// @param amount milliseconds of capacity
    /// @param share the customer's share in force, positive
    void charge(const ServiceKey &key, double amount, double share);

    /// Takes in what an aggregator says.
    /// @param aggregatorChanged the answer is the first one of another aggregator. A total that
    ///        fell because counters were lost then doesn't lower the virtual time.
    void applyRemote(const ServiceKey &key, const RemoteService &remote, bool aggregatorChanged,
                     TimePoint now);

    /// Tells that a customer has work waiting. A customer that was idle starts at the least where
    /// the neediest waiting customer is: idle time is not saved up, and nobody is set back behind
    /// those who wait already.
    void setBacklogged(const ServiceKey &key, TimePoint now);

    /// Tells that a customer has no more work waiting.
    void setIdle(const ServiceKey &key);

    /// Raises the pool's service frontier: the largest virtual time at which work started while
    /// nothing waited.
    void raisePoolVirtualTime(const PoolId &pool, double virtualTime);

    /// Sets the pool's service frontier while work waits: the smallest virtual time that waits at
    /// an agent. It may fall, because the most served customer doesn't say where the others are.
    void setPoolVirtualTime(const PoolId &pool, double virtualTime)
    {
        m_frontiers[pool] = virtualTime;
    }

    /// Lifts waiting customers that lag behind the most served waiting one by more than the cap.
    void capCatchUp(TimePoint now);

    /// @return the customer's virtual time in normalised milliseconds
    double virtualTime(const ServiceKey &key, TimePoint now) const;

    /// @return the pool's service frontier
    double poolVirtualTime(const PoolId &pool) const;

    /// @return own counters of all customers seen since the start
    std::vector<LocalServiceCounter> localCounters() const;

    /// @return milliseconds of capacity that this router charged, for metrics
    double chargedMs(const ServiceKey &key) const;

    /// @return number of accounts held
    std::size_t size() const { return m_accounts.size(); }

private:
    struct Account
    {
        double charged = 0.0;
        double own = 0.0;
        double offset = 0.0;
        RemoteService remote;
        TimePoint remoteAt{};
        bool backlogged = false;
    };

    double remoteNow(const Account &account, TimePoint now) const;
    double virtualTime(const Account &account, TimePoint now) const;
    void lift(Account &account, double target, TimePoint now) const;
    double entryTime(const PoolId &pool, TimePoint now) const;

    VirtualTimeSettings m_settings;
    std::map<ServiceKey, Account> m_accounts;
    std::map<PoolId, double> m_frontiers;
};

} // namespace bilberry::decision

#endif
