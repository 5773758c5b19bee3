#include "benchmarkoptions.h"

#include <cstdio>
#include <cstdlib>

namespace bilberry::benchmark {

namespace {

constexpr int exitInvalidOptions = 2;

} // namespace

cxxopts::ParseResult parseOptions(cxxopts::Options &options, int argc, char **argv)
{
    try {
        return options.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::fprintf(stderr, "%s\n%s", error.what(), options.help().c_str());
        std::exit(exitInvalidOptions);
    }
}

} // namespace bilberry::benchmark
