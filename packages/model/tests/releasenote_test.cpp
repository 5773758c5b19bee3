#include "generators.h"

#include "bilberry/base/digest.h"
#include "bilberry/model/releasenote.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

struct ParseCase
{
    const char *title;
    const char *text;
    ModelErrc error;
    int line;
    const char *subject;
};

const std::vector<ParseCase> parseCases = {
        {"an unknown section", "add: {}", ModelErrc::UnknownField, 1, "add"},
        {"an unknown kind", "added:\n  zone: {}", ModelErrc::UnknownField, 2, "added.zone"},
        {"an unknown kind withdrawn", "withdrawn:\n  zone: [a]", ModelErrc::UnknownField, 2,
         "withdrawn.zone"},
        {"an unknown field", "added:\n  zones:\n    a: { inservice: true }",
         ModelErrc::UnknownField, 3, "zone a.inservice"},
        {"a wrong type", "changed:\n  zones:\n    a: { inService: 7 }",
         ModelErrc::MalformedDocument, 3, "zone a.inService"},
        {"a zone list that is a string", "added:\n  pools:\n    p: { zones: a }",
         ModelErrc::MalformedDocument, 3, "pool p.zones"},
        {"a negative limit", "added:\n  pools:\n    p: { fullLimit: -1 }",
         ModelErrc::MalformedDocument, 3, "pool p.fullLimit"},
        {"a limit of 0", "added:\n  pools:\n    p: { coldLimit: 0 }", ModelErrc::InvalidLimit, 3,
         "pool p"},
        {"a cold limit above the full limit",
         "added:\n  pools:\n    p: { coldLimit: 9, fullLimit: 8 }", ModelErrc::InvalidLimit, 3,
         "pool p"},
        {"a token cost of 0", "added:\n  pools:\n    p: { tokenCost: 0 }",
         ModelErrc::InvalidTokenCost, 3, "pool p"},
        {"an objective of 100%", "added:\n  pools:\n    p: { objective: { goodFraction: 1 } }",
         ModelErrc::InvalidObjective, 3, "pool p"},
        {"an unknown cost unit", "changed:\n  pools:\n    p: { costUnit: euros }",
         ModelErrc::MalformedDocument, 3, "pool p.costUnit"},
        {"a share of 0", "added:\n  customers:\n    c: { share: 0 }", ModelErrc::InvalidShare, 3,
         "customer c"},
        {"a share that is not a number", "changed:\n  customers:\n    c: { share: .nan }",
         ModelErrc::InvalidShare, 3, "customer c"},
        {"a share above the maximum", "changed:\n  customers:\n    c: { share: 1000001 }",
         ModelErrc::InvalidShare, 3, "customer c"},
        {"an API key instead of its digest",
         "added:\n  customers:\n    c: { keyDigests: [secret] }", ModelErrc::InvalidKeyDigest, 3,
         "customer c"},
        {"an invalid identifier", "added:\n  zones:\n    Zone A: {}", ModelErrc::InvalidIdentifier,
         3, "zone Zone A"},
        {"a route without a slash", "added:\n  routes:\n    v1: { pool: p }",
         ModelErrc::InvalidPrefix, 3, "route v1"},
        {"a route without a pool", "added:\n  routes:\n    /v1: {}", ModelErrc::UnknownPool, 3,
         "route /v1"},
        {"an unknown repeatability", "added:\n  routes:\n    /v1: { pool: p, repeatable: maybe }",
         ModelErrc::MalformedDocument, 3, "route /v1.repeatable"},
        {"a customer listed twice", "added:\n  customers:\n    c: {}\n    c: {}",
         ModelErrc::DuplicateEntry, 4, "added.customers.c"},
        {"a section listed twice", "added: {}\nadded: {}", ModelErrc::DuplicateEntry, 2,
         "release note.added"},
        {"a withdrawal listed twice", "withdrawn:\n  zones:\n  - a\n  - a",
         ModelErrc::DuplicateEntry, 4, "zone a"},
        {"a withdrawal that is a string", "withdrawn:\n  zones: a", ModelErrc::MalformedDocument, 2,
         "withdrawn.zones is expected to be a list"},
        {"a list instead of a map", "added:\n- zones", ModelErrc::MalformedDocument, 2,
         "added is expected to be a map"},
};

struct ApplyCase
{
    const char *title;
    const char *text;
    ModelFault fault;
};

