#include "bilberry/model/configurationcodec.h"

#include "bilberry/base/digest.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>

#include <new>

namespace bilberry {

namespace {

namespace json = boost::json;

constexpr char fleetShard[] = "fleet";

std::string shardName(std::size_t index)
{
    char name[sizeof "customers-00"];
    std::snprintf(name, sizeof name, "customers-%02zu", index % 100);
    return name;
}

/// Hashes with FNV-1a. The hash must never change: stored shards outlive program versions.
/// @return index of the shard that contains the customer
std::size_t customerShardIndex(const CustomerId &id)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char c : id.text())
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    return hash % customerShardCount;
}

const char *toText(CostUnit unit)
{
    return unit == CostUnit::Tokens ? "tokens" : "slot-time";
}

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

CostUnit toCostUnit(const json::value &value)
{
    return value.as_string() == "tokens" ? CostUnit::Tokens : CostUnit::SlotTime;
}

Repeatability toRepeatability(const json::value &value)
{
    if (value.as_string() == "always")
        return Repeatability::Always;
    return value.as_string() == "never" ? Repeatability::Never : Repeatability::ByMethod;
}

/// Writes a number as a string that parses to the same double. Boost.JSON's parser may be off by
/// the last bit, and the decoded configuration would differ from the accepted one.
std::string formatExact(double value)
{
    constexpr std::size_t maxLength = 32;
    std::array<char, maxLength> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

/// @throws std::system_error with MalformedDocument when the string is not a number
double parseExact(const json::value &value)
{
    const json::string &text = value.as_string();
    double number = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        throw std::system_error(make_error_code(ModelErrc::MalformedDocument));
    return number;
}

json::object encode(const BackendPool &pool)
{
    json::array zones;
    for (const ZoneId &zone : pool.zones)
        zones.emplace_back(zone.text());
    return {{"zones", zones},
            {"coldLimit", pool.coldLimit},
            {"fullLimit", pool.fullLimit},
            {"queueLimit", pool.queueLimit},
            {"costUnit", toText(pool.costUnit)},
            {"tokenCost", formatExact(pool.tokenCost)},
            {"firstByteMilliseconds", formatExact(pool.objective.firstByteMilliseconds)},
            {"goodFraction", formatExact(pool.objective.goodFraction)}};
}

BackendPool decodePool(const std::string &id, const json::value &value)
{
    BackendPool pool;
    pool.id = PoolId(id);
    for (const json::value &zone : value.at("zones").as_array())
        pool.zones.emplace_back(json::value_to<std::string>(zone));
    pool.coldLimit = value.at("coldLimit").to_number<std::uint32_t>();
    pool.fullLimit = value.at("fullLimit").to_number<std::uint32_t>();
    pool.queueLimit = value.at("queueLimit").to_number<std::uint32_t>();
    pool.costUnit = toCostUnit(value.at("costUnit"));
    pool.tokenCost = parseExact(value.at("tokenCost"));
    pool.objective.firstByteMilliseconds = parseExact(value.at("firstByteMilliseconds"));
    pool.objective.goodFraction = parseExact(value.at("goodFraction"));
    return pool;
}

json::object encode(const Customer &customer)
{
    json::array digests;
    for (const std::string &digest : customer.keyDigests)
        digests.emplace_back(digest);
    return {{"share", formatExact(customer.share)}, {"keyDigests", digests}};
}

Customer decodeCustomer(const std::string &id, const json::value &value)
{
    Customer customer;
    customer.id = CustomerId(id);
    customer.share = parseExact(value.at("share"));
    for (const json::value &digest : value.at("keyDigests").as_array())
        customer.keyDigests.push_back(json::value_to<std::string>(digest));
    return customer;
}

std::string encodeFleet(const ConfigurationParts &parts)
{
    json::object zones;
    for (const auto &[id, zone] : parts.zones)
        zones[id.text()] = json::object{{"inService", zone.inService}};
    json::object pools;
    for (const auto &[id, pool] : parts.pools)
        pools[id.text()] = encode(pool);
    json::object routes;
    for (const auto &[prefix, route] : parts.routes) {
        routes[prefix] = json::object{{"pool", route.pool.text()},
                                      {"repeatability", toText(route.repeatability)}};
    }
    return json::serialize(json::object{{"zones", zones}, {"pools", pools}, {"routes", routes}});
}

void decodeFleet(const json::value &document, ConfigurationParts &parts)
{
    for (const auto &entry : document.at("zones").as_object()) {
        const ZoneId id{std::string(entry.key())};
        parts.zones[id] = {id, entry.value().at("inService").as_bool()};
    }
    for (const auto &entry : document.at("pools").as_object()) {
        const std::string id(entry.key());
        parts.pools[PoolId(id)] = decodePool(id, entry.value());
    }
    for (const auto &entry : document.at("routes").as_object()) {
        const std::string prefix(entry.key());
        const PoolId pool(json::value_to<std::string>(entry.value().at("pool")));
        parts.routes[prefix] = {prefix, pool, toRepeatability(entry.value().at("repeatability"))};
    }
}

void decodeCustomers(const json::value &document, ConfigurationParts &parts)
{
    for (const auto &entry : document.as_object()) {
        const std::string id(entry.key());
        parts.customers[CustomerId(id)] = decodeCustomer(id, entry.value());
    }
}

/// Runs a decoder and converts its exceptions: Boost.JSON throws when a value is missing or has
/// the wrong type.
/// Limits the memory of one parsed document: small values take several times their text.
class BoundedMemory : public json::memory_resource
{
public:
    explicit BoundedMemory(std::size_t limit) : m_available(limit) {}

private:
    void *do_allocate(std::size_t size, std::size_t alignment) override
    {
        if (size > m_available)
            throw std::bad_alloc();
        m_available -= size;
        return m_upstream->allocate(size, alignment);
    }

    void do_deallocate(void *block, std::size_t size, std::size_t alignment) override
    {
        m_available += size;
        m_upstream->deallocate(block, size, alignment);
    }

    bool do_is_equal(const json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    std::size_t m_available;
    json::storage_ptr m_upstream; ///< the default one
};

/// Parses a document of a sender that may not be trusted; throws when its values take too much
/// memory. Documents of a fleet take up to four times their text.
json::value parseBounded(std::string_view text)
{
    constexpr std::size_t bytesPerCharacter = 8;
    constexpr std::size_t minBytes = 64U << 10U;
    return json::parse(
            json::string_view(text.data(), text.size()),
            json::make_shared_resource<BoundedMemory>(minBytes + bytesPerCharacter * text.size()));
}

/// @return the decoded value, or MalformedDocument
template <typename F>
auto catchMalformed(F &&decode) -> Result<decltype(decode())>
{
    try {
        return decode();
    } catch (const boost::system::system_error &) {
        return ModelErrc::MalformedDocument;
    } catch (const std::exception &) {
        return ModelErrc::MalformedDocument;
    }
}

} // namespace

Shards encodeShards(const ConfigurationParts &parts)
{
    std::vector<json::object> customers(customerShardCount);
    for (const auto &[id, customer] : parts.customers)
        customers[customerShardIndex(id)][id.text()] = encode(customer);
    Shards shards;
    shards[fleetShard] = encodeFleet(parts);
    for (std::size_t i = 0; i < customerShardCount; ++i)
        shards[shardName(i)] = json::serialize(customers[i]);
    return shards;
}

Result<ConfigurationParts> decodeShards(const Shards &shards)
{
    return catchMalformed([&] {
        ConfigurationParts parts;
        decodeFleet(parseBounded(shards.at(fleetShard)), parts);
        for (std::size_t i = 0; i < customerShardCount; ++i)
            decodeCustomers(parseBounded(shards.at(shardName(i))), parts);
        return parts;
    });
}

ConfigurationHead makeHead(Revision revision, const std::string &requestToken, const Shards &shards)
{
    ConfigurationHead head{revision, requestToken, {}};
    for (const auto &[name, text] : shards)
        head.digests[name] = sha256Hex(text);
    return head;
}

std::string encodeHead(const ConfigurationHead &head)
{
    json::object digests;
    for (const auto &[name, digest] : head.digests)
        digests[name] = digest;
    return json::serialize(json::object{{"revision", head.revision},
                                        {"requestToken", head.requestToken},
                                        {"digests", digests}});
}

Result<ConfigurationHead> decodeHead(std::string_view text)
{
    return catchMalformed([&] {
        const json::value document = parseBounded(text);
        ConfigurationHead head;
        head.revision = document.at("revision").to_number<Revision>();
        head.requestToken = json::value_to<std::string>(document.at("requestToken"));
        for (const auto &entry : document.at("digests").as_object())
            head.digests[std::string(entry.key())] = json::value_to<std::string>(entry.value());
        return head;
    });
}

std::string encodeConfiguration(const Configuration &configuration)
{
    json::object shards;
    for (const auto &[name, text] : encodeShards(configuration.parts()))
        shards[name] = text;
    return json::serialize(
            json::object{{"revision", configuration.revision()}, {"shards", shards}});
}

Result<Configuration> decodeConfiguration(std::string_view text)
{
    struct Document
    {
        Revision revision = 0;
        Shards shards;
    };
    const Result<Document> document = catchMalformed([&] {
        const json::value value = parseBounded(text);
        Document result;
        result.revision = value.at("revision").to_number<Revision>();
        for (const auto &entry : value.at("shards").as_object())
            result.shards[std::string(entry.key())] = json::value_to<std::string>(entry.value());
        return result;
    });
    return document.andThen([](const Document &decoded) {
        return decodeShards(decoded.shards).andThen([&](const ConfigurationParts &parts) {
            return Configuration::create(decoded.revision, parts);
        });
    });
}

} // namespace bilberry
