#ifndef BILBERRY_BENCHMARK_BENCHMARKOPTIONS_H
#define BILBERRY_BENCHMARK_BENCHMARKOPTIONS_H

#include <cxxopts.hpp>

namespace bilberry::benchmark {

/// Parses the command line of a benchmark program. Prints an error and exits with status 2 when it
/// is invalid.
cxxopts::ParseResult parseOptions(cxxopts::Options &options, int argc, char **argv);

} // namespace bilberry::benchmark

#endif
