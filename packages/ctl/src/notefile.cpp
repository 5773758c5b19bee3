#include "notefile.h"

#include "output.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace bilberry::ctl {

std::optional<ReleaseNote> readNote(bool json, const std::string &file)
{
    std::ifstream in(file);
    // Opening a directory succeeds; only reading from it fails.
    in.peek();
    if (!in.is_open() || in.bad()) {
        printError(file, std::make_error_code(std::errc::io_error));
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    const ParsedReleaseNote parsed = parseReleaseNote(text.str());
    if (const auto *faults = std::get_if<std::vector<ReleaseNoteFault>>(&parsed)) {
        printFaults(json, file, *faults);
        return std::nullopt;
    }
    return std::get<ReleaseNote>(parsed);
}

std::optional<ConfigurationParts> applyOrPrintFaults(bool json, const std::string &file,
                                                     const ReleaseNote &note,
                                                     const ConfigurationParts &base)
{
    const AppliedNote applied = applyNote(note, base);
    if (const auto *parts = std::get_if<ConfigurationParts>(&applied))
        return *parts;
    std::vector<ReleaseNoteFault> faults;
    for (const ModelFault &fault : std::get<ModelFaults>(applied)) {
        const auto line = note.lines.find(fault.subject);
        faults.push_back({fault.error, line == note.lines.end() ? 0 : line->second, fault.subject});
    }
    printFaults(json, file, faults);
    return std::nullopt;
}

} // namespace bilberry::ctl
