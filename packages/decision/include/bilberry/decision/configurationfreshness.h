#ifndef BILBERRY_DECISION_CONFIGURATIONFRESHNESS_H
#define BILBERRY_DECISION_CONFIGURATIONFRESHNESS_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <optional>

namespace bilberry::decision {

/// Behaviour of a process that may be partitioned from the newest configuration.
enum class PartitionPolicy {
    Stop,  ///< admits no new requests
    Serve, ///< admits requests with the configuration that it has
};

struct FreshnessSettings
{
    /// Maximum age of a proof; an older one doesn't show that the process isn't partitioned.
    Duration maxProofAge = std::chrono::seconds(3);
    PartitionPolicy partitionPolicy = PartitionPolicy::Stop;
    bool operator==(const FreshnessSettings &) const = default;
};

/// Tracks the age of the newest proof that this process has the newest configuration. Processes
/// exchange ages as durations, so that no wall clocks are compared.
class ConfigurationFreshness
{
public:
    explicit ConfigurationFreshness(FreshnessSettings settings) : m_settings(settings) {}

    /// Records that the process applied a revision. A higher revision discards earlier proofs; a
    /// lower or equal one is ignored.
    void setActiveRevision(Revision revision);

    /// Records a proof that a revision was the newest one.
    /// @param age time since the platform was queried, or an upper bound of it
    void recordProof(Revision revision, Duration age, TimePoint now);

    /// Records that a connected majority could not reach the platform at that time, so that no
    /// change of the configuration can have been accepted.
    void recordFreeze(TimePoint at);

    /// @return age of the newest proof for the active revision, or std::nullopt
    std::optional<Duration> proofAge(TimePoint now) const;

    /// @return true when a frozen majority was recorded within the maximum proof age
    bool isFrozen(TimePoint now) const;

    /// @return false when new requests must be refused
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