const std::vector<ApplyCase> applyCases = {
        {"withdraws a pool that a route references",
         "withdrawn: { pools: [p] }",
         {ModelErrc::StillReferenced, "pool p"}},
        {"withdraws a zone that a pool references",
         "withdrawn: { zones: [a] }",
         {ModelErrc::StillReferenced, "zone a"}},
        {"adds an entry that exists",
         "added: { customers: { c: {} } }",
         {ModelErrc::DuplicateEntry, "customer c"}},
        {"withdraws an entry that does not exist",
         "withdrawn: { routes: [/v2] }",
         {ModelErrc::UnknownEntry, "route /v2"}},
        {"changes an entry that does not exist",
         "changed: { zones: { b: { inService: false } } }",
         {ModelErrc::UnknownEntry, "zone b"}},
        {"puts a pool into an unknown zone",
         "changed: { pools: { p: { zones: [b] } } }",
         {ModelErrc::UnknownZone, "pool p"}},
        {"directs a route to an unknown pool",
         "changed: { routes: { /v1: { pool: q } } }",
         {ModelErrc::UnknownPool, "route /v1"}},
        {"sets a cold limit above the present full limit",
         "changed: { pools: { p: { coldLimit: 9 } } }",
         {ModelErrc::InvalidLimit, "pool p"}},
        {"adds a customer with the key of another one",
         "added: { customers: { d: { keyDigests: ["
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa] } } }",
         {ModelErrc::DuplicateEntry, "API key of customer d"}},
};

ConfigurationParts applied(const std::string &text, const ConfigurationParts &parts)
{
    return std::get<ConfigurationParts>(
            applyNote(std::get<ReleaseNote>(parseReleaseNote(text)), parts));
}

const ConfigurationParts present
        = applied("added: { zones: { a: {} }, pools: { p: { zones: [a] } }, routes: { /v1: { pool: "
                  "p } }, customers: { c: { keyDigests: ["
                          + std::string(64, 'a') + "] } } }",
                  {});

} // namespace

SCENARIO("all errors in a release note's text are reported")
{
    for (const ParseCase &testCase : parseCases) {
        GIVEN(std::string("a note with ") + testCase.title)
        {
            const ParsedReleaseNote parsed = parseReleaseNote(testCase.text);
            THEN("the error is reported with line and subject")
            {
                REQUIRE(std::holds_alternative<std::vector<ReleaseNoteFault>>(parsed));
                const auto faults = std::get<std::vector<ReleaseNoteFault>>(parsed);
                CHECK(faults
                      == std::vector<ReleaseNoteFault>{
                              {testCase.error, testCase.line, testCase.subject}});
            }
        }
    }
    GIVEN("malformed YAML")
    {
        const auto faults = std::get<1>(parseReleaseNote("added:\n  zones: ["));
        THEN("the error has a line")
        {
            CHECK((faults.size() == 1 && faults[0].line > 0));
        }
    }
    GIVEN("a note with several errors")
    {
        const auto faults = std::get<1>(
                parseReleaseNote("add: 1\nadded: { zones: { A: {} }, pools: { p: { x: 1 } } }"));
        THEN("all are reported")
        {
            CHECK(faults.size() == 3);
        }
    }
}

SCENARIO("a release note is checked against the present configuration")
{
    for (const ApplyCase &testCase : applyCases) {
        GIVEN(std::string("a note that ") + testCase.title)
        {
            const auto note = std::get<ReleaseNote>(parseReleaseNote(testCase.text));
            const AppliedNote result = applyNote(note, present);
            THEN("the violation and its subject are reported")
            {
                REQUIRE(std::holds_alternative<ModelFaults>(result));
                const auto &faults = std::get<ModelFaults>(result);
                CHECK(std::find(faults.begin(), faults.end(), testCase.fault) != faults.end());
            }
        }
    }
    GIVEN("a note that withdraws a pool with its route")
    {
        const auto parts = applied("withdrawn: { pools: [p], routes: [/v1] }", present);
        THEN("it is accepted")
        {
            CHECK(parts.pools.empty());
        }
    }
    GIVEN("a note")
    {
        const auto note = std::get<ReleaseNote>(
                parseReleaseNote("changed:\n  zones:\n    a: {}\nwithdrawn:\n  pools: [p]"));
        THEN("it stores the line of each entry")
        {
            CHECK(note.lines == std::map<std::string, int>{{"pool p", 5}, {"zone a", 3}});
        }
    }
}

TEST_CASE("the parser reports faults and never throws, whatever the text")
{
    const std::vector<std::string> pieces
            = {"added", "zones", "customers", "pools", "routes", "withdrawn", ": ", "{",        "}",
               "[",     "]",     "\n",        "  ",    "- ",     "&x ",       "*x", "? ",       ",",
               "share", "a",     "1e999",     "~",     "\"",     "|",         "#",  "!!binary "};
    REQUIRE(rc::check([&] {
        std::string text;
        const auto drawn
                = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces));
        for (const std::string &piece : drawn)
            text += piece;
        parseReleaseNote(text);
    }));
}

TEST_CASE("a configuration written as a release note is read back unchanged")
{
    REQUIRE(rc::check([] {
        const auto parts = *anyParts();
        RC_ASSERT(applied(writeReleaseNote(parts), {}) == parts);
    }));
}

TEST_CASE("the note between two configurations turns the first into the second")
{
    REQUIRE(rc::check([] {
        const auto before = *anyParts();
        const auto after = *anyParts();
        const AppliedNote result = applyNote(noteBetween(before, after), before);
        RC_ASSERT(std::holds_alternative<ConfigurationParts>(result));
        RC_ASSERT(std::get<ConfigurationParts>(result) == after);
        RC_ASSERT(difference(before, after).empty() == (before == after));
    }));
}
