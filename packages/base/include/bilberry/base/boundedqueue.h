#ifndef BILBERRY_BASE_BOUNDEDQUEUE_H
#define BILBERRY_BASE_BOUNDEDQUEUE_H

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace bilberry {

/// Bounded queue between two duties: any thread pushes, one thread drains.
/// @tparam T movable item
template <typename T>
class BoundedQueue
{
public:
    /// @param capacity largest number of items held
    /// @param wake called by the pushing thread when the ring stops being empty
    BoundedQueue(std::size_t capacity, std::function<void()> wake)
        : m_capacity(capacity), m_wake(std::move(wake))
    {
    }

    /// Adds an item at the end.
    /// @param item moved from only on success
    /// @return false when the ring is full; the item stays with the caller
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
            m_wake();
        return true;
    }

    /// Adds an item at the end, and waits for room while the ring is full.
    /// @return false when the ring was closed; the item is then lost
    bool pushOrWait(T item)
    {
        bool wasEmpty = false;
        {
            std::unique_lock lock(m_mutex);
            m_room.wait(lock, [this] { return m_closed || m_items.size() < m_capacity; });
            if (m_closed)
                return false;
            wasEmpty = m_items.empty();
            m_items.push_back(std::move(item));
        }
        if (wasEmpty)
            m_wake();
        return true;
    }

    /// Ends all waits for room; the consumer is about to stop.
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        m_room.notify_all();
    }

    /// Moves all items out.
    /// @param out cleared first; receives the items in order
    void drain(std::vector<T> &out)
    {
        out.clear();
        const std::lock_guard lock(m_mutex);
        out.swap(m_items);
        m_room.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_room;
    bool m_closed = false;
    std::size_t m_capacity;
    std::vector<T> m_items; ///< grows with the use, so that a large bound costs no memory
    std::function<void()> m_wake;
};

} // namespace bilberry

#endif
