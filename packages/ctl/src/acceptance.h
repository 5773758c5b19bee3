#ifndef BILBERRY_CTL_ACCEPTANCE_H
#define BILBERRY_CTL_ACCEPTANCE_H

#include "commands.h"

#include "bilberry/model/releasenote.h"

#include <functional>
#include <optional>

namespace bilberry::ctl {

/// Derives the new parts from the current ones. Returns nothing when that is impossible, after
/// printing the reason.
using DeriveFunction = std::function<std::optional<ConfigurationParts>(const ConfigurationParts &)>;

/// Reaction when another operator's change is accepted first.
enum class OnConflict {
    Stop,  ///< print the other change; the operator decides whether to repeat the command
    Retry, ///< derive again; the change has the same effect on any configuration
};

/// Writes a derived configuration and waits until it is in force on every daemon, at most for
/// `options.timeout`. When the derivation changes nothing, nothing is written and the current
/// revision is waited for.
/// @param derive may be called several times with OnConflict::Retry
ExitCode changeConfiguration(const CommandOptions &options, const DeriveFunction &derive,
                             OnConflict onConflict);

} // namespace bilberry::ctl

#endif
