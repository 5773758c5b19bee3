#ifndef BILBERRY_BASE_BOUNDEDQUEUE_H
#define BILBERRY_BASE_BOUNDEDQUEUE_H

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace bilberry {

/// Bounded multi-producer, single-consumer queue: any thread pushes, one thread drains.
/// @tparam T movable item type
template <typename T>
class BoundedQueue
{
public:
    /// @param capacity largest number of queued items
    /// @param notifyConsumer called on the pushing thread when the queue was empty before the push
    BoundedQueue(std::size_t capacity, std::function<void()> notifyConsumer)
        : m_capacity(capacity), m_notifyConsumer(std::move(notifyConsumer))
    {
    }

    /// Adds an item at the end.
    /// @param item moved from only on success
    /// @return false when the queue is full; the item stays with the caller
    [[nodiscard]] bool push(T &&item)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_items.size() >= m_capacity)
                return false;
            wasEmpty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        if (wasEmpty)
            m_notifyConsumer();
        return true;
    }

    /// Adds an item at the end; blocks while the queue is full.
    /// @return false when the queue is closed; the item is then dropped
    bool pushOrWait(T item)
    {
        bool wasEmpty = false;
        {
            std::unique_lock lock(m_mutex);
            m_notFull.wait(lock, [this] { return m_closed || m_items.size() < m_capacity; });
            if (m_closed)
                return false;
            wasEmpty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        if (wasEmpty)
            m_notifyConsumer();
        return true;
    }

    /// Releases all blocked producers before the consumer stops.
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        m_notFull.notify_all();
    }

    /// Moves all items out.
    /// @param out cleared first; receives the items in the order of their pushes
    void drain(std::vector<T> &out)
    {
        out.clear();
        const std::lock_guard lock(m_mutex);
        out.swap(m_items);
        m_notFull.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_notFull;
    bool m_closed = false;
    std::size_t m_capacity;
    std::vector<T> m_items; ///< grows on demand: a large capacity reserves no memory
    std::function<void()> m_notifyConsumer;
};

} // namespace bilberry

#endif
