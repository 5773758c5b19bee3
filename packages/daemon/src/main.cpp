#include "daemon.h"

int main(int argc, char **argv)
{
    return bilberry::daemon::run(argc, argv);
}
