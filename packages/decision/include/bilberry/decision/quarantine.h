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

/// Identifies a request; identical for each repetition of it.
using Fingerprint = std::uint64_t;

struct QuarantineSettings
{
    std::uint32_t crashThreshold = 2;
    Duration suspicionLifetime = std::chrono::minutes(10);
    std::size_t maxEntries = 10000;
    bool operator==(const QuarantineSettings &) const = default;
};

/// Identifies requests that crash servers. All requests in flight during a crash become suspects; a
/// request that was in flight during `crashThreshold` crashes is quarantined. A request that
/// completes is cleared of the crashes known so far, even if another process reports them again.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings) : m_settings(settings) {}

    /// Records a crash of a server.
    /// @param crash id of the crash; counted once for each fingerprint
    /// @param inFlight requests that were running when the server crashed
    void recordCrash(const CrashId &crash, const std::vector<Fingerprint> &inFlight, TimePoint now);

    /// Clears a request that completed and thus doesn't crash servers.
    void recordCompletion(Fingerprint fingerprint);

    /// @return true when the request must be refused
    bool isQuarantined(Fingerprint fingerprint) const;

    /// @return true when the request was in flight during a crash and hasn't completed since
    bool isSuspect(Fingerprint fingerprint) const { return !crashes(fingerprint).empty(); }

    /// @return crashes that the request is suspected of, at most `crashThreshold`
    std::vector<CrashId> crashes(Fingerprint fingerprint) const;

    /// Adds crashes that another process has reported for a request.
    /// @return true when at least one of the crashes was new
    bool merge(Fingerprint fingerprint, const std::vector<CrashId> &crashes, TimePoint now);

    /// @return all suspected fingerprints with their crashes
    std::vector<std::pair<Fingerprint, std::vector<CrashId>>> entries() const;

    /// Removes requests without a report for longer than the suspicion lifetime.
    void expire(TimePoint now);

private:
    struct Entry
    {
        std::set<CrashId> suspectedCrashes; ///< at most `crashThreshold`
        std::set<CrashId> clearedCrashes;   ///< crashes before the request completed
        TimePoint lastReportedAt{};
    };

    bool add(Fingerprint fingerprint, const CrashId &crash, TimePoint now);
    void evictExcessEntries();

    QuarantineSettings m_settings;
    std::map<Fingerprint, Entry> m_entries;
};

} // namespace bilberry::decision

#endif
