#include "support/directprogram.h"

#include "support/fleet.h"

#include <cstdlib>
#include <fstream>

namespace bilberry::tests {

namespace {

std::string listenLine(std::uint16_t port)
{
    return "  listen: 127.0.0.1:" + std::to_string(port) + "\n";
}

} // namespace

DirectProgram::DirectProgram(const std::string &program, std::uint16_t storePort,
                             const std::string &callerLines, const ProcessOptions &options)
    : m_callers(freePort()), m_readiness(freePort()), m_metrics(freePort()), m_peers(freePort())
{
    m_folder = std::filesystem::temp_directory_path()
               / ("bilberry-direct-" + std::to_string(getpid()) + "-" + std::to_string(m_callers));
    std::filesystem::create_directories(m_folder);
    std::ofstream(settingsFile())
            << "role: direct-router\nname: r1\nzone: a\nlog:\n  format: json\n"
            << "callers:\n"
            << listenLine(m_callers) << callerLines << "readiness:\n"
            << listenLine(m_readiness) << "  path: /v1/readyz\n  balancerLagMs: 300\nmetrics:\n"
            << listenLine(m_metrics) << "peers:\n"
            << listenLine(m_peers) << "store:\n  address: 127.0.0.1:" << storePort << "\n";
    m_process = std::make_unique<Process>(
            program, std::vector<std::string>{"--settings", settingsFile().string()},
            (m_folder / "log").string(), options);
}

DirectProgram::~DirectProgram()
{
    m_process.reset();
    if (!std::getenv("BILBERRY_KEEP"))
        std::filesystem::remove_all(m_folder);
}

RawAnswer DirectProgram::get(std::uint16_t port, const std::string &path)
{
    RawCaller caller(port);
    caller.send("GET " + path
                + " HTTP/1.1\r\nHost: h.example\r\n"
                  "Bilberrystile-Attempt-Id: id-7\r\nConnection: close\r\n\r\n");
    return caller.readAnswer();
}

bool DirectProgram::isReady() const
{
    // Connections are refused until the process listens on the port.
    try {
        return get(m_readiness, "/v1/readyz").status() == 200;
    } catch (const std::exception &) {
        return false;
    }
}

std::string DirectProgram::logText() const
{
    std::ifstream in(m_folder / "log");
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace bilberry::tests
