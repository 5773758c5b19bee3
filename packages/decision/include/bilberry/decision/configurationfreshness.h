#ifndef BILBERRY_DECISION_CONFIGURATIONFRESHNESS_H
#define BILBERRY_DECISION_CONFIGURATIONFRESHNESS_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <optional>

namespace bilberry::decision {

/// What a process that may be cut off from the newest configuration does.
enum class PartitionPolicy {
    Stop,  ///< admits no new work
    Serve, ///< goes on with the configuration it has
};

struct FreshnessSettings
{
    /// A proof older than this no longer shows that the process is not cut off.
    Duration maxProofAge = std::chrono::seconds(3);
    PartitionPolicy partitionPolicy = PartitionPolicy::Stop;
    bool operator==(const FreshnessSettings &) const = default;
};

/// Knows how old the newest proof is that this process has the newest configuration. Ages travel
/// as durations; no wall clock is compared.
class ConfigurationFreshness
{
public:
    explicit ConfigurationFreshness(FreshnessSettings settings) : m_settings(settings) {}

    /// The process put a revision in force.
    void setActiveRevision(Revision revision);

    /// Somebody proved a revision to be the newest one.
    /// @param age how long ago the platform was asked; never understated
    void recordProof(Revision revision, Duration age, TimePoint now);

    /// A connected majority could not reach the platform at that time: no order can have been
    /// accepted.
    void recordFreeze(TimePoint at);

    /// @return age of the newest proof for the revision in force
    std::optional<Duration> proofAge(TimePoint now) const;

    /// @return true when the newest word of a frozen majority is recent
    bool isFrozen(TimePoint now) const;

    /// @return false when new work must be refused
    bool mayAdmit(TimePoint now) const;

    Revision revision() const { return m_revision; }

private:
    FreshnessSettings m_settings;
    Revision m_revision = 0;
    std::optional<TimePoint> m_provenAt;
    std::optional<TimePoint> m_frozenAt;
};

} // namespace bilberry::decision

#endif
