#include "bilberry/store/configurationstore.h"

#include "bilberry/base/digest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bilberry::store {

namespace {

constexpr int maxAttempts = 6;
constexpr Duration initialBackoff = std::chrono::milliseconds(50);

std::string shardObjectName(const std::string &digest)
{
    return "configuration/shards/" + digest;
}

/// Waits with exponential backoff. Half of the delay is random, so that concurrent callers do not
/// retry at the same time.
/// @param attempt number of earlier retries
Awaitable<void> waitBeforeRetry(int attempt)
{
    constexpr long jitterSteps = 1000;
    const Duration delay = initialBackoff * (1 << attempt);
    const auto jitter = static_cast<long>(randomId() % jitterSteps);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(delay / 2 + delay * jitter / (2 * jitterSteps));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

AcceptedConfiguration emptyConfiguration()
{
    const Result<Configuration> empty = Configuration::create(0, {});
    return {0, std::make_shared<const Configuration>(empty.value())};
}

} // namespace

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::load()
{
    const Result<Object> head = co_await m_store.get(headObjectName);
    if (head.error() == StoreErrc::NotFound)
        co_return emptyConfiguration();
    if (!head)
        co_return head.error();
    co_return co_await loadFromHead(head.value());
}

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::watch(ObjectVersion known,
                                                                   Duration limit)
{
    const Result<Object> head = co_await m_store.watch(headObjectName, known, limit);
    if (!head)
        co_return head.error();
    co_return co_await loadFromHead(head.value());
}

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::loadFromHead(Object object)
{
    const Result<ConfigurationHead> head = decodeHead(object.value);
    if (!head)
        co_return head.error();
    Shards shards;
    std::map<std::string, std::string> shardByDigest;
    for (const auto &[name, digest] : head.value().digests) {
        const Result<std::string> text = co_await loadShard(name, digest);
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

Awaitable<Result<std::string>> ConfigurationStore::loadShard(std::string, std::string digest)
{
    const auto cached = m_shardByDigest.find(digest);
    if (cached != m_shardByDigest.end())
        co_return cached->second;
    const Result<Object> object = co_await m_store.get(shardObjectName(digest));
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
        const auto created = co_await m_store.create(shardObjectName(digest), shards.at(name));
        // A shard is named by the digest of its content: an existing one has the same content,
        // and a write of unknown outcome can be repeated.
        if (!created && created.error() == StoreErrc::OutcomeUnknown) {
            const auto repeated = co_await m_store.create(shardObjectName(digest), shards.at(name));
            if (!repeated && repeated.error() != StoreErrc::Conflict)
                co_return repeated.error();
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
    bool mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        Result<ObjectVersion> written = StoreErrc::Unavailable;
        if (expected == 0)
            written = co_await m_store.create(headObjectName, value);
        else
            written = co_await m_store.update(headObjectName, expected, value);
        if (written)
            co_return written;
        if (written.error() == StoreErrc::Conflict)
            co_return co_await resolveConflict(revision, requestToken, mayHaveTakenEffect);
        if (written.error() == StoreErrc::OutcomeUnknown)
            mayHaveTakenEffect = true;
        else if (!mayHaveTakenEffect)
            co_return written;
        co_await waitBeforeRetry(attempt);
    }
    co_return StoreErrc::OutcomeUnknown;
}

Awaitable<Result<ObjectVersion>> ConfigurationStore::resolveConflict(Revision revision,
                                                                     std::string requestToken,
                                                                     bool mayHaveTakenEffect)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const Result<Object> object = co_await m_store.get(headObjectName);
        if (object) {
            const Result<ConfigurationHead> head = decodeHead(object.value().value);
            if (!head)
                co_return head.error();
            if (head.value().requestToken == requestToken)
                co_return object.value().version;
            // Each revision is accepted once, so another token on this revision means that the
            // change was rejected. A later revision does not show which change was accepted
            // before it. An earlier one is a stale read, since the write met a conflict.
            if (head.value().revision == revision || !mayHaveTakenEffect)
                co_return StoreErrc::Conflict;
            if (head.value().revision > revision)
                co_return StoreErrc::OutcomeUnknown;
        }
        if (object.error() == StoreErrc::NotFound || !mayHaveTakenEffect)
            co_return StoreErrc::Conflict;
        co_await waitBeforeRetry(attempt);
    }
    co_return StoreErrc::OutcomeUnknown;
}

} // namespace bilberry::store
