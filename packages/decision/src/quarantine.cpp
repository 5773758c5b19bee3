#include "bilberry/decision/quarantine.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

/// Crashes remembered for one request that completed after them.
constexpr std::size_t maxCleared = 8;

} // namespace

void Quarantine::recordCrash(const CrashId &crash, const std::vector<Fingerprint> &inFlight,
                             TimePoint now)
{
    for (const Fingerprint fingerprint : inFlight) {
        add(fingerprint, crash, now);
    }
    shrink();
}

bool Quarantine::add(Fingerprint fingerprint, const CrashId &crash, TimePoint now)
{
    Entry &entry = m_entries[fingerprint];
    entry.last = now;
    if (entry.seen.size() >= m_settings.crashesToQuarantine || entry.cleared.contains(crash))
        return false;
    return entry.seen.insert(crash).second;
}

void Quarantine::recordCompletion(Fingerprint fingerprint)
{
    // A request in quarantine never completes: it is refused before it runs.
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || isQuarantined(fingerprint))
        return;
    Entry &entry = found->second;
    if (entry.cleared.size() >= maxCleared)
        entry.cleared.clear();
    entry.cleared.merge(entry.seen);
    entry.seen.clear();
}

bool Quarantine::isQuarantined(Fingerprint fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.seen.size() >= m_settings.crashesToQuarantine;
}

std::vector<CrashId> Quarantine::crashes(Fingerprint fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return {};
    return {found->second.seen.begin(), found->second.seen.end()};
}

bool Quarantine::merge(Fingerprint fingerprint, const std::vector<CrashId> &crashes, TimePoint now)
{
    bool changed = false;
    for (const CrashId &crash : crashes)
        changed = add(fingerprint, crash, now) || changed;
    shrink();
    return changed;
}

std::vector<std::pair<Fingerprint, std::vector<CrashId>>> Quarantine::entries() const
{
    std::vector<std::pair<Fingerprint, std::vector<CrashId>>> result;
    for (const auto &[fingerprint, entry] : m_entries) {
        if (!entry.seen.empty())
            result.emplace_back(fingerprint, crashes(fingerprint));
    }
    return result;
}

void Quarantine::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.last > m_settings.suspicionLifetime;
    });
}

void Quarantine::shrink()
{
    while (m_entries.size() > m_settings.maxEntries) {
        // The least suspicious and then oldest entry goes first.
        const auto weakest = std::min_element(
                m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
                    return std::pair(left.second.seen.size(), left.second.last)
                           < std::pair(right.second.seen.size(), right.second.last);
                });
        m_entries.erase(weakest);
    }
}

} // namespace bilberry::decision
