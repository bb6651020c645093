#pragma once

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/attempts/FateTable.h"
#include "coordination/routing/RunningRequests.h"
#include "node/BackendMonitor.h"
#include "node/CallTrace.h"
#include "node/LocalBackend.h"
#include "node/NodeIdentity.h"
#include "node/NodeKeys.h"
#include "node/NodeMetrics.h"
#include "node/NodeQuarantine.h"
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
#include <vector>

namespace Knapweedquay {

/// Runs the attempts that this node receives on the local backend server.
///
/// Connects the fate table, the admission queue and the HTTP client. Replies are passed to the reply hook, with the id
/// of the connection over which the attempt was last received.
class EndpointRunner {
public:
    using ReplyHook = std::function<void(ConnectionId, const PeerMessage&)>;

    /// Totals since the start of the process.
    struct Counters {
        /// Attempts started at the backend server.
        std::uint64_t started = 0;
        /// Replies sent to origin nodes, by kind.
        std::uint64_t answered = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
    };

    /// Settings of an endpoint runner, taken from those of the node.
    struct Settings {
        CallHeaders headers;
        /// Interval between polls of the backend server's load while no response reports it.
        Duration loadInterval { 40000 };
        ColdBound coldBound;
        TraceSampler::Settings traces;
        /// Attempts are refused if the bodies of all admitted attempts would exceed this size, in bytes. Bodies that a budget counts
        /// don't count.
        std::size_t maximumBodyBytes = 32 * 1024 * 1024;
        /// Largest body of a response, in bytes.
        std::size_t maximumResponseBytes = 32 * 1024 * 1024;
    };

    EndpointRunner(asio::io_context&, NodeIdentity self, Settings, HttpClient&, ReplyHook, NodeQuarantine&, NodeKeys&, NodeMetrics&);

    /// Sets the local backend server after its first announcement, or one that differs from the previous one.
    void setBackend(const LocalBackend&);
    /// Removes the backend server: new attempts are refused, running attempts continue.
    void removeBackend();
    /// Applies a newer document of the backend server's service; documents of other services are ignored.
    void setDocument(const ServiceDocument&);
    /// Path at which the backend server answers health checks; empty disables them.
    void setHealthPath(const std::string& path) { m_monitor.setHealthPath(path); }
    /// Sets the number of connections that the backend server accepts from all callers; 0 if not bounded.
    void setMaximumConnections(std::uint32_t);
    /// Sets for how long after a start, and at which rate, backend servers of the service are cold.
    void setCold(Duration coldTime, std::optional<RequestRate> coldRate) { m_monitor.setCold(coldTime, coldRate); }
    /// Handles an announcement that the backend server stays cold for this time.
    void announcedCold(Duration left) { m_monitor.announcedCold(left); }
    /// Time for which the backend server is held to be cold.
    Duration coldTimeLeft() const { return m_monitor.coldTimeLeft(); }
    /// Registers that all documents that were committed when the node started are in force.
    void configurationProved() { m_monitor.configurationProved(); }
    /// Sets a hook that is called whenever the result of loadReport() may have changed.
    void setLoadHook(std::function<void()> hook) { m_loadHook = std::move(hook); }
    /// Sets a hook that is called when the local backend server tells for the first time that it leaves.
    void setLeavingHook(std::function<void(const LocalBackend&)> hook) { m_leavingHook = std::move(hook); }
    /// Sets a hook that decides whether an idempotent request may be sent to the backend server of a service once more
    /// because its pooled connection was stale. Without a hook none is.
    void setResendHook(std::function<bool(const ServiceName&)> hook) { m_resendHook = std::move(hook); }
    /// Starts refusing new attempts; attempts in flight finish.
    void drain();
    /// Accepts new attempts again.
    void undrain();
    /// Sets whether operators keep the data centre of this node empty. If so, new attempts are refused, waiting ones move on
    /// unrun, and running ones finish.
    void setEmptied(bool);
    /// True if no admitted attempt is waiting or running.
    bool isIdle() const { return pendingAttempts() == 0; }

    /// Number of attempts that are waiting or running, or whose outcome is not known yet.
    std::size_t pendingAttempts() const { return m_jobs.size() + m_lostAttempts.size(); }

