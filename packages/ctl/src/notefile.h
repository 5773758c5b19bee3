#ifndef BILBERRY_CTL_NOTEFILE_H
#define BILBERRY_CTL_NOTEFILE_H

#include "bilberry/model/releasenote.h"

#include <optional>
#include <string>

namespace bilberry::ctl {

/// Reads a release note and prints its faults.
/// @param json print the faults as JSON
/// @param file path
/// @return the note, or nothing when it has faults
std::optional<ReleaseNote> readNote(bool json, const std::string &file);

/// Applies a note and prints the rules that it breaks, with the line of the entry.
/// @return the parts, or nothing when rules are broken
std::optional<ConfigurationParts> applyOrPrint(bool json, const std::string &file,
                                               const ReleaseNote &note,
                                               const ConfigurationParts &base);

} // namespace bilberry::ctl

#endif
