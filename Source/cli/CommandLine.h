#pragma once

#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay::Cli {

enum class OutputFormat {
    Table,
    Json,
};

/// What the operator asked for.
struct CommandLine {
    /// Name of the command, such as "apply"; empty when only help or the version is wanted.
    std::string command;
    /// Operand of the command: a file, a service or a replica.
    std::string operand;
    /// Text to print instead of running anything.
    std::string information;

    /// HTTP addresses of the control replicas.
    std::vector<std::string> controls;
    /// Admin address of a node, for drain and undrain.
    std::string node;
    /// Log files.
    std::vector<std::string> logs;
    std::string credential;
    std::string author;
    std::string changeId;
    std::optional<std::uint64_t> expectedVersion;
    /// Time to wait for an accepted edit to be in force; zero does not wait.
    Duration wait { 0 };
    OutputFormat output = OutputFormat::Table;
};

/// Environment variables that stand in for options.
struct Environment {
    std::string controls;
    std::string credential;
    std::string user;
};

/// Reads the arguments after the program's name. Errors: InvalidSettings with the reason.
Result<CommandLine> parseCommandLine(const std::vector<std::string>& arguments, const Environment&);

} // namespace Knapweedquay::Cli
