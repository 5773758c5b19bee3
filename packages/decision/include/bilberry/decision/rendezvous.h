#ifndef BILBERRY_DECISION_RENDEZVOUS_H
#define BILBERRY_DECISION_RENDEZVOUS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::decision {

/// @return 64-bit hash of the text, the same on every machine
std::uint64_t stableHash(std::string_view text);

/// @param key hash of what is to be placed
/// @param node hash of a candidate's name
/// @return the candidate's weight for the key; the heaviest one owns it
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node);

/// Rendezvous hashing: when a node leaves, only its own keys move.
/// @param key what is to be placed
/// @param nodes names of the candidates
/// @return index of the key's owner; requires nodes not to be empty
std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &nodes);

/// @param count size of the subset
/// @return indices of the best nodes for the key, best first
std::vector<std::size_t> rendezvousSubset(std::string_view key,
                                          const std::vector<std::string> &nodes, std::size_t count);

} // namespace bilberry::decision

#endif
