#pragma once

#include "protocol/Ids.h"
#include "protocol/RequestDigest.h"
#include "protocol/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// A request whose connection to the backend server ended before its response.
struct LostRequest {
    RequestDigest digest;
    ServiceName service;
    /// Request id set by the caller; empty if there is none.
    std::string requestId;
    std::string target;
    /// Time from its sending to the end of its connection.
    Duration ran { 0 };
};

/// Recognises that the backend server of this node ended while it ran requests, and which ones.
///
/// When a process ends, the connections of all its requests end, and new connections are refused until it is back. A
/// connection that ends alone says little: a server may close it for lack of room, or break off a response. A server that
/// was replaced by another run in the meantime has ended as well.
class CrashDetector {
public:
    /// A crash that was recognised, or further requests that were lost in it.
    struct Crash {
        /// Number of the crash since the start of this process, from 1.
        std::uint64_t number = 0;
        /// The requests that the server was running; empty if it was idle.
        std::vector<LostRequest> requests;
    };

    /// Records a lost request. Returns true if it was lost in a crash that is already recognised.
    bool requestLost(LostRequest, TimePoint now);
    /// Handles that the server refused a connection. Returns true if that reveals a crash.
    bool connectionRefused(TimePoint now);
    /// Handles that another run of the server was announced. Returns true if that reveals a crash of the run before.
    bool runReplaced(TimePoint now);
    /// Handles a response, which shows that the server is running.
    void responseReceived(TimePoint now);

    /// Returns the latest crash with the lost requests that were not returned before.
    Crash takeCrash();

private:
    /// A request that may have been lost in a crash that is not recognised yet.
    struct Loss {
        LostRequest request;
        TimePoint at;
    };

    /// True if the server ended recently and is not known to run again.
    bool isDown(TimePoint now) const;
    void discardOlderThan(TimePoint);
    /// Attributes all requests lost so far to a new crash.
    void recognise(TimePoint now);

    std::deque<Loss> m_losses;
    /// Requests lost in the latest crash that takeCrash() has not returned.
    std::vector<LostRequest> m_crashed;
    std::uint64_t m_crashes = 0;
    /// When the latest crash was recognised; not set once the server is known to run again.
    std::optional<TimePoint> m_downSince;
};

} // namespace Knapweedquay
