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

/// One thread with its event loop; all state of a duty is touched on this thread only.
class EventLoopThread
{
public:
    /// @param name thread name, at most 15 characters
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    /// @return the event loop
    boost::asio::io_context &context() { return m_context; }

    /// Starts the thread.
    void start();

    /// Ends the event loop and joins the thread. Safe to call twice.
    void stop();

private:
    std::string m_name;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// A bounded ring that a duty drains on its own thread.
/// @tparam T movable item
template <typename T>
class EventLoopQueue
{
public:
    using Handler = std::function<void(T &&)>;

    /// @param duty the consumer
    /// @param capacity largest number of items held
    /// @param handler called on the duty's thread for each item
    EventLoopQueue(EventLoopThread &duty, std::size_t capacity, Handler handler)
        : m_duty(duty), m_handler(std::move(handler)), m_ring(capacity, [this] { schedule(); })
    {
    }

    /// Hands an item over.
    /// @return false when the ring is full
    [[nodiscard]] bool push(T &&item) { return m_ring.push(std::move(item)); }

    /// Hands an item over, and waits while the ring is full.
    void pushOrWait(T item) { m_ring.pushOrWait(std::move(item)); }

    /// Ends all waits; the duty is about to stop.
    void close() { m_ring.close(); }

private:
    void schedule()
    {
        boost::asio::post(m_duty.context(), [this] { drain(); });
    }

    void drain()
    {
        m_ring.drain(m_batch);
        for (T &item : m_batch)
            m_handler(std::move(item));
        m_batch.clear();
    }

    EventLoopThread &m_duty;
    Handler m_handler;
    BoundedQueue<T> m_ring;
    std::vector<T> m_batch;
};

} // namespace bilberry

#endif
