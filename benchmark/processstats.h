#ifndef BILBERRY_BENCHMARK_PROCESSSTATS_H
#define BILBERRY_BENCHMARK_PROCESSSTATS_H

namespace bilberry::benchmark {

/// @param process id
/// @return resident memory in KiB; 0 when the process is gone
long residentKib(int process);

/// @param process id
/// @return processor time in seconds, user and system
double processorSeconds(int process);

/// Lets this process and its children open as many files as the machine allows.
void raiseFileLimit();

} // namespace bilberry::benchmark

#endif
