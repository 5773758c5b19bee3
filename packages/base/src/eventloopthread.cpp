#include "bilberry/base/eventloopthread.h"

#include <pthread.h>

namespace bilberry {

EventLoopThread::EventLoopThread(std::string name)
    : m_name(std::move(name)), m_workGuard(boost::asio::make_work_guard(m_context))
{
}

EventLoopThread::~EventLoopThread()
{
    stop();
}

void EventLoopThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.c_str());
        m_context.run();
    });
}

void EventLoopThread::stop()
{
    m_workGuard.reset();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace bilberry
