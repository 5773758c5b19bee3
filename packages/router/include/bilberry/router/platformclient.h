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

/// Events of PlatformClient, called on its event loop.
struct PlatformClientHooks
{
    /// The router applies this configuration from now on.
    /// @param provenAt when the platform was asked and named it as the newest; nothing when it
    ///        did not
    std::function<void(ConfigurationPtr, std::optional<TimePoint> provenAt)> configurationActivated;
    /// The platform named the revision as the newest at the given time.
    std::function<void(Revision, TimePoint provenAt)> revisionProven;
    std::function<void()> callFailed;
    std::function<void(const std::vector<store::Vm> &)> vmListRead;
    std::function<void(OpenClaimReply &&)> openClaimReplied;
    store::CallHook callMade;
};

/// Watches the configuration, polls the VM list and manages claims. Runs on one event loop.
class PlatformClient
{
public:
    PlatformClient(boost::asio::io_context &context, const RouterSettings &settings,
                   PlatformClientHooks hooks);

    /// Starts the watch, the polling and the retries of claims.
    void start();

    /// @param enabled false: other routers watch and their proofs are used
    void setWatchEnabled(bool enabled) { m_watchEnabled = enabled; }

    /// Fetches the newer configuration of a peer and applies it.
    /// @param proven whether the peer has a proof from the platform for it
    void fetchFromPeer(const RouterId &peer, bool proven);

    /// Applies a configuration from an operator or a peer, after a check with the platform if it
    /// is reachable.
    void offer(ConfigurationPtr configuration);

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
    Revision m_headRevision = 0;   ///< named by the head object of m_headVersion
    Revision m_activeRevision = 0; ///< applied by this router
    bool m_watchEnabled = true;
    bool m_fetching = false;
    std::map<RouterId, admin::AdminEndpoint> m_peers;
};

} // namespace bilberry::router

#endif
