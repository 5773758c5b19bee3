#ifndef BILBERRY_AGENT_ROUTERLINKS_H
#define BILBERRY_AGENT_ROUTERLINKS_H

#include "bilberry/base/log.h"
#include "bilberry/decision/grantissuer.h"
#include "bilberry/wire/framelink.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace bilberry::agent {

/// Callbacks of the links; all run on the links' event loop.
struct RouterLinksHooks
{
    std::function<void(decision::LinkId)> onLinkUp;
    std::function<void(decision::LinkId)> onLinkDown;
    std::function<void(decision::LinkId, wire::LinkMessage &&)> onMessage;
    std::function<void(std::size_t)> onControlSent;
};

/// Accepts and keeps the links of routers. Runs on one event loop.
class RouterLinks
{
public:
    /// Starts listening; throws std::system_error when the address can't be used.
    /// @param memory account of the process
    RouterLinks(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                std::shared_ptr<MemoryAccount> memory, RouterLinksHooks hooks);

    /// Starts accepting connections.
    void start();
    /// Closes a link and calls onLinkDown before it returns; ignores unknown links.
    void closeLink(decision::LinkId link);

    /// @return true when no link has bytes queued or being written
    bool allSent() const;

    /// Queues a message on a link; ignores unknown links.
    void send(decision::LinkId link, const wire::LinkMessage &message);

private:
    void accept();
    void acceptLater();
    void add(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    std::shared_ptr<MemoryAccount> m_memory;
    RouterLinksHooks m_hooks;
    Log m_log{"agent.links"};
    decision::LinkId m_lastLink = 0;
    std::map<decision::LinkId, std::shared_ptr<wire::FrameLink>> m_links;
};

} // namespace bilberry::agent

#endif
