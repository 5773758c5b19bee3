#include "bilberry/store/changelog.h"

#include <algorithm>
#include <utility>

namespace bilberry::store {

void ChangeLog::add(const ItemChange &change, StoreRevision revision, TimePoint now)
{
    m_entries.push_back({{revision, change}, now});
    m_bytes += sizeOf(m_entries.back());
    while (!m_entries.empty() && m_bytes > m_maxBytes)
        dropOldest();
}

void ChangeLog::restart(StoreRevision revision)
{
    m_entries.clear();
    m_bytes = 0;
    m_base = revision;
    m_isStarted = true;
}

RelayedChanges ChangeLog::relay(StoreRevision revision, TimePoint now)
{
    // Nothing is known of the changes before the first call.
    if (!std::exchange(m_isStarted, true))
        m_base = std::max(m_base, revision);
    while (!m_entries.empty() && now - m_entries.front().addedAt > m_lifetime)
        dropOldest();
    RelayedChanges relayed{m_base, revision, {}};
    for (const Entry &entry : m_entries)
        relayed.changes.push_back(entry.change);
    return relayed;
}

void ChangeLog::dropOldest()
{
    m_base = std::max(m_base, m_entries.front().change.revision);
    m_bytes -= sizeOf(m_entries.front());
    m_entries.pop_front();
}

std::size_t ChangeLog::sizeOf(const Entry &entry)
{
    constexpr std::size_t overhead = 16;
    const Item &item = entry.change.change.item;
    return item.name.size() + item.value.size() + overhead;
}

} // namespace bilberry::store
