#ifndef BILBERRY_ROUTER_AGENTLINKS_H
#define BILBERRY_ROUTER_AGENTLINKS_H

#include "bilberry/base/log.h"
#include "bilberry/model/configuration.h"
#include "bilberry/store/objectstore.h"
#include "bilberry/wire/framelink.h"

#include <map>

namespace bilberry::router {

/// Events of AgentLinks, called on its event loop.
struct AgentLinksHooks
{
    std::function<void(wire::AgentHello &&)> linkUp;
    std::function<void(const ServerId &)> linkDown;
    std::function<void(const ServerId &, wire::LinkMessage &&)> messageReceived;
    std::function<void(std::size_t)> controlBytesSent;
};

/// Maintains a TCP link to each listed agent. Runs on one event loop.
class AgentLinks
{
public:
    /// @param memory account of the process; null for one of its own
    AgentLinks(boost::asio::io_context &context, wire::RouterHello hello, AgentLinksHooks hooks,
               std::shared_ptr<MemoryAccount> memory = nullptr);

    /// Connects to newly listed agents, and removes unlisted ones that have no working link.
    void setAgents(const std::vector<store::Vm> &agents);
    /// Closes the link to an agent, calls linkDown, and connects again.
    void reconnect(const ServerId &server);
    void send(const ServerId &server, const wire::LinkMessage &message);

    /// Sends the stamp to all linked agents, and stores it for later hellos and heartbeats.
    /// @param createdAt when the stamp's proof age was computed
    void broadcastStamp(const wire::ConfigurationStamp &stamp, TimePoint createdAt);
    void setConfiguration(const ConfigurationPtr &configuration);

    /// @return servers whose agents have sent their hello
    std::vector<ServerId> linkedServers() const;

private:
    struct Agent
    {
        store::Vm vm;
        ServerId server;
        std::shared_ptr<wire::FrameLink> link;
        bool connecting = false;
        bool helloReceived = false;
        Duration backoff{};
        /// Identifies the current link; events of earlier ones are ignored.
        std::uint64_t linkId = 0;
        std::uint64_t connectAttempt = 0; ///< identifies the current connection attempt
        std::uint64_t lastSequence = 0;   ///< of the agent's newest heartbeat or hello
        TimePoint lastSequenceAt{};       ///< arrival of that message
    };

    void connect(const std::string &name);
    void onConnected(const std::string &name, std::uint64_t connectAttempt,
                     boost::asio::ip::tcp::socket socket);
    void sendHeartbeat(const Agent &agent);
    wire::ConfigurationStamp currentStamp() const;
    void onConnectFailed(const std::string &name, std::uint64_t connectAttempt);
    void scheduleReconnect(const std::string &name);
    void onMessage(const std::string &name, std::uint64_t linkId, wire::LinkMessage &&message);
    void onClosed(const std::string &name, std::uint64_t linkId, std::error_code error);

    boost::asio::io_context &m_context;
    wire::RouterHello m_hello;
    AgentLinksHooks m_hooks;
    std::shared_ptr<MemoryAccount> m_memory;
    Log m_log{"router.links"};
    wire::ConfigurationStamp m_stamp;
    TimePoint m_stampCreatedAt{};
    std::string m_encodedConfiguration; ///< without customers
    std::map<std::string, Agent> m_agents;
    std::map<ServerId, std::string> m_nameByServer;
    std::uint64_t m_lastId = 0;
};

} // namespace bilberry::router

#endif
