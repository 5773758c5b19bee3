#include "commands.h"
#include "output.h"

#include "bilberry/base/digest.h"

#include <iostream>

namespace bilberry::ctl {

ExitCode keyDigest(const CommandOptions &options)
{
    std::string key;
    std::getline(std::cin, key);
    if (key.ends_with('\r'))
        key.pop_back();
    if (key.empty()) {
        printError("the API key on standard input",
                   std::make_error_code(std::errc::invalid_argument));
        return ExitUsage;
    }
    if (options.json)
        print(boost::json::object{{"digest", sha256Hex(key)}});
    else
        std::cout << sha256Hex(key) << '\n';
    return ExitOk;
}

} // namespace bilberry::ctl
