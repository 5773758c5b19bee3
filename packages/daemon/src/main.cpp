#include "daemon.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    // SIGHUP after a change of the settings may arrive before its handler is installed; its default
    // action would terminate the process.
    std::signal(SIGHUP, SIG_IGN);
    const int code = bilberry::daemon::run(argc, argv);
    std::cout.flush();
    // Skips the logging library's static destructors: they wait for its thread pool, and with all
    // threads on one core that wait did not end. All log lines are already flushed.
    std::_Exit(code);
}
