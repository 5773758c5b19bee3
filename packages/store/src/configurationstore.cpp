#include "bilberry/store/configurationstore.h"

#include "bilberry/base/digest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bilberry::store {

namespace {

constexpr int writeAttempts = 6;
constexpr Duration firstBackoff = std::chrono::milliseconds(50);

std::string shardObject(const std::string &digest)
{
    return "configuration/shards/" + digest;
}

/// Waits longer after each attempt; half of the delay is random, so that callers spread.
Awaitable<void> pauseBeforeRetry(int attempt)
{
    constexpr long steps = 1000;
    const Duration delay = firstBackoff * (1 << attempt);
    const auto jitter = static_cast<long>(randomId() % steps);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(delay / 2 + delay * jitter / (2 * steps));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

AcceptedConfiguration nothingAccepted()
{
    const Result<Configuration> empty = Configuration::create(0, {});
    return {0, std::make_shared<const Configuration>(empty.value())};
}

} // namespace

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::load()
{
    const Result<Object> head = co_await m_store.get(headObjectName);
    if (head.error() == StoreErrc::NotFound)
        co_return nothingAccepted();
    if (!head)
        co_return head.error();
    co_return co_await fetch(head.value());
}

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::watch(ObjectVersion known,
                                                                   Duration limit)
{
    const Result<Object> head = co_await m_store.watch(headObjectName, known, limit);
    if (!head)
        co_return head.error();
    co_return co_await fetch(head.value());
}

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::fetch(Object object)
{
    const Result<ConfigurationHead> head = decodeHead(object.value);
    if (!head)
        co_return head.error();
    Shards shards;
    std::map<std::string, std::string> shardByDigest;
    for (const auto &[name, digest] : head.value().digests) {
        const Result<std::string> text = co_await shard(name, digest);
        if (!text)
            co_return text.error();
        shards[name] = text.value();
        shardByDigest[digest] = text.value();
    }
    m_shardByDigest = std::move(shardByDigest);
    const Revision revision = head.value().revision;
    co_return decodeShards(shards)
            .andThen([&](const ConfigurationParts &parts) {
                return Configuration::create(revision, parts);
            })
            .map([&](const Configuration &configuration) {
                return AcceptedConfiguration{object.version,
                                             std::make_shared<const Configuration>(configuration)};
            });
}

Awaitable<Result<std::string>> ConfigurationStore::shard(std::string, std::string digest)
{
    const auto known = m_shardByDigest.find(digest);
    if (known != m_shardByDigest.end())
        co_return known->second;
    const Result<Object> object = co_await m_store.get(shardObject(digest));
    if (!object)
        co_return object.error();
    if (sha256Hex(object.value().value) != digest)
        co_return ModelErrc::DigestMismatch;
    co_return object.value().value;
}

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::accept(AcceptedConfiguration base,
                                                                    ConfigurationParts parts,
                                                                    std::string requestToken)
{
    const Revision revision = base.configuration->revision() + 1;
    const Result<Configuration> configuration = Configuration::create(revision, parts);
    if (!configuration)
        co_return configuration.error();
    const Shards shards = encodeShards(parts);
    const ConfigurationHead head = makeHead(revision, requestToken, shards);
    const Status written = co_await writeShards(shards, head);
    if (!written)
        co_return written.error();
    const Result<ObjectVersion> version
            = co_await writeHead(base.version, encodeHead(head), revision, requestToken);
    co_return version.map([&](ObjectVersion accepted) {
        return AcceptedConfiguration{accepted,
                                     std::make_shared<const Configuration>(configuration.value())};
    });
}

Awaitable<Status> ConfigurationStore::writeShards(const Shards &shards,
                                                  const ConfigurationHead &head)
{
    for (const auto &[name, digest] : head.digests) {
        if (m_shardByDigest.contains(digest))
            continue;
        const auto created = co_await m_store.create(shardObject(digest), shards.at(name));
        // A shard is named by its content, so that an existing one is the same one, and a write
        // of unknown outcome may simply be repeated.
        if (!created && created.error() == StoreErrc::OutcomeUnknown) {
            const auto again = co_await m_store.create(shardObject(digest), shards.at(name));
            if (!again && again.error() != StoreErrc::Conflict)
                co_return again.error();
        } else if (!created && created.error() != StoreErrc::Conflict) {
            co_return created.error();
        }
        m_shardByDigest[digest] = shards.at(name);
    }
    co_return success();
}

Awaitable<Result<ObjectVersion>> ConfigurationStore::writeHead(ObjectVersion expected,
                                                               std::string value, Revision revision,
                                                               std::string requestToken)
{
    bool mayHaveArrived = false;
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        Result<ObjectVersion> written = StoreErrc::Unavailable;
        if (expected == 0)
            written = co_await m_store.create(headObjectName, value);
        else
            written = co_await m_store.update(headObjectName, expected, value);
        if (written)
            co_return written;
        if (written.error() == StoreErrc::Conflict)
            co_return co_await settle(revision, requestToken, mayHaveArrived);
        if (written.error() == StoreErrc::OutcomeUnknown)
            mayHaveArrived = true;
        else if (!mayHaveArrived)
            co_return written;
        co_await pauseBeforeRetry(attempt);
    }
    co_return StoreErrc::OutcomeUnknown;
}

Awaitable<Result<ObjectVersion>>
ConfigurationStore::settle(Revision revision, std::string requestToken, bool mayHaveArrived)
{
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const Result<Object> object = co_await m_store.get(headObjectName);
        if (object) {
            const Result<ConfigurationHead> head = decodeHead(object.value().value);
            if (!head)
                co_return head.error();
            if (head.value().requestToken == requestToken)
                co_return object.value().version;
            // Each revision is accepted once, so that another token on ours settles it. A head
            // beyond it no longer tells; one before it is a stale read, as the conflict shows.
            if (head.value().revision == revision || !mayHaveArrived)
                co_return StoreErrc::Conflict;
            if (head.value().revision > revision)
                co_return StoreErrc::OutcomeUnknown;
        }
        if (object.error() == StoreErrc::NotFound || !mayHaveArrived)
            co_return StoreErrc::Conflict;
        co_await pauseBeforeRetry(attempt);
    }
    co_return StoreErrc::OutcomeUnknown;
}

} // namespace bilberry::store
