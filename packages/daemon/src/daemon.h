#ifndef BILBERRY_DAEMON_DAEMON_H
#define BILBERRY_DAEMON_DAEMON_H

/// The program bilberryd.
namespace bilberry::daemon {

/// Exit codes of bilberryd.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailure = 1,  ///< start failed, for example because an address is in use
    ExitSettings = 2, ///< invalid command line or settings; nothing was started
};

/// Reads the settings, runs the router or agent and stops it gracefully on SIGTERM or SIGINT.
/// @return an ExitCode
int run(int argc, char **argv);

} // namespace bilberry::daemon

#endif
