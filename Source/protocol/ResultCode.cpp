#include "protocol/ResultCode.h"

#include <algorithm>
#include <iterator>

namespace Knapweedquay {

namespace {

// HTTP status and title of one result code.
struct Row {
    ResultCode code;
    std::uint16_t status;
    const char* title;
};

constexpr Row rows[] = {
    { ResultCode::Ok, 200, "Ok" },
    { ResultCode::MalformedRequest, 400, "Malformed request" },
    { ResultCode::RequestTooLarge, 413, "Request too large" },
    { ResultCode::RequestTooSlow, 408, "Request too slow" },
    { ResultCode::UnknownService, 404, "Unknown service" },
    { ResultCode::InvalidDeadline, 400, "Invalid deadline" },
    { ResultCode::UnknownPriority, 400, "Unknown priority" },
    { ResultCode::TooManyLevels, 508, "Too many levels of calls" },
    { ResultCode::InvalidIdempotencyKey, 400, "Invalid idempotency key" },
    { ResultCode::InvalidHeader, 400, "Invalid header" },
    { ResultCode::UnknownResource, 404, "Unknown resource" },
    { ResultCode::HeadersTooLarge, 431, "Headers too large" },
    { ResultCode::UnknownRoute, 404, "Unknown route" },
    { ResultCode::UnknownKey, 401, "Unknown key" },
    { ResultCode::Overloaded, 503, "Overloaded" },
    { ResultCode::DeadlineCannotBeMet, 503, "Deadline cannot be met" },
    { ResultCode::Draining, 503, "Draining" },
    { ResultCode::NoEndpoint, 503, "No endpoint" },
    { ResultCode::CancelledBeforeStart, 499, "Cancelled before start" },
    { ResultCode::DeadlineExpired, 504, "Deadline expired before start" },
    { ResultCode::StaleConfiguration, 503, "Configuration not fresh" },
    { ResultCode::ClaimUnavailable, 503, "Idempotency claim unavailable" },
    { ResultCode::PeerUnreachable, 503, "Peer unreachable" },
    { ResultCode::CallerLimitReached, 429, "Caller limit reached" },
    { ResultCode::BackendRefused, 503, "Backend server refused" },
    { ResultCode::RepeatBudgetSpent, 503, "Budget for repeats spent" },
    { ResultCode::RequestHeld, 503, "Request held" },
    { ResultCode::QuotaExceeded, 429, "Quota exceeded" },
    { ResultCode::DataCentreEvacuated, 503, "Data centre evacuated" },
    { ResultCode::KeyUnproved, 503, "Key not proved to be in force" },
    { ResultCode::QuotaUnproved, 503, "Quota not proved" },
    { ResultCode::OutcomeUnknown, 504, "Outcome unknown" },
    { ResultCode::AnswerIncomplete, 502, "Answer incomplete" },
    { ResultCode::AlreadyRunning, 409, "Already running" },
    { ResultCode::AlreadyRan, 409, "Already ran" },
    { ResultCode::KeyReusedForOtherRequest, 422, "Idempotency key reused for another request" },
    { ResultCode::BackendCrashed, 502, "Backend server crashed" },
    { ResultCode::InvalidDocument, 422, "Invalid document" },
    { ResultCode::VersionConflict, 409, "Version conflict" },
    { ResultCode::NotAuthorized, 403, "Not authorized" },
    { ResultCode::UnknownDocument, 404, "Unknown document" },
    { ResultCode::ChangeIdReused, 409, "Change id reused for another edit" },
    { ResultCode::NoQuorum, 503, "No quorum" },
    { ResultCode::NotLeader, 503, "Not the leader" },
    { ResultCode::StorageFailed, 500, "Storage failed" },
    { ResultCode::StorageCorrupt, 500, "Storage corrupt" },
    { ResultCode::UnknownReplica, 404, "Unknown replica" },
    { ResultCode::MembershipChangeRefused, 409, "Membership change refused" },
    { ResultCode::InvalidSettings, 400, "Invalid settings" },
    { ResultCode::FileUnreadable, 400, "File unreadable" },
    { ResultCode::MalformedMessage, 400, "Malformed message" },
    { ResultCode::MessageTooLarge, 413, "Message too large" },
    { ResultCode::ConnectionFailed, 502, "Connection failed" },
    { ResultCode::TimedOut, 504, "Timed out" },
};

const Row& rowOf(ResultCode code)
{
    const auto row = std::find_if(std::begin(rows), std::end(rows), [code](const Row& candidate) { return candidate.code == code; });
    return row == std::end(rows) ? rows[0] : *row;
}

} // namespace

const char* title(ResultCode code)
{
    return rowOf(code).title;
}

std::uint16_t httpStatus(ResultCode code)
{
    return rowOf(code).status;
}

} // namespace Knapweedquay
