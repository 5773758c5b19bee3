#include "generators.h"

#include "bilberry/model/configurationcodec.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;

TEST_CASE("a configuration is unchanged after encoding and decoding")
{
    REQUIRE(rc::check([] {
        const auto parts = *anyParts();
        const auto revision = *rc::gen::arbitrary<Revision>();
        const auto shards = encodeShards(parts);
        RC_ASSERT(decodeShards(shards) == Result<ConfigurationParts>(parts));
        const auto head = makeHead(revision, "token", shards);
        RC_ASSERT(decodeHead(encodeHead(head)) == Result<ConfigurationHead>(head));
        const auto configuration = Configuration::create(revision, parts);
        RC_ASSERT(configuration.ok());
        RC_ASSERT(decodeConfiguration(encodeConfiguration(configuration.value())) == configuration);
    }));
}

TEST_CASE("a change of one customer changes one shard")
{
    REQUIRE(rc::check([] {
        auto parts = *anyParts();
        RC_PRE(!parts.customers.empty());
        const auto before = encodeShards(parts);
        parts.customers.begin()->second.share += 1;
        const auto after = encodeShards(parts);
        int changed = 0;
        for (const auto &[name, text] : before)
            changed += after.at(name) == text ? 0 : 1;
        RC_ASSERT(changed == 1);
    }));
}

SCENARIO("malformed documents are rejected as such")
{
    for (const char *text :
         {"", "{", "[]", "{}", R"({"revision":-1,"shards":{}})", R"({"revision":1,"shards":[]})",
          R"({"revision":1,"shards":{}})", R"({"revision":1,"shards":{"fleet":"{}"}})",
          R"({"revision":"1","requestToken":"t","digests":{}})"}) {
        INFO(text);
        CHECK(decodeConfiguration(text).error() == ModelErrc::MalformedDocument);
        CHECK(decodeHead(text).error() == ModelErrc::MalformedDocument);
    }
}

SCENARIO("a document of many small values takes no more memory than documents of a fleet")
{
    constexpr std::size_t values = 1'000'000;
    std::string document = "[0";
    for (std::size_t i = 1; i < values; ++i)
        document += ",0";
    document += "]";
    CHECK(decodeConfiguration(document).error() == ModelErrc::MalformedDocument);
    CHECK(decodeConfiguration(R"({"revision":1,"shards":{"x":)" + document + "}}").error()
          == ModelErrc::MalformedDocument);
}

SCENARIO("a configuration finds the route and customer of a request")
{
    ConfigurationParts parts;
    parts.zones[ZoneId("a")] = {ZoneId("a"), true};
    parts.zones[ZoneId("b")] = {ZoneId("b"), false};
    for (const char *id : {"models", "orders"}) {
        parts.pools[PoolId(id)].id = PoolId(id);
        parts.pools[PoolId(id)].zones = {ZoneId("a")};
    }
    parts.routes["/v1"] = {"/v1", PoolId("models"), Repeatability::ByMethod};
    parts.routes["/v1/orders"] = {"/v1/orders", PoolId("orders"), Repeatability::Never};
    const std::string digest = sha256Hex("key");
    parts.customers[CustomerId("c")] = {CustomerId("c"), 1.0, {digest}};
    const auto configuration = Configuration::create(1, parts).value();

    THEN("the longest matching prefix wins")
    {
        CHECK(configuration.routeFor("/v1/chat")->pool == PoolId("models"));
        CHECK(configuration.routeFor("/v1/orders/7")->pool == PoolId("orders"));
        CHECK(configuration.routeFor("/v2") == nullptr);
    }
    THEN("a prefix matches whole path segments only")
    {
        CHECK(configuration.routeFor("/v1/orders?pallet=2")->pool == PoolId("orders"));
        CHECK(configuration.routeFor("/v1/ordersheet")->pool == PoolId("models"));
        CHECK(configuration.routeFor("/v10") == nullptr);
    }
    THEN("a customer is found by the digest of its key, not by the key")
    {
        CHECK(configuration.customerByKeyDigest(digest)->id == CustomerId("c"));
        CHECK(configuration.customerByKeyDigest("key") == nullptr);
        CHECK(configuration.customerByKeyDigest("") == nullptr);
    }
    THEN("an unknown zone counts as out of service")
    {
        CHECK_FALSE(configuration.isZoneOutOfService(ZoneId("a")));
        CHECK(configuration.isZoneOutOfService(ZoneId("b")));
        CHECK(configuration.isZoneOutOfService(ZoneId("c")));
    }
    THEN("repeatability follows the route and, by default, the HTTP method")
    {
        CHECK(mayRepeat(parts.routes["/v1"], "GET"));
        CHECK(mayRepeat(parts.routes["/v1"], "PUT"));
        CHECK_FALSE(mayRepeat(parts.routes["/v1"], "POST"));
        CHECK_FALSE(mayRepeat(parts.routes["/v1"], "PATCH"));
        CHECK_FALSE(mayRepeat(parts.routes["/v1/orders"], "GET"));
    }
}
