#ifndef BILBERRY_TESTS_PROCESS_H
#define BILBERRY_TESTS_PROCESS_H

#include <memory>
#include <string>
#include <vector>

namespace bilberry::tests {

/// Result of a finished program.
struct Finished
{
    int exitCode = 0;
    std::string output; ///< standard output and error
};

/// Runs a program and waits for its exit.
Finished runProgram(const std::string &program, const std::vector<std::string> &arguments);

/// How a program is started.
struct ProcessOptions
{
    unsigned maxDescriptors = 0; ///< limit of its open descriptors; 0: as this process
};

/// A program that runs in the background and is killed when the object is destroyed.
class Process
{
public:
    /// @param logFile standard output and error are appended to it
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile, const ProcessOptions &options = {});
    ~Process();
    Process(Process &&) noexcept;
    Process &operator=(Process &&) noexcept;

    /// Sends a signal if the program still runs.
    void signal(int number);
    /// Sends SIGKILL and waits for the exit.
    void kill();
    /// Sends SIGTERM and waits for the exit.
    /// @return exit code
    int terminate();
    bool running();
    int id() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bilberry::tests

#endif
