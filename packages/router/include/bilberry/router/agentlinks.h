#ifndef BILBERRY_ROUTER_AGENTLINKS_H
#define BILBERRY_ROUTER_AGENTLINKS_H

#include "bilberry/base/log.h"
#include "bilberry/model/configuration.h"
#include "bilberry/store/objectstore.h"
#include "bilberry/wire/framelink.h"

#include <map>

namespace bilberry::router {

/// What the links tell the other duties; all calls come on the links' event loop.
struct AgentLinksHooks
{
    std::function<void(wire::AgentHello &&)> up;
    std::function<void(const ServerId &)> down;
    std::function<void(const ServerId &, wire::LinkMessage &&)> received;
    std::function<void(std::size_t)> controlSent;
};

/// Keeps a link to each agent of the list. Runs on one event loop.
class AgentLinks
{
public:
    AgentLinks(boost::asio::io_context &context, wire::RouterHello hello, AgentLinksHooks hooks);

    /// Opens links to new agents and closes those to agents that left the list.
    void setAgents(const std::vector<store::Vm> &agents);
    /// Closes the link to an agent and connects again; the down hook follows at once.
    void drop(const ServerId &server);
    void send(const ServerId &server, const wire::LinkMessage &message);

    /// Sends the stamp to all agents.
    /// @param madeAt when the stamp's age was right
    void setStamp(const wire::ConfigurationStamp &stamp, TimePoint madeAt);
    void setConfiguration(const ConfigurationPtr &configuration);

    /// @return servers whose agents said hello
    std::vector<ServerId> linked() const;

private:
    struct Target
    {
        store::Vm vm;
        ServerId server;
        std::shared_ptr<wire::FrameLink> link;
        bool connecting = false;
        bool greeted = false;
        Duration backoff{};
        std::uint64_t generation = 0; ///< tells the links of a target apart
        std::uint64_t attempt = 0;    ///< tells its connection attempts apart
        std::uint64_t echo = 0;       ///< number of the agent's newest heartbeat or hello
        TimePoint echoAt{};           ///< when it arrived
    };

    void connect(const std::string &name);
    void connected(const std::string &name, std::uint64_t attempt,
                   boost::asio::ip::tcp::socket socket);
    void sendHeartbeat(const Target &target);
    wire::ConfigurationStamp stampNow() const;
    void connectFailed(const std::string &name, std::uint64_t attempt);
    void retryLater(const std::string &name);
    void received(const std::string &name, std::uint64_t generation, wire::LinkMessage &&message);
    void closed(const std::string &name, std::uint64_t generation, std::error_code error);

    boost::asio::io_context &m_context;
    wire::RouterHello m_hello;
    AgentLinksHooks m_hooks;
    Log m_log{"router.links"};
    wire::ConfigurationStamp m_stamp;
    TimePoint m_stampedAt{};
    std::string m_document; ///< encoded configuration for agents
    std::map<std::string, Target> m_targets;
    std::map<ServerId, std::string> m_nameOf;
    std::uint64_t m_lastGeneration = 0;
};

} // namespace bilberry::router

#endif
