#pragma once

#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// Format of the results on the standard output.
enum class OutputFormat {
    Table,
    Json,
};

/// The parsed command line, completed by the environment variables.
struct CommandLine {
    /// Name of the command, such as "apply"; empty when only help or the version was requested.
    std::string command;
    /// Operand of the command, such as a file, a service or a replica; empty when it has none.
    std::string operand;
    /// Help or version text to print instead of running a command; otherwise empty.
    std::string information;

    /// HTTP addresses of the control replicas.
    std::vector<std::string> controls;
    /// Admin address of the node that drain and undrain apply to.
    std::string node;
    /// Log files that trace reads.
    std::vector<std::string> logs;
    /// Secret of the team, sent as the bearer token of edits.
    std::string credential;
    /// Name recorded as the author of an edit.
    std::string author;
    /// Identity of the edit; empty to generate one.
    std::string changeId;
    /// Version that the edit replaces; unset for the current one.
    std::optional<std::uint64_t> expectedVersion;
    /// Longest time to wait until an accepted edit is in force; zero does not wait.
    Duration wait { 0 };
    OutputFormat output = OutputFormat::Table;
};

/// Values of the environment variables that are used where an option is absent.
struct Environment {
    /// Addresses of the control replicas, separated by commas.
    std::string controls;
    /// Secret of the team.
    std::string credential;
    /// Name of the user, the default author.
    std::string user;
};

/// Parses the arguments after the program name. Errors: InvalidSettings with the reason.
Result<CommandLine> parseCommandLine(const std::vector<std::string>& arguments, const Environment&);

} // namespace Knapweedquay::Cli
