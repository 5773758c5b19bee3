#ifndef BILBERRY_DECISION_RENDEZVOUS_H
#define BILBERRY_DECISION_RENDEZVOUS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::decision {

/// @return 64-bit hash of the text, identical in every process
std::uint64_t stableHash(std::string_view text);

/// @param key hash of the key to assign
/// @param node hash of a node's name
/// @return weight of the node for the key; the node with the highest weight owns the key
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node);

/// Rendezvous hashing: when a node is removed, only its own keys move.
/// @param key key to assign
/// @param nodes names of the nodes; must not be empty
/// @return index of the node that owns the key
std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &nodes);

/// @param key key to assign
/// @param nodes names of the nodes
/// @param count maximum size of the subset
/// @return indices of the nodes with the highest weights for the key, highest first
std::vector<std::size_t> rendezvousSubset(std::string_view key,
                                          const std::vector<std::string> &nodes, std::size_t count);

} // namespace bilberry::decision

#endif
