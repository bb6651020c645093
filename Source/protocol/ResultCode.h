#pragma once

#include <cstdint>

namespace Knapweedquay {

/// Numbered results that callers and operators see. docs/RESULT_CODES.md lists them; numbers are never reused.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 1xx: the request is invalid; it was not run.
    MalformedRequest = 100,
    RequestTooLarge = 101,
    RequestTooSlow = 102,
    UnknownService = 103,
    InvalidDeadline = 104,
    UnknownPriority = 105,
    TooManyLevels = 106,
    InvalidIdempotencyKey = 107,
    InvalidHeader = 108,
    UnknownResource = 109,
    HeadersTooLarge = 110,
    UnknownRoute = 111,
    UnknownKey = 112,

    // 2xx: the call was refused or could not be sent; it was not run.
    Overloaded = 200,
    DeadlineCannotBeMet = 201,
    Draining = 202,
    NoEndpoint = 203,
    CancelledBeforeStart = 204,
    DeadlineExpired = 205,
    StaleConfiguration = 206,
    ClaimUnavailable = 207,
    PeerUnreachable = 208,
    CallerLimitReached = 209,
    BackendRefused = 210,
    RepeatBudgetSpent = 211,
    RequestHeld = 212,
    QuotaExceeded = 213,
    DataCentreEvacuated = 214,
    KeyUnproved = 215,
    QuotaUnproved = 216,

    // 3xx: the call may have run, is running already or has run before.
    OutcomeUnknown = 300,
    AnswerIncomplete = 301,
    AlreadyRunning = 302,
    AlreadyRan = 303,
    KeyReusedForOtherRequest = 304,
    BackendCrashed = 305,

    // 4xx: documents and edits.
    InvalidDocument = 400,
    VersionConflict = 401,
    NotAuthorized = 402,
    UnknownDocument = 403,
    ChangeIdReused = 404,

    // 5xx: the control store.
    NoQuorum = 500,
    NotLeader = 501,
    StorageFailed = 502,
    StorageCorrupt = 503,
    UnknownReplica = 504,
    MembershipChangeRefused = 505,

    // 6xx: settings, files, messages and links.
    InvalidSettings = 600,
    FileUnreadable = 601,
    MalformedMessage = 602,
    MessageTooLarge = 603,
    ConnectionFailed = 604,
    TimedOut = 605,
};

/// Short stable title of a code, as used in docs/RESULT_CODES.md and in problem details.
const char* title(ResultCode);

/// HTTP status of the response that reports this code to a caller or an operator.
std::uint16_t httpStatus(ResultCode);

} // namespace Knapweedquay
