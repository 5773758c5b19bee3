#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <fstream>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

namespace asio = boost::asio;

constexpr int callers = 4;
constexpr std::size_t chunkCount = 1000;
constexpr std::size_t chunkBytes = 50000;
/// Allowed memory growth of a process, in bytes; each answer is larger.
constexpr std::size_t growthLimit = 32U << 20U;

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: 8, fullLimit: 8 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n"
             "    /book: { pool: models }\n";
}

/// A caller that sends its request immediately and reads the answer only in readAll().
class SlowCaller
{
public:
    SlowCaller(std::uint16_t port, const std::string &target, const std::string &version = "1.1",
               const std::string &extra = "")
        : m_socket(m_context)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
        asio::write(m_socket,
                    asio::buffer("POST " + target + " HTTP/" + version + "\r\n" + extra
                                 + "Host: x\r\nContent-Length: 0\r\n"
                                   "Connection: close\r\nX-Api-Key: kitchen-key\r\nX-Tag: slow\r\n"
                                   "X-Chunks: "
                                 + std::to_string(chunkCount)
                                 + "\r\nX-Bytes: " + std::to_string(chunkBytes) + "\r\n\r\n"));
    }

    /// Reads until the connection ends.
    std::string readAll()
    {
        std::string text;
        asio::read(m_socket, asio::dynamic_buffer(text), m_error);
        return text;
    }

    /// @return how the connection ended
    boost::system::error_code error() const { return m_error; }

    void close() { m_socket.close(); }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    boost::system::error_code m_error;
};

std::size_t residentBytes(const Process &process)
{
    std::ifstream status("/proc/" + std::to_string(process.id()) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    constexpr std::size_t pageBytes = 4096;
    return resident * pageBytes;
}

} // namespace

SCENARIO("slow callers do not exhaust the memory of router and agent")
{
    GIVEN("callers that don't read large answers")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a"};
        plan.servers = {{"model-a", "models", "a"}};
        plan.releaseNote = releaseNote();
        Fleet fleet(plan);
        REQUIRE(fleet.start());
        BackendStandin &server = fleet.backend("model-a");
        const std::size_t routerBefore = residentBytes(fleet.router(0));
        const std::size_t agentBefore = residentBytes(fleet.agent("model-a"));
        const auto memoryBounded = [&] {
            return residentBytes(fleet.router(0)) < routerBefore + growthLimit
                   && residentBytes(fleet.agent("model-a")) < agentBefore + growthLimit;
        };

        WHEN("they start to read late")
        {
            std::vector<std::unique_ptr<SlowCaller>> slowCallers;
            for (int i = 0; i < callers; ++i)
                slowCallers.push_back(
                        std::make_unique<SlowCaller>(fleet.callerPort(0), "/v1/chat"));
            REQUIRE(eventually([&] { return server.running() == callers; }));
            CHECK_FALSE(eventually([&] { return !memoryBounded(); }, std::chrono::seconds(2)));
            CHECK(server.running() == callers);

            THEN("each receives its complete answer, and memory use stays bounded")
            {
                for (const auto &caller : slowCallers) {
                    const std::string text = caller->readAll();
                    CHECK(text.size() > chunkCount * chunkBytes);
                    CHECK(text.ends_with("0\r\n\r\n"));
                    CHECK(memoryBounded());
                }
            }
        }
        WHEN("an HTTP/1.0 caller receives a complete answer and one that the server breaks off")
        {
            SlowCaller whole(fleet.callerPort(0), "/v1/chat", "1.0");
            SlowCaller broken(fleet.callerPort(0), "/v1/chat", "1.0", "X-Truncate: 1\r\n");
            whole.readAll();
            broken.readAll();
            THEN("the connection is closed after the first and reset after the second")
            {
                CHECK(whole.error() == asio::error::eof);
                CHECK(broken.error() == asio::error::connection_reset);
            }
        }
        WHEN("the caller of a non-repeatable request disconnects during the answer")
        {
            SlowCaller booking(fleet.callerPort(0), "/book");
            REQUIRE(eventually([&] { return server.running() == 1; }));
            booking.close();
            THEN("the request is completed, and its slot is released")
            {
                CHECK(eventually([&] { return server.completed() == 1; },
                                 std::chrono::seconds(20)));
                CHECK(eventually([&] {
                    return fleet.admin(fleet.agentAdminPort("model-a"), "/metrics")
                                   .find("bilberry_agent_running 0")
                           != std::string::npos;
                }));
            }
        }
        WHEN("the caller of a repeatable request disconnects during the answer")
        {
            SlowCaller chat(fleet.callerPort(0), "/v1/chat");
            REQUIRE(eventually([&] { return server.running() == 1; }));
            chat.close();
            THEN("the request is cancelled on the server")
            {
                CHECK(eventually([&] { return server.running() == 0; }));
                CHECK(server.completed() == 0);
            }
        }
    }
}
