#ifndef BILBERRY_TESTS_CROWD_H
#define BILBERRY_TESTS_CROWD_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// What one caller of a crowd sends on each of its connections. Callers that send the same bytes
/// share them.
struct CrowdCaller
{
    std::shared_ptr<const std::string> bytes;
    std::size_t stopAt = 0; ///< bytes that are sent; then the connection stays open
    /// Sent again and again after the first bytes until the connection ends. May be null.
    std::shared_ptr<const std::string> repeated{};
    bool reads = true;    ///< false: nothing that arrives is read
    bool hangsUp = false; ///< closes the connection when everything is sent
};

/// Many connections to one port on loopback, driven by one thread. A caller whose connection ends
/// connects again, a limited number of times.
class Crowd
{
public:
    /// Starts to connect and to send.
    /// @param connectionsPerCaller number of connections that a caller opens one after another
    Crowd(std::uint16_t port, std::vector<CrowdCaller> callers, int connectionsPerCaller = 3);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// @return true when each caller has sent what it sends, or has no connection left. Callers
    ///         that send without end count only when their connections have ended.
    bool hasSettled() const { return m_unsettled == 0; }
    std::size_t openConnections() const { return m_open; }

private:
    struct Member;

    void run();
    void connect(Member &member);
    void send(Member &member);
    void receive(Member &member);
    void end(Member &member);
    void count();

    std::uint16_t m_port;
    int m_connectionsPerCaller;
    std::vector<Member> m_members;
    std::atomic<std::size_t> m_unsettled;
    std::atomic<std::size_t> m_open = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace bilberry::tests

#endif
