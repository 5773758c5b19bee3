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
    m_waiting[customer].push_back({request, ++m_arrivals});
    m_customerOf.emplace(request, customer);
    return PushResult::Queued;
}

void FairQueue::pushFront(RequestId request, const CustomerId &customer)
{
    m_waiting[customer].push_front({request, --m_frontArrivals});
    m_customerOf.emplace(request, customer);
}

FairQueue::Lines::iterator FairQueue::neediest(const PriorityLookup &standing)
{
    const auto rank = [&](const Lines::value_type &line) {
        if (m_order == QueueOrder::FirstInFirstOut)
            return static_cast<double>(line.second.front().arrival);
        return standing(line.first).virtualTime;
    };
    auto best = m_waiting.begin();
    double bestRank = rank(*best);
    for (auto line = std::next(best); line != m_waiting.end(); ++line) {
        const double lineRank = rank(*line);
        if (lineRank < bestRank) {
            best = line;
            bestRank = lineRank;
        }
    }
    return best;
}

std::optional<QueuedRequest> FairQueue::pop(const PriorityLookup &standing)
{
    if (m_waiting.empty())
        return std::nullopt;
    const auto line = neediest(standing);
    const QueuedRequest taken{line->second.front().request, line->first};
    line->second.pop_front();
    if (line->second.empty())
        m_waiting.erase(line);
    m_customerOf.erase(taken.request);
    return taken;
}

bool FairQueue::remove(RequestId request)
{
    const auto found = m_customerOf.find(request);
    if (found == m_customerOf.end())
        return false;
    const auto line = m_waiting.find(found->second);
    std::erase_if(line->second, [&](const Entry &entry) { return entry.request == request; });
    if (line->second.empty())
        m_waiting.erase(line);
    m_customerOf.erase(found);
    return true;
}

std::vector<double> FairQueue::nextVirtualTimes(const PriorityLookup &standing,
                                                std::size_t count) const
{
    struct Next
    {
        double virtualTime = 0.0;
        double step = 0.0;
        std::size_t left = 0;
        bool operator>(const Next &other) const { return virtualTime > other.virtualTime; }
    };
    std::priority_queue<Next, std::vector<Next>, std::greater<>> order;
    for (const auto &[customer, line] : m_waiting) {
        const CustomerPriority of = standing(customer);
        order.push({of.virtualTime, of.virtualTimePerRequest, line.size()});
    }
    std::vector<double> times;
    while (!order.empty() && times.size() < count) {
        Next next = order.top();
        order.pop();
        times.push_back(next.virtualTime);
        next.virtualTime += next.step;
        if (--next.left > 0)
            order.push(next);
    }
    return times;
}

std::size_t FairQueue::waitingCount(const CustomerId &customer) const
{
    const auto found = m_waiting.find(customer);
    return found == m_waiting.end() ? 0 : found->second.size();
}

std::vector<CustomerId> FairQueue::customers() const
{
    std::vector<CustomerId> names;
    for (const auto &[customer, line] : m_waiting)
        names.push_back(customer);
    return names;
}

} // namespace bilberry::decision
