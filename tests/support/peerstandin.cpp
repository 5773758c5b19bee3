#include "support/peerstandin.h"

#include <array>

namespace bilberry::tests {

namespace asio = boost::asio;
using asio::ip::udp;

PeerStandin::PeerStandin(std::string name, Respond respond)
    : m_name(std::move(name)), m_respond(std::move(respond)),
      m_socket(m_context, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_thread([this] { receive(); })
{
}

PeerStandin::~PeerStandin()
{
    m_stopping = true;
    // A datagram to itself ends the blocking read.
    udp::socket wake(m_context, udp::v4());
    wake.send_to(asio::buffer("", 1), m_socket.local_endpoint());
    m_thread.join();
}

store::Item PeerStandin::entry() const
{
    return {m_name, R"({"address":"127.0.0.1","port":)"
                            + std::to_string(m_socket.local_endpoint().port()) + "}"};
}

void PeerStandin::send(std::uint16_t routerPort, const wire::GossipMessage &message)
{
    m_socket.send_to(asio::buffer(wire::encodeDatagram(message)),
                     {asio::ip::address_v4::loopback(), routerPort});
}

void PeerStandin::receive()
{
    std::array<char, 65536> bytes{};
    udp::endpoint from;
    while (!m_stopping) {
        const std::size_t size = m_socket.receive_from(asio::buffer(bytes), from);
        const auto message = wire::decodeDatagram({bytes.data(), size});
        const auto response = message && m_respond ? m_respond(message.value()) : std::nullopt;
        if (response)
            m_socket.send_to(asio::buffer(wire::encodeDatagram(*response)), from);
    }
}

} // namespace bilberry::tests
