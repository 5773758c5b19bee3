#include "routerfixture.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

using Then = ScriptedAnswer::Then;

/// A whole answer, and how much of it a complete one needs at least.
struct AnswerCase
{
    const char *name;
    std::string path;
    std::string bytes;
    std::size_t completeFrom; ///< prefixes of this length or more are complete answers
};

std::vector<AnswerCase> answerCases()
{
    const std::string length = answer("200 OK", "whole body");
    const std::string chunked = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                "Bilberry-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + chunk("whole ") + chunk("body") + "0\r\n\r\n";
    const std::string event = "id: 1\ndata: a\n\n";
    const std::string stream = streamHead + chunk(event) + "0\r\n\r\n";
    const std::string unframed = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                 "Bilberry-Signature: sig\r\n\r\nwhole body";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + length;
    const std::string lateCopy
            = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: old\r\nBilberry-Signature: sig\r\n"
              "Content-Length: 5\r\n\r\nother"
              + length;
    const std::size_t unframedHead = unframed.find("\r\n\r\n") + 4;
    return {{"a body with a length", "/book/x", length, length.size()},
            {"a chunked body", "/book/x", chunked, chunked.size()},
            {"an interim answer before it", "/book/x", interim, interim.size()},
            {"an answer to another request before it", "/book/x", lateCopy, lateCopy.size()},
            {"a stream", "/stream/x", stream, stream.size()},
            // The end of the connection is the end of the body, wherever it comes.
            {"a body that ends with the connection", "/book/x", unframed, unframedHead},
            {"a stream that ends with the connection", "/stream/x", unframedStreamHead + event,
             (unframedStreamHead + event).size()}};
}

bool looksComplete(const RawAnswer &answer)
{
    if (answer.status() / 100 != 2 || answer.reset)
        return false;
    return answer.contains("Content-Length: ") || answer.text.ends_with("0\r\n\r\n");
}

} // namespace

// Reported by other operators: a server stopped in the middle of its answer's head and closed, and
// callers got a 200 with an empty or short body that looked whole.
SCENARIO("a server closes its connection anywhere in its answer")
{
    for (const AnswerCase &example : answerCases()) {
        GIVEN(std::string("a server that answers with ") + example.name)
        {
            std::atomic<std::size_t> sentBytes = 0;
            const bool resets = GENERATE(false, true);
            ScriptedServer server([&](const ScriptedRequest &) {
                return ScriptedAnswer{example.bytes.substr(0, sentBytes),
                                      resets ? Then::Reset : Then::Close};
            });
            const RouterFixture router({&server}, acceptOldPlans);
            THEN("no caller gets a part of it that looks like a whole answer")
            {
                std::size_t reached = 0;
                for (sentBytes = 0; sentBytes < example.bytes.size(); ++sentBytes) {
                    const RawAnswer given = router.call(example.path);
                    reached = server.requests().size();
                    INFO(sentBytes << " bytes: " << given.text);
                    const bool mayBeComplete = !resets && sentBytes >= example.completeFrom;
                    CHECK((mayBeComplete || !looksComplete(given)));
                }
                CHECK(reached > example.bytes.size() / 2);
            }
        }
    }
}
