#ifndef BILBERRY_STORE_CONFIGURATIONSTORE_H
#define BILBERRY_STORE_CONFIGURATIONSTORE_H

#include "bilberry/model/configurationcodec.h"
#include "bilberry/store/objectstore.h"

#include <map>
#include <optional>

namespace bilberry::store {

/// Name of the object whose conditional update accepts a configuration.
constexpr char headObjectName[] = "configuration/head";

/// A configuration together with the version of the head that names it.
struct AcceptedConfiguration
{
    ObjectVersion version = 0; ///< 0: there is no head yet
    ConfigurationPtr configuration;
    bool operator==(const AcceptedConfiguration &) const = default;
};

/// Reads and writes the fleet's configuration: one head, immutable shards named by digest.
class ConfigurationStore
{
public:
    /// @param store outlives this object
    explicit ConfigurationStore(ObjectStore &store) : m_store(store) {}

    /// @return the newest accepted configuration; revision 0 and empty when there is none
    Awaitable<Result<AcceptedConfiguration>> load();

    /// Waits for another head than the known one and loads its changed shards.
    /// @param known version that the caller has
    /// @param limit longest wait
    /// @return the configuration, or NotChanged, or an error of ObjectStore::get()
    Awaitable<Result<AcceptedConfiguration>> watch(ObjectVersion known, Duration limit);

    /// Accepts a configuration if the head is still the one that it was derived from. A lost
    /// answer is settled by repeating the conditional write and comparing the head's token.
    /// @param base what the change was derived from
    /// @param parts the new parts
    /// @param requestToken random, the same for repeats of one change
    /// @return the accepted configuration, Conflict when another change won, or OutcomeUnknown
    Awaitable<Result<AcceptedConfiguration>>
    accept(AcceptedConfiguration base, ConfigurationParts parts, std::string requestToken);

private:
    Awaitable<Result<AcceptedConfiguration>> fetch(Object head);
    Awaitable<Result<std::string>> shard(std::string name, std::string digest);
    Awaitable<Status> writeShards(const Shards &shards, const ConfigurationHead &head);
    /// Repeats the conditional write of unknown outcome: as long as the head is the expected one,
    /// an earlier write of ours may still arrive, and only one of them can take effect.
    Awaitable<Result<ObjectVersion>> writeHead(ObjectVersion expected, std::string value,
                                               Revision revision, std::string requestToken);
    /// Tells after a conflict whether the head is ours.
    Awaitable<Result<ObjectVersion>> settle(Revision revision, std::string requestToken,
                                            bool mayHaveArrived);

    ObjectStore &m_store;
    std::map<std::string, std::string> m_shardByDigest; ///< of the newest head only
};

} // namespace bilberry::store

#endif
