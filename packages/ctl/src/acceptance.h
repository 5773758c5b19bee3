#ifndef BILBERRY_CTL_ACCEPTANCE_H
#define BILBERRY_CTL_ACCEPTANCE_H

#include "commands.h"

#include "bilberry/model/releasenote.h"

#include <functional>
#include <optional>

namespace bilberry::ctl {

/// Derives the wanted parts from the present ones; nothing when that is impossible, which the
/// hook itself reports.
using Derive = std::function<std::optional<ConfigurationParts>(const ConfigurationParts &)>;

/// What to do when another operator's change is accepted first.
enum class OnConflict {
    Stop,     ///< the operator decides with the other change in view
    Rederive, ///< the change means the same on top of any configuration
};

/// Accepts a derived configuration and waits until it is in force everywhere. A derivation that
/// changes nothing is not written, and only waited for.
ExitCode changeConfiguration(const CommandOptions &options, const Derive &derive,
                             OnConflict onConflict);

} // namespace bilberry::ctl

#endif
