#include "daemon.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    // Settings may change while the process starts; the signal would end it before it is handled.
    std::signal(SIGHUP, SIG_IGN);
    const int code = bilberry::daemon::run(argc, argv);
    std::cout.flush();
    // The logging library's static destructors wait for its thread pool; where all threads share
    // one core in turns, that wait was seen not to end. All lines are flushed here.
    std::_Exit(code);
}
