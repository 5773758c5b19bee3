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

using Arguments = std::vector<std::string>;

/// A command of the command line.
struct Command
{
    std::vector<std::string> parameters; ///< names of the arguments, as the help shows them
    const char *help = "";
    std::function<ExitCode(const CommandOptions &, const Arguments &)> run;
};

Command listCommand(const char *help, Listing kind)
{
    return {{}, help, [kind](const CommandOptions &options, const Arguments &) {
                return list(options, kind);
            }};
}

Command zoneCommand(const char *help, bool inService)
{
    return {{"ZONE"}, help, [inService](const CommandOptions &options, const Arguments &arguments) {
                return setZone(options, arguments[0], inService);
            }};
}

std::map<std::string, Command> changeCommands()
{
    return {
            {"validate",
             {{"FILE"},
              "check a release note without connecting to the platform",
              [](auto &options, auto &arguments) { return validate(options, arguments[0]); }}},
            {"plan",
             {{"FILE"},
              "print the changes that a release note would make",
              [](auto &options, auto &arguments) { return plan(options, arguments[0]); }}},
            {"apply",
             {{"FILE"},
              "apply a release note and wait until it is in force everywhere",
              [](auto &options, auto &arguments) { return apply(options, arguments[0]); }}},
            {"zone out", zoneCommand("take an availability zone out of service", false)},
            {"zone in", zoneCommand("return an availability zone to service", true)},
    };
}

std::map<std::string, Command> readCommands()
{
    return {
            {"status",
             {{},
              "print the status of every daemon and the names of those that do not answer",
              [](auto &options, auto &) { return status(options); }}},
            {"show",
             {{},
              "print the configuration as a release note",
              [](auto &options, auto &) { return show(options); }}},
            {"zone list", listCommand("list availability zones", Listing::Zones)},
            {"pool list", listCommand("list backend pools", Listing::Pools)},
            {"customer list", listCommand("list customers", Listing::Customers)},
            {"route list", listCommand("list routes", Listing::Routes)},
            {"server list", listCommand("list backend servers", Listing::Servers)},
            {"report burn",
             {{},
              "print the error budget burn rate per customer and pool",
              [](auto &options, auto &) { return reportBurn(options); }}},
            {"explain",
             {{"ID"},
              "print what the log lines of any number of processes tell of a request",
              [](auto &options, auto &arguments) { return explain(options, arguments[0]); }}},
            {"key digest",
             {{},
              "read an API key from standard input and print its digest",
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
    options.positional_help("COMMAND [ARGUMENTS...]");
    options.add_options()("p,platform", "ADDRESS:PORT of the platform",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7070"))(
            "json", "print JSON")("timeout", "seconds to wait for a change to be in force",
                                  cxxopts::value<double>()->default_value("5"))(
            "daemons", "ADDRESS:ADMINPORT,... of daemons to call when the platform is unavailable",
            cxxopts::value<Arguments>())("logs", "FILE,... with log lines; default: standard input",
                                         cxxopts::value<Arguments>())("h,help", "print this help")(
            "words", "", cxxopts::value<Arguments>());
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
        for (const std::string &parameter : command.parameters)
            usage += " " + parameter;
        text << "  " << std::left << std::setw(column) << usage << command.help << '\n';
    }
    text << "\nExit codes: 0 success; 1 platform not reached, nothing changed; 2 invalid command\n"
            "line or release note; 3 another change was accepted first; 4 accepted, but not in\n"
            "force everywhere, or some daemons did not answer; 5 acceptance unknown.\n";
    return text.str();
}

/// An IP address and port from the command line.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

/// @param text ADDRESS:PORT
/// @return nothing unless ADDRESS is an IP address and the port lies between 1 and 65535
std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && endpoint.port != 0;
    if (!valid || !isIpAddress(endpoint.address))
        return std::nullopt;
    return endpoint;
}

/// Parses the daemons of the command line. Their role and zone stay unset: they are part of each
/// daemon's status.
/// @return nothing when a text is not ADDRESS:ADMINPORT
std::optional<std::vector<store::Vm>> parseDaemons(const Arguments &texts)
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

/// Prints an error in the command line.
/// @return ExitUsage
int usageError(const std::string &message)
{
    std::cerr << "bilberryctl: " << message << "; see bilberryctl --help\n";
    return ExitUsage;
}

/// Finds the command whose name is made of the first words, and removes these words.
/// @return nullptr when there is none
const Command *findCommand(const std::map<std::string, Command> &all, Arguments &words)
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

int runCommand(const CommandOptions &options, Arguments words)
{
    const auto all = commands();
    const std::string first = words.front();
    const Command *const command = findCommand(all, words);
    if (!command)
        return usageError("unknown command " + first);
    if (words.size() != command->parameters.size())
        return usageError("wrong number of arguments");
    return command->run(options, words);
}

int runParsed(const cxxopts::ParseResult &arguments)
{
    CommandOptions options;
    options.json = arguments.count("json") > 0;
    const double timeout = arguments["timeout"].as<double>();
    constexpr double maxTimeoutSeconds = 3600.0;
    if (!(timeout >= 0.0 && timeout <= maxTimeoutSeconds))
        return usageError("--timeout must be between 0 and 3600 seconds");
    options.timeout = fromMilliseconds(timeout * 1000.0);
    const auto endpoint = parseEndpoint(arguments["platform"].as<std::string>());
    if (!endpoint)
        return usageError("--platform must be ADDRESS:PORT with an IP address");
    options.platform.address = endpoint->address;
    options.platform.port = endpoint->port;
    if (arguments.count("daemons") > 0) {
        const auto daemons = parseDaemons(arguments["daemons"].as<Arguments>());
        if (!daemons)
            return usageError("--daemons must be a list of ADDRESS:ADMINPORT with IP addresses");
        options.daemons = *daemons;
    }
    if (arguments.count("logs") > 0)
        options.logs = arguments["logs"].as<Arguments>();
    if (arguments.count("words") == 0)
        return usageError("a command is required");
    return runCommand(options, arguments["words"].as<Arguments>());
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
        return usageError(exception.what());
    }
}

} // namespace bilberry::ctl
