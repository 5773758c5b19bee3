#include "bilberry/decision/quarantine.h"

#include <algorithm>

namespace bilberry::decision {

void Quarantine::crashed(const CrashId &crash, const std::vector<Fingerprint> &inFlight,
                         TimePoint now)
{
    for (const Fingerprint fingerprint : inFlight) {
        Entry &entry = m_entries[fingerprint];
        entry.seen.insert(crash);
        entry.last = now;
    }
    shrink();
}

void Quarantine::completed(Fingerprint fingerprint)
{
    // A request in quarantine never completes: it is refused before it runs.
    if (!refuses(fingerprint))
        m_entries.erase(fingerprint);
}

bool Quarantine::refuses(Fingerprint fingerprint) const
{
    return crashes(fingerprint) >= m_settings.crashesToQuarantine;
}

std::uint32_t Quarantine::crashes(Fingerprint fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? 0 : found->second.crashes();
}

void Quarantine::merge(Fingerprint fingerprint, std::uint32_t crashes, TimePoint now)
{
    Entry &entry = m_entries[fingerprint];
    if (crashes > entry.reported) {
        entry.reported = crashes;
        entry.last = now;
    }
    shrink();
}

std::vector<std::pair<Fingerprint, std::uint32_t>> Quarantine::entries() const
{
    std::vector<std::pair<Fingerprint, std::uint32_t>> result;
    result.reserve(m_entries.size());
    for (const auto &[fingerprint, entry] : m_entries)
        result.emplace_back(fingerprint, entry.crashes());
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
                    return std::pair(left.second.crashes(), left.second.last)
                           < std::pair(right.second.crashes(), right.second.last);
                });
        m_entries.erase(weakest);
    }
}

} // namespace bilberry::decision
