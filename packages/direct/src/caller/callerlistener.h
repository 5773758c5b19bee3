#ifndef BILBERRY_DIRECT_CALLERLISTENER_H
#define BILBERRY_DIRECT_CALLERLISTENER_H

#include "caller/callerconnection.h"

#include "bilberry/base/log.h"

#include <functional>
#include <memory>
#include <unordered_set>

namespace bilberry::direct {

/// Accepts the connections of callers, holds them, and makes room when they are too many.
class CallerListener : public std::enable_shared_from_this<CallerListener>
{
public:
    /// Starts to listen; throws boost::system::system_error when the endpoint can't be used.
    /// @param maxConnections returns the limit of the connections held
    /// @param hooks of each connection; onClosed is set here
    /// @param memory account of the process
    /// @param isOverloaded returns whether the router has no processor time to spare
    CallerListener(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &endpoint,
                   std::function<std::size_t()> maxConnections, CallerHooks hooks,
                   std::function<bool()> isOverloaded, std::shared_ptr<MemoryAccount> memory,
                   Log &log);

    /// Starts to accept connections.
    void start() { startAccept(); }

    /// Closes each connection after its next response, also the ones accepted from now on.
    void startDraining();
    /// Accepts the connections that wait in the queue, and no others.
    void stopAccepting();
    /// Ends all requests with a final response.
    void endRequests();
    /// Closes connections that have been idle for a while.
    void closeIdle();

    std::size_t size() const { return m_callers.size(); }
    /// @return true while a refused caller should return on another connection, because too many
    ///         are held
    bool shouldCloseAfterRefusal() const;

private:
    void startAccept();
    void acceptPending(int limit);
    void delayAccept(boost::system::error_code error);
    void add(boost::asio::ip::tcp::socket socket);
    bool isFilled(double fraction) const;
    void makeRoom();
    void reclaimIdle();

    boost::asio::io_context &m_io;
    std::function<std::size_t()> m_maxConnections;
    CallerHooks m_hooks;
    std::function<bool()> m_isOverloaded;
    std::shared_ptr<MemoryAccount> m_memory;
    Log &m_log;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    std::unordered_set<CallerConnectionPtr> m_callers;
    bool m_isDraining = false;
};

} // namespace bilberry::direct

#endif
