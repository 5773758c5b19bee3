#ifndef BILBERRY_DECISION_QUARANTINE_H
#define BILBERRY_DECISION_QUARANTINE_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bilberry::decision {

/// Same for each repeat of one request.
using Fingerprint = std::uint64_t;

struct QuarantineSettings
{
    std::uint32_t crashesToQuarantine = 2;
    Duration suspicionLifetime = std::chrono::minutes(10);
    std::size_t maxEntries = 10000;
    bool operator==(const QuarantineSettings &) const = default;
};

/// Requests in flight at a crash share the suspicion; one that is seen in a second crash is
/// refused. A request that completes is cleared of the crashes known until then, also when another
/// process repeats them.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings) : m_settings(settings) {}

    /// @param crash which crash; the same crash counts once for a fingerprint
    /// @param inFlight requests that ran when the server crashed
    void recordCrash(const CrashId &crash, const std::vector<Fingerprint> &inFlight, TimePoint now);

    /// A request completed: it does not crash servers.
    void recordCompletion(Fingerprint fingerprint);

    /// @return true when the request must be refused
    bool isQuarantined(Fingerprint fingerprint) const;

    /// @return true when the request was in flight at a crash and has not completed since
    bool isSuspect(Fingerprint fingerprint) const { return !crashes(fingerprint).empty(); }

    /// @return crashes that the fingerprint is suspected of, as many as lead to quarantine
    std::vector<CrashId> crashes(Fingerprint fingerprint) const;

    /// Takes in what another process knows.
    /// @return true when a crash was new
    bool merge(Fingerprint fingerprint, const std::vector<CrashId> &crashes, TimePoint now);

    /// @return all suspected fingerprints with their crashes
    std::vector<std::pair<Fingerprint, std::vector<CrashId>>> entries() const;

    /// Forgets old suspicion.
    void expire(TimePoint now);

private:
    struct Entry
    {
        std::set<CrashId> seen;    ///< at most as many as lead to quarantine
        std::set<CrashId> cleared; ///< the request completed after these
        TimePoint last{};
    };

    bool add(Fingerprint fingerprint, const CrashId &crash, TimePoint now);
    void shrink();

    QuarantineSettings m_settings;
    std::map<Fingerprint, Entry> m_entries;
};

} // namespace bilberry::decision

#endif
