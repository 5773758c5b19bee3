#ifndef BILBERRY_ROUTER_PLATFORMCLIENT_H
#define BILBERRY_ROUTER_PLATFORMCLIENT_H

#include "bilberry/admin/adminclient.h"
#include "bilberry/base/log.h"
#include "bilberry/router/claimmanager.h"
#include "bilberry/router/routersettings.h"
#include "bilberry/store/configurationstore.h"
#include "bilberry/store/httpobjectstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace bilberry::router {

/// What the platform's duty tells the others; all calls come on its event loop.
struct PlatformClientHooks
{
    /// A configuration is in force from now on.
    /// @param provenAt when the platform named it as the newest one, if it did
    std::function<void(ConfigurationPtr, std::optional<TimePoint> provenAt)> configurationActivated;
    /// The revision was the newest one at the given time.
    std::function<void(Revision, TimePoint provenAt)> revisionProven;
    std::function<void()> callFailed;
    std::function<void(const std::vector<store::Vm> &)> vmListRead;
    std::function<void(OpenClaimReply &&)> openClaimReplied;
    store::CallHook callMade;
};

/// Watches the configuration, reads the VM list and keeps claims. Runs on one event loop.
class PlatformClient
{
public:
    PlatformClient(boost::asio::io_context &context, const RouterSettings &settings,
                   PlatformClientHooks hooks);

    /// Starts the watch and the list reads.
    void start();

    /// @param watch false: other routers watch, their proof is enough
    void setWatchEnabled(bool enabled) { m_watchEnabled = enabled; }

    /// Takes the newer configuration of a peer.
    /// @param proven whether the peer has a proof from the platform for it
    void fetchFromPeer(const RouterId &peer, bool proven);

    /// Takes a configuration that an operator handed over, after a look at the platform.
    void offer(ConfigurationPtr configuration);

    /// Hands a command to the claims.
    void executeClaim(ClaimCommand &&command) { m_claims.execute(std::move(command)); }

private:
    store::Awaitable<void> watchLoop();
    store::Awaitable<void> watchOnce();
    store::Awaitable<void> vmListLoop();
    store::Awaitable<void> fetchConfiguration(admin::AdminEndpoint endpoint, bool proven);
    store::Awaitable<void> checkOffer(ConfigurationPtr configuration);
    void activateAccepted(const store::AcceptedConfiguration &accepted, TimePoint requestedAt);
    void activate(ConfigurationPtr configuration, std::optional<TimePoint> provenAt);
    store::Awaitable<void> pause(Duration duration);

    boost::asio::io_context &m_context;
    RouterSettings m_settings;
    PlatformClientHooks m_hooks;
    Log m_log{"router.platform"};
    std::unique_ptr<store::ObjectStore> m_store;
    store::ConfigurationStore m_configurations;
    ClaimManager m_claims;
    store::ObjectVersion m_headVersion = 0;
    Revision m_headRevision = 0;   ///< that the head of m_headVersion names
    Revision m_activeRevision = 0; ///< in force
    bool m_watchEnabled = true;
    bool m_fetching = false;
    std::map<RouterId, admin::AdminEndpoint> m_peers;
};

} // namespace bilberry::router

#endif
