#ifndef BILBERRY_TESTS_FAULTPROXY_H
#define BILBERRY_TESTS_FAULTPROXY_H

#include "bilberry/base/eventloopthread.h"
#include "bilberry/base/time.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace bilberry::tests {

/// Faults that a proxy injects; can be changed while it runs.
struct ProxyFaults
{
    std::atomic<bool> cut = false;  ///< connections are closed and refused, datagrams dropped
    std::atomic<bool> mute = false; ///< nothing passes, but connections stay open (half-open)
    std::atomic<bool> muteToServer = false; ///< one-way loss towards the server
    std::atomic<bool> muteToClient = false; ///< one-way loss towards the client
    std::atomic<int> delayMs = 0;           ///< before each forwarded read; keeps the order
    std::atomic<int> copies = 1;            ///< datagrams only: how often each one is sent
};

/// Forwards TCP connections to a port on loopback, with faults.
class TcpProxy
{
public:
    explicit TcpProxy(std::uint16_t target);
    ~TcpProxy();

    std::uint16_t port() const;
    ProxyFaults &faults();
    /// From now on the open connections carry nothing, without a reset; new ones work.
    void silenceOpen();

private:
    struct State;
    EventLoopThread m_eventLoop;
    std::shared_ptr<State> m_state;
};

/// Forwards datagrams to a port on loopback, with faults. One-way: the receiver sends its answers
/// to the address it has for the sender, not through this proxy.
class UdpProxy
{
public:
    explicit UdpProxy(std::uint16_t target);
    ~UdpProxy();

    std::uint16_t port() const;
    ProxyFaults &faults();

private:
    struct State;
    EventLoopThread m_eventLoop;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::tests

#endif
