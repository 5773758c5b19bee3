#ifndef BILBERRY_CTL_COMMANDS_H
#define BILBERRY_CTL_COMMANDS_H

#include "ctl.h"
#include "fleetclient.h"

#include "bilberry/model/releasenote.h"

#include <optional>

namespace bilberry::ctl {

/// What all commands share.
struct CommandOptions
{
    platform::PlatformSettings platform;
    bool json = false;
    Duration timeout = std::chrono::seconds(5); ///< for a change to be in force everywhere
};

/// Checks a release note without calling anything.
ExitCode validate(const CommandOptions &options, const std::string &file);

/// Shows what a release note would change.
ExitCode plan(const CommandOptions &options, const std::string &file);

/// Applies a release note and waits until it is in force everywhere.
ExitCode apply(const CommandOptions &options, const std::string &file);

} // namespace bilberry::ctl

#endif
