#pragma once

namespace Knapweedquay::Cli {

/// Exit codes of the operator command line; docs/COMMAND_LINE.md has the table.
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    WrongUsage = 2,
    InvalidDocument = 3,
    VersionConflict = 4,
    NotAuthorized = 5,
    /// The edit may have been accepted; the same change id tells.
    OutcomeUnknown = 6,
    /// The edit is accepted, but some nodes did not report it in time.
    NotInForce = 7,
    /// diff found a difference.
    Different = 8,
};

} // namespace Knapweedquay::Cli
