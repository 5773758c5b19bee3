#ifndef BILBERRY_TESTS_DAMAGEDMESSAGES_H
#define BILBERRY_TESTS_DAMAGEDMESSAGES_H

#include <string>
#include <vector>

namespace bilberry::tests {

/// The rest of an HTTP message behind its start line and usual fields, as no sound sender writes
/// it.
struct DamagedMessage
{
    std::string name;
    std::string fields; ///< each with its line end
    std::string body;

    /// @param start start line and usual fields, each with its line end
    std::string after(const std::string &start) const { return start + fields + "\r\n" + body; }
};

/// @return messages with lengths, chunks, fields or trailers beyond what a receiver can hold
std::vector<DamagedMessage> damagedMessages();

} // namespace bilberry::tests

#endif
