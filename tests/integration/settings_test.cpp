#include "support/fleet.h"

#include <boost/filesystem.hpp>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

const std::string agent = "role: agent\nname: model-1\npool: models\nzone: a\n"
                          "listen: { address: 127.0.0.1, port: 7101, adminPort: 7102 }\n"
                          "backend: { port: 8000 }\n";
const std::string router = "role: router\nname: router-1\nzone: a\n"
                           "listen: { address: 127.0.0.1, callerPort: 8080, gossipPort: 7201,"
                           " adminPort: 7202 }\n"
                           "platform: { address: 127.0.0.1, port: 7070 }\n";

struct Case
{
    const char *title;
    std::string text;
    std::vector<std::string> expected; ///< expected in the output, each after the file name
};

const std::vector<Case> cases = {
        {"a duplicate key", router + "name: other\n", {":6: name: the key is listed twice"}},
        {"the same caller and admin port",
         "role: router\nname: r\nzone: a\nlisten: { address: 127.0.0.1, callerPort: 80, "
         "gossipPort: 7, adminPort: 80 }\nplatform: { address: 10.0.0.1, port: 7 }\n",
         {":4: listen.adminPort: contradicts another key (equals listen.callerPort)"}},
        {"a peer with a host name in place of an IP address",
         router + "peers: [ 'r2@example:1:2' ]\n",
         {":6: peers: unknown value (r2@example:1:2 is not name@address:port:adminPort with an IP "
          "address)"}},
        {"a peer with an IPv6 address",
         router + "peers: [ 'r2@::1:1:2' ]\n",
         {":6: peers: unknown value"}},
        {"a duplicate peer name",
         router + "peers: [ 'r2@10.0.0.1:1:2', 'r2@10.0.0.2:1:2' ]\n",
         {":6: peers: contradicts another key (r2 is listed twice)"}},
        {"a router key in an agent's settings",
         agent + "queue: { limit: 5 }\n",
         {":7: queue: unknown key"}},
        {"an agent that is its own backend server",
         "role: agent\nname: m\npool: p\nzone: a\nlisten: { address: 127.0.0.1, port: 71, "
         "adminPort: 72 }\nbackend: { port: 71 }\n",
         {":6: backend.port: contradicts another key (the agent itself listens on this port)"}},
        {"several faults",
         "role: agent\nname: M\npool: p\nlisten: { address: host, port: 1 }\n",
         {":2: name: not an identifier", ":1: zone: required key is missing",
          ":4: listen.address: an IP address is expected",
          ":4: listen.adminPort: required key is missing",
          ":1: backend.port: required key is missing"}},
};

} // namespace

SCENARIO("bilberryd reports every fault of its settings and does not start")
{
    const auto folder = boost::filesystem::temp_directory_path()
                        / boost::filesystem::unique_path("bilberry-%%%%%%%%");
    boost::filesystem::create_directories(folder);
    const std::string file = (folder / "settings.yaml").string();
    const std::string program = std::string(BILBERRY_BIN) + "/bilberryd";
    const auto write = [&](const std::string &text) { std::ofstream(file) << text; };

    for (const std::string &valid : {agent, router}) {
        write(valid);
        CHECK(runProgram(program, {"--settings", file, "--check"}).exitCode == 0);
    }
    for (const Case &row : cases) {
        INFO(row.title);
        write(row.text);
        for (const std::vector<std::string> &arguments :
             {std::vector<std::string>{"--settings", file, "--check"},
              std::vector<std::string>{"--settings", file}}) {
            const Finished finished = runProgram(program, arguments);
            CHECK(finished.exitCode == 2);
            for (const std::string &line : row.expected)
                CHECK_THAT(finished.output, Catch::Contains(file + line));
            // Each fault is one line; a daemon that starts logs further lines.
            CHECK(static_cast<std::size_t>(
                          std::count(finished.output.begin(), finished.output.end(), '\n'))
                  == row.expected.size());
        }
    }
    write(router);
    ::setenv("BILBERRY_VM_MEMORY_MB", "260", 1);
    CHECK(runProgram(program, {"--settings", file, "--check"}).exitCode == 0);
    ::setenv("BILBERRY_VM_MEMORY_MB", "much", 1);
    CHECK(runProgram(program, {"--settings", file, "--check"}).exitCode == 2);
    ::unsetenv("BILBERRY_VM_MEMORY_MB");
    CHECK(runProgram(program, {}).exitCode == 2);
    CHECK(runProgram(program, {"--settings", "/nonexistent"}).exitCode == 2);
    boost::filesystem::remove_all(folder);
}
