#include "bilberry/router/claimmanager.h"

#include "bilberry/base/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace bilberry::router {

namespace asio = boost::asio;
namespace json = boost::json;

using decision::ClaimCallResult;
using decision::ClaimStep;
using store::StoreErrc;

namespace {

constexpr Duration readRetryDelay = std::chrono::milliseconds(100);
constexpr Duration minBackoff = std::chrono::milliseconds(40);
constexpr Duration maxBackoff = std::chrono::seconds(2);
/// A call takes effect within this time or never. Longer than any call's timeout.
constexpr Duration doubtPeriod = std::chrono::seconds(60);
/// Time between two reads of an object that an unanswered creation may still create.
constexpr Duration absenceCheckPeriod = std::chrono::seconds(5);
/// Bounds the memory for retries; an entry takes about 200 bytes.
constexpr std::size_t maxPendingEnds = 10000;

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

ClaimCallResult answerToCreate(const std::error_code &error)
{
    if (!error)
        return ClaimCallResult::Created;
    if (error == StoreErrc::Conflict)
        return ClaimCallResult::Exists;
    const bool hadNoEffect = error == StoreErrc::RateLimited || error == StoreErrc::Unavailable
                             || error == StoreErrc::CallBudgetExhausted;
    return hadNoEffect ? ClaimCallResult::NoEffect : ClaimCallResult::OutcomeUnknown;
}

ClaimCallResult answerToDelete(const std::error_code &error)
{
    if (!error)
        return ClaimCallResult::Deleted;
    if (error == StoreErrc::NotFound)
        return ClaimCallResult::Absent;
    return error == StoreErrc::Conflict ? ClaimCallResult::Exists : ClaimCallResult::OutcomeUnknown;
}

} // namespace

ClaimManager::ClaimManager(asio::io_context &context, store::ObjectStore &store, ReplyHook onReply)
    : m_context(context), m_store(store), m_onReply(std::move(onReply))
{
}

void ClaimManager::start()
{
    asio::co_spawn(m_context, retryLoop(), asio::detached);
}

void ClaimManager::execute(ClaimCommand &&command)
{
    if (auto *open = std::get_if<OpenClaim>(&command))
        asio::co_spawn(m_context, openClaim(std::move(*open)), asio::detached);
    else if (const auto *release = std::get_if<ReleaseClaim>(&command))
        endClaim(release->request, true, 0);
    else if (const auto *finish = std::get_if<FinishClaim>(&command))
        endClaim(finish->request, false, finish->status);
}

