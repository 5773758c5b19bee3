#ifndef BILBERRY_TESTS_PROCESS_H
#define BILBERRY_TESTS_PROCESS_H

#include <memory>
#include <string>
#include <vector>

namespace bilberry::tests {

/// A finished program.
struct Finished
{
    int exitCode = 0;
    std::string output; ///< standard output and error
};

/// Runs a program to its end.
Finished runProgram(const std::string &program, const std::vector<std::string> &arguments);

/// A program that runs in the background; it is killed when the object goes.
class Process
{
public:
    /// @param logFile receives standard output and error
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile);
    ~Process();
    Process(Process &&) noexcept;
    Process &operator=(Process &&) noexcept;

    /// Sends a signal.
    void signal(int number);
    /// Sends SIGKILL and waits.
    void kill();
    /// Sends SIGTERM and waits.
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
