#include "bilberry/model/releasenote.h"

#include <yaml-cpp/yaml.h>

#include <limits>

namespace bilberry {

namespace {

const char *toText(Repeatability repeatability)
{
    switch (repeatability) {
    case Repeatability::Always:
        return "always";
    case Repeatability::Never:
        return "never";
    case Repeatability::ByMethod:
        break;
    }
    return "by-method";
}

template <typename T>
void writeField(YAML::Emitter &out, const char *name, const T &value)
{
    out << YAML::Key << name << YAML::Value << value;
}

void write(YAML::Emitter &out, const AvailabilityZone &zone)
{
    writeField(out, "inService", zone.inService);
}

void write(YAML::Emitter &out, const BackendPool &pool)
{
    out << YAML::Key << "zones" << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const ZoneId &zone : pool.zones)
        out << zone.text();
    out << YAML::EndSeq;
    writeField(out, "coldLimit", pool.coldLimit);
    writeField(out, "fullLimit", pool.fullLimit);
    writeField(out, "queueLimit", pool.queueLimit);
    writeField(out, "costUnit", pool.costUnit == CostUnit::Tokens ? "tokens" : "slot-time");
    writeField(out, "tokenCost", pool.tokenCost);
    out << YAML::Key << "objective" << YAML::Value << YAML::BeginMap;
    writeField(out, "firstByteMilliseconds", pool.objective.firstByteMilliseconds);
    writeField(out, "goodFraction", pool.objective.goodFraction);
    out << YAML::EndMap;
}

void write(YAML::Emitter &out, const Customer &customer)
{
    writeField(out, "share", customer.share);
    out << YAML::Key << "keyDigests" << YAML::Value << YAML::BeginSeq;
    for (const std::string &digest : customer.keyDigests)
        out << YAML::DoubleQuoted << digest;
    out << YAML::EndSeq;
}

void write(YAML::Emitter &out, const Route &route)
{
    writeField(out, "pool", route.pool.text());
    writeField(out, "repeatable", toText(route.repeatability));
}

const std::string &keyText(const std::string &prefix)
{
    return prefix;
}

template <typename Tag>
const std::string &keyText(const Name<Tag> &name)
{
    return name.text();
}

template <typename Key, typename Entry>
void writeSection(YAML::Emitter &out, const char *name, const std::map<Key, Entry> &entries)
{
    if (entries.empty())
        return;
    out << YAML::Key << name << YAML::Value << YAML::BeginMap;
    for (const auto &[key, entry] : entries) {
        out << YAML::Key << keyText(key) << YAML::Value << YAML::BeginMap;
        write(out, entry);
        out << YAML::EndMap;
    }
    out << YAML::EndMap;
}

} // namespace

std::string writeReleaseNote(const ConfigurationParts &parts)
{
    YAML::Emitter out;
    out.SetDoublePrecision(std::numeric_limits<double>::max_digits10);
    out << YAML::BeginMap << YAML::Key << "added" << YAML::Value << YAML::BeginMap;
    writeSection(out, "zones", parts.zones);
    writeSection(out, "pools", parts.pools);
    writeSection(out, "customers", parts.customers);
    writeSection(out, "routes", parts.routes);
    out << YAML::EndMap << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace bilberry
