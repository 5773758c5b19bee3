#include "bilberry/decision/fairqueue.h"

#include <algorithm>
#include <queue>

namespace bilberry::decision {

FairQueue::FairQueue(QueueOrder order, std::size_t totalLimit)
    : m_order(order), m_totalLimit(totalLimit)
{
}

PushResult FairQueue::push(RequestId request, const CustomerId &customer, std::size_t customerLimit)
{
    if (size() >= m_totalLimit)
        return PushResult::TotalFull;
    if (waitingCount(customer) >= customerLimit)
        return PushResult::CustomerFull;
    m_requestsByCustomer[customer].push_back({request, ++m_lastArrival});
    m_customerOf.emplace(request, customer);
    return PushResult::Queued;
}

void FairQueue::pushFront(RequestId request, const CustomerId &customer)
{
    m_requestsByCustomer[customer].push_front({request, --m_lastFrontArrival});
    m_customerOf.emplace(request, customer);
}

FairQueue::RequestsByCustomer::iterator FairQueue::nextCustomer(const PriorityLookup &priorityOf)
{
    const auto rank = [&](const RequestsByCustomer::value_type &customer) {
        if (m_order == QueueOrder::FirstInFirstOut)
            return static_cast<double>(customer.second.front().arrival);
        return priorityOf(customer.first).virtualTime;
    };
    auto best = m_requestsByCustomer.begin();
    double bestRank = rank(*best);
    for (auto customer = std::next(best); customer != m_requestsByCustomer.end(); ++customer) {
        const double candidateRank = rank(*customer);
        if (candidateRank < bestRank) {
            best = customer;
            bestRank = candidateRank;
        }
    }
    return best;
}

std::optional<QueuedRequest> FairQueue::pop(const PriorityLookup &priorityOf)
{
    if (m_requestsByCustomer.empty())
        return std::nullopt;
    const auto customer = nextCustomer(priorityOf);
    const QueuedRequest next{customer->second.front().request, customer->first};
    customer->second.pop_front();
    if (customer->second.empty())
        m_requestsByCustomer.erase(customer);
    m_customerOf.erase(next.request);
    return next;
}

bool FairQueue::remove(RequestId request)
{
    const auto found = m_customerOf.find(request);
    if (found == m_customerOf.end())
        return false;
    const auto customer = m_requestsByCustomer.find(found->second);
    std::erase_if(customer->second,
                  [&](const WaitingRequest &waiting) { return waiting.request == request; });
    if (customer->second.empty())
        m_requestsByCustomer.erase(customer);
    m_customerOf.erase(found);
    return true;
}

std::vector<double> FairQueue::nextVirtualTimes(const PriorityLookup &priorityOf,
                                                std::size_t count) const
{
    struct Candidate
    {
        double virtualTime = 0.0;
        double increment = 0.0;
        std::size_t remaining = 0;
        bool operator>(const Candidate &other) const { return virtualTime > other.virtualTime; }
    };
    std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> candidates;
    for (const auto &[customer, requests] : m_requestsByCustomer) {
        const CustomerPriority priority = priorityOf(customer);
        candidates.push({priority.virtualTime, priority.virtualTimePerRequest, requests.size()});
    }
    std::vector<double> times;
    while (!candidates.empty() && times.size() < count) {
        Candidate candidate = candidates.top();
        candidates.pop();
        times.push_back(candidate.virtualTime);
        candidate.virtualTime += candidate.increment;
        if (--candidate.remaining > 0)
            candidates.push(candidate);
    }
    return times;
}

std::size_t FairQueue::waitingCount(const CustomerId &customer) const
{
    const auto found = m_requestsByCustomer.find(customer);
    return found == m_requestsByCustomer.end() ? 0 : found->second.size();
}

std::vector<CustomerId> FairQueue::customers() const
{
    std::vector<CustomerId> names;
    for (const auto &[customer, requests] : m_requestsByCustomer)
        names.push_back(customer);
    return names;
}

} // namespace bilberry::decision
