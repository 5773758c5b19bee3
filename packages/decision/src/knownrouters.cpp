#include "bilberry/decision/knownrouters.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::decision {

void KnownRouters::expire(TimePoint now)
{
    std::erase_if(m_seenAt, [&](const auto &seen) { return now - seen.second > m_lifetime; });
}

std::size_t KnownRouters::countBefore(ServerKey server) const
{
    const auto weight = [&](const RouterId &router) {
        return rendezvousWeight(server, stableHash(router.text()));
    };
    const std::uint64_t own = weight(m_self);
    return static_cast<std::size_t>(
            std::count_if(m_seenAt.begin(), m_seenAt.end(),
                          [&](const auto &seen) { return weight(seen.first) > own; }));
}

} // namespace bilberry::decision
