#ifndef BILBERRY_CTL_CTL_H
#define BILBERRY_CTL_CTL_H

/// The program bilberryctl.
namespace bilberry::ctl {

/// Exit codes of bilberryctl.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailure = 1,  ///< the platform can't be reached; nothing was changed
    ExitUsage = 2,    ///< faults in the command line or the release note; nothing was changed
    ExitConflict = 3, ///< another operator's change was accepted first; nothing was changed
    ExitNotInForce
    = 4,             ///< accepted, but not in force everywhere in time; or a daemon does not answer
    ExitUnknown = 5, ///< the change may or may not have been accepted
};

/// Parses the command line and runs its command.
/// @return an ExitCode
int run(int argc, char **argv);

} // namespace bilberry::ctl

#endif
