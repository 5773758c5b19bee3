#ifndef BILBERRY_WIRE_GOSSIPSOCKET_H
#define BILBERRY_WIRE_GOSSIPSOCKET_H

#include "bilberry/base/log.h"
#include "bilberry/base/time.h"
#include "bilberry/wire/codec.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>

namespace bilberry::wire {

/// A router and the address at which it receives datagrams.
struct GossipPeer
{
    RouterId router;
    std::string address; ///< numeric IP address
    std::uint16_t port = 0;
    bool operator==(const GossipPeer &) const = default;
};

/// Sends and receives datagrams between routers. Runs on one event loop.
class GossipSocket
{
public:
    using ReceiveHook = std::function<void(GossipMessage &&)>;

    /// Binds the socket; throws std::system_error when the address can't be used.
    /// @param onSent called with the size in bytes of each datagram sent
    GossipSocket(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                 ReceiveHook onReceive, std::function<void(std::size_t)> onSent);

    /// Starts receiving.
    void start();
    /// Replaces the list of peers. Peers without a usable address are left out.
    void setPeers(const std::vector<GossipPeer> &listed);

    /// Removes a router from the list of peers.
    void removePeer(const RouterId &router) { m_peers.erase(router); }

    /// Sends to a listed router, or to an unlisted one that a datagram was received from: the list
    /// may lag behind the fleet. Does nothing when the router's address is unknown.
    void send(const RouterId &router, const GossipMessage &message);

    /// Sends to all listed routers.
    void sendToAll(const GossipMessage &message);

private:
    void receive();
    void receivePending();
    void handleDatagram(std::size_t size);
    void sendDatagram(const boost::asio::ip::udp::endpoint &peer, const std::string &datagram);
    bool recordSender(const GossipMessage &message);

    boost::asio::ip::udp::socket m_socket;
    ReceiveHook m_onReceive;
    std::function<void(std::size_t)> m_onSent;
    Log m_log{"router.gossip"};
    std::map<RouterId, boost::asio::ip::udp::endpoint> m_peers;
    /// A sender that the list of peers lacks, as it may lag behind the fleet.
    struct UnlistedPeer
    {
        boost::asio::ip::udp::endpoint endpoint;
        TimePoint heardAt{};
    };
    std::map<RouterId, UnlistedPeer> m_unlistedPeers;
    TimePoint m_unlistedExpiredAt{};
    std::array<char, 65536> m_buffer{};
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace bilberry::wire

#endif
