#include "daemonsettings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace bilberry;

namespace {

/// @return keys that the settings of a role consist of
std::vector<SettingsKey> keysOf(const std::string &role)
{
    SettingsReader reader("role: " + role + "\n", "settings.yaml");
    daemon::readSettings(reader);
    return reader.keys();
}

/// Removes blanks and backquotes at both ends.
std::string trimmed(std::string text)
{
    text.erase(0, text.find_first_not_of(" `"));
    text.erase(text.find_last_not_of(" `") + 1);
    return text;
}

/// Reads the columns key, range and default of the table below a heading.
std::vector<SettingsKey> tableBelow(const std::string &heading)
{
    std::ifstream page(BILBERRY_DOCS "/operators/settings.md");
    std::vector<SettingsKey> keys;
    bool inSection = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## "))
            inSection = line == "## " + heading;
        if (!inSection || !line.starts_with("| `"))
            continue;
        std::istringstream cells(line.substr(1));
        SettingsKey key;
        std::getline(cells, key.key, '|');
        std::getline(cells, key.range, '|');
        std::getline(cells, key.fallback, '|');
        keys.push_back({trimmed(key.key), trimmed(key.range), trimmed(key.fallback)});
    }
    return keys;
}

std::string toText(const std::vector<SettingsKey> &keys)
{
    std::string lines;
    for (const SettingsKey &key : keys)
        lines += "| `" + key.key + "` | " + key.range + " | " + key.fallback + " |\n";
    return lines;
}

} // namespace

SCENARIO("the settings page lists every key with its range and default")
{
    for (const auto &[role, heading] :
         {std::pair{"router", "Keys of a router"}, std::pair{"agent", "Keys of an agent"},
          std::pair{"direct-router", "Keys of a direct router"}}) {
        INFO(role);
        CHECK(toText(tableBelow(heading)) == toText(keysOf(role)));
    }
}
