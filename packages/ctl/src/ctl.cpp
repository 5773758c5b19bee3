#include "ctl.h"

#include "commands.h"

#include <cxxopts.hpp>

#include <iostream>
#include <map>

namespace bilberry::ctl {

namespace {

using Words = std::vector<std::string>;

/// A command with the words that follow its name.
struct Command
{
    std::size_t words = 0; ///< words after the name
    std::function<ExitCode(const CommandOptions &, const Words &)> run;
};

std::map<std::string, Command> commands()
{
    return {
            {"validate",
             {1, [](auto &options, auto &words) { return validate(options, words[0]); }}},
            {"plan", {1, [](auto &options, auto &words) { return plan(options, words[0]); }}},
            {"apply", {1, [](auto &options, auto &words) { return apply(options, words[0]); }}},
    };
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("bilberryctl", "Operates a bilberrystile fleet.");
    options.positional_help("COMMAND [WORDS...]");
    options.add_options()("p,platform", "platform's address:port",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7070"))(
            "json", "print JSON")("timeout", "seconds to wait for a change to be in force",
                                  cxxopts::value<double>()->default_value("5"))(
            "h,help", "print this help")("words", "", cxxopts::value<Words>());
    options.parse_positional({"words"});
    return options;
}

bool parsePlatform(const std::string &text, platform::PlatformSettings &settings)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    settings.address = text.substr(0, colon);
    const int port = std::atoi(text.c_str() + colon + 1);
    constexpr int highestPort = 65535;
    if (port < 1 || port > highestPort)
        return false;
    settings.port = static_cast<std::uint16_t>(port);
    return true;
}

int usage(const std::string &message)
{
    std::cerr << "bilberryctl: " << message << "; see bilberryctl --help\n";
    return ExitUsage;
}

int runParsed(const cxxopts::ParseResult &arguments)
{
    CommandOptions options;
    options.json = arguments.count("json") > 0;
    options.timeout = fromMilliseconds(arguments["timeout"].as<double>() * 1000.0);
    if (!parsePlatform(arguments["platform"].as<std::string>(), options.platform))
        return usage("the platform is given as address:port");
    if (arguments.count("words") == 0)
        return usage("a command is required");
    Words words = arguments["words"].as<Words>();
    const auto all = commands();
    const auto command = all.find(words.front());
    if (command == all.end())
        return usage("unknown command " + words.front());
    words.erase(words.begin());
    if (words.size() != command->second.words)
        return usage("wrong number of words");
    return command->second.run(options, words);
}

} // namespace

int run(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return ExitOk;
        }
        return runParsed(arguments);
    } catch (const cxxopts::exceptions::exception &exception) {
        return usage(exception.what());
    }
}

} // namespace bilberry::ctl
