#include "bilberry/platform/configurationstore.h"

#include "bilberry/base/digest.h"

namespace bilberry::platform {

namespace {

constexpr int settleAttempts = 5;

std::string shardObject(const std::string &digest)
{
    return "configuration/shards/" + digest;
}

AcceptedConfiguration nothingAccepted()
{
    const Result<Configuration> empty = Configuration::create(0, {});
    return {0, std::make_shared<const Configuration>(empty.value())};
}

} // namespace

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::load()
{
    const Result<Object> head = co_await m_store.get(headName);
    if (head.error() == PlatformErrc::NotFound)
        co_return nothingAccepted();
    if (!head)
        co_return head.error();
    co_return co_await fetch(head.value());
}

Awaitable<Result<AcceptedConfiguration>> ConfigurationStore::watch(ObjectVersion known,
                                                                   Duration limit)
{
    const Result<Object> head = co_await m_store.watch(headName, known, limit);
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
            = co_await writeHead(base.version, encodeHead(head), requestToken);
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
        if (!created && created.error() == PlatformErrc::OutcomeUnknown) {
            const auto again = co_await m_store.create(shardObject(digest), shards.at(name));
            if (!again && again.error() != PlatformErrc::Conflict)
                co_return again.error();
        } else if (!created && created.error() != PlatformErrc::Conflict) {
            co_return created.error();
        }
        m_shardByDigest[digest] = shards.at(name);
    }
    co_return success();
}

Awaitable<Result<ObjectVersion>>
ConfigurationStore::writeHead(ObjectVersion expected, std::string value, std::string requestToken)
{
    Result<ObjectVersion> written = PlatformErrc::Unavailable;
    if (expected == 0)
        written = co_await m_store.create(headName, value);
    else
        written = co_await m_store.update(headName, expected, value);
    // A conflict can be our own earlier write whose answer was lost below the HTTP client.
    if (written.error() == PlatformErrc::OutcomeUnknown
        || written.error() == PlatformErrc::Conflict) {
        const auto settled = co_await settle(requestToken);
        if (!settled && settled.error() == PlatformErrc::Conflict)
            co_return written.error() == PlatformErrc::Conflict ? written : settled;
        co_return settled;
    }
    co_return written;
}

Awaitable<Result<ObjectVersion>> ConfigurationStore::settle(std::string requestToken)
{
    for (int attempt = 0; attempt < settleAttempts; ++attempt) {
        const Result<Object> object = co_await m_store.get(headName);
        if (object.error() == PlatformErrc::NotFound)
            co_return PlatformErrc::Conflict;
        if (!object)
            continue;
        const Result<ConfigurationHead> head = decodeHead(object.value().value);
        if (!head)
            co_return head.error();
        if (head.value().requestToken == requestToken)
            co_return object.value().version;
        co_return PlatformErrc::Conflict;
    }
    co_return PlatformErrc::OutcomeUnknown;
}

} // namespace bilberry::platform
