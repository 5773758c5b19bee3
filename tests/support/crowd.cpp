#include "support/crowd.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace bilberry::tests {

namespace {

constexpr int closedSocket = -1;
/// Bytes that a caller sends at a time, so that all of them send in turn.
constexpr std::size_t pieceBytes = 16U << 10U;
constexpr int pollPeriodMs = 10;

} // namespace

struct Crowd::Member
{
    CrowdCaller caller;
    int socket = closedSocket;
    int connections = 0; ///< opened so far
    std::size_t sent = 0;

    bool isOpen() const { return socket != closedSocket; }
    bool hasMoreToSend() const { return sent < caller.stopAt || caller.repeated; }
};

Crowd::Crowd(std::uint16_t port, std::vector<CrowdCaller> callers, int connectionsPerCaller)
    : m_port(port), m_connectionsPerCaller(connectionsPerCaller), m_unsettled(callers.size())
{
    for (CrowdCaller &caller : callers)
        m_members.push_back({std::move(caller)});
    m_thread = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    m_stopping = true;
    m_thread.join();
    for (Member &member : m_members)
        end(member);
}

void Crowd::run()
{
    std::vector<pollfd> polled(m_members.size());
    while (!m_stopping) {
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            Member &member = m_members[i];
            if (!member.isOpen() && member.connections < m_connectionsPerCaller)
                connect(member);
            int events = member.caller.reads ? POLLIN : POLLRDHUP;
            events |= member.hasMoreToSend() ? POLLOUT : 0;
            polled[i] = {member.socket, static_cast<short>(events), 0};
        }
        ::poll(polled.data(), polled.size(), pollPeriodMs);
        for (std::size_t i = 0; i < m_members.size() && !m_stopping; ++i) {
            const int events = polled[i].revents;
            if ((events & POLLOUT) != 0)
                send(m_members[i]);
            if (m_members[i].isOpen() && (events & POLLIN) != 0)
                receive(m_members[i]);
            if (m_members[i].isOpen() && (events & (POLLERR | POLLHUP | POLLRDHUP)) != 0)
                end(m_members[i]);
        }
        count();
    }
}

void Crowd::connect(Member &member)
{
    member.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ++member.connections;
    member.sent = 0;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(member.socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        && errno != EINPROGRESS)
        end(member);
}

void Crowd::send(Member &member)
{
    const CrowdCaller &caller = member.caller;
    const char *data = nullptr;
    std::size_t size = 0;
    if (member.sent < caller.stopAt) {
        data = caller.bytes->data() + member.sent;
        size = caller.stopAt - member.sent;
    } else {
        const std::size_t at = (member.sent - caller.stopAt) % caller.repeated->size();
        data = caller.repeated->data() + at;
        size = caller.repeated->size() - at;
    }
    const ssize_t sent
            = ::send(member.socket, data, std::min(size, pieceBytes), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0)
        member.sent += static_cast<std::size_t>(sent);
    const bool isDone = caller.hangsUp && !member.hasMoreToSend();
    if (isDone || (sent <= 0 && errno != EAGAIN))
        end(member);
}

void Crowd::receive(Member &member)
{
    std::array<char, 64U << 10U> discarded{};
    const ssize_t size = ::recv(member.socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN))
        end(member);
}

void Crowd::end(Member &member)
{
    if (member.isOpen())
        ::close(member.socket);
    member.socket = closedSocket;
}

void Crowd::count()
{
    std::size_t open = 0;
    std::size_t unsettled = 0;
    for (const Member &member : m_members) {
        open += member.isOpen() ? 1 : 0;
        const bool isAtEnd = member.isOpen() ? !member.hasMoreToSend()
                                             : member.connections >= m_connectionsPerCaller;
        unsettled += isAtEnd ? 0 : 1;
    }
    m_open = open;
    m_unsettled = unsettled;
}

} // namespace bilberry::tests
