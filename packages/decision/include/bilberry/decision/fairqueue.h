#ifndef BILBERRY_DECISION_FAIRQUEUE_H
#define BILBERRY_DECISION_FAIRQUEUE_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// Number that the router gives to each request of a caller.
using RequestId = std::uint64_t;

/// In which order a queue serves.
enum class QueueOrder {
    Fair,            ///< the customer with the smallest virtual time first
    FirstInFirstOut, ///< by arrival, whoever the customer is (a baseline for measurements)
};

/// What a queue needs to know of a customer.
struct CustomerPriority
{
    double virtualTime = 0.0;           ///< normalised milliseconds
    double virtualTimePerRequest = 0.0; ///< expected rise with one more request
    bool operator==(const CustomerPriority &) const = default;
};

/// Looks a customer's standing up.
using PriorityLookup = std::function<CustomerPriority(const CustomerId &)>;

/// Whether a request was queued.
enum class PushResult { Queued, CustomerFull, TotalFull };

/// A request taken from the queue.
struct QueuedRequest
{
    RequestId request = 0;
    CustomerId customer;
    bool operator==(const QueuedRequest &) const = default;
};

/// Waiting requests of one pool at one router; bounded per customer and in total.
class FairQueue
{
public:
    /// @param order serving order
    /// @param totalLimit largest number of waiting requests
    FairQueue(QueueOrder order, std::size_t totalLimit);

    /// @param customerLimit largest number of waiting requests of this customer
    PushResult push(RequestId request, const CustomerId &customer, std::size_t customerLimit);

    /// Puts a request that could not be placed back in front of its customer's others.
    void pushFront(RequestId request, const CustomerId &customer);

    /// Takes the next request of the neediest customer.
    std::optional<QueuedRequest> pop(const PriorityLookup &standing);

    /// Takes a request out, for example when its caller is gone.
    /// @return false when it does not wait here
    bool remove(RequestId request);

    /// Virtual times of the requests that the next pops would serve.
    /// @param count largest number of them
    std::vector<double> nextVirtualTimes(const PriorityLookup &standing, std::size_t count) const;

    bool hasWaiting(const CustomerId &customer) const { return m_waiting.contains(customer); }
    std::size_t size() const { return m_customerOf.size(); }
    bool empty() const { return m_customerOf.empty(); }
    /// @return waiting requests of the customer
    std::size_t waitingCount(const CustomerId &customer) const;
    /// @return customers with waiting requests
    std::vector<CustomerId> customers() const;

private:
    struct Entry
    {
        RequestId request = 0;
        std::int64_t arrival = 0;
    };
    using Lines = std::map<CustomerId, std::deque<Entry>>;

    Lines::iterator neediest(const PriorityLookup &standing);

    QueueOrder m_order;
    std::size_t m_totalLimit;
    std::int64_t m_arrivals = 0;
    std::int64_t m_frontArrivals = 0;
    Lines m_waiting;
    std::unordered_map<RequestId, CustomerId> m_customerOf;
};

} // namespace bilberry::decision

#endif
