#pragma once

#include <cstdint>
#include <vector>

namespace Knapweedquay {

/// Severity of a log line.
enum class LogLevel : std::uint8_t {
    Debug = 0,
    Info = 1,
    Warning = 2,
    Error = 3,
};

/// Numbered events of the log. docs/LOG_EVENTS.md lists them; numbers are never reused.
enum class LogEvent : std::uint16_t {
    // 1xx: the process itself.
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    StartFailed = 103,
    SettingsRefused = 104,
    Reloaded = 105,
    LogLinesDropped = 106,
    StopProgress = 107,
    StopIncomplete = 108,
    SettingsNeedRestart = 109,

    // 2xx: membership.
    MemberSuspected = 201,
    MemberDied = 202,
    MemberLeft = 203,
    EndpointChanged = 204,
    NodeSuperseded = 205,

    // 3xx: documents.
    DocumentInForce = 300,
    DocumentRefused = 301,
    ConfigurationFresh = 302,
    ControlConnected = 303,
    ControlDisconnected = 304,
    DocumentRequestedWhole = 305,

    // 4xx: the backend server of this node.
    BackendAnnounced = 400,
    BackendDraining = 401,
    BackendGone = 402,
    BackendUnreachable = 403,
    BackendReachable = 404,
    ResponseHeaderUnread = 405,
    BackendLimitChanged = 406,
    BackendStateUnreadable = 407,
    HealthResponseTooLarge = 408,
    BackendCrashed = 409,
    RequestLostInCrash = 410,
    RequestQuarantined = 411,
    RequestReleased = 412,
    QuarantineRefusals = 413,
    QuarantineTrial = 414,
    BackendConfirmed = 415,
    DepartureUnrecorded = 416,
    LocalServiceChanged = 417,

    // 6xx: calls, at the node that accepted them (61x) and at the endpoint's node (62x).
    CallAccepted = 610,
    EndpointChosen = 611,
    AttemptRefused = 612,
    AttemptOutcomeUnknown = 613,
    AttemptAnswered = 614,
    CallHedged = 615,
    CallEnded = 616,
    AttemptAdmitted = 620,
    AttemptRejected = 621,
    AttemptStarted = 622,
    AttemptEnded = 623,
    RequestLinesDropped = 630,

    // 73x: the pace of a cold backend server.
    BackendCold = 730,
    BackendWarm = 731,

    // 5xx: the control store.
    StorageStopped = 501,
    EditAccepted = 502,
    EditRefused = 503,
    ReplicaRemoved = 504,
    LeaderChanged = 505,
    ReplicasChanged = 506,
    EditForwarded = 507,
    EvacuationStarted = 508,
    EvacuationFinished = 509,

    // 7xx: workspaces.
    KeysUnproved = 700,
    KeysProved = 701,

    // 72x: data centres that operators empty.
    EvacuationsInForce = 720,
    EmptiedEndpointMovesOn = 721,

    // 71x: quotas of workspaces.
    QuotaRefusalsBegan = 710,
    QuotaRefusalsEnded = 711,
    QuotaRefusalsCounted = 712,
    QuotaGrantsCounted = 713,
    QuotaHoldersChanged = 714,
};

/// Severity of an event.
LogLevel level(LogEvent);
/// Fixed text of an event, as listed in docs/LOG_EVENTS.md.
const char* text(LogEvent);
/// All events, in the order of the table in LogEvent.cpp.
std::vector<LogEvent> allLogEvents();

/// Name of a level in log lines.
const char* toText(LogLevel);

} // namespace Knapweedquay
