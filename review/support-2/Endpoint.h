#pragma once

#include "Deployment.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Knapweedquay::Review {

/// One run of an endpoint: serves its address, answers health checks, refuses requests for other instances and sends heartbeats.
class Endpoint {
public:
    /// Handles a request that the endpoint accepts: runs it and writes the answer. Returns false to close the connection.
    using Run = std::function<bool(Stream&, const Request&)>;

    /// An endpoint that listens at another address than the one it announces stands behind a proxy.
    Endpoint(Record&, const Address& control, const Address& announced, const Address& listens, const std::string& service, const std::string& id, int slots, Run);
    ~Endpoint();
    Endpoint(const Endpoint&) = delete;
    Endpoint& operator=(const Endpoint&) = delete;

    /// Sends a heartbeat now, and one each 1.5 s until stopHeartbeats().
    void startHeartbeats();
    void stopHeartbeats();
    /// A heartbeat that the endpoint has made but not sent, so that the case can deliver it late.
    Beat makeBeat();
    const Beat& identity() const { return m_beat; }
    void setHealthy(bool isHealthy) { m_isHealthy = isHealthy; }

    /// The answer of a sound endpoint to this request, with the id, the signature and the whole body.
    Response soundAnswer(const Request&) const;

private:
    void serve(Stream&);
    void beat();

    Record& m_record;
    Address m_control;
    Run m_run;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    Beat m_beat;
    bool m_isStopping = false;
    std::atomic<bool> m_isHealthy { true };
    std::thread m_beats;
    std::unique_ptr<Server> m_server;
};

/// The body and the signature that the answer to a request must have.
std::string expectedBody(const std::string& requestId);
std::string expectedSignature(const std::string& instance, const std::string& requestId);

} // namespace Knapweedquay::Review
