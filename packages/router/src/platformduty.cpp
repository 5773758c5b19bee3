#include "bilberry/router/platformduty.h"

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

constexpr Duration watchLimit = std::chrono::seconds(1);
constexpr Duration idlePause = std::chrono::milliseconds(200);
constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration longestBackoff = std::chrono::seconds(1);
constexpr Duration checkDelay = std::chrono::milliseconds(200);
constexpr Duration fetchLimit = std::chrono::seconds(2);

} // namespace

PlatformDuty::PlatformDuty(asio::io_context &context, const RouterSettings &settings,
                           PlatformDutyHooks hooks)
    : m_context(context), m_settings(settings), m_hooks(std::move(hooks)),
      m_store(store::makeHttpObjectStore(context, settings.platform, m_hooks.called)),
      m_configurations(*m_store), m_claims(context, *m_store, m_hooks.claimOpened)
{
    for (const store::Vm &vm : settings.peers)
        m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
}

void PlatformDuty::start()
{
    asio::co_spawn(m_context, watchLoop(), asio::detached);
    asio::co_spawn(m_context, listLoop(), asio::detached);
    m_claims.start();
}

store::Awaitable<void> PlatformDuty::pause(Duration duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

store::Awaitable<void> PlatformDuty::watchLoop()
{
    for (;;) {
        if (m_watch || m_revision == 0)
            co_await watchOnce();
        else
            co_await pause(idlePause);
    }
}

store::Awaitable<void> PlatformDuty::watchOnce()
{
    const TimePoint start = Clock::now();
    Result<store::AcceptedConfiguration> loaded = StoreErrc::NotChanged;
    if (m_headVersion == 0)
        loaded = co_await m_configurations.load();
    else
        loaded = co_await m_configurations.watch(m_headVersion, watchLimit);
    if (loaded.error() == StoreErrc::NotChanged) {
        // The platform looks again at the end of the wait. An answer that came earlier tells of
        // no time after the call's start.
        const bool waited = Clock::now() - start >= watchLimit;
        m_hooks.proof(m_headRevision, waited ? start + watchLimit : start);
        co_return;
    }
    if (!loaded) {
        m_hooks.failed();
        m_log.warning("Configuration watch failed: " + loaded.error().message() + ".");
        co_await pause(firstBackoff + longestBackoff * static_cast<long>(randomId() % 100) / 100);
        co_return;
    }
    take(loaded.value(), start);
    if (m_headVersion == 0)
        co_await pause(idlePause);
}

void PlatformDuty::take(const store::AcceptedConfiguration &accepted, TimePoint askedAt)
{
    m_headVersion = accepted.version;
    m_headRevision = accepted.configuration->revision();
    putInForce(accepted.configuration, askedAt);
    m_hooks.proof(m_headRevision, askedAt);
}

void PlatformDuty::putInForce(ConfigurationPtr configuration, std::optional<TimePoint> provenAt)
{
    if (configuration->revision() <= m_revision)
        return;
    m_revision = configuration->revision();
    m_log.info("Configuration revision " + std::to_string(m_revision) + " is in force.");
    m_hooks.configuration(std::move(configuration), provenAt);
}

void PlatformDuty::offer(ConfigurationPtr configuration)
{
    if (configuration->revision() > m_revision)
        asio::co_spawn(m_context, check(std::move(configuration)), asio::detached);
}

store::Awaitable<void> PlatformDuty::check(ConfigurationPtr configuration)
{
    // Mostly the watch or a peer with a proof is faster, and the platform is not asked at all.
    co_await pause(checkDelay * static_cast<long>(randomId() % 100) / 100);
    if (configuration->revision() <= m_revision)
        co_return;
    const TimePoint start = Clock::now();
    const auto loaded = co_await m_configurations.load();
    if (loaded) {
        // A head behind the offer means that the platform never accepted it, or that the read is
        // stale. The watch brings it in the second case.
        if (loaded.value().configuration->revision() >= m_headRevision)
            take(loaded.value(), start);
        if (configuration->revision() > m_revision)
            m_log.warning("Revision " + std::to_string(configuration->revision())
                          + " was offered, but the platform does not know it.");
        co_return;
    }
    // Without the platform the sender is trusted: it is an operator's client or a router, within
    // the network that serves the operators' port. An accepted order must reach a fleet whose
    // platform failed right after it; a false revision would stay until a higher one.
    putInForce(std::move(configuration), std::nullopt);
}

store::Awaitable<void> PlatformDuty::listLoop()
{
    for (;;) {
        const auto vms = co_await m_store->vms();
        if (vms) {
            for (const store::Vm &vm : vms.value()) {
                if (vm.role == store::VmRole::Router)
                    m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
            }
            m_hooks.vms(vms.value());
        }
        co_await pause(m_settings.listPeriod);
    }
}

void PlatformDuty::fetchFrom(const RouterId &peer, bool proven)
{
    const auto endpoint = m_peers.find(peer);
    if (m_fetching || endpoint == m_peers.end())
        return;
    m_fetching = true;
    asio::co_spawn(m_context, fetch(endpoint->second, proven), asio::detached);
}

store::Awaitable<void> PlatformDuty::fetch(admin::AdminEndpoint endpoint, bool proven)
{
    const std::string path = "/v1/configuration";
    const admin::AdminRequest request{"GET", ""};
    const auto response = co_await admin::callAdmin(endpoint, path, request, fetchLimit);
    m_fetching = false;
    if (!response || response.value().status != 200)
        co_return;
    const Result<Configuration> decoded = decodeConfiguration(response.value().body);
    if (!decoded)
        co_return;
    auto configuration = std::make_shared<const Configuration>(decoded.value());
    // A proof comes from the platform alone, so that a revision with a proof was accepted.
    if (proven)
        putInForce(std::move(configuration), std::nullopt);
    else
        offer(std::move(configuration));
}

} // namespace bilberry::router
