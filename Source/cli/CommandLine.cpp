#include "cli/CommandLine.h"

#include "protocol/SocketAddress.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

namespace Knapweedquay::Cli {

namespace {

namespace Options = boost::program_options;

/// A command as described in the usage text.
struct CommandHelp {
    const char* name;
    /// Placeholder of the operand in the usage text; empty when the command has none.
    const char* operand;
    bool isOperandOptional;
    const char* summary;
    const char* explanation;
};

constexpr CommandHelp commands[] = {
    { "apply", "FILE", false, "install a service document or the routing document", "Sends the document with the version that it replaces; an edit against another version is refused. An edit that is\nresent with the same change id gets the original answer. With --wait, waits until all subscribed nodes report the\nversion.\n" },
    { "validate", "FILE", false, "check a service document or a routing document", "Prints each problem with its line, its column, the key and the expected value. Contacts no server.\n" },
    { "show", "SERVICE", true, "print the document of a service, or the list of documents", "The routing document has the name @routing.\n" },
    { "diff", "FILE", false, "compare a document file with the current document", "The exit code is 8 when they differ.\n" },
    { "history", "SERVICE", false, "print the edits of a document with author, time and result", "" },
    { "status", "", false, "print the control replicas, the nodes and the versions in force", "" },
    { "drain", "", false, "stop new calls to the backend server of a node", "Needs --node, the admin address of the node.\n" },
    { "undrain", "", false, "resume calls to the backend server of a node", "Needs --node, the admin address of the node.\n" },
    { "bytes", "", false, "print the bytes that a node has sent to others, by kind", "Needs --node, the admin address of the node. Bytes between data centres cost money; which kind rises tells why.\n" },
    { "held", "", false, "print the requests that a node refuses because backend servers crashed while they ran them", "Needs --node, the admin address of the node. The digest is that of the log events 410 to 414.\n" },
    { "release", "DIGEST", true, "let a held request run again, at all nodes", "Needs --node, the admin address of any node, which tells the others.\n" },
    { "endpoints", "", false, "print what a node knows of each endpoint: load, limit, drain", "Needs --node, the admin address of the node. requests_per_second is the limit that the backend server named.\n" },
    { "evacuate", "DATA-CENTRE", false, "send nothing more to the backend servers of a data centre", "Needs the credential of the team operations. Nodes there still take callers' calls and run them elsewhere; what waits there\nmoves on, what runs ends. It holds until the command restore, also through restarts. With --wait, waits until it is in\nforce at all subscribed nodes. May be sent again at will.\n" },
    { "restore", "DATA-CENTRE", false, "take the backend servers of an emptied data centre back", "Needs the credential of the team operations. They get work again as newly started ones do. May be sent again at will.\n" },
    { "evacuations", "", false, "print the data centres that are emptied", "history @evacuations tells who ordered it, and when.\n" },
    { "trace", "REQUEST", false, "print the logged events of one request in the order of time", "Reads the log files given with --log. Contacts no server.\n" },
    { "replace", "REPLICA", false, "remove a lost control replica from the store", "Afterwards, start a new replica with an empty data folder; it joins automatically. The status command shows when the\nstore can survive the loss of another replica.\n" },
};

constexpr const char* exitCodeHelp = R"(Exit codes: 0 done; 1 failed; 2 wrong usage; 3 invalid document; 4 version conflict; 5 not authorized;
6 outcome unknown, resend with the same --change-id; 7 accepted, but not in force in time; 8 documents differ
)";

Options::options_description describeOptions()
{
    Options::options_description description("Options");
    const auto text = [] { return Options::value<std::string>(); };
    description.add_options()("help", "print help and exit");
    description.add_options()("version", "print the version and exit");
    description.add_options()("control", Options::value<std::vector<std::string>>()->composing(), "HTTP address of a control replica; may be repeated. Default: KNAPWEEDQUAY_CONTROL, separated by commas");
    description.add_options()("log", Options::value<std::vector<std::string>>()->composing(), "log file of a process; may be repeated");
    description.add_options()("node", text(), "admin address of a node");
    description.add_options()("credential-file", text(), "file with the team's secret. Default: the secret in KNAPWEEDQUAY_CREDENTIAL");
    description.add_options()("author", text(), "author recorded in the history; the name of the user by default");
    description.add_options()("change-id", text(), "identity of the edit, needed to resend it; random by default");
    description.add_options()("expected-version", Options::value<std::uint64_t>(), "version that the edit replaces, 0 for none; the current version by default");
    description.add_options()("wait", Options::value<double>(), "longest time in seconds to wait until the edit is in force at all nodes");
    description.add_options()("output", text(), "table or json");
    return description;
}

const CommandHelp* findCommand(const std::string& name)
{
    const auto found = std::find_if(std::begin(commands), std::end(commands), [&name](const CommandHelp& help) { return name == help.name; });
    return found == std::end(commands) ? nullptr : found;
}

std::string generalHelp()
{
    std::ostringstream text;
    text << "knapweedquay: operator command line\n\nUsage: knapweedquay COMMAND [OPERAND] [OPTIONS]\n\nCommands:\n";
    for (const CommandHelp& help : commands) {
        constexpr std::size_t nameWidth = 12;
        std::string name = help.name;
        name.resize(nameWidth, ' ');
        text << "  " << name << help.summary << '\n';
    }
    text << '\n'
         << describeOptions() << '\n'
         << exitCodeHelp;
    return text.str();
}

std::string commandHelp(const CommandHelp& help)
{
    std::ostringstream text;
    const std::string operand = help.isOperandOptional ? "[" + std::string(help.operand) + "]" : help.operand;
    text << "knapweedquay " << help.name << ": " << help.summary << "\n\nUsage: knapweedquay " << help.name << ' ' << operand << (operand.empty() ? "" : " ") << "[OPTIONS]\n\n"
         << help.explanation << '\n'
         << describeOptions() << '\n'
         << exitCodeHelp;
    return text.str();
}

Error usageError(const std::string& reason)
{
    return Error { ResultCode::InvalidSettings, reason + "; see knapweedquay --help" };
}

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

Result<std::string> readSecret(const std::string& path)
{
    std::ifstream file(path);
    std::string secret;
    if (!std::getline(file, secret))
        return Error { ResultCode::FileUnreadable, path + ": cannot be read" };
    return secret;
}

std::string optionText(const Options::variables_map& values, const char* name, const std::string& fallback = {})
{
    return values.count(name) > 0 ? values[name].as<std::string>() : fallback;
}

Result<void> readOptions(const Options::variables_map& values, const Environment& environment, CommandLine& commandLine)
{
    commandLine.controls = values.count("control") > 0 ? values["control"].as<std::vector<std::string>>() : splitAtCommas(environment.controls);
    if (values.count("log") > 0)
        commandLine.logs = values["log"].as<std::vector<std::string>>();
    commandLine.node = optionText(values, "node");
    commandLine.author = optionText(values, "author", environment.user);
    commandLine.changeId = optionText(values, "change-id");
    commandLine.credential = environment.credential;
    if (values.count("credential-file") > 0) {
        BOOST_OUTCOME_TRY(secret, readSecret(optionText(values, "credential-file")));
        commandLine.credential = secret;
    }
    if (values.count("expected-version") > 0)
        commandLine.expectedVersion = values["expected-version"].as<std::uint64_t>();
    if (values.count("wait") > 0)
        commandLine.wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(values["wait"].as<double>()));
    const std::string output = optionText(values, "output", "table");
    if (output != "table" && output != "json")
        return usageError("--output: expected table or json, found \"" + output + "\"");
    commandLine.output = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> checkAddresses(const CommandLine& commandLine)
{
    std::vector<std::string> addresses = commandLine.controls;
    if (!commandLine.node.empty())
        addresses.push_back(commandLine.node);
    for (const std::string& address : addresses) {
        const auto parsed = parseSocketAddress(address);
        if (parsed.has_error())
            return usageError(parsed.error().detail);
    }
    const bool isNodeCommand = commandLine.command == "drain" || commandLine.command == "undrain" || commandLine.command == "endpoints" || commandLine.command == "bytes"
        || commandLine.command == "held" || commandLine.command == "release";
    if (isNodeCommand && commandLine.node.empty())
        return usageError("--node is required");
    const bool isOffline = commandLine.command == "validate" || commandLine.command == "trace";
    if (commandLine.command == "trace" && commandLine.logs.empty())
        return usageError("--log is required");
    if (!isNodeCommand && !isOffline && commandLine.controls.empty())
        return usageError("--control is required");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<CommandLine> toCommandLine(const Options::variables_map& values, const Environment& environment)
{
    CommandLine commandLine;
    const auto operands = values.count("operands") > 0 ? values["operands"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (values.count("version") > 0) {
        commandLine.information = std::string("knapweedquay ") + KNAPWEEDQUAY_VERSION + "\n";
        return commandLine;
    }
    const CommandHelp* help = operands.empty() ? nullptr : findCommand(operands[0]);
    if (values.count("help") > 0) {
        commandLine.information = help ? commandHelp(*help) : generalHelp();
        return commandLine;
    }
    if (!help)
        return usageError(operands.empty() ? "a command is required" : "unknown command \"" + operands[0] + "\"");
    commandLine.command = help->name;
    const std::size_t expectedCount = *help->operand ? 1 : 0;
    const std::size_t operandCount = operands.size() - 1;
    if (operandCount > expectedCount || (operandCount < expectedCount && !help->isOperandOptional))
        return usageError(commandLine.command + ": expected " + (expectedCount ? std::string("one ") + help->operand : "no operand"));
    if (operandCount > 0)
        commandLine.operand = operands[1];
    BOOST_OUTCOME_TRYV(readOptions(values, environment, commandLine));
    BOOST_OUTCOME_TRYV(checkAddresses(commandLine));
    return commandLine;
}

} // namespace

Result<CommandLine> parseCommandLine(const std::vector<std::string>& arguments, const Environment& environment)
{
    Options::options_description all;
    all.add(describeOptions()).add_options()("operands", Options::value<std::vector<std::string>>());
    Options::positional_options_description positions;
    positions.add("operands", -1);
    Options::variables_map values;
    try {
        Options::store(Options::command_line_parser(arguments).options(all).positional(positions).run(), values);
    } catch (const Options::error& error) {
        return usageError(error.what());
    }
    return toCommandLine(values, environment);
}

} // namespace Knapweedquay::Cli
