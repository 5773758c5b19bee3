#ifndef BILBERRY_ROUTER_ROUTER_H
#define BILBERRY_ROUTER_ROUTER_H

#include "bilberry/router/routersettings.h"

#include <memory>

namespace bilberry::router {

/// A router process: its threads and the event queues between them.
class Router
{
public:
    /// Binds the addresses; throws std::system_error when one can't be used.
    explicit Router(const RouterSettings &settings);
    ~Router();

    /// Starts the threads.
    void start();

    /// Shuts down gracefully: refuses new requests, waits for those in progress until the drain
    /// timeout, and joins the threads.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bilberry::router

#endif
