#include "fleetclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <optional>

namespace bilberry::ctl {

namespace asio = boost::asio;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

/// Stores an operation's result. A completion handler of co_spawn() would require `T` to have a
/// default constructor.
template <typename T>
asio::awaitable<void> storeResult(asio::awaitable<T> operation, std::optional<T> &result)
{
    result.emplace(co_await std::move(operation));
}

DaemonStatus readStatus(const DaemonAnswer &answer)
{
    DaemonStatus daemon{answer.vm, answer.response.error(), {}};
    if (!answer.response)
        return daemon;
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(answer.response.value().body, error);
    if (error || !value.is_object())
        daemon.error = make_error_code(store::StoreErrc::Malformed);
    else
        daemon.status = std::move(value.as_object());
    return daemon;
}

} // namespace

std::uint64_t DaemonStatus::number(const char *key) const
{
    const boost::json::value *value = status.if_contains(key);
    boost::system::error_code error;
    if (!value || !value->is_number())
        return 0;
    const auto whole = value->to_number<std::uint64_t>(error);
    return error ? 0 : whole;
}

std::string DaemonStatus::text(const char *key) const
{
    const boost::json::value *value = status.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool DaemonStatus::flag(const char *key) const
{
    const boost::json::value *value = status.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

FleetClient::FleetClient(const store::PlatformSettings &settings)
    : m_store(store::makeHttpObjectStore(m_context, settings, [](const char *) {})),
      m_configurations(*m_store)
{
}

template <typename T>
T FleetClient::runBlocking(store::Awaitable<T> operation)
{
    std::optional<T> result;
    asio::co_spawn(m_context, storeResult(std::move(operation), result), asio::detached);
    m_context.restart();
    m_context.run();
    return std::move(*result);
}

Result<store::AcceptedConfiguration> FleetClient::load()
{
    return runBlocking(m_configurations.load());
}

Result<store::AcceptedConfiguration> FleetClient::accept(const store::AcceptedConfiguration &base,
                                                         const ConfigurationParts &parts,
                                                         const std::string &requestToken)
{
    return runBlocking(m_configurations.accept(base, parts, requestToken));
}

Result<std::vector<store::Vm>> FleetClient::vms()
{
    return runBlocking(m_store->vms());
}

Result<std::vector<store::Vm>> FleetClient::daemons(const std::vector<store::Vm> &given)
{
    if (!given.empty())
        return given;
    return vms();
}

Result<ConfigurationPtr> FleetClient::currentConfiguration(const std::vector<store::Vm> &given)
{
    if (given.empty())
        return load().map([](const store::AcceptedConfiguration &accepted) {
            return accepted.configuration;
        });
    ConfigurationPtr newest;
    for (const DaemonAnswer &answer :
         callAll(given, "/v1/configuration", {"GET", ""}, callTimeout)) {
        if (!answer.response)
            continue;
        const auto read = decodeConfiguration(answer.response.value().body);
        if (read && (!newest || newest->revision() < read.value().revision()))
            newest = std::make_shared<const Configuration>(read.value());
    }
    if (!newest)
        return store::StoreErrc::Unavailable;
    return newest;
}

std::vector<DaemonStatus> FleetClient::statusAll(const std::vector<store::Vm> &vms,
                                                 Duration timeout)
{
    std::vector<DaemonStatus> statuses;
    for (const DaemonAnswer &answer : callAll(vms, "/v1/status", {"GET", ""}, timeout))
        statuses.push_back(readStatus(answer));
    return statuses;
}

std::vector<DaemonAnswer> FleetClient::callAll(const std::vector<store::Vm> &vms,
                                               const std::string &path,
                                               const admin::AdminRequest &request, Duration timeout)
{
    using Response = Result<admin::AdminResponse>;
    std::vector<std::optional<Response>> responses(vms.size());
    for (std::size_t i = 0; i < vms.size(); ++i) {
        const admin::AdminEndpoint endpoint{vms[i].address, vms[i].adminPort};
        asio::co_spawn(
                m_context,
                storeResult(admin::callAdmin(endpoint, path, request, timeout), responses[i]),
                asio::detached);
    }
    m_context.restart();
    m_context.run();
    std::vector<DaemonAnswer> answers;
    const Response unfinished = std::make_error_code(std::errc::timed_out);
    for (std::size_t i = 0; i < vms.size(); ++i)
        answers.push_back({vms[i], responses[i].value_or(unfinished)});
    return answers;
}

} // namespace bilberry::ctl
