#ifndef BILBERRY_DIRECT_GUARDED_H
#define BILBERRY_DIRECT_GUARDED_H

#include <exception>
#include <string>

namespace bilberry::direct {

/// Runs a handler of one connection. An exception of it ends that connection instead of the event
/// loop, and with it the process.
/// @param onException called with the exception's text, to end the connection
template <typename Handler, typename OnException>
void runGuarded(Handler &&handler, OnException &&onException)
{
    try {
        handler();
    } catch (const std::exception &exception) {
        onException(std::string(exception.what()));
    }
}

} // namespace bilberry::direct

#endif
