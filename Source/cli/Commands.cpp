#include "cli/Commands.h"

#include "cli/DocumentDifference.h"
#include "cli/RequestTimeline.h"
#include "state/DocumentParser.h"
#include "state/EvacuationDocument.h"
#include "state/RoutingParser.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace Knapweedquay::Cli {

namespace {

using Json = nlohmann::json;

/// Interval at which the versions in force are polled.
constexpr Duration pollInterval = std::chrono::milliseconds(100);

ExitCode toExitCode(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return ExitCode::Done;
    case ResultCode::InvalidDocument:
        return ExitCode::InvalidDocument;
    case ResultCode::VersionConflict:
        return ExitCode::VersionConflict;
    case ResultCode::NotAuthorized:
        return ExitCode::NotAuthorized;
    case ResultCode::NoQuorum:
    case ResultCode::TimedOut:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Failed;
    }
}

std::uint64_t versionIn(const Json& versions, const std::string& service)
{
    return versions.is_object() ? versions.value(service, std::uint64_t { 0 }) : 0;
}

// UTC, such as 2026-12-03T21:09:28Z.
std::string timeText(std::int64_t microsecondsSince1970)
{
    constexpr std::int64_t microsecondsPerSecond = 1000000;
    const std::time_t seconds = microsecondsSince1970 / microsecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[sizeof "2026-12-03T21:09:28Z"] = {};
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

std::string join(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

Commands::Commands(const CommandLine& commandLine, CommandHooks hooks, Report& report)
    : m_commandLine(commandLine)
    , m_hooks(std::move(hooks))
    , m_client(commandLine.controls, m_hooks.exchange)
    , m_report(report)
{
}

ExitCode Commands::run()
{
    if (m_commandLine.command == "apply")
        return apply();
    if (m_commandLine.command == "validate")
        return validate();
    if (m_commandLine.command == "show")
        return m_commandLine.operand.empty() ? listDocuments() : show();
    if (m_commandLine.command == "diff")
        return diff();
    if (m_commandLine.command == "history")
        return history();
    if (m_commandLine.command == "status")
        return status();
    if (m_commandLine.command == "replace")
        return replace();
    if (m_commandLine.command == "evacuate")
        return setEmptied(true);
    if (m_commandLine.command == "restore")
        return setEmptied(false);
    if (m_commandLine.command == "evacuations")
        return evacuations();
    if (m_commandLine.command == "trace")
        return trace();
    if (m_commandLine.command == "endpoints")
        return endpoints();
    if (m_commandLine.command == "bytes")
        return bytes();
    if (m_commandLine.command == "held")
        return held();
    if (m_commandLine.command == "release")
        return release();
    return setDraining(m_commandLine.command == "drain");
}

ExitCode Commands::fail(const Answer& answer)
{
    std::string text = std::to_string(static_cast<int>(answer.code)) + " " + title(answer.code) + ": " + answer.detail;
    if (answer.code == ResultCode::VersionConflict && answer.body.contains("winner_author"))
        text += "; version " + answer.body["version"].dump() + " is by " + answer.body["winner_author"].dump();
    m_report.error(text);
    return toExitCode(answer.code);
}

Answer Commands::get(const std::string& target) const
{
    return m_client.ask({ "GET", target, {}, {} });
}

Answer Commands::put(const std::string& service, const std::string& text, std::uint64_t expected, const std::string& change) const
{
    HttpRequest request { "PUT", "/v1/documents/" + service, {}, text };
    request.headers = { { "Content-Type", "application/toml" }, { "Authorization", "Bearer " + m_commandLine.credential }, { "Knapweedquay-Author", m_commandLine.author },
        { "Knapweedquay-Change-Id", change }, { "Knapweedquay-Expected-Version", std::to_string(expected) } };
    return m_client.ask(request);
}

ExitCode Commands::validate()
{
    const auto text = m_hooks.readFile(m_commandLine.operand);
    if (text.has_error())
        return fail({ text.error().code, text.error().detail, {} });
    const auto name = documentName(text.value());
    if (name.has_error()) {
        m_report.error(name.error().detail);
        return ExitCode::InvalidDocument;
    }
    const ParsedDocument parsed = checkDocument(text.value());
    m_report.result(m_commandLine.operand + ": valid document of " + name.value(), parsed.document ? toJson(*parsed.document) : Json { { "service", name.value() } });
    return ExitCode::Done;
}

// A routing document has a version and routes with hosts, but no service of its own.
Result<std::string> Commands::documentName(const std::string& text) const
{
    const ParsedDocument parsed = checkDocument(text);
    if (parsed.document)
        return parsed.document->service.value();
    const auto routing = parseRoutingToml(text);
    if (!routing.has_error())
        return routingDocumentName().value();
    const bool looksLikeRouting = text.find("[[services]]") != std::string::npos;
    return Error { ResultCode::InvalidDocument, looksLikeRouting ? m_commandLine.operand + ": " + routing.error().detail : toText(parsed.problems, m_commandLine.operand) };
}

ExitCode Commands::apply()
{
    const auto text = m_hooks.readFile(m_commandLine.operand);
    if (text.has_error())
        return fail({ text.error().code, text.error().detail, {} });
    const auto name = documentName(text.value());
    if (name.has_error()) {
        m_report.error(name.error().detail);
        return ExitCode::InvalidDocument;
    }
    const std::string& service = name.value();
    std::uint64_t expected = m_commandLine.expectedVersion.value_or(0);
    if (!m_commandLine.expectedVersion) {
        const Answer current = get("/v1/documents/" + service);
        if (!current.isOk() && current.code != ResultCode::UnknownDocument)
            return fail(current);
        expected = current.isOk() ? current.body.value("version", std::uint64_t { 0 }) : 0;
    }
    const std::string change = m_commandLine.changeId.empty() ? m_hooks.generateChangeId() : m_commandLine.changeId;
    const Answer answer = put(service, text.value(), expected, change);
    if (!answer.isOk()) {
        const ExitCode code = fail(answer);
        if (code == ExitCode::OutcomeUnknown)
            m_report.error("resend with --change-id " + change + " --expected-version " + std::to_string(expected));
        return code;
    }
    const std::uint64_t version = answer.body.value("version", std::uint64_t { 0 });
    m_report.result(service + ": version " + std::to_string(version) + " accepted, change " + change, { { "service", service }, { "version", version }, { "change", change } });
    return m_commandLine.wait > Duration(0) ? waitUntilInForce(service, version) : ExitCode::Done;
}

std::map<std::string, Json> Commands::nodes() const
{
    std::map<std::string, Json> nodes;
    for (const Answer& answer : m_client.askAll({ "GET", "/v1/nodes", {}, {} })) {
        if (!answer.isOk() || !answer.body.is_array())
            continue;
        for (const Json& node : answer.body)
            nodes[node.value("node", std::string())] = node;
    }
    return nodes;
}

ExitCode Commands::waitUntilInForce(const std::string& service, std::uint64_t version)
{
    std::vector<std::string> missingNodes;
    for (Duration waited { 0 }; waited <= m_commandLine.wait; waited += pollInterval) {
        missingNodes.clear();
        for (const auto& [name, node] : nodes()) {
            if (versionIn(node.value("in_force", Json::object()), service) < version)
                missingNodes.push_back(name);
        }
        if (missingNodes.empty())
            return ExitCode::Done;
        m_hooks.sleep(pollInterval);
    }
    m_report.error(service + ": version " + std::to_string(version) + " is not in force at: " + join(missingNodes));
    return ExitCode::NotInForce;
}

ExitCode Commands::listDocuments()
{
    const Answer answer = get("/v1/documents");
    if (!answer.isOk())
        return fail(answer);
    m_report.table(answer.body, { "service", "version", "team" });
    return ExitCode::Done;
}

ExitCode Commands::show()
{
    const Answer answer = get("/v1/documents/" + m_commandLine.operand);
    if (!answer.isOk())
        return fail(answer);
    m_report.result(answer.body.value("text", std::string()), answer.body);
    return ExitCode::Done;
}

ExitCode Commands::diff()
{
    const auto text = m_hooks.readFile(m_commandLine.operand);
    if (text.has_error())
        return fail({ text.error().code, text.error().detail, {} });
    const ParsedDocument fileDocument = checkDocument(text.value());
    if (!fileDocument.document) {
        m_report.error(toText(fileDocument.problems, m_commandLine.operand));
        return ExitCode::InvalidDocument;
    }
    const Answer answer = get("/v1/documents/" + fileDocument.document->service.value());
    if (!answer.isOk() && answer.code != ResultCode::UnknownDocument)
        return fail(answer);
    const auto storedDocument = answer.isOk() ? parseDocument(answer.body.value("text", std::string())) : Result<ServiceDocument>(ServiceDocument {});
    if (storedDocument.has_error())
        return fail({ storedDocument.error().code, storedDocument.error().detail, {} });
    Json rows = Json::array();
    for (const Difference& difference : findDifferences(answer.isOk() ? toJson(storedDocument.value()) : Json::object(), toJson(*fileDocument.document)))
        rows.push_back({ { "key", difference.key }, { "in place", difference.before }, { "in file", difference.after } });
    m_report.table(rows, { "key", "in place", "in file" });
    return rows.empty() ? ExitCode::Done : ExitCode::Different;
}

ExitCode Commands::history()
{
    const Answer answer = get("/v1/history/" + m_commandLine.operand);
    if (!answer.isOk())
        return fail(answer);
    Json rows = answer.body;
    for (Json& row : rows)
        row["time"] = timeText(row.value("time_us", std::int64_t { 0 }));
    m_report.table(rows, { "sequence", "time", "author", "team", "change", "from_version", "version", "result" });
    return ExitCode::Done;
}

ExitCode Commands::status()
{
    const std::vector<Answer> answers = m_client.askAll({ "GET", "/v1/status", {}, {} });
    Json replicas = Json::array();
    bool isAnyLeading = false;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        Json row = answers[index].isOk() ? answers[index].body : Json { { "error", answers[index].detail } };
        row["address"] = m_client.controls()[index];
        isAnyLeading = isAnyLeading || row.value("leading", false);
        replicas.push_back(row);
    }
    Json nodeRows = Json::array();
    for (const auto& [name, node] : nodes())
        nodeRows.push_back(node);
    const Answer documents = get("/v1/documents");
    if (m_commandLine.output == OutputFormat::Json) {
        m_report.result({}, { { "replicas", replicas }, { "documents", documents.body }, { "nodes", nodeRows } });
    } else {
        m_report.table(replicas, { "address", "replica", "leading", "term", "applied_index", "survives_another_loss", "error" });
        m_report.result("", {});
        if (documents.isOk())
            m_report.table(documents.body, { "service", "version", "team" });
        m_report.result("", {});
        m_report.table(nodeRows, { "node", "incarnation", "in_force" });
    }
    return isAnyLeading ? ExitCode::Done : ExitCode::Failed;
}

ExitCode Commands::setDraining(bool isDraining)
{
    const ControlClient node({ m_commandLine.node }, m_hooks.exchange);
    const Answer answer = node.ask({ "POST", isDraining ? "/leave" : "/return", {}, {} });
    if (!answer.isOk())
        return fail(answer);
    if (!isDraining && answer.body.value("draining", false)) {
        m_report.error("the backend server told that it leaves; calls resume with its next run");
        return ExitCode::Failed;
    }
    m_report.result(answer.body.value("node", m_commandLine.node) + (isDraining ? ": draining" : ": taking calls"), answer.body);
    return ExitCode::Done;
}

Answer Commands::nodeStatus() const
{
    const ControlClient node({ m_commandLine.node }, m_hooks.exchange);
    return node.ask({ "GET", "/status", {}, {} });
}

ExitCode Commands::bytes()
{
    const Answer answer = nodeStatus();
    if (!answer.isOk())
        return fail(answer);
    m_report.table(answer.body.value(Json::json_pointer("/traffic/sent_bytes"), Json::array()), { "kind", "same_data_centre", "other_data_centres" });
    return ExitCode::Done;
}

ExitCode Commands::held()
{
    const Answer answer = nodeStatus();
    if (!answer.isOk())
        return fail(answer);
    m_report.table(answer.body.value(Json::json_pointer("/traffic/held_requests"), Json::array()), { "digest", "service", "crashes", "trial_in_s" });
    return ExitCode::Done;
}

ExitCode Commands::release()
{
    const ControlClient node({ m_commandLine.node }, m_hooks.exchange);
    const Answer answer = node.ask({ "POST", "/release", { { "Content-Type", "application/json" } }, Json { { "digest", m_commandLine.operand } }.dump() });
    if (!answer.isOk())
        return fail(answer);
    m_report.result(m_commandLine.operand + ": released at all nodes that hear of it", answer.body);
    return ExitCode::Done;
}

ExitCode Commands::endpoints()
{
    const Answer answer = nodeStatus();
    if (!answer.isOk())
        return fail(answer);
    const Json services = answer.body.value(Json::json_pointer("/traffic/endpoints"), Json::object());
    Json rows = Json::array();
    for (const auto& [service, endpoints] : services.items()) {
        for (Json row : endpoints) {
            row["service"] = service;
            rows.push_back(std::move(row));
        }
    }
    m_report.table(rows, { "service", "node", "predicted_ms", "outstanding", "slowdown_percent", "requests_per_second", "draining", "ejected" });
    return ExitCode::Done;
}

ExitCode Commands::trace()
{
    RequestTimeline timeline(m_commandLine.operand);
    for (const std::string& path : m_commandLine.logs) {
        const auto text = m_hooks.readFile(path);
        if (text.has_error())
            return fail({ text.error().code, text.error().detail, {} });
        timeline.addLog(text.value());
    }
    const Json rows = timeline.rows();
    if (rows.empty()) {
        m_report.error(m_commandLine.operand + ": no log contains this request; only a sample of the successful requests is logged");
        return ExitCode::Failed;
    }
    m_report.table(rows, { "time_us", "node", "event", "text", "details" });
    return ExitCode::Done;
}

ExitCode Commands::setEmptied(bool isEmptied)
{
    const std::string& dataCentre = m_commandLine.operand;
    HttpRequest request { isEmptied ? "PUT" : "DELETE", "/v1/evacuations/" + dataCentre, {}, {} };
    request.headers = { { "Authorization", "Bearer " + m_commandLine.credential }, { "Knapweedquay-Author", m_commandLine.author } };
    const Answer answer = m_client.ask(request);
    if (!answer.isOk()) {
        const ExitCode code = fail(answer);
        if (code == ExitCode::OutcomeUnknown)
            m_report.error("send the command again");
        return code;
    }
    const std::uint64_t version = answer.body.value("version", std::uint64_t { 0 });
    m_report.result(dataCentre + (isEmptied ? ": emptied" : ": taken back") + ", version " + std::to_string(version), { { "data_centre", dataCentre }, { "emptied", isEmptied }, { "version", version } });
    return m_commandLine.wait > Duration(0) ? waitUntilInForce(evacuationDocumentName().value(), version) : ExitCode::Done;
}

ExitCode Commands::evacuations()
{
    const Answer answer = get("/v1/evacuations");
    if (!answer.isOk())
        return fail(answer);
    m_report.table(answer.body, { "data_centre" });
    return ExitCode::Done;
}

ExitCode Commands::replace()
{
    const Answer answer = m_client.ask({ "DELETE", "/v1/replicas/" + m_commandLine.operand, { { "Authorization", "Bearer " + m_commandLine.credential } }, {} });
    if (!answer.isOk())
        return fail(answer);
    m_report.result("replica " + m_commandLine.operand + " is removed; start a new one with an empty data folder", answer.body);
    return ExitCode::Done;
}

} // namespace Knapweedquay::Cli