    /// True if the attempt was received before, so that its outcome doesn't need its body.
    bool knows(const AttemptId& attempt) const { return m_fates.knows(attempt); }
    /// Handles an attempt that was sent or resent by an origin node.
    void receive(const CallRequestMessage&, ConnectionId);
    void cancel(const CallCancelMessage&, ConnectionId);
    /// Handles that the answer of an attempt is of no use after some time. If it can't be expected by then, the attempt is refused
    /// unless it runs already.
    void limit(const CallLimitMessage&);
    /// Handles that all of a large answer has reached the origin of its attempt, or that the origin does not need it.
    void answerDelivered(const AttemptId& attempt) { m_largeAnswers.erase(attempt); }
    /// Answers a probe with the current load.
    void probe(const ProbeMessage&, ConnectionId);

    const Counters& counters() const { return m_counters; }
    LoadReport loadReport() const;
    /// Requests that the backend server is running now.
    const RunningRequests& running() const { return m_running; }
    std::uint64_t droppedTraceLines() const { return m_traceSampler.droppedLines(); }

private:
    /// One attempt, from its offer to the admission queue until it is answered or refused.
    struct Job {
        CallTicket ticket;
        CallRequestMessage message;
        /// Request id set by the caller; empty if there is none.
        std::string requestId;
        RequestDigest digest;
        /// Connection over which the attempt was last received; replies are sent over it.
        ConnectionId connection;
        /// Time by which the answer is needed, from the remaining time in the message.
        TimePoint deadline;
        /// Time after which the answer is of no use to the origin, which stops.
        TimePoint answerBy = TimePoint::max();
        CallTrace trace;
        /// When the attempt was received and offered to the admission queue.
        TimePoint receivedAt;
        /// When the request was sent to the backend server; only valid while the attempt is running.
        TimePoint startedAt;
        bool isRunning = false;
        /// Number of the backend server's run when the request was sent.
        std::uint64_t backendRun = 0;
        /// The request to the backend server while the attempt is running.
        HttpClient::RequestId request = 0;

        /// Time left until the latency target; negative once the answer is late.
        Duration targetLeft(TimePoint now) const { return message.targetRemaining - (now - receivedAt); }
    };
    using JobPtr = std::shared_ptr<Job>;

    /// An attempt whose connection to the backend server ended, while it isn't known whether the server crashed.
    struct LostAttempt {
        AttemptId attempt;
        /// What its origin is told if the server did not crash.
        ResultCode code = ResultCode::AnswerIncomplete;
        TimePoint lostAt;
    };

    /// A large answer that has not reached the origin of its attempt.
    struct LargeAnswer {
        AnswerPointer answer;
        TimePoint sentAt;
    };

    /// Counts a rejected attempt and finishes its trace.
    void recordRejection(Job&, const Refusal&, TimePoint now);
    void perform(const FateActions&);
    void perform(const AdmitAttempt&);
    void perform(const RemoveFromQueue&);
    void perform(const AbortRunning&);
    void perform(const SendInProgress&);
    void perform(const SendAnswer&);
    void perform(const SendRefusal&);
    void perform(const SendUnknown&);
    void perform(const SendCancelResult&);

