#include "bilberry/decision/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace bilberry::decision {

namespace {

std::uint64_t weight(std::string_view key, const std::string &node)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), stableHash(node));
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node)
{
    return XXH3_64bits_withSeed(&key, sizeof key, node);
}

std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &nodes)
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < nodes.size(); ++i) {
        if (weight(key, nodes[i]) > weight(key, nodes[best]))
            best = i;
    }
    return best;
}

std::vector<std::size_t> rendezvousSubset(std::string_view key,
                                          const std::vector<std::string> &nodes, std::size_t count)
{
    std::vector<std::size_t> order(nodes.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return weight(key, nodes[left]) > weight(key, nodes[right]);
    });
    order.resize(std::min(count, order.size()));
    return order;
}

} // namespace bilberry::decision
