#ifndef BILBERRY_CTL_COMMANDS_H
#define BILBERRY_CTL_COMMANDS_H

#include "ctl.h"
#include "fleetclient.h"

#include <string>
#include <vector>

namespace bilberry::ctl {

/// What all commands share.
struct CommandOptions
{
    store::PlatformSettings platform;
    std::vector<store::Vm> daemons; ///< asked instead of the platform's list when not empty
    bool json = false;
    Duration timeout = std::chrono::seconds(5); ///< for a change to be in force everywhere
};

/// Checks a release note without calling anything.
ExitCode validate(const CommandOptions &options, const std::string &file);

/// Shows what a release note would change.
ExitCode plan(const CommandOptions &options, const std::string &file);

/// Applies a release note and waits until it is in force everywhere.
ExitCode apply(const CommandOptions &options, const std::string &file);

/// Takes a zone out of service or brings it back, and waits until that is in force everywhere.
ExitCode setZone(const CommandOptions &options, const std::string &zone, bool inService);

/// Shows every daemon, and names those that do not answer.
ExitCode status(const CommandOptions &options);

/// Kinds of entries that can be listed.
enum class Listing { Zones, Pools, Customers, Routes, Servers };

ExitCode list(const CommandOptions &options, Listing listing);

/// Prints the whole configuration as a release note.
ExitCode show(const CommandOptions &options);

/// Prints the service-level burn per customer and pool, summed over all routers.
ExitCode reportBurn(const CommandOptions &options);

/// Reads an API key from standard input and prints its digest.
ExitCode keyDigest(const CommandOptions &options);

} // namespace bilberry::ctl

#endif
