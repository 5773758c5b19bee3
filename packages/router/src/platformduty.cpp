#include "bilberry/router/platformduty.h"

#include "bilberry/base/digest.h"
#include "bilberry/decision/claim.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace bilberry::router {

namespace asio = boost::asio;
namespace json = boost::json;

using decision::ClaimAnswer;
using decision::ClaimStep;
using platform::PlatformErrc;

namespace {

constexpr Duration watchLimit = std::chrono::seconds(1);
constexpr Duration idlePause = std::chrono::milliseconds(200);
constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration longestBackoff = std::chrono::seconds(1);
constexpr Duration fetchLimit = std::chrono::seconds(2);
constexpr int releaseAttempts = 5;

/// Content of a claim object.
struct ClaimRecord
{
    std::string token;
    std::string state;        ///< "accepted" or "finished"
    std::uint16_t status = 0; ///< HTTP status of the answer
};

std::string encode(const ClaimRecord &record)
{
    return json::serialize(json::object{
            {"token", record.token}, {"state", record.state}, {"status", record.status}});
}

ClaimRecord decodeRecord(const std::string &text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    ClaimRecord record;
    if (error || !document.is_object())
        return record;
    const json::object &object = document.as_object();
    const json::value *token = object.if_contains("token");
    const json::value *state = object.if_contains("state");
    const json::value *status = object.if_contains("status");
    if (token && token->is_string())
        record.token = json::value_to<std::string>(*token);
    if (state && state->is_string())
        record.state = json::value_to<std::string>(*state);
    if (status && status->is_int64())
        record.status = static_cast<std::uint16_t>(status->as_int64());
    return record;
}

std::string describe(const ClaimRecord &record)
{
    if (record.state != "finished")
        return "The earlier request was accepted and may be running.";
    if (record.status == 0)
        return "The earlier request ended without a known outcome.";
    return "The earlier request was answered with status " + std::to_string(record.status) + ".";
}

ClaimAnswer answerToCreate(const std::error_code &error)
{
    if (!error)
        return ClaimAnswer::Created;
    if (error == PlatformErrc::Conflict)
        return ClaimAnswer::Exists;
    return error == PlatformErrc::OutcomeUnknown ? ClaimAnswer::Lost : ClaimAnswer::NotDone;
}

} // namespace

PlatformDuty::PlatformDuty(asio::io_context &context, const RouterSettings &settings,
                           PlatformDutyHooks hooks)
    : m_context(context), m_settings(settings), m_hooks(std::move(hooks)),
      m_store(platform::makeHttpObjectStore(context, settings.platform, m_hooks.called)),
      m_configurations(*m_store)
{
    for (const platform::Vm &vm : settings.peers)
        m_peers[RouterId(vm.name)] = {vm.address, vm.adminPort};
}

void PlatformDuty::start()
{
    asio::co_spawn(m_context, watchLoop(), asio::detached);
    asio::co_spawn(m_context, listLoop(), asio::detached);
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

void PlatformDuty::claim(ClaimCommand &&command)
{
    if (auto *open = std::get_if<OpenClaim>(&command))
        asio::co_spawn(m_context, openClaim(std::move(*open)), asio::detached);
    else if (auto *release = std::get_if<ReleaseClaim>(&command))
        asio::co_spawn(m_context, releaseClaim(std::move(*release)), asio::detached);
    else
        asio::co_spawn(m_context, finishClaim(std::get<FinishClaim>(std::move(command))),
                       asio::detached);
}

platform::Awaitable<void> PlatformDuty::openClaim(OpenClaim command)
{
    decision::Claim claim;
    HeldClaim held{randomToken(), 0};
    const std::string value = encode({held.token, "accepted", 0});
    std::string detail;
    ClaimStep step = claim.begin();
    while (step == ClaimStep::Create || step == ClaimStep::Read) {
        if (step == ClaimStep::Create) {
            const auto created = co_await m_store->create(command.name, value);
            held.version = created.valueOr(0);
            step = claim.answered(answerToCreate(created.error()));
            continue;
        }
        const auto object = co_await m_store->get(command.name);
        if (object.error() == PlatformErrc::NotFound) {
            step = claim.answered(ClaimAnswer::Absent);
            continue;
        }
        if (!object) {
            co_await pause(firstBackoff);
            step = claim.answered(ClaimAnswer::NotDone);
            continue;
        }
        const ClaimRecord record = decodeRecord(object.value().value);
        const bool ours = record.token == held.token;
        held.version = object.value().version;
        detail = describe(record);
        step = claim.answered(ours ? ClaimAnswer::TokenIsOurs : ClaimAnswer::TokenDiffers);
    }
    ClaimResult result = ClaimResult::Refused;
    if (step == ClaimStep::Dispatch)
        result = ClaimResult::Held;
    else if (step == ClaimStep::TellState)
        result = ClaimResult::Taken;
    if (result != ClaimResult::Taken)
        m_held[command.name] = held;
    m_hooks.claimOpened({command.request, result, detail});
    // A refused creation may still take effect; it must not block a repeat for ever.
    const ReleaseClaim release{command.name};
    if (result == ClaimResult::Refused)
        co_await releaseClaim(release);
}

platform::Awaitable<void> PlatformDuty::releaseClaim(ReleaseClaim command)
{
    const auto found = m_held.find(command.name);
    if (found == m_held.end())
        co_return;
    const HeldClaim held = found->second;
    m_held.erase(found);
    for (int attempt = 0; attempt < releaseAttempts; ++attempt) {
        const auto object = co_await m_store->get(command.name);
        if (object.error() == PlatformErrc::NotFound && held.version != 0)
            co_return;
        if (object) {
            if (decodeRecord(object.value().value).token != held.token)
                co_return;
            const Status removed = co_await m_store->remove(command.name, object.value().version);
            if (removed)
                co_return;
        }
        co_await pause(firstBackoff * (1 << attempt));
    }
}

platform::Awaitable<void> PlatformDuty::finishClaim(FinishClaim command)
{
    const auto found = m_held.find(command.name);
    if (found == m_held.end())
        co_return;
    const HeldClaim held = found->second;
    m_held.erase(found);
    // Best effort: without it a repeat is told that the request may be running.
    const std::string value = encode({held.token, "finished", command.status});
    const auto updated = co_await m_store->update(command.name, held.version, value);
    if (!updated)
        m_log.info("A claim's end was not recorded: " + updated.error().message() + ".");
}

} // namespace bilberry::router
