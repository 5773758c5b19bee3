#ifndef BILBERRY_CTL_COMMANDS_H
#define BILBERRY_CTL_COMMANDS_H

#include "ctl.h"
#include "fleetclient.h"

#include <string>
#include <vector>

namespace bilberry::ctl {

/// Options that all commands accept.
struct CommandOptions
{
    store::PlatformSettings platform;
    std::vector<store::Vm> daemons; ///< used instead of the platform's list when not empty
    std::vector<std::string> logs;  ///< files with log lines; standard input when empty
    bool json = false;
    Duration timeout = std::chrono::seconds(5); ///< limit for a change to be in force everywhere
};

/// Checks a release note without a connection to the platform or a daemon.
ExitCode validate(const CommandOptions &options, const std::string &file);

/// Prints the changes that a release note would make.
ExitCode plan(const CommandOptions &options, const std::string &file);

/// Applies a release note and waits until it is in force everywhere.
ExitCode apply(const CommandOptions &options, const std::string &file);

/// Takes a zone out of service or returns it to service, and waits until that is in force
/// everywhere.
/// @param inService whether the zone serves requests afterwards
ExitCode setZone(const CommandOptions &options, const std::string &zone, bool inService);

/// Prints the status of every daemon, and the names of those that do not answer.
ExitCode status(const CommandOptions &options);

/// Subject of a list command.
enum class Listing { Zones, Pools, Customers, Routes, Servers };

ExitCode list(const CommandOptions &options, Listing listing);

/// Prints the whole configuration as a release note.
ExitCode show(const CommandOptions &options);

/// Prints the error budget's burn rate per customer and pool, summed over all routers.
ExitCode reportBurn(const CommandOptions &options);

/// Prints what log lines tell of one request, in order of time.
/// @param requestId as the caller sent it
/// @return ExitOk, ExitFailure when no line is about the request, or ExitUsage when a file can't be
///         read
ExitCode explain(const CommandOptions &options, const std::string &requestId);

/// Reads an API key from standard input and prints its digest.
ExitCode keyDigest(const CommandOptions &options);

} // namespace bilberry::ctl

#endif
