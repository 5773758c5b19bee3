#include "commands.h"
#include "output.h"
#include "requeststory.h"

#include <cerrno>
#include <fstream>
#include <iostream>

namespace bilberry::ctl {

ExitCode explain(const CommandOptions &options, const std::string &requestId)
{
    RequestStory story(requestId);
    if (options.logs.empty())
        story.addLog("standard input", std::cin);
    for (const std::string &file : options.logs) {
        std::ifstream log(file);
        if (!log) {
            printError(file, std::error_code(errno, std::generic_category()));
            return ExitUsage;
        }
        story.addLog(file, log);
    }
    const std::vector<StoryLine> lines = story.lines();
    if (options.json) {
        boost::json::array shown;
        for (const StoryLine &line : lines)
            shown.push_back(toJson(line));
        const std::vector<std::string> gaps = story.gaps();
        print(boost::json::object{{"request", requestId},
                                  {"lines", shown},
                                  {"gaps", boost::json::array(gaps.begin(), gaps.end())}});
        return story.isKnown() ? ExitOk : ExitFailure;
    }
    for (const StoryLine &line : lines)
        std::cout << toText(line, lines.front().timeMs) << '\n';
    for (const std::string &gap : story.gaps())
        std::cout << gap << '\n';
    return story.isKnown() ? ExitOk : ExitFailure;
}

} // namespace bilberry::ctl
