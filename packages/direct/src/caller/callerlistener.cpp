#include "caller/callerlistener.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bilberry::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int acceptBacklog = 1024;
/// Limit of pending connections that are accepted in one round of the event loop, so that open
/// requests continue in between.
constexpr int maxAcceptsPerRound = 32;
/// Delay of the next accept after an error; file descriptors become free within milliseconds.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);
/// Fraction of the limit of caller connections from which on refused callers are disconnected: they
/// return on another connection anyway, and leave this one idle.
constexpr double closeAfterRefusalFill = 0.5;
/// Fraction of the limit from which on idle connections are closed to make room, and the fraction
/// of the idle ones that is closed at once.
constexpr double reclaimFill = 0.9;
constexpr double reclaimedShare = 0.25;
/// Connections whose callers may have stopped.
constexpr auto stoppable = {MemoryUse::Receiving, MemoryUse::Sending};
/// Time without a byte from which on a caller counts as stopped.
constexpr Duration minStall = std::chrono::seconds(1);
/// Time for which a connection is idle before a stopping router closes it: the first request of a
/// new connection may still be on its way.
constexpr Duration stopIdleTime = std::chrono::milliseconds(300);

} // namespace

CallerListener::CallerListener(asio::io_context &io, const tcp::endpoint &endpoint,
                               std::function<std::size_t()> maxConnections, CallerHooks hooks,
                               std::function<bool()> isOverloaded,
                               std::shared_ptr<MemoryAccount> memory, Log &log)
    : m_io(io), m_maxConnections(std::move(maxConnections)), m_hooks(std::move(hooks)),
      m_isOverloaded(std::move(isOverloaded)), m_memory(std::move(memory)), m_log(log),
      m_acceptor(io), m_acceptTimer(io)
{
    m_hooks.onClosed = [this](const CallerConnectionPtr &caller) { m_callers.erase(caller); };
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    // Accepted connections inherit it.
    m_acceptor.set_option(
            asio::socket_base::receive_buffer_size(CallerConnection::receiveBufferBytes));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(acceptBacklog);
    m_acceptor.non_blocking(true);
}

void CallerListener::startDraining()
{
    m_isDraining = true;
    for (const CallerConnectionPtr &caller : m_callers)
        caller->closeAfterResponse();
}

/// Closing the acceptor resets the connections that wait in its queue.
void CallerListener::stopAccepting()
{
    if (!m_acceptor.is_open())
        return;
    acceptPending(acceptBacklog);
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void CallerListener::endRequests()
{
    const auto callers = m_callers;
    for (const CallerConnectionPtr &caller : callers)
        caller->endRequest();
}

void CallerListener::closeIdle()
{
    const auto callers = m_callers;
    for (const CallerConnectionPtr &caller : callers)
        caller->closeIfIdle(stopIdleTime);
}

bool CallerListener::shouldCloseAfterRefusal() const
{
    return isFilled(closeAfterRefusalFill);
}

/// Accepts the connections that are already pending together: under load the event loop returns
/// here rarely. An overloaded router accepts only one in each round, to give priority to the store
/// and to open streams.
void CallerListener::startAccept()
{
    m_acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
                if (!self->m_acceptor.is_open())
                    return;
                if (error) {
                    self->delayAccept(error);
                    return;
                }
                self->add(std::move(socket));
                self->acceptPending(self->m_isOverloaded() ? 0 : maxAcceptsPerRound);
                self->startAccept();
            });
}

void CallerListener::acceptPending(int limit)
{
    for (int i = 0; i < limit; ++i) {
        tcp::socket socket(m_io);
        boost::system::error_code error;
        m_acceptor.accept(socket, error);
        if (error)
            return;
        add(std::move(socket));
    }
}

/// Accepts again after a delay. Most accept errors are a lack of file descriptors.
void CallerListener::delayAccept(boost::system::error_code error)
{
    m_log.decision("Could not take a connection.",
                   {{"error", error.message()}, {"callers", std::to_string(m_callers.size())}});
    m_acceptTimer.expires_after(acceptRetryDelay);
    m_acceptTimer.async_wait([self = shared_from_this()](boost::system::error_code waitError) {
        if (!waitError && self->m_acceptor.is_open())
            self->startAccept();
    });
}

void CallerListener::add(tcp::socket socket)
{
    if (isFilled(reclaimFill))
        makeRoom();
    // A close before the request is read tells the caller that it did not run.
    if (isFilled(1.0) && !m_memory->releaseSlowest(&m_hooks, stoppable))
        return;
    const auto caller = std::make_shared<CallerConnection>(std::move(socket), m_hooks, m_memory);
    m_callers.insert(caller);
    if (m_isDraining)
        caller->closeAfterResponse();
    caller->start();
}

/// @return true when the connections reach a fraction of their limit
bool CallerListener::isFilled(double fraction) const
{
    return static_cast<double>(m_callers.size())
           >= fraction * static_cast<double>(m_maxConnections());
}

/// Closes a connection whose caller has stopped inside a request or an answer, or else idle ones.
void CallerListener::makeRoom()
{
    if (!m_memory->releaseSlowest(&m_hooks, stoppable, minStall))
        reclaimIdle();
}

/// Closes the connections that have been idle for longest. Many at once, because finding them takes
/// time.
void CallerListener::reclaimIdle()
{
    std::vector<std::pair<TimePoint, CallerConnectionPtr>> idle;
    for (const CallerConnectionPtr &caller : m_callers) {
        if (const auto since = caller->idleSince())
            idle.emplace_back(*since, caller);
    }
    if (idle.empty())
        return;
    const auto count = static_cast<std::size_t>(
            std::ceil(reclaimedShare * static_cast<double>(idle.size())));
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end());
    for (std::size_t i = 0; i < count; ++i)
        idle[i].second->releaseIfIdle();
    m_log.decision("Closed idle connections.", {{"closed", std::to_string(count)},
                                                {"callers", std::to_string(m_callers.size())}});
}

} // namespace bilberry::direct
