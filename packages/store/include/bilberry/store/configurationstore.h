#ifndef BILBERRY_STORE_CONFIGURATIONSTORE_H
#define BILBERRY_STORE_CONFIGURATIONSTORE_H

#include "bilberry/model/configurationcodec.h"
#include "bilberry/store/objectstore.h"

#include <map>
#include <optional>

namespace bilberry::store {

/// Name of the head object; its conditional update accepts a configuration.
constexpr char headObjectName[] = "configuration/head";

/// A configuration and the version of the head object that refers to it.
struct AcceptedConfiguration
{
    ObjectVersion version = 0; ///< 0: no head object exists yet
    ConfigurationPtr configuration;
    bool operator==(const AcceptedConfiguration &) const = default;
};

/// Reads and writes the fleet's configuration, which is stored as one head object and immutable
/// shards named by their digests.
class ConfigurationStore
{
public:
    /// @param store must outlive this object
    explicit ConfigurationStore(ObjectStore &store) : m_store(store) {}

    /// @return the latest accepted configuration, an empty one of revision 0 if there is none, or
    /// an error of ObjectStore::get() or of decoding
    Awaitable<Result<AcceptedConfiguration>> load();

    /// Waits until the head object has another version than the known one, then loads the changed
    /// shards.
    /// @param known version of the head that the caller has
    /// @param limit maximum wait
    /// @return the configuration, NotChanged, or an error of load()
    Awaitable<Result<AcceptedConfiguration>> watch(ObjectVersion known, Duration limit);

    /// Stores a configuration if the head is still the one that it was derived from. After a lost
    /// response, repeats the conditional write and compares the request token in the head.
    /// @param base configuration that the change was derived from
    /// @param parts content of the new configuration
    /// @param requestToken random token; repeats of a change use the same one
    /// @return the accepted configuration, Conflict if another change was accepted first,
    /// OutcomeUnknown, or another error of validation or of the store
    Awaitable<Result<AcceptedConfiguration>>
    accept(AcceptedConfiguration base, ConfigurationParts parts, std::string requestToken);

private:
    /// Loads the shards that a head object names; unchanged ones come from m_shardByDigest.
    Awaitable<Result<AcceptedConfiguration>> loadFromHead(Object headObject);
    Awaitable<Result<std::string>> loadShard(std::string name, std::string digest);
    Awaitable<Status> writeShards(const Shards &shards, const ConfigurationHead &head);
    /// Writes the head conditionally and repeats a write of unknown outcome. While the head has the
    /// expected version, an earlier attempt may still arrive, but only one can take effect.
    Awaitable<Result<ObjectVersion>> writeHead(ObjectVersion expected, std::string value,
                                               Revision revision, std::string requestToken);
    /// Determines after a conflict whether an earlier attempt of this change wrote the head.
    /// @param mayHaveTakenEffect an earlier attempt had an unknown outcome
    /// @return the head's version if it did, Conflict if not, or OutcomeUnknown
    Awaitable<Result<ObjectVersion>> resolveConflict(Revision revision, std::string requestToken,
                                                     bool mayHaveTakenEffect);

    ObjectStore &m_store;
    std::map<std::string, std::string> m_shardByDigest; ///< shards of the latest head only
};

} // namespace bilberry::store

#endif
