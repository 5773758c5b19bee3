#include "bilberry/wire/gossipsocket.h"

namespace bilberry::wire {

namespace asio = boost::asio;

namespace {

/// Unlisted routers that are listened to at most: receivers keep what each of them says, and
/// anyone who reaches the port can invent some.
constexpr std::size_t maxUnlistedPeers = 128;
/// Time without a datagram after which an unlisted router makes room for another one.
constexpr Duration unlistedLifetime = std::chrono::seconds(60);
constexpr Duration unlistedExpiryPeriod = std::chrono::seconds(1);
/// Maximum number of pending datagrams read in a row; other work of the event loop runs between two
/// batches.
constexpr int maxReceiveBatch = 32;

} // namespace

GossipSocket::GossipSocket(asio::io_context &context, const std::string &address,
                           std::uint16_t port, ReceiveHook onReceive,
                           std::function<void(std::size_t)> onSent)
    : m_socket(context, asio::ip::udp::endpoint(asio::ip::make_address(address), port)),
      m_onReceive(std::move(onReceive)), m_onSent(std::move(onSent))
{
    m_socket.non_blocking(true);
}

void GossipSocket::start()
{
    receive();
}

void GossipSocket::setPeers(const std::vector<GossipPeer> &listed)
{
    std::map<RouterId, asio::ip::udp::endpoint> peers;
    for (const GossipPeer &peer : listed) {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (!error)
            peers[peer.router] = {address, peer.port};
    }
    m_peers = std::move(peers);
    std::erase_if(m_unlistedPeers,
                  [this](const auto &entry) { return m_peers.contains(entry.first); });
}

void GossipSocket::send(const RouterId &router, const GossipMessage &message)
{
    const auto listed = m_peers.find(router);
    const auto unlisted = m_unlistedPeers.find(router);
    if (listed != m_peers.end())
        sendDatagram(listed->second, encodeDatagram(message));
    else if (unlisted != m_unlistedPeers.end())
        sendDatagram(unlisted->second.endpoint, encodeDatagram(message));
}

void GossipSocket::sendToAll(const GossipMessage &message)
{
    const std::string datagram = encodeDatagram(message);
    for (const auto &[router, peer] : m_peers)
        sendDatagram(peer, datagram);
}

void GossipSocket::sendDatagram(const asio::ip::udp::endpoint &peer, const std::string &datagram)
{
    // A datagram that can't be sent immediately is dropped, like one lost in the network.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(datagram), peer, 0, ignored);
    m_onSent(datagram.size());
}

/// @return false when there are too many unlisted senders to listen to this one
bool GossipSocket::recordSender(const GossipMessage &message)
{
    const RouterId sender = std::visit(
            [](const auto &alternative) { return alternative.sender.router; }, message);
    if (m_peers.contains(sender))
        return true;
    const TimePoint now = Clock::now();
    const bool isNew = !m_unlistedPeers.contains(sender);
    if (isNew && m_unlistedPeers.size() >= maxUnlistedPeers) {
        // Searched at most once a second, since a flood would make each datagram search.
        if (now - m_unlistedExpiredAt < unlistedExpiryPeriod)
            return false;
        m_unlistedExpiredAt = now;
        std::erase_if(m_unlistedPeers, [now](const auto &entry) {
            return now - entry.second.heardAt > unlistedLifetime;
        });
        if (m_unlistedPeers.size() >= maxUnlistedPeers)
            return false;
    }
    m_unlistedPeers[sender] = {m_sender, now};
    return true;
}

void GossipSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](boost::system::error_code error, std::size_t size) {
                                    if (error == asio::error::operation_aborted
                                        || !m_socket.is_open())
                                        return;
                                    if (!error)
                                        handleDatagram(size);
                                    receivePending();
                                    receive();
                                });
}

/// Reads datagrams that are already pending, so that a burst doesn't take one event loop iteration
/// per datagram.
void GossipSocket::receivePending()
{
    for (int i = 0; i < maxReceiveBatch; ++i) {
        boost::system::error_code error;
        const std::size_t size = m_socket.receive_from(asio::buffer(m_buffer), m_sender, 0, error);
        if (error)
            return;
        handleDatagram(size);
    }
}

void GossipSocket::handleDatagram(std::size_t size)
{
    auto message = decodeDatagram({m_buffer.data(), size});
    if (!message) {
        m_log.warning("Invalid datagram dropped: " + message.error().message() + ".");
        return;
    }
    if (!recordSender(message.value()))
        return;
    // An exception ends the handling of this datagram, not the event loop.
    try {
        m_onReceive(std::move(message).value());
    } catch (const std::exception &exception) {
        m_log.warning(std::string("Datagram dropped after an exception: ") + exception.what()
                      + ".");
    }
}

} // namespace bilberry::wire
