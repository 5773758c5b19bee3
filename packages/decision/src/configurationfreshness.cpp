#include "bilberry/decision/configurationfreshness.h"

namespace bilberry::decision {

void ConfigurationFreshness::setActiveRevision(Revision revision)
{
    if (revision <= m_revision)
        return;
    m_revision = revision;
    m_provenAt.reset();
    m_frozenAt.reset();
}

void ConfigurationFreshness::recordProof(Revision revision, Duration age, TimePoint now)
{
    // A proof of another revision doesn't apply to the active one.
    if (revision != m_revision || revision == 0)
        return;
    const TimePoint provenAt = now - age;
    if (!m_provenAt || provenAt > *m_provenAt)
        m_provenAt = provenAt;
}

void ConfigurationFreshness::recordFreeze(TimePoint at)
{
    if (!m_frozenAt || at > *m_frozenAt)
        m_frozenAt = at;
}

std::optional<Duration> ConfigurationFreshness::proofAge(TimePoint now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return now - *m_provenAt;
}

bool ConfigurationFreshness::isFrozen(TimePoint now) const
{
    return m_frozenAt && now - *m_frozenAt <= m_settings.maxProofAge;
}

bool ConfigurationFreshness::mayAdmit(TimePoint now) const
{
    if (m_revision == 0)
        return false;
    if (m_settings.partitionPolicy == PartitionPolicy::Serve || isFrozen(now))
        return true;
    const auto age = proofAge(now);
    return age && *age <= m_settings.maxProofAge;
}

} // namespace bilberry::decision
