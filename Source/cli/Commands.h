#pragma once

#include "cli/CommandLine.h"
#include "cli/ControlClient.h"
#include "cli/ExitCode.h"
#include "cli/Report.h"

#include <functional>
#include <map>
#include <string>

namespace Knapweedquay::Cli {

/// Access of the commands to the network, files, random numbers and time; replaced in tests.
struct CommandHooks {
    /// Sends an HTTP request to an address.
    Exchange exchange;
    /// Returns the content of a file.
    std::function<Result<std::string>(const std::string& path)> readFile;
    /// Returns a new random change id.
    std::function<std::string()> generateChangeId;
    /// Blocks for a time.
    std::function<void(Duration)> sleep;
};

/// Runs the command of a command line and reports its result.
class Commands {
public:
    Commands(const CommandLine&, CommandHooks, Report&);

    ExitCode run();

private:
    ExitCode apply();
    ExitCode validate();
    ExitCode show();
    ExitCode listDocuments();
    ExitCode diff();
    ExitCode history();
    ExitCode status();
    ExitCode setDraining(bool isDraining);
    ExitCode replace();
    /// Empties a data centre, or takes it back.
    ExitCode setEmptied(bool isEmptied);
    ExitCode evacuations();
    ExitCode trace();
    ExitCode endpoints();
    ExitCode bytes();
    ExitCode held();
    ExitCode release();
    /// Status of the node that the command names.
    Answer nodeStatus() const;
    /// Name under which the store keeps this document: its service, or the reserved name of the routing document.
    Result<std::string> documentName(const std::string& text) const;

    /// Reports a refusal or failure, and returns the exit code for it.
    ExitCode fail(const Answer&);
    /// Polls the control replicas until all nodes report the version or the time to wait is over.
    ExitCode waitUntilInForce(const std::string& service, std::uint64_t version);
    /// Gets a resource of the control replicas.
    Answer get(const std::string& target) const;
    /// Sends an edit of a document.
    Answer put(const std::string& service, const std::string& text, std::uint64_t expected, const std::string& change) const;
    /// Nodes by name, with the versions in force at each, from all replicas that answer.
    std::map<std::string, nlohmann::json> nodes() const;

    const CommandLine& m_commandLine;
    const CommandHooks m_hooks;
    const ControlClient m_client;
    Report& m_report;
};

} // namespace Knapweedquay::Cli
