#include "bilberry/decision/quarantine.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

/// Maximum number of cleared crashes stored for one request.
constexpr std::size_t maxClearedCrashes = 8;

} // namespace

void Quarantine::recordCrash(const CrashId &crash, const std::vector<Fingerprint> &inFlight,
                             TimePoint now)
{
    for (const Fingerprint fingerprint : inFlight) {
        add(fingerprint, crash, now);
    }
    evictExcessEntries();
}

bool Quarantine::add(Fingerprint fingerprint, const CrashId &crash, TimePoint now)
{
    Entry &entry = m_entries[fingerprint];
    entry.lastReportedAt = now;
    if (entry.suspectedCrashes.size() >= m_settings.crashThreshold
        || entry.clearedCrashes.contains(crash))
        return false;
    return entry.suspectedCrashes.insert(crash).second;
}

void Quarantine::recordCompletion(Fingerprint fingerprint)
{
    // A quarantined request can't complete: it is refused before it runs.
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || isQuarantined(fingerprint))
        return;
    Entry &entry = found->second;
    if (entry.clearedCrashes.size() >= maxClearedCrashes)
        entry.clearedCrashes.clear();
    entry.clearedCrashes.merge(entry.suspectedCrashes);
    entry.suspectedCrashes.clear();
}

bool Quarantine::isQuarantined(Fingerprint fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end()
           && found->second.suspectedCrashes.size() >= m_settings.crashThreshold;
}

std::vector<CrashId> Quarantine::crashes(Fingerprint fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return {};
    return {found->second.suspectedCrashes.begin(), found->second.suspectedCrashes.end()};
}

bool Quarantine::merge(Fingerprint fingerprint, const std::vector<CrashId> &crashes, TimePoint now)
{
    bool changed = false;
    for (const CrashId &crash : crashes)
        changed = add(fingerprint, crash, now) || changed;
    evictExcessEntries();
    return changed;
}

std::vector<std::pair<Fingerprint, std::vector<CrashId>>> Quarantine::entries() const
{
    std::vector<std::pair<Fingerprint, std::vector<CrashId>>> result;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (!entry.suspectedCrashes.empty())
            result.emplace_back(fingerprint, crashes(fingerprint));
    }
    return result;
}

void Quarantine::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.lastReportedAt > m_settings.suspicionLifetime;
    });
}

void Quarantine::evictExcessEntries()
{
    while (m_entries.size() > m_settings.maxEntries) {
        // Evict the entry with the fewest crashes, and among those the oldest.
        const auto victim = std::min_element(
                m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
                    return std::pair(left.second.suspectedCrashes.size(),
                                     left.second.lastReportedAt)
                           < std::pair(right.second.suspectedCrashes.size(),
                                       right.second.lastReportedAt);
                });
        m_entries.erase(victim);
    }
}

} // namespace bilberry::decision
