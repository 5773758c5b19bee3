#ifndef BILBERRY_BENCHMARK_PROCESSSTATS_H
#define BILBERRY_BENCHMARK_PROCESSSTATS_H

namespace bilberry::benchmark {

/// @return resident memory of the process in KiB; 0 if the process does not exist
long residentKib(int pid);

/// @return user and system processor time of the process in seconds; 0 if the process does not
/// exist
double processorSeconds(int pid);

/// Raises the limit of open files of this process and its children to the hard limit.
void raiseOpenFileLimit();

} // namespace bilberry::benchmark

#endif
