#ifndef BILBERRY_BASE_EVENTLOOPTHREAD_H
#define BILBERRY_BASE_EVENTLOOPTHREAD_H

#include "bilberry/base/boundedqueue.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bilberry {

/// A thread that runs one event loop. State that belongs to the loop is accessed on this thread
/// only.
class EventLoopThread
{
public:
    /// @param name thread name, at most 15 characters
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    boost::asio::io_context &context() { return m_context; }

    void start();

    /// Stops the event loop and joins the thread. May be called more than once.
    void stop();

private:
    std::string m_name;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
};

/// A bounded queue whose items are handled on the thread of an event loop.
/// @tparam T movable item type
template <typename T>
class EventLoopQueue
{
public:
    using Handler = std::function<void(T &&)>;

    /// @param consumer thread that handles the items; stop it before the queue is destroyed
    /// @param capacity largest number of queued items
    /// @param handler called on the consumer's thread for each item
    EventLoopQueue(EventLoopThread &consumer, std::size_t capacity, Handler handler)
        : m_consumer(consumer), m_handler(std::move(handler)),
          m_queue(capacity, [this] { schedule(); })
    {
    }

    /// Adds an item.
    /// @return false when the queue is full; the item stays with the caller
    [[nodiscard]] bool push(T &&item) { return m_queue.push(std::move(item)); }

    /// Adds an item; blocks while the queue is full. Drops the item if the queue is closed
    /// meanwhile.
    void pushOrWait(T item) { m_queue.pushOrWait(std::move(item)); }

    /// Releases all blocked producers before the consumer stops.
    void close() { m_queue.close(); }

private:
    void schedule()
    {
        boost::asio::post(m_consumer.context(), [this] { drain(); });
    }

    void drain()
    {
        m_queue.drain(m_batch);
        for (T &item : m_batch)
            m_handler(std::move(item));
        m_batch.clear();
    }

    EventLoopThread &m_consumer;
    Handler m_handler;
    BoundedQueue<T> m_queue;
    std::vector<T> m_batch;
};

} // namespace bilberry

#endif
