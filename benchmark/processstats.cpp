#include "processstats.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace bilberry::benchmark {

namespace {

/// Positions in /proc/ID/stat after the program's name.
constexpr int userTimeField = 11;
constexpr int systemTimeField = 12;

} // namespace

long residentKib(int process)
{
    const std::string label = "VmRSS:";
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label))
            return std::stol(line.substr(label.size()));
    }
    return 0;
}

double processorSeconds(int process)
{
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
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

void raiseFileLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace bilberry::benchmark
