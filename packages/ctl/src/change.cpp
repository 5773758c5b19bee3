#include "acceptance.h"
#include "notefile.h"
#include "output.h"

#include <iostream>

namespace bilberry::ctl {

ExitCode validate(const CommandOptions &options, const std::string &file)
{
    if (!readNote(options.json, file))
        return ExitUsage;
    if (options.json)
        print(boost::json::object{{"faults", boost::json::array()}});
    return ExitOk;
}

ExitCode plan(const CommandOptions &options, const std::string &file)
{
    const auto note = readNote(options.json, file);
    if (!note)
        return ExitUsage;
    FleetClient client(options.platform);
    const auto base = client.load();
    if (!base) {
        printError("the configuration", base.error());
        return ExitFailure;
    }
    const ConfigurationParts &before = base.value().configuration->parts();
    const auto after = applyOrPrintFaults(options.json, file, *note, before);
    if (!after)
        return ExitUsage;
    const auto changes = difference(before, *after);
    if (options.json)
        print(boost::json::object{{"revision", base.value().configuration->revision()},
                                  {"changes", toJson(changes)}});
    else
        print(changes);
    return ExitOk;
}

ExitCode apply(const CommandOptions &options, const std::string &file)
{
    const auto note = readNote(options.json, file);
    if (!note)
        return ExitUsage;
    const auto derive = [&](const ConfigurationParts &parts) {
        return applyOrPrintFaults(options.json, file, *note, parts);
    };
    return changeConfiguration(options, derive, OnConflict::Stop);
}

ExitCode setZone(const CommandOptions &options, const std::string &zone, bool inService)
{
    const auto derive = [&](const ConfigurationParts &parts) -> std::optional<ConfigurationParts> {
        ConfigurationParts changed = parts;
        const auto found = changed.zones.find(ZoneId(zone));
        if (found == changed.zones.end()) {
            printError("zone " + zone, make_error_code(ModelErrc::UnknownZone));
            return std::nullopt;
        }
        found->second.inService = inService;
        return changed;
    };
    return changeConfiguration(options, derive, OnConflict::Retry);
}

} // namespace bilberry::ctl
