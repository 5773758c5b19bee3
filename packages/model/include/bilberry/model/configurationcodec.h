#ifndef BILBERRY_MODEL_CONFIGURATIONCODEC_H
#define BILBERRY_MODEL_CONFIGURATIONCODEC_H

#include "bilberry/model/configuration.h"

#include <map>
#include <string>
#include <string_view>

namespace bilberry {

/// Number of shards for customers; a change of one customer rewrites only one of them.
constexpr std::size_t customerShardCount = 16;

/// Shard name to JSON text: "fleet" with zones, pools and routes; "customers-NN" with customers.
using Shards = std::map<std::string, std::string>;

/// The stored object that lists the shards of the latest accepted revision with their digests.
struct ConfigurationHead
{
    Revision revision = 0;
    std::string requestToken;                   ///< identifies the operator's change
    std::map<std::string, std::string> digests; ///< shard name to SHA-256, hexadecimal
    bool operator==(const ConfigurationHead &) const = default;
};

Shards encodeShards(const ConfigurationParts &parts);

/// @param shards all shards of one revision
/// @return the parts, not yet validated, or MalformedDocument
Result<ConfigurationParts> decodeShards(const Shards &shards);

/// @return a head with the digests of the given shards
ConfigurationHead makeHead(Revision revision, const std::string &requestToken,
                           const Shards &shards);

/// @return the head as JSON
std::string encodeHead(const ConfigurationHead &head);
/// @return the head, or MalformedDocument
Result<ConfigurationHead> decodeHead(std::string_view text);

/// Encodes the revision and all shards as one JSON text, for the transfer between processes.
std::string encodeConfiguration(const Configuration &configuration);
/// @return the configuration, MalformedDocument, or the error of the first violation
Result<Configuration> decodeConfiguration(std::string_view text);

} // namespace bilberry

#endif
