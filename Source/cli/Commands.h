#pragma once

#include "cli/CommandLine.h"
#include "cli/ControlClient.h"
#include "cli/ExitCode.h"
#include "cli/Report.h"

#include <functional>
#include <map>
#include <string>

namespace Knapweedquay::Cli {

/// What the commands need from the world around them.
struct CommandHooks {
    Exchange exchange;
    std::function<Result<std::string>(const std::string& path)> readFile;
    std::function<std::string()> drawChangeId;
    std::function<void(Duration)> sleep;
};

/// Runs one command of the operator.
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
    ExitCode trace();
    /// Name under which the store keeps the document in a text: its service, or that of the routing document.
    Result<std::string> nameOfDocument(const std::string& text) const;

    ExitCode fail(const Answer&);
    ExitCode waitUntilInForce(const std::string& service, std::uint64_t version);
    Answer get(const std::string& target) const;
    Answer put(const std::string& service, const std::string& text, std::uint64_t expected, const std::string& change) const;
    /// Versions in force by node, over all replicas that answer.
    std::map<std::string, nlohmann::json> nodes() const;

    const CommandLine& m_line;
    const CommandHooks m_hooks;
    const ControlClient m_client;
    Report& m_report;
};

} // namespace Knapweedquay::Cli
