#pragma once

namespace Knapweedquay::Cli {

/// Exit codes of the operator command line, documented in docs/COMMAND_LINE.md.
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    WrongUsage = 2,
    InvalidDocument = 3,
    VersionConflict = 4,
    NotAuthorized = 5,
    /// The edit may have been accepted; resending it with the same change id shows the outcome.
    OutcomeUnknown = 6,
    /// The edit was accepted, but some nodes did not report it as in force within the time to wait.
    NotInForce = 7,
    /// The diff command found a difference.
    Different = 8,
};

} // namespace Knapweedquay::Cli
