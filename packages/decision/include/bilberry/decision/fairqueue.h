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

/// Identifies a caller's request; assigned by the router.
using RequestId = std::uint64_t;

/// Scheduling policy of a queue.
enum class QueueOrder {
    Fair,            ///< the customer with the smallest virtual time first
    FirstInFirstOut, ///< in order of arrival, for all customers together (benchmark baseline)
};

/// Scheduling state of a customer; the smallest virtual time is served first.
struct CustomerPriority
{
    double virtualTime = 0.0;           ///< normalised milliseconds
    double virtualTimePerRequest = 0.0; ///< expected increase per request, same unit
    bool operator==(const CustomerPriority &) const = default;
};

/// Returns the current priority of a customer.
using PriorityLookup = std::function<CustomerPriority(const CustomerId &)>;

/// Result of FairQueue::push().
enum class PushResult {
    Queued,
    CustomerFull, ///< rejected: the customer's limit is reached
    TotalFull     ///< rejected: the limit of the queue is reached
};

/// A request taken from the queue.
struct QueuedRequest
{
    RequestId request = 0;
    CustomerId customer;
    bool operator==(const QueuedRequest &) const = default;
};

/// Queue of the requests that wait for one pool at one router, with a limit per customer and a
/// limit in total. Requests of one customer keep their order of arrival.
class FairQueue
{
public:
    /// @param totalLimit maximum number of waiting requests
    FairQueue(QueueOrder order, std::size_t totalLimit);

    /// Appends a request.
    /// @param customerLimit maximum number of waiting requests of this customer
    PushResult push(RequestId request, const CustomerId &customer, std::size_t customerLimit);

    /// Returns a request that could not be placed to the head of its customer's requests. The
    /// limits don't apply.
    void pushFront(RequestId request, const CustomerId &customer);

    /// Removes the next request in the queue's order.
    /// @return the request, or nothing when the queue is empty
    std::optional<QueuedRequest> pop(const PriorityLookup &priorityOf);

    /// Removes a request, for example when its caller has disconnected.
    /// @return false when the request is not in the queue
    bool remove(RequestId request);

    /// Predicts the virtual times of the next requests that pop() returns in fair order.
    /// @param count maximum number of requests
    /// @return normalised milliseconds, ascending
    std::vector<double> nextVirtualTimes(const PriorityLookup &priorityOf, std::size_t count) const;

    bool hasWaiting(const CustomerId &customer) const
    {
        return m_requestsByCustomer.contains(customer);
    }
    std::size_t size() const { return m_customerOf.size(); }
    bool empty() const { return m_customerOf.empty(); }
    /// @return number of waiting requests of the customer
    std::size_t waitingCount(const CustomerId &customer) const;
    /// @return customers with waiting requests
    std::vector<CustomerId> customers() const;

private:
    struct WaitingRequest
    {
        RequestId request = 0;
        std::int64_t arrival = 0;
    };
    using RequestsByCustomer = std::map<CustomerId, std::deque<WaitingRequest>>;

    RequestsByCustomer::iterator nextCustomer(const PriorityLookup &priorityOf);

    QueueOrder m_order;
    std::size_t m_totalLimit;
    std::int64_t m_lastArrival = 0;
    std::int64_t m_lastFrontArrival = 0; ///< negative, so that it orders before all arrivals
    RequestsByCustomer m_requestsByCustomer;
    std::unordered_map<RequestId, CustomerId> m_customerOf;
};

} // namespace bilberry::decision

#endif
