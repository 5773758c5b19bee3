#ifndef BILBERRY_MODEL_CONFIGURATIONCODEC_H
#define BILBERRY_MODEL_CONFIGURATIONCODEC_H

#include "bilberry/model/configuration.h"

#include <map>
#include <string>
#include <string_view>

namespace bilberry {

/// Customers are spread over this many shards, so that a change rewrites one of them.
constexpr std::size_t customerShardCount = 16;

/// Shard name to JSON text. "fleet" holds zones, pools and routes; "customers-NN" the customers.
using Shards = std::map<std::string, std::string>;

/// The object that names the shards of the newest accepted revision.
struct ConfigurationHead
{
    Revision revision = 0;
    std::string requestToken;                   ///< of the operator's change
    std::map<std::string, std::string> digests; ///< shard name to SHA-256
    bool operator==(const ConfigurationHead &) const = default;
};

/// @return the configuration as JSON shards
Shards encodeShards(const ConfigurationParts &parts);

/// @param shards all shards of one revision
/// @return the parts, or MalformedDocument or UnknownField
Result<ConfigurationParts> decodeShards(const Shards &shards);

/// @return the head that names the given shards
ConfigurationHead makeHead(Revision revision, const std::string &requestToken,
                           const Shards &shards);

std::string encodeHead(const ConfigurationHead &head);
Result<ConfigurationHead> decodeHead(std::string_view text);

/// One text with revision and all shards, handed from process to process.
std::string encodeConfiguration(const Configuration &configuration);
Result<Configuration> decodeConfiguration(std::string_view text);

} // namespace bilberry

#endif
