#include "support/process.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <csignal>

#include <linux/close_range.h>
#include <sys/resource.h>
#include <unistd.h>

namespace bilberry::tests {

namespace bp = boost::process;

namespace {

/// Keeps the program from inheriting the test's sockets: a stand-in's port would stay open in the
/// program after the stand-in closed it. Runs between fork and exec.
constexpr auto closeInheritedFiles = [](auto &) {
    constexpr unsigned int firstNonStandard = 3;
    ::close_range(firstNonStandard, ~0U, CLOSE_RANGE_CLOEXEC);
};

} // namespace

Finished runProgram(const std::string &program, const std::vector<std::string> &arguments)
{
    bp::ipstream out;
    bp::child child(program, bp::args(arguments), (bp::std_out & bp::std_err) > out,
                    bp::std_in < bp::null, bp::extend::on_exec_setup = closeInheritedFiles);
    Finished finished;
    for (std::string line; std::getline(out, line);)
        finished.output += line + '\n';
    child.wait();
    finished.exitCode = child.exit_code();
    return finished;
}

struct Process::State
{
    bp::child child;
};

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile, const ProcessOptions &options)
    : m_state(std::make_unique<State>())
{
    const auto prepareExec = [&options](auto &executor) {
        closeInheritedFiles(executor);
        if (options.maxDescriptors > 0) {
            const rlimit limit{options.maxDescriptors, options.maxDescriptors};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
    };
    std::FILE *log = std::fopen(logFile.c_str(), "a");
    m_state->child = bp::child(program, bp::args(arguments), (bp::std_out & bp::std_err) > log,
                               bp::std_in < bp::null, bp::extend::on_exec_setup = prepareExec);
    std::fclose(log);
}

Process::~Process()
{
    if (m_state)
        kill();
}

Process::Process(Process &&) noexcept = default;
Process &Process::operator=(Process &&) noexcept = default;

void Process::signal(int number)
{
    if (running())
        ::kill(id(), number);
}

void Process::kill()
{
    signal(SIGKILL);
    std::error_code ignored;
    m_state->child.wait(ignored);
}

int Process::terminate()
{
    signal(SIGTERM);
    std::error_code ignored;
    m_state->child.wait(ignored);
    return m_state->child.exit_code();
}

bool Process::running()
{
    std::error_code ignored;
    return m_state->child.running(ignored);
}

int Process::id() const
{
    return m_state->child.id();
}

} // namespace bilberry::tests
