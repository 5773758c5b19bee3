#include "processstats.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace bilberry::benchmark {

namespace {

/// Zero-based positions in /proc/PID/stat, counted from the field after the program's name.
constexpr int userTimeField = 11;
constexpr int systemTimeField = 12;

} // namespace

long residentKib(int pid)
{
    const std::string label = "VmRSS:";
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label))
            return std::stol(line.substr(label.size()));
    }
    return 0;
}

double processorSeconds(int pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    const std::size_t nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return 0.0;
    std::istringstream fields(text.substr(nameEnd + 2));
    std::string field;
    double ticks = 0.0;
    for (int i = 0; fields >> field && i <= systemTimeField; ++i) {
        if (i >= userTimeField)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void raiseOpenFileLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace bilberry::benchmark
