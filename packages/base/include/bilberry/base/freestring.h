#ifndef BILBERRY_BASE_FREESTRING_H
#define BILBERRY_BASE_FREESTRING_H

#include <string>

namespace bilberry {

/// Empties a string and frees its memory. The assignment of an empty string keeps it.
inline void freeString(std::string &text)
{
    std::string().swap(text);
}

} // namespace bilberry

#endif
