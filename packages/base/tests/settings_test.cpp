#include "bilberry/base/settings.h"

#include <catch2/catch.hpp>

using namespace bilberry;

namespace {

/// Reads a typical set of keys.
/// @return all faults of the text
std::vector<SettingsFault> faultsOf(const std::string &text)
{
    SettingsReader reader(text, "t.yaml");
    reader.identifier("name");
    reader.address("listen.address");
    reader.port("listen.port");
    reader.choice("role", {"router", "agent"});
    reader.choice("log.level", {"info", "error"}, "info");
    reader.number("weights.big", 0.5, 10, 1);
    reader.integer("weights.small", 1, 5, 2);
    reader.boolean("fast", false);
    reader.list("peers");
    return reader.finish();
}

const std::string validText = "name: n\nrole: agent\nlisten: { address: 127.0.0.1, port: 80 }\n";

struct FaultCase
{
    const char *title;
    std::string text;
    SettingsErrc error;
    int line;
    const char *key;
};

const std::vector<FaultCase> faultCases = {
        {"malformed YAML", "name: [", SettingsErrc::Malformed, 1, ""},
        {"a list instead of a map", "- a", SettingsErrc::WrongType, 1, ""},
        {"unknown key", validText + "nam: x", SettingsErrc::UnknownKey, 4, "nam"},
        {"unknown nested key", validText + "log:\n  lever: info", SettingsErrc::UnknownKey, 5,
         "log.lever"},
        {"duplicate key", validText + "name: m", SettingsErrc::DuplicateKey, 4, "name"},
        {"duplicate nested key", validText + "log:\n  level: info\n  level: info",
         SettingsErrc::DuplicateKey, 6, "log.level"},
        {"a section that contains itself by an alias",
         validText + "log: &x { level: info, log: *x }", SettingsErrc::UnknownKey, 4, "log.log"},
        {"unknown value", validText + "log: { level: loud }", SettingsErrc::UnknownValue, 4,
         "log.level"},
        {"number instead of a list", validText + "peers: 5", SettingsErrc::WrongType, 4, "peers"},
        {"map in a list", validText + "peers:\n- {}", SettingsErrc::WrongType, 5, "peers"},
        {"string instead of a number", validText + "weights: { big: x }", SettingsErrc::WrongType,
         4, "weights.big"},
        {"string instead of a section", validText + "weights: x", SettingsErrc::UnknownKey, 4,
         "weights"},
        {"fraction instead of an integer", validText + "weights: { small: 1.5 }",
         SettingsErrc::WrongType, 4, "weights.small"},
        {"below the range", validText + "weights: { big: 0.4 }", SettingsErrc::OutOfRange, 4,
         "weights.big"},
        {"above the range", validText + "weights: { small: 6 }", SettingsErrc::OutOfRange, 4,
         "weights.small"},
        {"not a number", validText + "weights: { big: .nan }", SettingsErrc::OutOfRange, 4,
         "weights.big"},
        {"string instead of a boolean", validText + "fast: maybe", SettingsErrc::WrongType, 4,
         "fast"},
        {"host name instead of an IP address",
         "name: n\nrole: agent\nlisten: { address: localhost, port: 80 }",
         SettingsErrc::NotAnAddress, 3, "listen.address"},
        {"port 0", "name: n\nrole: agent\nlisten: { address: ::1, port: 0 }",
         SettingsErrc::OutOfRange, 3, "listen.port"},
        {"port too high", "name: n\nrole: agent\nlisten: { address: ::1, port: 65536 }",
         SettingsErrc::OutOfRange, 3, "listen.port"},
        {"missing key in a section", "name: n\nrole: agent\nlisten: { address: ::1 }",
         SettingsErrc::MissingKey, 3, "listen.port"},
        {"missing key", "role: agent\nlisten: { address: ::1, port: 80 }", SettingsErrc::MissingKey,
         1, "name"},
        {"missing role", "name: n\nlisten: { address: ::1, port: 80 }", SettingsErrc::MissingKey, 1,
         "role"},
        {"capital letters in an identifier",
         "name: N\nrole: agent\nlisten: { address: ::1, port: 80 }", SettingsErrc::NotAnIdentifier,
         1, "name"},
};

} // namespace

SCENARIO("all errors in a settings file are reported")
{
    GIVEN("a valid file")
    {
        THEN("there is no fault")
        {
            CHECK(faultsOf(validText).empty());
        }
    }
    for (const FaultCase &testCase : faultCases) {
        GIVEN(std::string("a file with this error: ") + testCase.title)
        {
            const auto faults = faultsOf(testCase.text);
            THEN("only this error is reported, with file, line and key")
            {
                REQUIRE(faults.size() == 1);
                CHECK(faults[0].error == testCase.error);
                CHECK(faults[0].file == "t.yaml");
                CHECK(faults[0].line == testCase.line);
                CHECK(faults[0].key == testCase.key);
            }
        }
    }
    GIVEN("a file with several errors")
    {
        const auto faults = faultsOf("nam: x\nweights: { big: 99 }\nlisten: { port: x }\n");
        THEN("all are reported")
        {
            // name, role and listen.address are missing; three keys are unknown or invalid.
            CHECK(faults.size() == 6);
        }
        THEN("each is one line of text")
        {
            CHECK(faults.back().text() == "t.yaml:1: nam: unknown key");
        }
    }
    for (const char *path : {"/nonexistent/settings.yaml", "/"}) {
        GIVEN(std::string("a file that can't be read: ") + path)
        {
            SettingsReader reader{std::string(path)};
            reader.text("name");
            THEN("it is the only fault")
            {
                const auto faults = reader.finish();
                REQUIRE(faults.size() == 1);
                CHECK(faults[0].error == SettingsErrc::Unreadable);
            }
        }
    }
}

SCENARIO("a reader lists the keys that it read")
{
    SettingsReader reader("{}", "t.yaml");
    reader.port("port");
    reader.number("ratio", 0.5, 1e9, 2);
    reader.choice("mode", {"a", "b"}, "a");
    CHECK(reader.keys()
          == std::vector<SettingsKey>{{"mode", "a, b", "a"},
                                      {"port", "1 to 65535", "required"},
                                      {"ratio", "0.5 to 1000000000", "2"}});
}
