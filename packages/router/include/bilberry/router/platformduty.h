#ifndef BILBERRY_ROUTER_PLATFORMDUTY_H
#define BILBERRY_ROUTER_PLATFORMDUTY_H

#include "bilberry/admin/adminclient.h"
#include "bilberry/base/log.h"
#include "bilberry/platform/configurationstore.h"
#include "bilberry/platform/httpobjectstore.h"
#include "bilberry/router/claimdesk.h"
#include "bilberry/router/routersettings.h"

#include <functional>
#include <map>
#include <memory>

namespace bilberry::router {

/// What the platform's duty tells the others; all calls come on its event loop.
struct PlatformDutyHooks
{
    std::function<void(ConfigurationPtr)> configuration;
    /// The revision was the newest one at the given time.
    std::function<void(Revision, TimePoint at)> proof;
    std::function<void()> failed;
    std::function<void(const std::vector<platform::Vm> &)> vms;
    std::function<void(ClaimOpened &&)> claimOpened;
    platform::CallHook called;
};

/// Watches the configuration, reads the VM list and keeps claims. Runs on one event loop.
class PlatformDuty
{
public:
    PlatformDuty(boost::asio::io_context &context, const RouterSettings &settings,
                 PlatformDutyHooks hooks);

    /// Starts the watch and the list reads.
    void start();

    /// @param watch false: other routers watch, their proof is enough
    void setWatch(bool watch) { m_watch = watch; }

    /// Takes the newer configuration of a peer.
    void fetchFrom(const RouterId &peer);

    /// Puts a configuration in force that a peer or an operator handed over.
    void offer(ConfigurationPtr configuration);

    /// Hands a command to the claims.
    void claim(ClaimCommand &&command) { m_claims.command(std::move(command)); }

private:
    platform::Awaitable<void> watchLoop();
    platform::Awaitable<void> watchOnce();
    platform::Awaitable<void> listLoop();
    platform::Awaitable<void> fetch(admin::AdminEndpoint endpoint);
    platform::Awaitable<void> pause(Duration duration);

    boost::asio::io_context &m_context;
    RouterSettings m_settings;
    PlatformDutyHooks m_hooks;
    Log m_log{"router.platform"};
    std::unique_ptr<platform::ObjectStore> m_store;
    platform::ConfigurationStore m_configurations;
    ClaimDesk m_claims;
    platform::ObjectVersion m_headVersion = 0;
    Revision m_revision = 0;
    bool m_watch = true;
    bool m_fetching = false;
    std::map<RouterId, admin::AdminEndpoint> m_peers;
};

} // namespace bilberry::router

#endif
