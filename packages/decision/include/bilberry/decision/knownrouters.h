#ifndef BILBERRY_DECISION_KNOWNROUTERS_H
#define BILBERRY_DECISION_KNOWNROUTERS_H

#include "bilberry/base/time.h"
#include "bilberry/decision/peerloads.h"
#include "bilberry/model/ids.h"

#include <map>

namespace bilberry::decision {

/// The other routers that are listed or have reported lately, and this router's place among them.
class KnownRouters
{
public:
    /// @param lifetime time after which a router that is not recorded again is forgotten
    KnownRouters(RouterId self, Duration lifetime) : m_self(std::move(self)), m_lifetime(lifetime)
    {
    }

    void record(const RouterId &router, TimePoint now) { m_seenAt[router] = now; }
    void expire(TimePoint now);

    /// @return number of routers, this one included
    std::size_t count() const { return m_seenAt.size() + 1; }
    /// @return number of routers that come before this one in the rendezvous order of the server
    std::size_t countBefore(ServerKey server) const;

private:
    RouterId m_self;
    Duration m_lifetime;
    std::map<RouterId, TimePoint> m_seenAt;
};

} // namespace bilberry::decision

#endif
