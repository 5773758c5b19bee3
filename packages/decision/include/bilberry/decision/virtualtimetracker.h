#ifndef BILBERRY_DECISION_VIRTUALTIMETRACKER_H
#define BILBERRY_DECISION_VIRTUALTIMETRACKER_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <map>
#include <vector>

namespace bilberry::decision {

/// A customer in one pool; service is accounted per key.
struct ServiceKey
{
    PoolId pool;
    CustomerId customer;
    auto operator<=>(const ServiceKey &) const = default;
};

/// Service by all other routers, as reported by the aggregator.
struct RemoteService
{
    double normalisedMs = 0.0;  ///< sum of the other routers' counters, normalised milliseconds
    double ratePerSecond = 0.0; ///< growth of normalisedMs
    double offset = 0.0;        ///< largest virtual-time offset that any router reported
    bool operator==(const RemoteService &) const = default;
};

/// This router's cumulative service counter for a customer, as reported to the aggregator.
struct LocalServiceCounter
{
    ServiceKey key;
    double normalisedMs = 0.0; ///< normalised milliseconds since the start
    double offset = 0.0;       ///< of the virtual time, normalised milliseconds
    bool backlogged = false;
    bool operator==(const LocalServiceCounter &) const = default;
};

struct VirtualTimeSettings
{
    /// Maximum age up to which remote service is extrapolated.
    Duration maxExtrapolation = std::chrono::seconds(1);
    /// Maximum lag of a backlogged customer behind the most served backlogged one, normalised
    /// milliseconds. Bounds how long the most served one waits after a partition.
    double catchUpCapMs = 60000.0;
    /// False ignores the service of other routers (benchmark baseline).
    bool countRemote = true;
    bool operator==(const VirtualTimeSettings &) const = default;
};

/// Accounts service per customer and pool and derives virtual times, as in start-time fair
/// queueing. Service is normalised when it is charged: milliseconds of capacity divided by the
/// customer's current share. The virtual time is `offset + local + remote`. Only this router
/// writes the local counter, and offsets merge by maximum, so that reports may be lost, repeated
/// or reordered.
class VirtualTimeTracker
{
public:
    explicit VirtualTimeTracker(VirtualTimeSettings settings) : m_settings(settings) {}

    /// Charges service; a negative amount refunds it.
    /// @param amount milliseconds of capacity
    /// @param share the customer's current share, positive
    void charge(const ServiceKey &key, double amount, double share);

    /// Stores the total that an aggregator reported.
    /// @param aggregatorChanged true for the first total from another aggregator. Such a total may
    ///        be lower because counters were lost; it doesn't lower the virtual time.
    void applyRemote(const ServiceKey &key, const RemoteService &remote, bool aggregatorChanged,
                     TimePoint now);

    /// Marks a customer as backlogged: it has waiting requests. An idle customer's virtual time is
    /// raised to the smallest one among the pool and its backlogged customers, so that idle time
    /// earns no credit and the customer isn't placed behind those that already wait.
    void setBacklogged(const ServiceKey &key, TimePoint now);

    /// Marks a customer as idle: it has no waiting requests.
    void setIdle(const ServiceKey &key);

    /// Raises the pool's virtual time while no requests wait: to the largest virtual time of a
    /// request that has started.
    void raisePoolVirtualTime(const PoolId &pool, double virtualTime);

    /// Sets the pool's virtual time while requests wait: the smallest virtual time that waits at
    /// an agent. May lower it, because the maximum follows the most served customer and says
    /// nothing about the others.
    void setPoolVirtualTime(const PoolId &pool, double virtualTime)
    {
        m_poolVirtualTimes[pool] = virtualTime;
    }

    /// Raises backlogged customers that lag behind the most served backlogged one of their pool by
    /// more than VirtualTimeSettings::catchUpCapMs.
    void capCatchUp(TimePoint now);

    /// @return the customer's virtual time, normalised milliseconds
    double virtualTime(const ServiceKey &key, TimePoint now) const;

    /// @return the pool's virtual time, normalised milliseconds
    double poolVirtualTime(const PoolId &pool) const;

    /// @return this router's counters of all customers seen since the start
    std::vector<LocalServiceCounter> localCounters() const;

    /// @return milliseconds of capacity charged by this router, for metrics
    double chargedMs(const ServiceKey &key) const;

    /// @return number of tracked customers, counted per pool
    std::size_t size() const { return m_accounts.size(); }

private:
    struct Account
    {
        double chargedMs = 0.0;
        double normalisedMs = 0.0;
        double offset = 0.0;
        RemoteService remote;
        TimePoint remoteReceivedAt{};
        bool backlogged = false;
    };

    double extrapolatedRemote(const Account &account, TimePoint now) const;
    double virtualTime(const Account &account, TimePoint now) const;
    void raiseVirtualTime(Account &account, double minimum, TimePoint now) const;
    double initialVirtualTime(const PoolId &pool, TimePoint now) const;

    VirtualTimeSettings m_settings;
    std::map<ServiceKey, Account> m_accounts;
    std::map<PoolId, double> m_poolVirtualTimes;
};

} // namespace bilberry::decision

#endif
