#pragma once

#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Identifies one run of a backend server.
struct BackendRun {
    std::string instance;
    /// Start time of the run by the server's own clock.
    std::uint64_t startedAt = 0;

    friend bool operator==(const BackendRun& a, const BackendRun& b) { return a.instance == b.instance && a.startedAt == b.startedAt; }
};

/// Records in the control store which runs of this node's backend server leave, and asks the store for those that it doesn't know.
///
/// Load pattern: a node's process ends after it has acknowledged that a run leaves, and an earlier announcement of that run reaches
/// the next process. The node has no disk, so a departure is acknowledged once the store has it. Requests are repeated until
/// they are answered, since the store may have no leader for a while.
class DepartureRecords {
public:
    enum class Request : std::uint8_t {
        Record,
        LookUp,
    };
    struct Hooks {
        /// Sends a request to the store, whose reply is passed to answered() with the same number.
        std::function<void(std::uint64_t number, const BackendRun&, Request)> send;
        /// Receives the store's reply to lookUp().
        std::function<void(const BackendRun&, bool hasDeparted)> lookedUp;
    };
    using Handler = std::function<void(bool isRecorded)>;

    /// Longest time until the handler of record() is called. Senders of announcements wait for a second.
    static constexpr Duration recordTimeout { 800000 };

    explicit DepartureRecords(Hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    /// Records that a run leaves. The handler is called once: with true when the store has it, or with false after the timeout, when
    /// it may be recorded yet.
    void record(const BackendRun&, TimePoint now, Handler);
    void lookUp(const BackendRun&, TimePoint now);
    /// Handles a reply of the store. Ok: the departure was recorded, or none was found. AlreadyRunning or AlreadyRan: it was
    /// recorded before. With other codes the request is repeated.
    void answered(std::uint64_t number, ResultCode);
    /// Repeats requests, and ends those that took too long; to be called every 0.1 s or so.
    void check(TimePoint now);

private:
    struct Pending {
        BackendRun run;
        Request request = Request::Record;
        TimePoint startedAt;
        TimePoint sentAt;
    };
    struct Waiting {
        BackendRun run;
        TimePoint expiry;
        Handler handler;
    };

    void begin(const BackendRun&, Request, TimePoint now);
    void send(std::uint64_t number, Pending&, TimePoint now);
    void recorded(const BackendRun&);
    bool isRecorded(const BackendRun&) const;

    Hooks m_hooks;
    std::map<std::uint64_t, Pending> m_pending;
    std::vector<Waiting> m_waiting;
    /// The latest runs whose departure the store has.
    std::deque<BackendRun> m_recorded;
    std::uint64_t m_lastNumber = 0;
};

} // namespace Knapweedquay
