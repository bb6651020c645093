#pragma once

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/attempts/FateTable.h"
#include "coordination/presence/BackendReachability.h"
#include "coordination/routing/RunningRequests.h"
#include "node/CallTrail.h"
#include "node/NodeIdentity.h"
#include "node/NodeMetrics.h"
#include "protocol/CallHeaders.h"
#include "protocol/PeerMessages.h"
#include "protocol/SocketAddress.h"
#include "state/ServiceDocument.h"
#include "transport/HttpClient.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Knapweedquay {

/// The backend server beside this node, as it announced itself.
struct LocalBackend {
    ServiceName service;
    /// "ip:port".
    std::string address;
    /// 0 when it did not say.
    std::uint32_t slots = 0;
    /// Name of this run of it; empty when it has none.
    std::string instance;
};

/// Runs the attempts that reach this node against the backend server beside it.
///
/// Ties the fate table, the admission queue and the HTTP client together. Replies leave through the hook, by the
/// number of the connection that the attempt came over last.
class EndpointRunner {
public:
    using ReplyHook = std::function<void(ConnectionId, const PeerMessage&)>;

    struct Counters {
        std::uint64_t started = 0;
        std::uint64_t answered = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
    };

    struct Settings {
        CallHeaders headers;
        /// Time between two questions for the backend server's load, while no response tells it.
        Duration loadInterval { 40000 };
        TrailPolicy::Settings trails;
    };

    EndpointRunner(asio::io_context&, NodeIdentity self, Settings, HttpClient&, ReplyHook, NodeMetrics&);

    /// A backend server announced itself, or changed what it announced.
    void setBackend(const LocalBackend&);
    /// The backend server is gone: new attempts are refused, running ones go on.
    void removeBackend();
    /// Puts a newer document of the backend server's service in force.
    void setDocument(const ServiceDocument&);
    /// Where the backend server tells its load; empty: nowhere.
    void setHealthPath(const std::string& path) { m_healthPath = path; }
    /// Called after each change of what loadReport() says.
    void setLoadHook(std::function<void()> hook) { m_loadHook = std::move(hook); }
    /// Refuses new attempts from now on; attempts in flight finish.
    void drain();
    void undrain();
    bool isIdle() const { return m_jobs.empty(); }

    void receive(const CallRequestMessage&, ConnectionId);
    void cancel(const CallCancelMessage&, ConnectionId);
    void probe(const ProbeMessage&, ConnectionId);

    const Counters& counters() const { return m_counters; }
    LoadReport loadReport() const;
    /// What the backend server runs now.
    const RunningRequests& running() const { return m_running; }
    std::uint64_t droppedTrailLines() const { return m_trails.droppedLines(); }

private:
    /// One admitted attempt.
    struct Job {
        CallTicket ticket;
        CallRequestMessage message;
        /// The caller's name for the request; empty when it has none.
        std::string requestId;
        ConnectionId connection;
        TimePoint deadline;
        CallTrail trail;
        TimePoint admittedAt;
        TimePoint startedAt;
        bool isRunning = false;
        HttpClient::RequestId request = 0;

        /// Below zero once the answer is late.
        Duration targetLeft(TimePoint now) const { return message.targetRemaining - (now - admittedAt); }
    };
    using JobPtr = std::shared_ptr<Job>;

    /// Ends the story of an attempt that this node rejects.
    void noteRejection(Job&, const Refusal&, TimePoint now);
    void perform(const FateActions&);
    void perform(const AdmitAttempt&);
    void perform(const RemoveFromQueue&);
    void perform(const AbortRunning&);
    void perform(const SendInProgress&);
    void perform(const SendAnswer&);
    void perform(const SendRefusal&);
    void perform(const SendUnknown&);
    void perform(const SendCancelResult&);

    std::optional<Refusal> reasonNotToAdmit(const Job&) const;
    void addJob(const JobPtr&);
    void removeJob(const Job&);
    void startDueJobs();
    void start(Job&);
    void handleOutcome(const JobPtr&, HttpClient::Outcome);
    void finish(const JobPtr&, BackendOutcome);
    HttpRequest backendRequest(const Job&) const;
    HttpClient::Options backendOptions(const Job&) const;
    /// Writes the story of an attempt that failed or is sampled.
    void endTrail(Job&, LogEvent, CallTrail::Values, bool hasFailed);
    void handleResponse(const JobPtr&, const HttpResponse&, TimePoint now);
    void takeLoad(const HttpResponse&, TimePoint now);
    void askLoad();
    void loadChanged();
    void noteConnection(const HttpClient::Outcome&, TimePoint now);
    void confirmLongJobs();
    void expire();

    NodeIdentity m_self;
    Settings m_settings;
    HttpClient& m_client;
    ReplyHook m_reply;
    NodeMetrics& m_metrics;
    FateTable m_fates;
    std::optional<LocalBackend> m_backend;
    std::optional<ServiceDocument> m_document;
    std::unique_ptr<AdmissionQueue> m_queue;
    bool m_isDraining = false;
    std::uint64_t m_lastTicket = 0;
    /// The request that is being received, until the fate table admits it.
    const CallRequestMessage* m_received = nullptr;
    ConnectionId m_receivedOver;
    std::unordered_map<AttemptId, JobPtr> m_jobs;
    std::unordered_map<CallTicket, JobPtr> m_jobsByTicket;
    RunningRequests m_running;
    /// Bytes of the bodies of all admitted attempts.
    std::size_t m_jobBytes = 0;
    /// Admitted attempts whose origin has not been told that they are here, oldest first.
    std::deque<std::pair<AttemptId, TimePoint>> m_unconfirmed;
    BackendReachability m_reachability;
    std::string m_healthPath;
    std::function<void()> m_loadHook;
    /// When the backend server last told its load; it may never do.
    std::optional<TimePoint> m_loadToldAt;
    TimePoint m_loadAskedAt;
    bool m_isAskingLoad = false;
    TrailPolicy m_trails;
    Counters m_counters;
    Timer m_loadTimer;
    Timer m_queueTimer;
    Timer m_confirmTimer;
    Timer m_expiryTimer;
};

} // namespace Knapweedquay
