#include "crashes/crashrecords.h"

#include "hexnumber.h"

#include "bilberry/decision/rendezvous.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::system_clock;

namespace {

constexpr Duration storeCallTimeout = std::chrono::seconds(1);
constexpr Duration retryDelay = std::chrono::seconds(1);
/// Routers that write a record, so that the loss of one of them does not lose it.
constexpr std::size_t writersPerRecord = 2;

std::int64_t toUnixMs(system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

struct RecordedCrash
{
    decision::ServerRun run = 0;
    std::int64_t atMs = 0; ///< Unix time
    bool resent = false;
};

std::optional<RecordedCrash> decodeCrash(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *run = object ? object->if_contains("run") : nullptr;
    const json::value *at = object ? object->if_contains("atMs") : nullptr;
    if (!run || !run->is_string() || !at || !at->is_int64())
        return std::nullopt;
    const auto number = parseHex(std::string_view(run->get_string()));
    if (!number)
        return std::nullopt;
    const json::value *resent = object->if_contains("resent");
    return RecordedCrash{*number, at->get_int64(),
                         resent && resent->is_bool() && resent->get_bool()};
}

} // namespace

store::Item encodeCrashRecord(const decision::CrashSuspect &suspect, system_clock::time_point now)
{
    json::array crashes;
    for (const decision::CrashSuspect::Crash &crash : suspect.crashes) {
        const auto at = now - std::chrono::duration_cast<system_clock::duration>(crash.age);
        crashes.push_back(json::object{
                {"run", toHex(crash.run)}, {"atMs", toUnixMs(at)}, {"resent", crash.resent}});
    }
    return {toHex(suspect.feature),
            json::serialize(json::object{{"crashes", crashes}, {"probes", suspect.probes}})};
}

std::optional<decision::CrashSuspect> decodeCrashRecord(const store::Item &item,
                                                        system_clock::time_point now)
{
    const auto feature = parseHex(item.name);
    boost::system::error_code error;
    const json::value value = json::parse(item.value, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *crashes = object ? object->if_contains("crashes") : nullptr;
    if (!feature || !crashes || !crashes->is_array())
        return std::nullopt;
    std::vector<RecordedCrash> recorded;
    std::int64_t newestMs = 0;
    for (const json::value &entry : crashes->get_array()) {
        const auto crash = decodeCrash(entry);
        if (!crash)
            return std::nullopt;
        recorded.push_back(*crash);
        newestMs = std::max(newestMs, crash->atMs);
    }
    // A clock behind the writer's must not make the crashes coincide.
    const std::int64_t newestAgeMs = std::max<std::int64_t>(0, toUnixMs(now) - newestMs);
    decision::CrashSuspect suspect;
    suspect.feature = *feature;
    const json::value *probes = object->if_contains("probes");
    if (probes && probes->is_int64() && probes->get_int64() >= 0)
        suspect.probes = static_cast<std::uint32_t>(probes->get_int64());
    for (const RecordedCrash &crash : recorded)
        suspect.crashes.push_back({crash.run,
                                   std::chrono::milliseconds(newestAgeMs + newestMs - crash.atMs),
                                   crash.resent});
    return suspect;
}

CrashRecords::CrashRecords(asio::io_context &io, store::CollectionStore &store,
                           std::string collection, decision::CrashSuspicion &suspicion, Log &log)
    : m_io(io), m_store(store), m_collection(std::move(collection)), m_suspicion(suspicion),
      m_log(log)
{
}

void CrashRecords::load()
{
    asio::co_spawn(m_io, loadRecords(shared_from_this()), asio::detached);
}

void CrashRecords::saveChanges(const RouterId &router, const std::vector<RouterId> &liveOthers)
{
    if (!m_isLoaded)
        return;
    takeChanges();
    // Crashes that are older don't count any more, nor does what they were cleared by.
    const TimePoint now = Clock::now();
    std::erase_if(m_pending, [&](const auto &item) {
        return !item.second.isBeingWritten && now - item.second.changedAt > m_suspicion.lifetime();
    });
    std::vector<std::string> routers{router.text()};
    for (const RouterId &other : liveOthers)
        routers.push_back(other.text());
    if (m_checked == std::pair(routers, m_lastChange))
        return;
    m_checked = {routers, m_lastChange};
    for (const auto &[name, pending] : m_pending) {
        const auto writers = decision::rendezvousSubset(name, routers, writersPerRecord);
        // The first router is this one.
        if (std::find(writers.begin(), writers.end(), 0U) != writers.end())
            startWrite(name);
    }
}

void CrashRecords::takeChanges()
{
    const auto changes = m_suspicion.takeStoreChanges(Clock::now());
    for (const decision::CrashSuspect &suspect : changes.suspected) {
        const store::Item item = encodeCrashRecord(suspect, system_clock::now());
        addPending(item.name, item);
    }
    for (const decision::RequestFeature feature : changes.cleared)
        addPending(toHex(feature), std::nullopt);
}

void CrashRecords::addPending(const std::string &name, std::optional<store::Item> item)
{
    PendingRecord &pending = m_pending[name];
    pending.item = std::move(item);
    pending.change = ++m_lastChange;
    pending.changedAt = Clock::now();
}

void CrashRecords::startWrite(const std::string &name)
{
    if (std::exchange(m_pending.at(name).isBeingWritten, true))
        return;
    asio::co_spawn(m_io, writeRecord(shared_from_this(), name), asio::detached);
}

asio::awaitable<void> CrashRecords::loadRecords(std::shared_ptr<CrashRecords> self)
{
    for (;;) {
        const Result<store::Snapshot> records
                = co_await self->m_store.list(self->m_collection, storeCallTimeout);
        if (records) {
            self->merge(records.value().items);
            co_return;
        }
        self->m_log.decision("Could not read what crashes servers.",
                             {{"error", records.error().message()}});
        co_await pause();
    }
}

void CrashRecords::merge(const std::vector<store::Item> &items)
{
    const TimePoint now = Clock::now();
    std::map<std::string, decision::CrashSuspect> read;
    for (const store::Item &item : items) {
        const auto suspect = decodeCrashRecord(item, system_clock::now());
        if (!suspect) {
            m_log.decision("Ignored an invalid record of what crashes servers.",
                           {{"feature", item.name}});
        } else if (m_suspicion.isExpired(*suspect)) {
            addPending(item.name, std::nullopt);
            startWrite(item.name);
        } else {
            m_suspicion.merge(*suspect, now);
            read.emplace(item.name, *suspect);
        }
    }
    m_isLoaded = true;
    takeChanges();
    // What was read needs not be written again, unless other routers have told more.
    for (const auto &[name, suspect] : read) {
        const auto pending = m_pending.find(name);
        const auto known = pending != m_pending.end() && pending->second.item
                                   ? decodeCrashRecord(*pending->second.item, system_clock::now())
                                   : std::nullopt;
        if (known && known->crashes.size() <= suspect.crashes.size()
            && known->probes <= suspect.probes)
            m_pending.erase(pending);
    }
}

/// Writes or removes a record until the store has its newest state.
asio::awaitable<void> CrashRecords::writeRecord(std::shared_ptr<CrashRecords> self,
                                                std::string name)
{
    for (;;) {
        const PendingRecord pending = self->m_pending.at(name);
        Status written = success();
        if (pending.item)
            written = co_await self->m_store.put(self->m_collection, *pending.item,
                                                 storeCallTimeout);
        else
            written = co_await self->m_store.remove(self->m_collection, name, storeCallTimeout);
        if (!written) {
            self->m_log.decision("Could not write what crashes servers.",
                                 {{"feature", name}, {"error", written.error().message()}});
            co_await pause();
        } else if (self->m_pending.at(name).change == pending.change) {
            self->m_pending.erase(name);
            co_return;
        }
    }
}

asio::awaitable<void> CrashRecords::pause()
{
    asio::steady_timer timer(co_await asio::this_coro::executor, retryDelay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace bilberry::direct
