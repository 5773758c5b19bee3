#ifndef BILBERRY_DECISION_QUARANTINE_H
#define BILBERRY_DECISION_QUARANTINE_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bilberry::decision {

/// Same for each repeat of one request.
using Fingerprint = std::uint64_t;

/// Identifies one crash: the agent's life and the count of its server's crashes.
struct CrashId
{
    std::uint64_t agentIncarnation = 0;
    std::uint32_t crash = 0;
    auto operator<=>(const CrashId &) const = default;
};

struct QuarantineSettings
{
    std::uint32_t crashesToQuarantine = 2;
    Duration suspicionLifetime = std::chrono::minutes(10);
    std::size_t maxEntries = 10000;
    bool operator==(const QuarantineSettings &) const = default;
};

/// Requests in flight at a crash share the suspicion; one that is seen in a second crash is
/// refused. A request that completes is cleared.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings) : m_settings(settings) {}

    /// @param crash which crash; the same crash counts once for a fingerprint
    /// @param inFlight requests that ran when the server crashed
    void crashed(const CrashId &crash, const std::vector<Fingerprint> &inFlight, TimePoint now);

    /// A request completed: it does not crash servers.
    void completed(Fingerprint fingerprint);

    /// @return true when the request must be refused
    bool refuses(Fingerprint fingerprint) const;

    /// @return crashes that the fingerprint is suspected of
    std::uint32_t crashes(Fingerprint fingerprint) const;

    /// Takes in what another process knows.
    void merge(Fingerprint fingerprint, std::uint32_t crashes, TimePoint now);

    /// @return all suspected fingerprints with their number of crashes
    std::vector<std::pair<Fingerprint, std::uint32_t>> entries() const;

    /// Forgets old suspicion.
    void expire(TimePoint now);

private:
    struct Entry
    {
        std::set<CrashId> seen;
        std::uint32_t reported = 0; ///< by other processes
        TimePoint last{};

        std::uint32_t crashes() const
        {
            const auto own = static_cast<std::uint32_t>(seen.size());
            return own > reported ? own : reported;
        }
    };

    void shrink();

    QuarantineSettings m_settings;
    std::map<Fingerprint, Entry> m_entries;
};

} // namespace bilberry::decision

#endif
