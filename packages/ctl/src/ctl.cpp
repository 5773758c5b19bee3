#include "ctl.h"

#include "commands.h"

#include "bilberry/base/settings.h"

#include <cxxopts.hpp>

#include <charconv>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

namespace bilberry::ctl {

namespace {

using Words = std::vector<std::string>;

/// A command with the words that follow its name.
struct Command
{
    std::vector<std::string> words; ///< names of the words after the command's name
    const char *help = "";
    std::function<ExitCode(const CommandOptions &, const Words &)> run;
};

Command listing(const char *help, Listing kind)
{
    return {{}, help, [kind](const CommandOptions &options, const Words &) {
                return list(options, kind);
            }};
}

Command zoneCommand(const char *help, bool inService)
{
    return {{"ZONE"}, help, [inService](const CommandOptions &options, const Words &words) {
                return setZone(options, words[0], inService);
            }};
}

std::map<std::string, Command> changeCommands()
{
    return {
            {"validate",
             {{"FILE"},
              "check a release note by itself",
              [](auto &options, auto &words) { return validate(options, words[0]); }}},
            {"plan",
             {{"FILE"},
              "show what a release note would change",
              [](auto &options, auto &words) { return plan(options, words[0]); }}},
            {"apply",
             {{"FILE"},
              "apply a release note and wait until it is in force",
              [](auto &options, auto &words) { return apply(options, words[0]); }}},
            {"zone out", zoneCommand("take an availability zone out of service", false)},
            {"zone in", zoneCommand("bring an availability zone back", true)},
    };
}

std::map<std::string, Command> readCommands()
{
    return {
            {"status",
             {{},
              "show every daemon; name those that do not answer",
              [](auto &options, auto &) { return status(options); }}},
            {"show",
             {{},
              "print the configuration as a release note",
              [](auto &options, auto &) { return show(options); }}},
            {"zone list", listing("list availability zones", Listing::Zones)},
            {"pool list", listing("list backend pools", Listing::Pools)},
            {"customer list", listing("list customers", Listing::Customers)},
            {"route list", listing("list routes", Listing::Routes)},
            {"server list", listing("list backend servers", Listing::Servers)},
            {"report burn",
             {{},
              "print the service-level burn per customer and pool",
              [](auto &options, auto &) { return reportBurn(options); }}},
            {"key digest",
             {{},
              "read an API key from standard input, print its digest",
              [](auto &options, auto &) { return keyDigest(options); }}},
    };
}

std::map<std::string, Command> commands()
{
    std::map<std::string, Command> all = changeCommands();
    all.merge(readCommands());
    return all;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("bilberryctl", "Operates a bilberrystile fleet.");
    options.positional_help("COMMAND [WORDS...]");
    options.add_options()("p,platform", "platform's ADDRESS:PORT",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7070"))(
            "json", "print JSON")("timeout", "seconds to wait for a change to be in force",
                                  cxxopts::value<double>()->default_value("5"))(
            "daemons", "ADDRESS:ADMINPORT list of daemons to ask, for when the platform is down",
            cxxopts::value<Words>())("h,help", "print this help")("words", "",
                                                                  cxxopts::value<Words>());
    options.parse_positional({"words"});
    return options;
}

std::string helpText(const cxxopts::Options &options)
{
    std::ostringstream text;
    text << options.help() << "\nCommands:\n";
    constexpr int column = 18;
    for (const auto &[name, command] : commands()) {
        std::string usage = name;
        for (const std::string &word : command.words)
            usage += " " + word;
        text << "  " << std::left << std::setw(column) << usage << command.help << '\n';
    }
    text << "\nExit codes: 0 done; 1 platform not reached, nothing changed; 2 faults in the "
            "command\n"
            "line or the release note; 3 another change came first; 4 accepted, but not in force\n"
            "everywhere, or some daemons did not answer; 5 acceptance unknown.\n";
    return text.str();
}

/// An address and port from the command line.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    const bool sound = parsed.ec == std::errc() && parsed.ptr == end && endpoint.port != 0;
    if (!sound || !isIpAddress(endpoint.address))
        return std::nullopt;
    return endpoint;
}

/// Daemons named on the command line; what they are they say themselves.
std::optional<std::vector<store::Vm>> parseDaemons(const Words &texts)
{
    std::vector<store::Vm> daemons;
    for (const std::string &text : texts) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint)
            return std::nullopt;
        store::Vm vm;
        vm.name = text;
        vm.address = endpoint->address;
        vm.adminPort = endpoint->port;
        daemons.push_back(vm);
    }
    return daemons;
}

int usage(const std::string &message)
{
    std::cerr << "bilberryctl: " << message << "; see bilberryctl --help\n";
    return ExitUsage;
}

/// Finds the command whose name is the first words, and leaves the others.
const Command *findCommand(const std::map<std::string, Command> &all, Words &words)
{
    std::string name;
    for (std::size_t i = 0; i < words.size(); ++i) {
        name += (i == 0 ? "" : " ") + words[i];
        const auto found = all.find(name);
        if (found == all.end())
            continue;
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(i) + 1);
        return &found->second;
    }
    return nullptr;
}

int runCommand(const CommandOptions &options, Words words)
{
    const auto all = commands();
    const std::string first = words.front();
    const Command *const command = findCommand(all, words);
    if (!command)
        return usage("unknown command " + first);
    if (words.size() != command->words.size())
        return usage("wrong number of words");
    return command->run(options, words);
}

int runParsed(const cxxopts::ParseResult &arguments)
{
    CommandOptions options;
    options.json = arguments.count("json") > 0;
    const double timeout = arguments["timeout"].as<double>();
    constexpr double longestTimeout = 3600.0;
    if (!(timeout >= 0.0 && timeout <= longestTimeout))
        return usage("the timeout lies between 0 and 3600 seconds");
    options.timeout = fromMilliseconds(timeout * 1000.0);
    const auto endpoint = parseEndpoint(arguments["platform"].as<std::string>());
    if (!endpoint)
        return usage("the platform is given as ADDRESS:PORT with an IP number");
    options.platform.address = endpoint->address;
    options.platform.port = endpoint->port;
    if (arguments.count("daemons") > 0) {
        const auto daemons = parseDaemons(arguments["daemons"].as<Words>());
        if (!daemons)
            return usage("daemons are given as ADDRESS:ADMINPORT with IP numbers");
        options.daemons = *daemons;
    }
    if (arguments.count("words") == 0)
        return usage("a command is required");
    return runCommand(options, arguments["words"].as<Words>());
}

} // namespace

int run(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << helpText(options);
            return ExitOk;
        }
        return runParsed(arguments);
    } catch (const cxxopts::exceptions::exception &exception) {
        return usage(exception.what());
    }
}

} // namespace bilberry::ctl
