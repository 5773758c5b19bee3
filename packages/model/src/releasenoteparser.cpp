#include "bilberry/model/releasenote.h"

#include "bilberry/base/settings.h"

#include <yaml-cpp/yaml.h>

#include <functional>

namespace bilberry {

namespace {

/// Parses a note and collects all errors with their lines.
class Parser
{
public:
    ParsedReleaseNote parse(const std::string &text)
    {
        try {
            const YAML::Node root = YAML::Load(text);
            parseRoot(root);
        } catch (const YAML::Exception &exception) {
            m_faults.push_back(
                    {ModelErrc::MalformedDocument, exception.mark.line + 1, exception.msg});
        }
        if (!m_faults.empty())
            return m_faults;
        return m_note;
    }

private:
    using EntryReader = std::function<void(const std::string &key, const YAML::Node &value)>;
    using FieldReader = std::function<bool(const std::string &name, const YAML::Node &value)>;

    void addFault(ModelErrc error, const YAML::Node &node, const std::string &subject)
    {
        m_faults.push_back({error, node.Mark().line + 1, subject});
    }

    /// Reports a node that is neither a map nor null.
    /// @return true when the node is a map
    bool expectMap(const YAML::Node &node, const std::string &subject)
    {
        if (node.IsNull() || node.IsMap())
            return node.IsMap();
        addFault(ModelErrc::MalformedDocument, node, subject + " is expected to be a map");
        return false;
    }

    /// Parses `added` or `changed`.
    /// @param readers kind, such as "zones", to the reader of its entries
    void parseSection(const YAML::Node &node, const std::string &path,
                      const std::map<std::string, EntryReader> &readers)
    {
        if (!expectMap(node, path))
            return;
        checkUnique(node, path);
        for (const auto &part : node) {
            const std::string kind = part.first.as<std::string>();
            const auto reader = readers.find(kind);
            const std::string subject = path + "." + kind;
            if (reader == readers.end())
                addFault(ModelErrc::UnknownField, part.first, subject);
            else if (expectMap(part.second, subject))
                parseEntries(part.second, subject, reader->second);
        }
    }

    void parseEntries(const YAML::Node &map, const std::string &path, const EntryReader &reader)
    {
        checkUnique(map, path);
        const std::string kind = path.substr(path.find('.') + 1);
        for (const auto &entry : map) {
            const std::string key = entry.first.as<std::string>();
            const std::string subject = singular(kind) + " " + key;
            m_note.lines.emplace(subject, entry.first.Mark().line + 1);
            reader(key, entry.second);
        }
    }

    static std::string singular(const std::string &kind) { return kind.substr(0, kind.size() - 1); }

    /// Reports repeated keys; yaml-cpp keeps both entries.
    void checkUnique(const YAML::Node &map, const std::string &path)
    {
        std::set<std::string> seen;
        for (const auto &entry : map) {
            const std::string key = entry.first.as<std::string>();
            if (!seen.insert(key).second)
                addFault(ModelErrc::DuplicateEntry, entry.first, path + "." + key);
        }
    }

    /// Reports violations within one entry.
    template <typename Entry>
    void checkEntry(const Entry &entry, const YAML::Node &node)
    {
        ModelFaults faults;
        check(entry, faults);
        for (const ModelFault &violation : faults)
            addFault(violation.error, node, violation.subject);
    }

    /// Reads the fields of one entry.
    /// @param reader returns false for an unknown field
    void parseFields(const YAML::Node &node, const std::string &subject, const FieldReader &reader)
    {
        if (!expectMap(node, subject))
            return;
        checkUnique(node, subject);
        for (const auto &field : node) {
            const std::string name = field.first.as<std::string>();
            try {
                if (!reader(name, field.second))
                    addFault(ModelErrc::UnknownField, field.first, subject + "." + name);
            } catch (const YAML::Exception &) {
                addFault(ModelErrc::MalformedDocument, field.second, subject + "." + name);
            }
        }
    }

    template <typename T>
    std::optional<T> parseWord(const YAML::Node &node, const std::map<std::string, T> &words,
                               const std::string &subject)
    {
        const auto found = words.find(node.as<std::string>());
        if (found != words.end())
            return found->second;
        addFault(ModelErrc::MalformedDocument, node, subject);
        return std::nullopt;
    }

    void parseRoot(const YAML::Node &root)
    {
        if (!expectMap(root, "release note"))
            return;
        checkUnique(root, "release note");
        for (const auto &part : root) {
            const std::string name = part.first.as<std::string>();
            if (name == "added")
                parseAdded(part.second);
            else if (name == "changed")
                parseChanged(part.second);
            else if (name == "withdrawn")
                parseWithdrawn(part.second);
            else
                addFault(ModelErrc::UnknownField, part.first, name);
        }
    }

