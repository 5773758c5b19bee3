#include "bilberry/decision/freshness.h"

namespace bilberry::decision {

void Freshness::inForce(Revision revision)
{
    if (revision <= m_revision)
        return;
    m_revision = revision;
    m_provenAt.reset();
    m_frozenAt.reset();
}

void Freshness::proof(Revision revision, Duration age, TimePoint now)
{
    // A proof of another revision says nothing about the one in force here.
    if (revision != m_revision || revision == 0)
        return;
    const TimePoint at = now - age;
    if (!m_provenAt || at > *m_provenAt)
        m_provenAt = at;
}

void Freshness::frozen(TimePoint at)
{
    if (!m_frozenAt || at > *m_frozenAt)
        m_frozenAt = at;
}

std::optional<Duration> Freshness::proofAge(TimePoint now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return now - *m_provenAt;
}

bool Freshness::isFrozen(TimePoint now) const
{
    return m_frozenAt && now - *m_frozenAt <= m_settings.proofLimit;
}

bool Freshness::mayAdmit(TimePoint now) const
{
    if (m_revision == 0)
        return false;
    if (m_settings.island == IslandPolicy::Serve || isFrozen(now))
        return true;
    const auto age = proofAge(now);
    return age && *age <= m_settings.proofLimit;
}

} // namespace bilberry::decision
