#include "bilberry/router/platformclient.h"

#include "bilberry/base/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bilberry::router {

namespace asio = boost::asio;

using store::StoreErrc;

namespace {

constexpr Duration watchTimeout = std::chrono::seconds(1);
constexpr Duration idleDelay = std::chrono::milliseconds(200);
constexpr Duration minBackoff = std::chrono::milliseconds(100);
constexpr Duration maxBackoffJitter = std::chrono::seconds(1);
constexpr Duration maxOfferCheckDelay = std::chrono::milliseconds(200);
constexpr Duration fetchTimeout = std::chrono::seconds(2);

} // namespace

PlatformClient::PlatformClient(asio::io_context &context, const RouterSettings &settings,
                               PlatformClientHooks hooks)
    : m_context(context), m_settings(settings), m_hooks(std::move(hooks)),
      m_store(store::makeHttpObjectStore(context, settings.platform, m_hooks.callMade)),
      m_configurations(*m_store), m_claims(context, *m_store, m_hooks.openClaimReplied)
{
    for (const store::Vm &vm : settings.peers)
        m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
}

void PlatformClient::start()
{
    asio::co_spawn(m_context, watchLoop(), asio::detached);
    asio::co_spawn(m_context, vmListLoop(), asio::detached);
    m_claims.start();
}

store::Awaitable<void> PlatformClient::pause(Duration duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

store::Awaitable<void> PlatformClient::watchLoop()
{
    for (;;) {
        if (m_watchEnabled || m_activeRevision == 0)
            co_await watchOnce();
        else
            co_await pause(idleDelay);
    }
}

store::Awaitable<void> PlatformClient::watchOnce()
{
    const TimePoint start = Clock::now();
    Result<store::AcceptedConfiguration> loaded = StoreErrc::NotChanged;
    if (m_headVersion == 0)
        loaded = co_await m_configurations.load();
    else
        loaded = co_await m_configurations.watch(m_headVersion, watchTimeout);
    if (loaded.error() == StoreErrc::NotChanged) {
        // The platform reads the head again at the end of the wait. An earlier answer only shows
        // the state at the start of the call.
        const bool waited = Clock::now() - start >= watchTimeout;
        m_hooks.revisionProven(m_headRevision, waited ? start + watchTimeout : start);
        co_return;
    }
    if (!loaded) {
        m_hooks.callFailed();
        m_log.warning("Configuration watch failed: " + loaded.error().message() + ".");
        co_await pause(minBackoff + maxBackoffJitter * static_cast<long>(randomId() % 100) / 100);
        co_return;
    }
    activateAccepted(loaded.value(), start);
    if (m_headVersion == 0)
        co_await pause(idleDelay);
}

void PlatformClient::activateAccepted(const store::AcceptedConfiguration &accepted,
                                      TimePoint requestedAt)
{
    m_headVersion = accepted.version;
    m_headRevision = accepted.configuration->revision();
    activate(accepted.configuration, requestedAt);
    m_hooks.revisionProven(m_headRevision, requestedAt);
}

void PlatformClient::activate(ConfigurationPtr configuration, std::optional<TimePoint> provenAt)
{
    if (configuration->revision() <= m_activeRevision)
        return;
    m_activeRevision = configuration->revision();
    m_log.info("Configuration revision " + std::to_string(m_activeRevision) + " is in force.");
    m_hooks.configurationActivated(std::move(configuration), provenAt);
}

void PlatformClient::offer(ConfigurationPtr configuration)
{
    if (configuration->revision() > m_activeRevision)
        asio::co_spawn(m_context, checkOffer(std::move(configuration)), asio::detached);
}

store::Awaitable<void> PlatformClient::checkOffer(ConfigurationPtr configuration)
{
    // Usually the watch or a peer with a proof is faster, so that no call is needed.
    co_await pause(maxOfferCheckDelay * static_cast<long>(randomId() % 100) / 100);
    if (configuration->revision() <= m_activeRevision)
        co_return;
    const TimePoint start = Clock::now();
    const auto loaded = co_await m_configurations.load();
    if (loaded) {
        // A head older than the offer means that the platform never accepted the offer, or that
        // the read is stale. In the second case the watch delivers the revision.
        if (loaded.value().configuration->revision() >= m_headRevision)
            activateAccepted(loaded.value(), start);
        if (configuration->revision() > m_activeRevision)
            m_log.warning("Revision " + std::to_string(configuration->revision())
                          + " was offered, but the platform does not know it.");
        co_return;
    }
    // While the platform is unreachable the sender is trusted: it is an operator's client or a
    // router, in the network that reaches the admin port. An accepted change must reach a fleet
    // whose platform fails right after accepting it; a false revision would stay until a higher
    // one is applied.
    activate(std::move(configuration), std::nullopt);
}

store::Awaitable<void> PlatformClient::vmListLoop()
{
    for (;;) {
        const auto vms = co_await m_store->vms();
        if (vms) {
            for (const store::Vm &vm : vms.value()) {
                if (vm.role == store::VmRole::Router)
                    m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
            }
            m_hooks.vmListRead(vms.value());
        }
        co_await pause(m_settings.vmListPeriod);
    }
}

void PlatformClient::fetchFromPeer(const RouterId &peer, bool proven)
{
    const auto endpoint = m_peers.find(peer);
    if (m_fetching || endpoint == m_peers.end())
        return;
    m_fetching = true;
    asio::co_spawn(m_context, fetchConfiguration(endpoint->second, proven), asio::detached);
}

store::Awaitable<void> PlatformClient::fetchConfiguration(admin::AdminEndpoint endpoint,
                                                          bool proven)
{
    const std::string path = "/v1/configuration";
    const admin::AdminRequest request{"GET", ""};
    const auto response = co_await admin::callAdmin(endpoint, path, request, fetchTimeout);
    m_fetching = false;
    if (!response || response.value().status != 200)
        co_return;
    const Result<Configuration> decoded = decodeConfiguration(response.value().body);
    if (!decoded)
        co_return;
    auto configuration = std::make_shared<const Configuration>(decoded.value());
    // Only the platform proves revisions, so a revision with a proof was accepted.
    if (proven)
        activate(std::move(configuration), std::nullopt);
    else
        offer(std::move(configuration));
}

} // namespace bilberry::router
