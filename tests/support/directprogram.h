#ifndef BILBERRY_TESTS_DIRECTPROGRAM_H
#define BILBERRY_TESTS_DIRECTPROGRAM_H

#include "support/process.h"
#include "support/rawcaller.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace bilberry::tests {

/// A direct router as a process of its own, with a settings file in a temporary folder.
class DirectProgram
{
public:
    /// Writes the settings and starts the process.
    /// @param program path of bilberryd
    /// @param storePort port of the store on loopback
    /// @param callerLines further settings of the section `callers`, each with indent and line end
    /// @param options of the process
    DirectProgram(const std::string &program, std::uint16_t storePort,
                  const std::string &callerLines = "", const ProcessOptions &options = {});
    ~DirectProgram();

    /// Sends a GET request on a new connection and reads its answer.
    static RawAnswer get(std::uint16_t port, const std::string &path);
    /// @return the answer of the readiness port; false when nothing listens there
    bool isReady() const;
    std::string logText() const;

    Process &process() { return *m_process; }
    std::uint16_t callerPort() const { return m_callers; }
    std::uint16_t readinessPort() const { return m_readiness; }
    std::uint16_t metricsPort() const { return m_metrics; }
    std::uint16_t peerPort() const { return m_peers; }
    std::filesystem::path settingsFile() const { return m_folder / "settings.yaml"; }

private:
    std::filesystem::path m_folder;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::uint16_t m_metrics;
    std::uint16_t m_peers;
    std::unique_ptr<Process> m_process;
};

} // namespace bilberry::tests

#endif
