#include "bilberry/model/releasenote.h"

#include <sstream>

namespace bilberry {

namespace {

const std::string &keyText(const ZoneId &id)
{
    return id.text();
}

const std::string &keyText(const PoolId &id)
{
    return id.text();
}

const std::string &keyText(const CustomerId &id)
{
    return id.text();
}

const std::string &keyText(const std::string &prefix)
{
    return prefix;
}

template <typename T>
void assign(T &field, const std::optional<T> &value)
{
    if (value)
        field = *value;
}

void applyChange(AvailabilityZone &zone, const ZoneChange &change)
{
    assign(zone.inService, change.inService);
}

void applyChange(BackendPool &pool, const PoolChange &change)
{
    assign(pool.zones, change.zones);
    assign(pool.coldLimit, change.coldLimit);
    assign(pool.fullLimit, change.fullLimit);
    assign(pool.queueLimit, change.queueLimit);
    assign(pool.costUnit, change.costUnit);
    assign(pool.tokenCost, change.tokenCost);
    assign(pool.objective, change.objective);
}

void applyChange(Customer &customer, const CustomerChange &change)
{
    assign(customer.share, change.share);
    assign(customer.keyDigests, change.keyDigests);
}

void applyChange(Route &route, const RouteChange &change)
{
    assign(route.pool, change.pool);
    assign(route.repeatability, change.repeatability);
}

/// Applies a note's withdrawals, changes and additions, in this order, to the entries of one kind.
template <typename Key, typename Entry, typename Change>
void applySections(const std::string &kind, const std::map<Key, Entry> &added,
                   const std::map<Key, Change> &changed, const std::set<Key> &withdrawn,
                   std::map<Key, Entry> &entries, ModelFaults &faults)
{
    for (const Key &key : withdrawn) {
        if (entries.erase(key) == 0)
            faults.push_back({ModelErrc::UnknownEntry, kind + " " + keyText(key)});
    }
    for (const auto &[key, values] : changed) {
        const auto entry = entries.find(key);
        if (entry == entries.end())
            faults.push_back({ModelErrc::UnknownEntry, kind + " " + keyText(key)});
        else
            applyChange(entry->second, values);
    }
    for (const auto &[key, entry] : added) {
        if (!entries.emplace(key, entry).second)
            faults.push_back({ModelErrc::DuplicateEntry, kind + " " + keyText(key)});
    }
}

std::string describe(const AvailabilityZone &zone)
{
    return zone.inService ? "in service" : "out of service";
}

std::string describe(const BackendPool &pool)
{
    std::ostringstream out;
    out << "zones";
    for (const ZoneId &zone : pool.zones)
        out << ' ' << zone;
    out << ", limits cold " << pool.coldLimit << " full " << pool.fullLimit << " queue "
        << pool.queueLimit << ", cost ";
    if (pool.costUnit == CostUnit::Tokens)
        out << "tokens at " << pool.tokenCost << " ms";
    else
        out << "slot time";
    out << ", objective " << pool.objective.goodFraction * 100 << "% below "
        << pool.objective.firstByteMilliseconds << " ms";
    return out.str();
}

std::string describe(const Customer &customer)
{
    std::ostringstream out;
    out << "share " << customer.share << ", keys";
    constexpr std::size_t shownDigits = 12;
    for (const std::string &digest : customer.keyDigests)
        out << ' ' << digest.substr(0, shownDigits);
    return out.str();
}

std::string describe(const Route &route)
{
    const char *repeat = "by method";
    if (route.repeatability == Repeatability::Always)
        repeat = "always";
    else if (route.repeatability == Repeatability::Never)
        repeat = "never";
    return "pool " + route.pool.text() + ", may repeat " + repeat;
}

template <typename Key, typename Entry>
void appendDifferences(const std::string &kind, const std::map<Key, Entry> &before,
                       const std::map<Key, Entry> &after, std::vector<PlannedChange> &changes)
{
    using Kind = PlannedChange::Kind;
    for (const auto &[key, entry] : before) {
        const std::string subject = kind + " " + keyText(key);
        const auto current = after.find(key);
        if (current == after.end())
            changes.push_back({Kind::Withdrawn, subject, describe(entry), ""});
        else if (!(current->second == entry))
            changes.push_back({Kind::Changed, subject, describe(entry), describe(current->second)});
    }
    for (const auto &[key, entry] : after) {
        if (!before.contains(key))
            changes.push_back({Kind::Added, kind + " " + keyText(key), "", describe(entry)});
    }
}

/// @return a change that sets every field to the values of the entry
ZoneChange fullChange(const AvailabilityZone &zone)
{
    return {zone.inService};
}

PoolChange fullChange(const BackendPool &pool)
{
    return {pool.zones,    pool.coldLimit, pool.fullLimit, pool.queueLimit,
            pool.costUnit, pool.tokenCost, pool.objective};
}

CustomerChange fullChange(const Customer &customer)
{
    return {customer.share, customer.keyDigests};
}

RouteChange fullChange(const Route &route)
{
    return {route.pool, route.repeatability};
}

/// Splits the entries of one kind into the sections of a note.
/// @param added all entries of the new configuration; entries that existed before are removed
template <typename Key, typename Entry, typename Change>
void splitSections(const std::map<Key, Entry> &before, std::map<Key, Entry> &added,
                   std::map<Key, Change> &changed, std::set<Key> &withdrawn)
{
    for (const auto &[key, entry] : before) {
        const auto current = added.find(key);
        if (current == added.end()) {
            withdrawn.insert(key);
            continue;
        }
        if (!(current->second == entry))
            changed[key] = fullChange(current->second);
        added.erase(current);
    }
}

/// Reports withdrawn zones and pools that the remaining entries still reference.
void checkReferences(const ReleaseNote &note, const ConfigurationParts &result, ModelFaults &faults)
{
    std::set<std::string> referenced;
    for (const auto &[id, pool] : result.pools) {
        for (const ZoneId &zone : pool.zones) {
            if (note.withdrawnZones.contains(zone) && !result.zones.contains(zone))
                referenced.insert("zone " + zone.text());
        }
    }
    for (const auto &[prefix, route] : result.routes) {
        if (note.withdrawnPools.contains(route.pool) && !result.pools.contains(route.pool))
            referenced.insert("pool " + route.pool.text());
    }
    for (const std::string &subject : referenced)
        faults.push_back({ModelErrc::StillReferenced, subject});
}

} // namespace

AppliedNote applyNote(const ReleaseNote &note, const ConfigurationParts &parts)
{
    ConfigurationParts result = parts;
    ModelFaults faults;
    applySections("zone", note.added.zones, note.changedZones, note.withdrawnZones, result.zones,
                  faults);
    applySections("pool", note.added.pools, note.changedPools, note.withdrawnPools, result.pools,
                  faults);
    applySections("customer", note.added.customers, note.changedCustomers, note.withdrawnCustomers,
                  result.customers, faults);
    applySections("route", note.added.routes, note.changedRoutes, note.withdrawnRoutes,
                  result.routes, faults);
    checkReferences(note, result, faults);
    const ModelFaults violations = check(result);
    faults.insert(faults.end(), violations.begin(), violations.end());
    if (!faults.empty())
        return faults;
    return result;
}

ReleaseNote noteBetween(const ConfigurationParts &before, const ConfigurationParts &after)
{
    ReleaseNote note;
    note.added = after;
    splitSections(before.zones, note.added.zones, note.changedZones, note.withdrawnZones);
    splitSections(before.pools, note.added.pools, note.changedPools, note.withdrawnPools);
    splitSections(before.customers, note.added.customers, note.changedCustomers,
                  note.withdrawnCustomers);
    splitSections(before.routes, note.added.routes, note.changedRoutes, note.withdrawnRoutes);
    return note;
}

std::vector<PlannedChange> difference(const ConfigurationParts &before,
                                      const ConfigurationParts &after)
{
    std::vector<PlannedChange> changes;
    appendDifferences("customer", before.customers, after.customers, changes);
    appendDifferences("pool", before.pools, after.pools, changes);
    appendDifferences("route", before.routes, after.routes, changes);
    appendDifferences("zone", before.zones, after.zones, changes);
    return changes;
}

} // namespace bilberry
