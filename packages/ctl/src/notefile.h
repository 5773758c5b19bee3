#ifndef BILBERRY_CTL_NOTEFILE_H
#define BILBERRY_CTL_NOTEFILE_H

#include "bilberry/model/releasenote.h"

#include <optional>
#include <string>

namespace bilberry::ctl {

/// Reads a release note and prints its faults.
/// @param json print the faults as JSON
/// @param file path
/// @return the note, or nothing when the file can't be read or has faults
std::optional<ReleaseNote> readNote(bool json, const std::string &file);

/// Applies a release note to a configuration and prints the faults of the result, with the line
/// that each one comes from.
/// @return the new parts, or nothing when they have faults
std::optional<ConfigurationParts> applyOrPrintFaults(bool json, const std::string &file,
                                                     const ReleaseNote &note,
                                                     const ConfigurationParts &base);

} // namespace bilberry::ctl

#endif