store::Awaitable<void> ClaimManager::pause(Duration duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

store::Awaitable<ClaimCallResult> ClaimManager::readClaim(ClaimObject &claimObject,
                                                          std::string &detail)
{
    const auto object = co_await m_store.get(claimObject.name);
    if (object.error() == StoreErrc::NotFound)
        co_return ClaimCallResult::Absent;
    if (!object)
        co_return ClaimCallResult::NoEffect;
    const ClaimRecord record = decodeRecord(object.value().value);
    detail = describe(record);
    if (record.token != claimObject.token)
        co_return ClaimCallResult::TokenDiffers;
    claimObject.version = object.value().version;
    co_return ClaimCallResult::TokenMatches;
}

store::Awaitable<void> ClaimManager::openClaim(OpenClaim command)
{
    decision::ClaimAcquisition claim;
    ClaimObject claimObject{command.name, randomToken(), 0, false};
    const std::string value = encode({claimObject.token, "accepted", 0});
    std::string detail;
    ClaimStep step = claim.begin();
    while (step == ClaimStep::Create || step == ClaimStep::Read) {
        ClaimCallResult answer = ClaimCallResult::NoEffect;
        if (step == ClaimStep::Create) {
            const auto created = co_await m_store.create(command.name, value);
            claimObject.version = created.valueOr(0);
            answer = answerToCreate(created.error());
        } else {
            answer = co_await readClaim(claimObject, detail);
            if (answer == ClaimCallResult::NoEffect)
                co_await pause(readRetryDelay);
        }
        step = claim.handleResult(answer);
    }
    claimObject.inDoubt = claim.inDoubt();
    ClaimResult result = ClaimResult::Refused;
    if (step == ClaimStep::Dispatch)
        result = ClaimResult::Held;
    else if (step == ClaimStep::ReportState)
        result = ClaimResult::Taken;
    if (result != ClaimResult::Held)
        claimObject.version = 0;
    m_claimObjects[command.request] = claimObject;
    m_onReply({command.request, result, detail});
    // A refused creation may still take effect; it must not block repeats forever.
    if (result != ClaimResult::Held)
        endClaim(command.request, true, 0);
}

void ClaimManager::endClaim(decision::RequestId request, bool release, std::uint16_t status)
{
    const auto found = m_claimObjects.find(request);
    if (found == m_claimObjects.end())
        return;
    ClaimEnd claimEnd{std::move(found->second),   release, status, ClaimStep::None,
                      Clock::now() + doubtPeriod, {}};
    m_claimObjects.erase(found);
    const decision::ClaimRelease first(claimEnd.claimObject.version != 0,
                                       claimEnd.claimObject.inDoubt);
    claimEnd.step = first.begin();
    if (!release || claimEnd.step != ClaimStep::None)
        asio::co_spawn(m_context, runEnd(std::move(claimEnd)), asio::detached);
}

store::Awaitable<void> ClaimManager::runEnd(ClaimEnd claimEnd)
{
    const EndResult result = co_await tryEnd(claimEnd);
    if (result != EndResult::Settled)
        queueEnd(std::move(claimEnd));
}

store::Awaitable<ClaimManager::EndResult> ClaimManager::tryEnd(ClaimEnd &claimEnd)
{
    if (claimEnd.release)
        co_return co_await tryRelease(claimEnd);
    co_return co_await tryFinish(claimEnd);
}

store::Awaitable<ClaimManager::EndResult> ClaimManager::tryRelease(ClaimEnd &claimEnd)
{
    decision::ClaimRelease release(claimEnd.claimObject.version != 0, claimEnd.claimObject.inDoubt);
    if (Clock::now() >= claimEnd.inDoubtUntil)
        release.clearDoubt();
    std::string ignored;
    ClaimCallResult answer = ClaimCallResult::NoEffect;
    if (claimEnd.step == ClaimStep::Delete)
        answer = co_await deleteClaim(claimEnd.claimObject);
    else
        answer = co_await readClaim(claimEnd.claimObject, ignored);
    const bool wasRead = claimEnd.step == ClaimStep::Read;
    claimEnd.step = release.handleResult(answer);
    // The read returned the version, so the object is deleted immediately.
    if (wasRead && claimEnd.step == ClaimStep::Delete) {
        answer = co_await deleteClaim(claimEnd.claimObject);
        claimEnd.step = release.handleResult(answer);
    }
    if (claimEnd.step == ClaimStep::None)
        co_return EndResult::Settled;
    const bool answered = answer == ClaimCallResult::Absent || answer == ClaimCallResult::Deleted
                          || answer == ClaimCallResult::TokenDiffers;
    if (!answered)
        co_return EndResult::Failed;
    claimEnd.retryAt = Clock::now() + absenceCheckPeriod;
    co_return EndResult::InDoubt;
}

store::Awaitable<ClaimCallResult> ClaimManager::deleteClaim(const ClaimObject &claimObject)
{
    const Status removed = co_await m_store.remove(claimObject.name, claimObject.version);
    co_return answerToDelete(removed.error());
}

store::Awaitable<ClaimManager::EndResult> ClaimManager::tryFinish(const ClaimEnd &claimEnd)
{
    const std::string value = encode({claimEnd.claimObject.token, "finished", claimEnd.status});
    const auto updated = co_await m_store.update(claimEnd.claimObject.name,
                                                 claimEnd.claimObject.version, value);
    // A conflict shows that an earlier update took effect.
    const bool settled = updated || updated.error() == StoreErrc::Conflict
                         || updated.error() == StoreErrc::NotFound;
    if (settled)
        co_return EndResult::Settled;
    co_return EndResult::Failed;
}

void ClaimManager::queueEnd(ClaimEnd claimEnd)
{
    if (m_pendingEnds.size() >= maxPendingEnds) {
        m_log.warning("Too many claims wait for a retry; the oldest one is not retried any more.");
        m_pendingEnds.pop_front();
    }
    m_pendingEnds.push_back(std::move(claimEnd));
}

store::Awaitable<void> ClaimManager::retryLoop()
{
    Duration backoff = minBackoff;
    for (;;) {
        const Duration jitter = backoff / 2 * static_cast<long>(randomId() % 100) / 100;
        co_await pause(backoff / 2 + jitter);
        const TimePoint now = Clock::now();
        const auto due
                = std::find_if(m_pendingEnds.begin(), m_pendingEnds.end(),
                               [&](const ClaimEnd &claimEnd) { return claimEnd.retryAt <= now; });
        if (due == m_pendingEnds.end())
            continue;
        ClaimEnd claimEnd = std::move(*due);
        m_pendingEnds.erase(due);
        const EndResult result = co_await tryEnd(claimEnd);
        if (result == EndResult::Failed)
            backoff = std::min(backoff * 2, maxBackoff);
        else
            backoff = minBackoff;
        if (result != EndResult::Settled)
            queueEnd(std::move(claimEnd));
    }
}

} // namespace bilberry::router
