#ifndef BILBERRY_MODEL_RELEASENOTE_H
#define BILBERRY_MODEL_RELEASENOTE_H

#include "bilberry/model/configuration.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bilberry {

/// New values for an existing zone; an absent field stays as it is.
struct ZoneChange
{
    std::optional<bool> inService;
    bool operator==(const ZoneChange &) const = default;
};

/// New values for an existing customer; an absent field stays as it is.
struct CustomerChange
{
    std::optional<double> share;
    std::optional<std::vector<std::string>> keyDigests;
    bool operator==(const CustomerChange &) const = default;
};

/// New values for an existing pool; an absent field stays as it is.
struct PoolChange
{
    std::optional<std::vector<ZoneId>> zones;
    std::optional<std::uint32_t> coldLimit;
    std::optional<std::uint32_t> fullLimit;
    std::optional<std::uint32_t> queueLimit;
    std::optional<CostUnit> costUnit;
    std::optional<double> tokenCost;
    std::optional<Objective> objective;
    bool operator==(const PoolChange &) const = default;
};

/// New values for an existing route; an absent field stays as it is.
struct RouteChange
{
    std::optional<PoolId> pool;
    std::optional<Repeatability> repeatability;
    bool operator==(const RouteChange &) const = default;
};

/// What an operator adds, changes and withdraws in one step.
struct ReleaseNote
{
    ConfigurationParts added;
    std::map<ZoneId, ZoneChange> changedZones;
    std::map<PoolId, PoolChange> changedPools;
    std::map<CustomerId, CustomerChange> changedCustomers;
    std::map<std::string, RouteChange> changedRoutes;
    std::set<ZoneId> withdrawnZones;
    std::set<PoolId> withdrawnPools;
    std::set<CustomerId> withdrawnCustomers;
    std::set<std::string> withdrawnRoutes;
    std::map<std::string, int> lines; ///< by subject, such as "zone a": where the text names it
    bool operator==(const ReleaseNote &) const = default;
};

/// A fault of a release note's text.
struct ReleaseNoteFault
{
    ModelErrc error{};
    int line = 0;        ///< counted from 1; 0 when unknown
    std::string subject; ///< dotted path or entry
    bool operator==(const ReleaseNoteFault &) const = default;
};

/// The note, or every fault found.
using ParsedReleaseNote = std::variant<ReleaseNote, std::vector<ReleaseNoteFault>>;

/// Parses the YAML form with `added`, `changed` and `withdrawn`.
/// @param text YAML
ParsedReleaseNote parseReleaseNote(const std::string &text);

/// Writes parts as a release note that adds all of them.
/// @return YAML; parsed and applied to nothing it gives the same parts
std::string writeReleaseNote(const ConfigurationParts &parts);

/// One line of a plan.
struct PlannedChange
{
    enum class Kind { Added, Changed, Withdrawn };
    Kind kind{};
    std::string subject; ///< such as "zone savinjska-b"
    std::string before;  ///< empty for Added
    std::string after;   ///< empty for Withdrawn
    bool operator==(const PlannedChange &) const = default;
};

/// The configuration that a note leads to, or every rule that it breaks.
using AppliedNote = std::variant<ConfigurationParts, ModelFaults>;

/// Applies a note to the parts in force.
/// @param note what to add, change and withdraw
/// @param parts the parts before
AppliedNote applyNote(const ReleaseNote &note, const ConfigurationParts &parts);

/// Derives the note that leads from one configuration to another.
/// @return a note for which applyNote(note, before) gives `after`
ReleaseNote noteBetween(const ConfigurationParts &before, const ConfigurationParts &after);

/// @return what differs between two configurations, ordered by subject
std::vector<PlannedChange> difference(const ConfigurationParts &before,
                                      const ConfigurationParts &after);

} // namespace bilberry

#endif
