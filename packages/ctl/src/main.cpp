#include "ctl.h"

int main(int argc, char **argv)
{
    return bilberry::ctl::run(argc, argv);
}
