#ifndef BILBERRY_TESTS_PEERSTANDIN_H
#define BILBERRY_TESTS_PEERSTANDIN_H

#include "bilberry/store/collectionstore.h"
#include "bilberry/wire/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace bilberry::tests {

/// Another direct router, as far as datagrams show it.
class PeerStandin
{
public:
    /// @return what to answer a message, if anything; called on the stand-in's own thread
    using Respond = std::function<std::optional<wire::GossipMessage>(const wire::GossipMessage &)>;

    explicit PeerStandin(std::string name = "other", Respond respond = {});
    ~PeerStandin();

    wire::GossipSender sender() const { return {RouterId(m_name), 7, ZoneId("a")}; }
    /// @return its entry in the store's collection of routers
    store::Item entry() const;
    /// Sends a message to the router on loopback that receives datagrams at a port.
    void send(std::uint16_t routerPort, const wire::GossipMessage &message);

private:
    void receive();

    std::string m_name;
    Respond m_respond;
    boost::asio::io_context m_context;
    boost::asio::ip::udp::socket m_socket;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace bilberry::tests

#endif