    void parseAdded(const YAML::Node &node)
    {
        parseSection(node, "added",
                     {{"zones", [this](auto &key, auto &value) { addZone(key, value); }},
                      {"pools", [this](auto &key, auto &value) { addPool(key, value); }},
                      {"customers", [this](auto &key, auto &value) { addCustomer(key, value); }},
                      {"routes", [this](auto &key, auto &value) { addRoute(key, value); }}});
    }

    void addZone(const std::string &key, const YAML::Node &value)
    {
        const ZoneId id(key);
        const ZoneChange change = parseZoneChange(value, "zone " + key);
        if (!isIdentifier(key))
            addFault(ModelErrc::InvalidIdentifier, value, "zone " + key);
        m_note.added.zones[id] = {id, change.inService.value_or(true)};
    }

    void addPool(const std::string &key, const YAML::Node &value)
    {
        const PoolChange change = parsePoolChange(value, "pool " + key);
        const BackendPool defaults;
        BackendPool pool;
        pool.id = PoolId(key);
        pool.zones = change.zones.value_or(defaults.zones);
        pool.coldLimit = change.coldLimit.value_or(defaults.coldLimit);
        pool.fullLimit = change.fullLimit.value_or(defaults.fullLimit);
        pool.queueLimit = change.queueLimit.value_or(defaults.queueLimit);
        pool.costUnit = change.costUnit.value_or(defaults.costUnit);
        pool.tokenCost = change.tokenCost.value_or(defaults.tokenCost);
        pool.objective = change.objective.value_or(defaults.objective);
        checkEntry(pool, value);
        m_note.added.pools[pool.id] = pool;
    }

    void addCustomer(const std::string &key, const YAML::Node &value)
    {
        const CustomerId id(key);
        const CustomerChange change = parseCustomerChange(value, "customer " + key);
        const Customer customer{id, change.share.value_or(1.0),
                                change.keyDigests.value_or(std::vector<std::string>())};
        checkEntry(customer, value);
        m_note.added.customers[id] = customer;
    }

    void addRoute(const std::string &key, const YAML::Node &value)
    {
        const RouteChange change = parseRouteChange(value, "route " + key);
        if (!change.pool)
            addFault(ModelErrc::UnknownPool, value, "route " + key);
        if (!key.starts_with('/'))
            addFault(ModelErrc::InvalidPrefix, value, "route " + key);
        m_note.added.routes[key] = {key, change.pool.value_or(PoolId()),
                                    change.repeatability.value_or(Repeatability::ByMethod)};
    }

    void parseChanged(const YAML::Node &node)
    {
        parseSection(node, "changed",
                     {{"zones",
                       [this](auto &key, auto &value) {
                           m_note.changedZones[ZoneId(key)] = parseZoneChange(value, "zone " + key);
                       }},
                      {"pools",
                       [this](auto &key, auto &value) {
                           m_note.changedPools[PoolId(key)] = parsePoolChange(value, "pool " + key);
                       }},
                      {"customers", [this](auto &key, auto &value) { changeCustomer(key, value); }},
                      {"routes", [this](auto &key, auto &value) {
                           m_note.changedRoutes[key] = parseRouteChange(value, "route " + key);
                       }}});
    }

    void changeCustomer(const std::string &key, const YAML::Node &value)
    {
        const CustomerId id(key);
        const CustomerChange change = parseCustomerChange(value, "customer " + key);
        const Customer checked{id, change.share.value_or(1.0),
                               change.keyDigests.value_or(std::vector<std::string>())};
        checkEntry(checked, value);
        m_note.changedCustomers[id] = change;
    }

    ZoneChange parseZoneChange(const YAML::Node &node, const std::string &subject)
    {
        ZoneChange change;
        parseFields(node, subject, [&](const std::string &name, const YAML::Node &value) {
            if (name != "inService")
                return false;
            change.inService = value.as<bool>();
            return true;
        });
        return change;
    }

