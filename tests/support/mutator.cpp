#include "support/mutator.h"

#include <algorithm>

namespace bilberry::tests {

namespace {

/// Texts that are special in HTTP or JSON, or numbers at the limits of types.
const std::string tokens[] = {
        "\r\n",
        "\r\n\r\n",
        "\n",
        ":",
        ",",
        "0",
        "-1",
        "1e400",
        "4294967296",
        "9000000000000000",
        "18446744073709551616",
        "Content-Length: 9000000000000000\r\n",
        "Content-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "Expect: 100-continue\r\n",
        "0\r\n\r\n",
        "ffffffffffffffff\r\n",
        "null",
        "[]",
        "{}",
        "\"\\udcff\"",
        std::string(1, '\0'),
        "\xff\xfe",
        std::string(300, '['),
        std::string(70000, 'x'),
};

} // namespace

std::string Mutator::token()
{
    return tokens[below(std::size(tokens))];
}

std::string Mutator::damage(std::string text)
{
    for (std::size_t count = 1 + below(4); count > 0; --count) {
        const std::size_t at = below(text.size() + 1);
        const std::size_t length = below(std::min<std::size_t>(text.size() - at, 40) + 1);
        switch (below(6)) {
        case 0:
            text.insert(at, token());
            break;
        case 1:
            text.replace(at, length, token());
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        case 4:
            text.resize(at);
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(below(256));
        }
    }
    return text;
}

} // namespace bilberry::tests
