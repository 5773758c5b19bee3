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

/// A set of additions, changes and withdrawals that an operator applies in one step.
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
    std::map<std::string, int> lines; ///< subject, such as "zone a", to its line in the text
    bool operator==(const ReleaseNote &) const = default;
};

/// An error in the text of a release note.
struct ReleaseNoteFault
{
    ModelErrc error{};
    int line = 0;        ///< counted from 1; 0 when unknown
    std::string subject; ///< dotted path, entry or parser message
    bool operator==(const ReleaseNoteFault &) const = default;
};

/// The note, or all errors in its text.
using ParsedReleaseNote = std::variant<ReleaseNote, std::vector<ReleaseNoteFault>>;

/// Parses a release note and validates each entry by itself.
/// @param text YAML with the sections `added`, `changed` and `withdrawn`
ParsedReleaseNote parseReleaseNote(const std::string &text);

/// Writes a release note that adds all the parts.
/// @return YAML; applying it to an empty configuration yields the same parts
std::string writeReleaseNote(const ConfigurationParts &parts);

/// One entry that a release note adds, changes or withdraws.
struct PlannedChange
{
    enum class Kind { Added, Changed, Withdrawn };
    Kind kind{};
    std::string subject; ///< such as "zone savinjska-b"
    std::string before;  ///< description; empty for Added
    std::string after;   ///< description; empty for Withdrawn
    bool operator==(const PlannedChange &) const = default;
};

/// The resulting configuration, or all violations.
using AppliedNote = std::variant<ConfigurationParts, ModelFaults>;

/// Applies a note to a configuration and validates the result.
/// @param parts the present configuration
AppliedNote applyNote(const ReleaseNote &note, const ConfigurationParts &parts);

/// Computes the note that turns one configuration into another.
/// @return a note for which applyNote(note, before) yields `after`
ReleaseNote noteBetween(const ConfigurationParts &before, const ConfigurationParts &after);

/// Lists the entries that differ between two configurations.
/// @return the differences, grouped by kind: customers, pools, routes, zones
std::vector<PlannedChange> difference(const ConfigurationParts &before,
                                      const ConfigurationParts &after);

} // namespace bilberry

#endif
