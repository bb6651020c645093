#pragma once

#include "Http.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace Knapweedquay::Review {

/// Passes the bytes of TCP connections on, and can fall silent like a machine without power.
class Proxy {
public:
    Proxy(const Address& listens, const Address& target);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// From now on nothing is passed on, and no connection ends.
    void fallSilent();
    /// Ends the connections so far and passes new ones on to this address.
    void serve(const Address& target);

private:
    void handle(Stream& caller);

    std::mutex m_mutex;
    Address m_target;
    std::atomic<bool> m_isSilent { false };
    /// Rises with each call of serve(); connections of an earlier generation end.
    std::atomic<int> m_generation { 0 };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<Server> m_server;
};

} // namespace Knapweedquay::Review
