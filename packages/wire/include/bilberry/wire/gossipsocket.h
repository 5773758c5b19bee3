#ifndef BILBERRY_WIRE_GOSSIPSOCKET_H
#define BILBERRY_WIRE_GOSSIPSOCKET_H

#include "bilberry/base/log.h"
#include "bilberry/wire/codec.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>

namespace bilberry::wire {

/// A router and where it receives datagrams.
struct GossipPeer
{
    RouterId router;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    bool operator==(const GossipPeer &) const = default;
};

/// Sends and receives datagrams between routers. Runs on one event loop.
class GossipSocket
{
public:
    using ReceiveHook = std::function<void(GossipMessage &&)>;

    /// Binds at once; throws std::system_error when the address can't be used.
    GossipSocket(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                 ReceiveHook onReceive, std::function<void(std::size_t)> onSent);

    /// Starts receiving.
    void start();
    /// Replaces the addresses. A list without routers changes nothing.
    void setPeers(const std::vector<GossipPeer> &listed);

    /// Sends to a listed router, or to one that the lagging list leaves out and that was heard.
    void send(const RouterId &router, const GossipMessage &message);

    /// Sends to every listed router.
    void sendToAll(const GossipMessage &message);

private:
    void receive();
    void receiveWaiting();
    void received(std::size_t size);
    void sendDatagram(const boost::asio::ip::udp::endpoint &peer, const std::string &datagram);
    void learnSender(const GossipMessage &message);

    boost::asio::ip::udp::socket m_socket;
    ReceiveHook m_onReceive;
    std::function<void(std::size_t)> m_onSent;
    Log m_log{"router.gossip"};
    std::map<RouterId, boost::asio::ip::udp::endpoint> m_peers;
    std::map<RouterId, boost::asio::ip::udp::endpoint> m_learned; ///< not listed, heard lately
    std::array<char, 65536> m_buffer{};
    boost::asio::ip::udp::endpoint m_from;
};

} // namespace bilberry::wire

#endif