    PoolChange parsePoolChange(const YAML::Node &node, const std::string &subject)
    {
        PoolChange change;
        const std::map<std::string, std::function<void(const YAML::Node &)>> readers = {
                {"zones", [&](auto &value) { change.zones = parseZoneList(value); }},
                {"coldLimit",
                 [&](auto &value) { change.coldLimit = value.template as<uint32_t>(); }},
                {"fullLimit",
                 [&](auto &value) { change.fullLimit = value.template as<uint32_t>(); }},
                {"queueLimit",
                 [&](auto &value) { change.queueLimit = value.template as<uint32_t>(); }},
                {"tokenCost", [&](auto &value) { change.tokenCost = value.template as<double>(); }},
                {"costUnit",
                 [&](auto &value) {
                     change.costUnit = parseWord<CostUnit>(
                             value,
                             {{"slot-time", CostUnit::SlotTime}, {"tokens", CostUnit::Tokens}},
                             subject + ".costUnit");
                 }},
                {"objective",
                 [&](auto &value) {
                     change.objective = parseObjective(value, subject + ".objective");
                 }},
        };
        parseFields(node, subject, [&](const std::string &name, const YAML::Node &value) {
            const auto reader = readers.find(name);
            if (reader == readers.end())
                return false;
            reader->second(value);
            return true;
        });
        return change;
    }

    static std::vector<ZoneId> parseZoneList(const YAML::Node &node)
    {
        std::vector<ZoneId> zones;
        if (!node.IsSequence())
            throw YAML::BadConversion(node.Mark());
        for (const YAML::Node &zone : node)
            zones.emplace_back(zone.as<std::string>());
        return zones;
    }

    Objective parseObjective(const YAML::Node &node, const std::string &subject)
    {
        Objective objective;
        parseFields(node, subject, [&](const std::string &name, const YAML::Node &value) {
            if (name == "firstByteMilliseconds")
                objective.firstByteMilliseconds = value.as<double>();
            else if (name == "goodFraction")
                objective.goodFraction = value.as<double>();
            else
                return false;
            return true;
        });
        return objective;
    }

    CustomerChange parseCustomerChange(const YAML::Node &node, const std::string &subject)
    {
        CustomerChange change;
        parseFields(node, subject, [&](const std::string &name, const YAML::Node &value) {
            if (name == "share")
                change.share = value.as<double>();
            else if (name == "keyDigests")
                change.keyDigests = value.as<std::vector<std::string>>();
            else
                return false;
            return true;
        });
        return change;
    }

    RouteChange parseRouteChange(const YAML::Node &node, const std::string &subject)
    {
        RouteChange change;
        parseFields(node, subject, [&](const std::string &name, const YAML::Node &value) {
            if (name == "pool")
                change.pool = PoolId(value.as<std::string>());
            else if (name == "repeatable")
                change.repeatability
                        = parseWord<Repeatability>(value,
                                                   {{"by-method", Repeatability::ByMethod},
                                                    {"always", Repeatability::Always},
                                                    {"never", Repeatability::Never}},
                                                   subject + ".repeatable");
            else
                return false;
            return true;
        });
        return change;
    }

    void parseWithdrawn(const YAML::Node &node)
    {
        if (!expectMap(node, "withdrawn"))
            return;
        checkUnique(node, "withdrawn");
        for (const auto &part : node) {
            const std::string kind = part.first.as<std::string>();
            if (!parseWithdrawnKind(kind, part.second))
                addFault(ModelErrc::UnknownField, part.first, "withdrawn." + kind);
        }
    }

    bool parseWithdrawnKind(const std::string &kind, const YAML::Node &names)
    {
        const std::map<std::string, std::function<bool(const std::string &)>> inserters = {
                {"zones", [&](auto &key) { return m_note.withdrawnZones.emplace(key).second; }},
                {"pools", [&](auto &key) { return m_note.withdrawnPools.emplace(key).second; }},
                {"customers",
                 [&](auto &key) { return m_note.withdrawnCustomers.emplace(key).second; }},
                {"routes", [&](auto &key) { return m_note.withdrawnRoutes.insert(key).second; }},
        };
        const auto inserter = inserters.find(kind);
        if (inserter == inserters.end())
            return false;
        if (!names.IsSequence() && !names.IsNull())
            addFault(ModelErrc::MalformedDocument, names,
                     "withdrawn." + kind + " is expected to be a list");
        for (const YAML::Node &node : names)
            parseWithdrawnEntry(singular(kind), node, inserter->second);
        return true;
    }

    void parseWithdrawnEntry(const std::string &kind, const YAML::Node &node,
                             const std::function<bool(const std::string &)> &inserter)
    {
        if (!node.IsScalar()) {
            addFault(ModelErrc::MalformedDocument, node, "withdrawn " + kind);
            return;
        }
        const std::string subject = kind + " " + node.as<std::string>();
        m_note.lines.emplace(subject, node.Mark().line + 1);
        if (!inserter(node.as<std::string>()))
            addFault(ModelErrc::DuplicateEntry, node, subject);
    }

    ReleaseNote m_note;
    std::vector<ReleaseNoteFault> m_faults;
};

} // namespace

ParsedReleaseNote parseReleaseNote(const std::string &text)
{
    return Parser().parse(text);
}

} // namespace bilberry
