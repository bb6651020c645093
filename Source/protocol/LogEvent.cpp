#include "protocol/LogEvent.h"

#include <algorithm>
#include <iterator>

namespace Knapweedquay {

namespace {

// Severity and fixed text of one event.
struct Row {
    LogEvent event;
    LogLevel level;
    const char* text;
};

constexpr Row rows[] = {
    { LogEvent::Started, LogLevel::Info, "started" },
    { LogEvent::Stopping, LogLevel::Info, "stopping" },
    { LogEvent::Stopped, LogLevel::Info, "stopped" },
    { LogEvent::StartFailed, LogLevel::Error, "start failed" },
    { LogEvent::SettingsRefused, LogLevel::Error, "settings refused" },
    { LogEvent::Reloaded, LogLevel::Info, "settings read again" },
    { LogEvent::LogLinesDropped, LogLevel::Warning, "log lines dropped because the output is not read" },
    { LogEvent::StopProgress, LogLevel::Info, "work left during the stop" },
    { LogEvent::StopIncomplete, LogLevel::Warning, "stopped with work left" },
    { LogEvent::SettingsNeedRestart, LogLevel::Warning, "changed settings need a restart" },
    { LogEvent::MemberSuspected, LogLevel::Warning, "member suspected" },
    { LogEvent::MemberDied, LogLevel::Warning, "member declared dead" },
    { LogEvent::MemberLeft, LogLevel::Info, "member left" },
    { LogEvent::EndpointChanged, LogLevel::Info, "endpoint changed" },
    { LogEvent::NodeSuperseded, LogLevel::Error, "another process runs with this node's name" },
    { LogEvent::DocumentInForce, LogLevel::Info, "document in force" },
    { LogEvent::DocumentRefused, LogLevel::Error, "document refused" },
    { LogEvent::ConfigurationFresh, LogLevel::Info, "configuration fresh" },
    { LogEvent::ControlConnected, LogLevel::Info, "connected to a control replica" },
    { LogEvent::ControlDisconnected, LogLevel::Warning, "connection to a control replica closed" },
    { LogEvent::DocumentRequestedWhole, LogLevel::Info, "document requested whole" },
    { LogEvent::BackendAnnounced, LogLevel::Info, "backend server announced" },
    { LogEvent::BackendDraining, LogLevel::Info, "backend server draining" },
    { LogEvent::BackendGone, LogLevel::Warning, "backend server gone" },
    { LogEvent::BackendUnreachable, LogLevel::Warning, "backend server refuses connections" },
    { LogEvent::BackendReachable, LogLevel::Info, "backend server accepts connections again" },
    { LogEvent::ResponseHeaderUnread, LogLevel::Info, "response header passed on unread" },
    { LogEvent::BackendLimitChanged, LogLevel::Info, "backend server changed the limit of its requests" },
    { LogEvent::BackendStateUnreadable, LogLevel::Warning, "unreadable header of the backend server ignored" },
    { LogEvent::HealthResponseTooLarge, LogLevel::Warning, "response to a health check cut off" },
    { LogEvent::BackendCrashed, LogLevel::Warning, "backend server ended while it ran requests" },
    { LogEvent::RequestLostInCrash, LogLevel::Info, "request lost when the backend server ended" },
    { LogEvent::RequestQuarantined, LogLevel::Warning, "request held because backend servers crashed while they ran it" },
    { LogEvent::RequestReleased, LogLevel::Info, "request no longer held" },
    { LogEvent::QuarantineRefusals, LogLevel::Info, "held requests refused" },
    { LogEvent::QuarantineTrial, LogLevel::Info, "one run of a held request admitted" },
    { LogEvent::BackendConfirmed, LogLevel::Info, "departures of a backend server looked up" },
    { LogEvent::DepartureUnrecorded, LogLevel::Warning, "departure of the backend server not recorded in time" },
    { LogEvent::LocalServiceChanged, LogLevel::Info, "service of this node changed" },
    { LogEvent::CallAccepted, LogLevel::Info, "call accepted" },
    { LogEvent::EndpointChosen, LogLevel::Info, "endpoint chosen" },
    { LogEvent::AttemptRefused, LogLevel::Info, "attempt refused by the endpoint's node" },
    { LogEvent::AttemptOutcomeUnknown, LogLevel::Info, "attempt may have run" },
    { LogEvent::AttemptAnswered, LogLevel::Info, "attempt answered" },
    { LogEvent::CallHedged, LogLevel::Info, "choosing an endpoint for a hedge" },
    { LogEvent::CallEnded, LogLevel::Info, "call ended" },
    { LogEvent::AttemptAdmitted, LogLevel::Info, "attempt admitted" },
    { LogEvent::AttemptRejected, LogLevel::Info, "attempt rejected" },
    { LogEvent::AttemptStarted, LogLevel::Info, "attempt sent to the backend server" },
    { LogEvent::AttemptEnded, LogLevel::Info, "attempt ended at the backend server" },
    { LogEvent::RequestLinesDropped, LogLevel::Warning, "request log lines dropped" },
    { LogEvent::BackendCold, LogLevel::Info, "backend server cold, requests paced" },
    { LogEvent::BackendWarm, LogLevel::Info, "backend server warm" },
    { LogEvent::StorageStopped, LogLevel::Error, "storage failed, replica stopped" },
    { LogEvent::EditAccepted, LogLevel::Info, "edit accepted" },
    { LogEvent::EditRefused, LogLevel::Warning, "edit refused" },
    { LogEvent::ReplicaRemoved, LogLevel::Warning, "replica removed" },
    { LogEvent::LeaderChanged, LogLevel::Info, "leader changed" },
    { LogEvent::ReplicasChanged, LogLevel::Info, "replicas changed" },
    { LogEvent::EditForwarded, LogLevel::Info, "edit forwarded" },
    { LogEvent::KeysUnproved, LogLevel::Warning, "requests with keys refused for lack of a recent proof" },
    { LogEvent::KeysProved, LogLevel::Info, "requests with keys taken again" },
    { LogEvent::EvacuationStarted, LogLevel::Warning, "operator empties a data centre" },
    { LogEvent::EvacuationFinished, LogLevel::Info, "operator takes a data centre back" },
    { LogEvent::EvacuationsInForce, LogLevel::Info, "evacuations in force" },
    { LogEvent::EmptiedEndpointMovesOn, LogLevel::Info, "endpoint emptied, waiting attempts move on" },
    { LogEvent::QuotaRefusalsBegan, LogLevel::Warning, "calls of workspaces refused for their quotas" },
    { LogEvent::QuotaRefusalsEnded, LogLevel::Info, "calls of workspaces no longer refused for their quotas" },
    { LogEvent::QuotaRefusalsCounted, LogLevel::Debug, "calls refused for quotas in the last second" },
    { LogEvent::QuotaGrantsCounted, LogLevel::Debug, "credit granted for quotas in the last second" },
    { LogEvent::QuotaHoldersChanged, LogLevel::Info, "holders of the quotas changed" },
};

const Row& rowOf(LogEvent event)
{
    const auto row = std::find_if(std::begin(rows), std::end(rows), [event](const Row& candidate) { return candidate.event == event; });
    return row == std::end(rows) ? rows[0] : *row;
}

} // namespace

LogLevel level(LogEvent event)
{
    return rowOf(event).level;
}

const char* text(LogEvent event)
{
    return rowOf(event).text;
}

std::vector<LogEvent> allLogEvents()
{
    std::vector<LogEvent> events;
    for (const Row& row : rows)
        events.push_back(row.event);
    return events;
}

const char* toText(LogLevel level)
{
    constexpr const char* names[] = { "debug", "info", "warning", "error" };
    return names[static_cast<std::size_t>(level)];
}

} // namespace Knapweedquay
