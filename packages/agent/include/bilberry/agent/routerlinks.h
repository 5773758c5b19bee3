#ifndef BILBERRY_AGENT_ROUTERLINKS_H
#define BILBERRY_AGENT_ROUTERLINKS_H

#include "bilberry/base/log.h"
#include "bilberry/decision/grantissuer.h"
#include "bilberry/wire/framelink.h"

#include <map>

namespace bilberry::agent {

/// What the links tell the core; all calls come on the links' event loop.
struct RouterLinksHooks
{
    std::function<void(decision::LinkId)> up;
    std::function<void(decision::LinkId)> down;
    std::function<void(decision::LinkId, wire::LinkMessage &&)> received;
    std::function<void(std::size_t)> controlSent;
};

/// Accepts the routers' links. Runs on one event loop.
class RouterLinks
{
public:
    /// Listens at once; throws std::system_error when the address can't be used.
    RouterLinks(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                RouterLinksHooks hooks);

    /// Starts accepting.
    void start();
    /// Closes a link; the down hook follows at once.
    void drop(decision::LinkId link);

    /// @return true when nothing waits to be sent on any link
    bool idle() const;

    void send(decision::LinkId link, const wire::LinkMessage &message);

private:
    void accept();
    void add(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    RouterLinksHooks m_hooks;
    Log m_log{"agent.links"};
    decision::LinkId m_lastLink = 0;
    std::map<decision::LinkId, std::shared_ptr<wire::FrameLink>> m_links;
};

} // namespace bilberry::agent

#endif
