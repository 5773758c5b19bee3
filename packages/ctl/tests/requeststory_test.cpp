#include "requeststory.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace bilberry::ctl;

namespace {

std::string line(const std::string &second, const std::string &message, const std::string &fields)
{
    return R"({"time":"2026-07-18T12:14:)" + second
           + R"(Z","level":"INFO","part":"router.direct","message":")" + message + "\"" + fields
           + "}\n";
}

RequestStory storyOf(const std::vector<std::string> &logs)
{
    RequestStory story("r1");
    for (const std::string &log : logs) {
        std::istringstream in(log);
        story.addLog("a.log", in);
    }
    return story;
}

std::string messagesOf(const RequestStory &story)
{
    std::string messages;
    for (const StoryLine &line : story.lines())
        messages += line.message + (line.isContext ? "* " : " ");
    return messages;
}

} // namespace

SCENARIO("operators ask what happened to a request")
{
    const std::string sent
            = line("20.100", "Sent to a server.", R"(,"request":"r1","server":"s1","try":"1")");
    const std::string failed = line("20.300", "An attempt failed.",
                                    R"(,"request":"r1","server":"s1","outcome":"4")");
    const std::string refused
            = line("20.301", "Refused.", R"(,"request":"r1","reason":"server-failed")");
    GIVEN("the whole log of its router, which also tells of other requests, servers and times")
    {
        const auto story
                = storyOf({line("10.000", "Started.", R"(,"router":"edge-1")")
                           + line("19.000", "A server is gone.", R"(,"server":"s1")")
                           + line("19.000", "A server is gone.", R"(,"server":"s2")") + sent
                           + line("20.200", "Refused.", R"(,"request":"r2")") + failed + refused});
        THEN("the story has its lines and what its router knew of its server, in order")
        {
            CHECK(messagesOf(story)
                  == "A server is gone.* Sent to a server. An attempt failed. Refused. ");
            CHECK(story.gaps().empty());
        }
        THEN("the text names the router, the time since the first line and the outcome")
        {
            const auto lines = story.lines();
            CHECK(toText(lines[2], lines[1].timeMs)
                  == "200 ms  edge-1  An attempt failed.  server=s1  outcome=broken answer");
        }
    }
    GIVEN("logs of two routers, given in the wrong order")
    {
        const auto story = storyOf({failed + refused, sent});
        THEN("the lines are in order of time")
        {
            CHECK(messagesOf(story) == "Sent to a server. An attempt failed. Refused. ");
        }
    }
    GIVEN("a log that was cut, that has damaged lines and whose process dropped some")
    {
        const auto story = storyOf({"{\"time\":\n" + std::string("not json\n")
                                    + line("20.400", "Lines were dropped.", R"(,"lines":7)")
                                    + line("20.500", "Sent to a server.",
                                           R"(,"request":"r1","server":"s1","try":"2")")});
        THEN("the story says what is missing")
        {
            CHECK(story.gaps()
                  == std::vector<std::string>{
                          "2 lines are no log lines and were skipped.",
                          "7 lines were dropped by the processes, also of other requests.",
                          "Attempt 1 is missing.",
                          "The end is missing: the request was still open, its process ended, or "
                          "the log was cut."});
        }
    }
    GIVEN("a log without a line of the request")
    {
        const auto story = storyOf({line("20.000", "Started.", R"(,"router":"edge-1")")});
        THEN("the story is unknown and empty")
        {
            CHECK_FALSE(story.isKnown());
            CHECK(story.lines().empty());
            CHECK(story.gaps().size() == 1);
        }
    }
}
