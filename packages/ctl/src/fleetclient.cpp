#include "fleetclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>

namespace bilberry::ctl {

namespace asio = boost::asio;

namespace {

/// Stores an operation's result; co_spawn() itself could only hand over default values.
template <typename T>
asio::awaitable<void> store(asio::awaitable<T> operation, std::optional<T> &result)
{
    result.emplace(co_await std::move(operation));
}

} // namespace

FleetClient::FleetClient(const platform::PlatformSettings &settings)
    : m_store(platform::makeHttpObjectStore(m_context, settings, [](const char *) {})),
      m_configurations(*m_store)
{
}

template <typename T>
T FleetClient::wait(platform::Awaitable<T> operation)
{
    std::optional<T> result;
    asio::co_spawn(m_context, store(std::move(operation), result), asio::detached);
    m_context.restart();
    m_context.run();
    return std::move(*result);
}

Result<platform::AcceptedConfiguration> FleetClient::load()
{
    return wait(m_configurations.load());
}

Result<platform::AcceptedConfiguration>
FleetClient::accept(const platform::AcceptedConfiguration &base, const ConfigurationParts &parts,
                    const std::string &requestToken)
{
    return wait(m_configurations.accept(base, parts, requestToken));
}

Result<std::vector<platform::Vm>> FleetClient::vms()
{
    return wait(m_store->vms());
}

std::vector<DaemonAnswer> FleetClient::callAll(const std::vector<platform::Vm> &vms,
                                               const std::string &path,
                                               const admin::AdminRequest &request, Duration limit)
{
    using Response = Result<admin::AdminResponse>;
    std::vector<std::optional<Response>> responses(vms.size());
    for (std::size_t i = 0; i < vms.size(); ++i) {
        const admin::AdminEndpoint endpoint{vms[i].address, vms[i].adminPort};
        asio::co_spawn(m_context,
                       store(admin::callAdmin(endpoint, path, request, limit), responses[i]),
                       asio::detached);
    }
    m_context.restart();
    m_context.run();
    std::vector<DaemonAnswer> answers;
    const Response none = std::make_error_code(std::errc::timed_out);
    for (std::size_t i = 0; i < vms.size(); ++i)
        answers.push_back({vms[i], responses[i].value_or(none)});
    return answers;
}

} // namespace bilberry::ctl