    /// Returns why nothing of this service may run here, if it isn't the service of the present backend server. Asked when an attempt
    /// is admitted and again when it is sent, since its address may have gone to another backend server while it waited.
    std::optional<Refusal> checkService(const ServiceName&) const;
    /// Returns why the attempt must not run although it was admitted, if anything forbids it. What was learned while it was
    /// waiting counts too.
    std::optional<Refusal> checkRun(const Job&);
    /// Returns why the attempt cannot be offered to the admission queue, if anything prevents it.
    std::optional<Refusal> checkPreconditions(const Job&) const;
    /// Calls that the backend server can run at once, as announced and as its connections allow; nothing for the default of
    /// the service document.
    std::optional<std::uint32_t> slots() const;
    void addJob(const JobPtr&);
    void removeJob(const Job&);
    /// Starts the jobs that the admission queue releases, and refuses those that it gives up.
    void startReadyJobs();
    /// False if the job was refused instead, so that its slot is free again.
    bool start(Job&);
    void handleOutcome(const JobPtr&, HttpClient::Outcome);
    void finish(const JobPtr&, BackendOutcome);
    HttpRequest backendRequest(const Job&) const;
    HttpClient::Options backendOptions(const JobPtr&);
    /// Tells whether a response of the backend server is the one to this request.
    HttpClient::Match match(const Job&, const HttpResponse&, bool isReused);
    /// Asks the resend hook, and counts the request if it is sent once more.
    bool tryResend() const;
    /// Adds the last event to the trace, and writes it if the attempt failed or is sampled.
    void finishTrace(Job&, LogEvent, CallTrace::Values, bool hasFailed);
    void handleResponse(const JobPtr&, const HttpResponse&, TimePoint now);
    BackendMonitor::Hooks monitorHooks();
    /// Drains because the backend server told that it leaves. What is queued is refused at once.
    void drainLeavingBackend();
    /// Refuses what is queued, so that it is tried elsewhere at once.
    void refuseQueued();
    void notifyLoadChanged();
    /// Tells the origin what became of an attempt whose connection to the backend server ended: at once if the server is known to
    /// have crashed, otherwise once that is known or has not shown in a short time.
    void loseAttempt(const Job&, ResultCode, TimePoint now);
    /// Tells the origins of all lost attempts that the backend server crashed.
    void handleCrash(const CrashDetector::Crash&);
    /// Tells the origins of all lost attempts that their connections ended.
    void releaseLostAttempts();
    /// Releases the lost attempts after the longest wait, and before it looks whether the backend server still runs.
    void checkLostAttempts();
    /// Confirms the attempts that have been admitted for the confirmation delay without an answer.
    void confirmDueJobs();
    /// Removes expired entries from the fate table.
    void expire();

    NodeIdentity m_self;
    Settings m_settings;
    HttpClient& m_client;
    ReplyHook m_replyHook;
    NodeQuarantine& m_quarantine;
    NodeKeys& m_keyChecks;
    NodeMetrics& m_metrics;
    FateTable m_fates;
    /// Not set while no backend server is announced.
    std::optional<LocalBackend> m_backend;
    /// Document of the backend server's service; not set until it is received.
    std::optional<ServiceDocument> m_document;
    /// Null until the first document is received.
    std::unique_ptr<AdmissionQueue> m_queue;
    /// True between drain() and undrain().
    bool m_isDraining = false;
    bool m_isEmptied = false;
    /// Ticket number last assigned to a job.
    std::uint64_t m_lastTicket = 0;
    /// The request being handled by receive(); null outside of it.
    const CallRequestMessage* m_currentRequest = nullptr;
    /// The connection over which the current request was received.
    ConnectionId m_currentConnection;
    std::unordered_map<AttemptId, JobPtr> m_jobs;
    std::unordered_map<CallTicket, JobPtr> m_jobsByTicket;
    RunningRequests m_running;
    /// Total size of the bodies of all admitted attempts that no budget counts, in bytes.
    std::size_t m_jobBodyBytes = 0;
    /// Admitted attempts that have not been confirmed to their origin, with the time when confirmation is due; oldest
    /// first.
    std::deque<std::pair<AttemptId, TimePoint>> m_unconfirmed;
    std::vector<LostAttempt> m_lostAttempts;
    /// Large answers on their way, for resends. The fate table keeps none of their size for long.
    std::unordered_map<AttemptId, LargeAnswer> m_largeAnswers;
    /// When a refusal that names no request last came over a connection that had carried another one.
    std::optional<TimePoint> m_unnamedRefusalAt;
    BackendMonitor m_monitor;
    std::uint32_t m_maximumConnections = 0;
    std::function<void()> m_loadHook;
    std::function<void(const LocalBackend&)> m_leavingHook;
    std::function<bool(const ServiceName&)> m_resendHook;
    TraceSampler m_traceSampler;
    Counters m_counters;
    Timer m_queueTimer;
    Timer m_lostTimer;
    Timer m_confirmTimer;
    Timer m_expiryTimer;
};

} // namespace Knapweedquay
