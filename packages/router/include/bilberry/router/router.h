#ifndef BILBERRY_ROUTER_ROUTER_H
#define BILBERRY_ROUTER_ROUTER_H

#include "bilberry/router/routersettings.h"

#include <memory>

namespace bilberry::router {

/// One router process: its duties and the rings between them.
class Router
{
public:
    /// Binds the addresses; throws std::system_error when one can't be used.
    explicit Router(const RouterSettings &settings);
    ~Router();

    /// Starts the threads.
    void start();

    /// Graceful shutdown: takes no new requests, waits for those in progress, ends the threads.
    void stop();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace bilberry::router

#endif
