#include "support/damagedmessages.h"

namespace bilberry::tests {

namespace {

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string chunk = "4\r\nansw\r\n";
const std::string filler(70000, 'x');

std::string repeated(const std::string &text, int count)
{
    std::string all;
    for (int i = 0; i < count; ++i)
        all += text;
    return all;
}

} // namespace

std::vector<DamagedMessage> damagedMessages()
{
    return {
            {"a length of 9 PB", "Content-Length: 9000000000000000\r\n", "answ"},
            {"the largest length of 64 bits", "Content-Length: 18446744073709551615\r\n", "answ"},
            {"a length beyond 64 bits", "Content-Length: 99999999999999999999\r\n", "answ"},
            {"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n", "answer"},
            {"a chunk of 9 PB", chunked, "1ff973cafa8000\r\nansw"},
            {"the largest chunk of 64 bits", chunked, "ffffffffffffffff\r\nansw"},
            {"a chunk size beyond 64 bits", chunked, "10000000000000000\r\nansw"},
            {"a chunk extension of 70,000 bytes", chunked,
             "4;x=" + filler + "\r\nansw\r\n0\r\n\r\n"},
            {"a trailer field of 70,000 bytes", chunked,
             chunk + "0\r\nX-Trailer: " + filler + "\r\n\r\n"},
            {"a trailer field with a name of 70,000 bytes", chunked,
             chunk + "0\r\n" + filler + ": 1\r\n\r\n"},
            {"5,000 trailer fields", chunked,
             chunk + "0\r\n" + repeated("X-T: 1\r\n", 5000) + "\r\n"},
            {"5,000 header fields", repeated("X-F: 1\r\n", 5000) + "Content-Length: 4\r\n", "answ"},
            {"a header field of 70,000 bytes", "X-F: " + filler + "\r\nContent-Length: 4\r\n",
             "answ"},
            {"a header field with a name of 70,000 bytes", filler + ": 1\r\nContent-Length: 4\r\n",
             "answ"},
    };
}

} // namespace bilberry::tests
