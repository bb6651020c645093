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

struct CommandHelp {
    const char* name;
    /// What the operand is called; empty when there is none.
    const char* operand;
    bool isOperandOptional;
    const char* summary;
    const char* explanation;
};

constexpr CommandHelp commands[] = {
    { "apply", "FILE", false, "put a service document or the routing document in place", "Sends the document with the version that it replaces; an edit against another version is refused. Resent under the\nsame change id, an edit gets its first answer. With --wait, waits until all subscribed nodes report the version.\n" },
    { "validate", "FILE", false, "check a service document or a routing document", "Prints every problem with line, column, key and what was expected. Asks no server.\n" },
    { "show", "SERVICE", true, "print the document of a service, or the list of documents", "The routing document has the name @routing.\n" },
    { "diff", "FILE", false, "compare a document file with the one in place", "Exit code 8 tells that they differ.\n" },
    { "history", "SERVICE", false, "print who changed a document, when and with which result", "" },
    { "status", "", false, "print the control replicas, the nodes and the versions in force", "" },
    { "drain", "", false, "let no new calls go to the backend server beside a node", "Needs --node, the admin address of the node.\n" },
    { "undrain", "", false, "let calls go to the backend server beside a node again", "Needs --node, the admin address of the node.\n" },
    { "trace", "REQUEST", false, "print what the logs say of one request, in order", "Reads the log files given with --log; asks no server.\n" },
    { "replace", "REPLICA", false, "remove a lost control replica from the store", "Then start a new replica with an empty data folder; it joins by itself. status tells when the loss of one more\nreplica is survivable.\n" },
};

constexpr const char* exitCodeHelp = R"(Exit codes: 0 done; 1 failed; 2 wrong usage; 3 invalid document; 4 version conflict; 5 not authorized;
6 outcome unknown, resend with the same --change-id; 7 accepted, but not in force in time; 8 documents differ
)";

Options::options_description describeOptions()
{
    Options::options_description description("Options");
    const auto text = [] { return Options::value<std::string>(); };
    description.add_options()("help", "print help and end");
    description.add_options()("version", "print the version and end");
    description.add_options()("control", Options::value<std::vector<std::string>>()->composing(), "HTTP address of a control replica; may be repeated. Or KNAPWEEDQUAY_CONTROL, separated by commas");
    description.add_options()("log", Options::value<std::vector<std::string>>()->composing(), "log file of a process; may be repeated");
    description.add_options()("node", text(), "admin address of a node");
    description.add_options()("credential-file", text(), "file with the team's secret. Or KNAPWEEDQUAY_CREDENTIAL with the secret itself");
    description.add_options()("author", text(), "name for the audit trail; the user's name by default");
    description.add_options()("change-id", text(), "identity of the edit, to resend one; drawn at random by default");
    description.add_options()("expected-version", Options::value<std::uint64_t>(), "version that the edit replaces, 0 for none; the one in place by default");
    description.add_options()("wait", Options::value<double>(), "seconds to wait until all nodes have the edit in force");
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

Error wrongUsage(const std::string& reason)
{
    return Error { ResultCode::InvalidSettings, reason + "; knapweedquay --help tells more" };
}

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

Result<std::string> readSecret(const std::string& path)
{
    std::ifstream file(path);
    std::string secret;
    if (!std::getline(file, secret))
        return Error { ResultCode::FileUnreadable, path + ": cannot be read" };
    return secret;
}

std::string textOf(const Options::variables_map& values, const char* name, const std::string& fallback = {})
{
    return values.count(name) > 0 ? values[name].as<std::string>() : fallback;
}

Result<void> readOptions(const Options::variables_map& values, const Environment& environment, CommandLine& line)
{
    line.controls = values.count("control") > 0 ? values["control"].as<std::vector<std::string>>() : splitAtCommas(environment.controls);
    if (values.count("log") > 0)
        line.logs = values["log"].as<std::vector<std::string>>();
    line.node = textOf(values, "node");
    line.author = textOf(values, "author", environment.user);
    line.changeId = textOf(values, "change-id");
    line.credential = environment.credential;
    if (values.count("credential-file") > 0) {
        BOOST_OUTCOME_TRY(secret, readSecret(textOf(values, "credential-file")));
        line.credential = secret;
    }
    if (values.count("expected-version") > 0)
        line.expectedVersion = values["expected-version"].as<std::uint64_t>();
    if (values.count("wait") > 0)
        line.wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(values["wait"].as<double>()));
    const std::string output = textOf(values, "output", "table");
    if (output != "table" && output != "json")
        return wrongUsage("--output: expected table or json, found \"" + output + "\"");
    line.output = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> checkAddresses(const CommandLine& line)
{
    std::vector<std::string> addresses = line.controls;
    if (!line.node.empty())
        addresses.push_back(line.node);
    for (const std::string& address : addresses) {
        const auto parsed = parseSocketAddress(address);
        if (parsed.has_error())
            return wrongUsage(parsed.error().detail);
    }
    const bool isNodeCommand = line.command == "drain" || line.command == "undrain";
    if (isNodeCommand && line.node.empty())
        return wrongUsage("--node is needed");
    const bool asksNobody = line.command == "validate" || line.command == "trace";
    if (line.command == "trace" && line.logs.empty())
        return wrongUsage("--log is needed");
    if (!isNodeCommand && !asksNobody && line.controls.empty())
        return wrongUsage("--control is needed");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<CommandLine> interpret(const Options::variables_map& values, const Environment& environment)
{
    CommandLine line;
    const auto operands = values.count("operands") > 0 ? values["operands"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (values.count("version") > 0) {
        line.information = std::string("knapweedquay ") + KNAPWEEDQUAY_VERSION + "\n";
        return line;
    }
    const CommandHelp* help = operands.empty() ? nullptr : findCommand(operands[0]);
    if (values.count("help") > 0) {
        line.information = help ? commandHelp(*help) : generalHelp();
        return line;
    }
    if (!help)
        return wrongUsage(operands.empty() ? "a command is needed" : "unknown command \"" + operands[0] + "\"");
    line.command = help->name;
    const std::size_t wanted = *help->operand ? 1 : 0;
    const std::size_t found = operands.size() - 1;
    if (found > wanted || (found < wanted && !help->isOperandOptional))
        return wrongUsage(line.command + ": expected " + (wanted ? std::string("one ") + help->operand : "no operand"));
    if (found > 0)
        line.operand = operands[1];
    BOOST_OUTCOME_TRYV(readOptions(values, environment, line));
    BOOST_OUTCOME_TRYV(checkAddresses(line));
    return line;
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
        return wrongUsage(error.what());
    }
    return interpret(values, environment);
}

} // namespace Knapweedquay::Cli
