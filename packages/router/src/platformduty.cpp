#include "bilberry/router/platformduty.h"

#include "bilberry/base/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bilberry::router {

namespace asio = boost::asio;

using platform::PlatformErrc;

namespace {

constexpr Duration watchLimit = std::chrono::seconds(1);
constexpr Duration idlePause = std::chrono::milliseconds(200);
constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration longestBackoff = std::chrono::seconds(1);
constexpr Duration fetchLimit = std::chrono::seconds(2);

} // namespace

PlatformDuty::PlatformDuty(asio::io_context &context, const RouterSettings &settings,
                           PlatformDutyHooks hooks)
    : m_context(context), m_settings(settings), m_hooks(std::move(hooks)),
      m_store(platform::makeHttpObjectStore(context, settings.platform, m_hooks.called)),
      m_configurations(*m_store), m_claims(context, *m_store, m_hooks.claimOpened)
{
    for (const platform::Vm &vm : settings.peers)
        m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
}

void PlatformDuty::start()
{
    asio::co_spawn(m_context, watchLoop(), asio::detached);
    asio::co_spawn(m_context, listLoop(), asio::detached);
    m_claims.start();
}

platform::Awaitable<void> PlatformDuty::pause(Duration duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

platform::Awaitable<void> PlatformDuty::watchLoop()
{
    for (;;) {
        if (m_watch || m_revision == 0)
            co_await watchOnce();
        else
            co_await pause(idlePause);
    }
}

platform::Awaitable<void> PlatformDuty::watchOnce()
{
    const TimePoint start = Clock::now();
    Result<platform::AcceptedConfiguration> loaded = PlatformErrc::NotChanged;
    if (m_headVersion == 0)
        loaded = co_await m_configurations.load();
    else
        loaded = co_await m_configurations.watch(m_headVersion, watchLimit);
    if (loaded.error() == PlatformErrc::NotChanged) {
        // The platform looks again at the end of the wait. An answer that came earlier tells of
        // no time after the call's start.
        const bool waited = Clock::now() - start >= watchLimit;
        m_hooks.proof(m_revision, waited ? start + watchLimit : start);
        co_return;
    }
    if (!loaded) {
        m_hooks.failed();
        m_log.warning("Configuration watch failed: " + loaded.error().message() + ".");
        co_await pause(firstBackoff + longestBackoff * static_cast<long>(randomId() % 100) / 100);
        co_return;
    }
    m_headVersion = loaded.value().version;
    offer(loaded.value().configuration);
    if (loaded.value().configuration->revision() == m_revision)
        m_hooks.proof(m_revision, start);
    if (m_headVersion == 0)
        co_await pause(idlePause);
}

void PlatformDuty::offer(ConfigurationPtr configuration)
{
    if (configuration->revision() <= m_revision)
        return;
    m_revision = configuration->revision();
    m_log.info("Configuration revision " + std::to_string(m_revision) + " is in force.");
    m_hooks.configuration(std::move(configuration));
}

platform::Awaitable<void> PlatformDuty::listLoop()
{
    for (;;) {
        const auto vms = co_await m_store->vms();
        if (vms) {
            for (const platform::Vm &vm : vms.value()) {
                if (vm.role == platform::VmRole::Router)
                    m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
            }
            m_hooks.vms(vms.value());
        }
        co_await pause(m_settings.listPeriod);
    }
}

void PlatformDuty::fetchFrom(const RouterId &peer)
{
    const auto endpoint = m_peers.find(peer);
    if (m_fetching || endpoint == m_peers.end())
        return;
    m_fetching = true;
    asio::co_spawn(m_context, fetch(endpoint->second), asio::detached);
}

platform::Awaitable<void> PlatformDuty::fetch(admin::AdminEndpoint endpoint)
{
    const std::string path = "/v1/configuration";
    const admin::AdminRequest request{"GET", ""};
    const auto response = co_await admin::callAdmin(endpoint, path, request, fetchLimit);
    m_fetching = false;
    if (!response || response.value().status != 200)
        co_return;
    const Result<Configuration> configuration = decodeConfiguration(response.value().body);
    if (configuration)
        offer(std::make_shared<const Configuration>(configuration.value()));
}

} // namespace bilberry::router
