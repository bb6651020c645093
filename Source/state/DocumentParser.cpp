#include "state/DocumentParser.h"

#include "state/SettingsFile.h"
#include "state/TomlReader.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <tuple>
#include <utility>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr Duration shortestTime = milliseconds(1);
constexpr Duration longestCallTime = minutes(10);
constexpr Duration longestEjection = minutes(10);
constexpr Duration longestDrain = hours(1);
constexpr std::uint64_t largestSlots = 10000;
constexpr std::uint64_t largestBodyBytes = 64 * 1024 * 1024;
constexpr std::uint64_t largestRampCalls = 1000000;
constexpr std::uint64_t largestAttempts = 10;
constexpr double largestWorth = 1e6;
constexpr double smallestWorth = 1e-6;
constexpr double largestMeasurementBytesPerSecond = 22000;
constexpr double largestEjectedShare = 0.5;
// Tolerates rounding errors in sums of shares such as 0.1 + 0.2 + 0.7.
constexpr double roundingTolerance = 1e-9;
constexpr std::size_t longestNameBytes = 64;
constexpr std::size_t longestPathBytes = 256;

constexpr std::string_view methodExpectation = "an HTTP method in capitals, or \"*\"";
constexpr std::string_view pathExpectation = "a path of at most 256 bytes that begins with \"/\"";

bool isMethod(std::string_view text)
{
    return text == "*" || (!text.empty() && text.size() <= longestNameBytes && std::all_of(text.begin(), text.end(), [](char character) { return character >= 'A' && character <= 'Z'; }));
}

bool isPath(std::string_view text)
{
    const auto isVisibleAscii = [](char character) { return character > ' ' && character < '\x7f'; };
    return !text.empty() && text.front() == '/' && text.size() <= longestPathBytes && std::all_of(text.begin(), text.end(), isVisibleAscii);
}

void readLimits(TomlReader limits, ServiceDocument& document)
{
    document.defaultSlots = static_cast<std::uint32_t>(limits.integer("default_slots", document.defaultSlots, 1, largestSlots));
    document.defaultDeadline = limits.milliseconds("default_deadline_ms", document.defaultDeadline, shortestTime, longestCallTime);
    document.maximumDeadline = limits.milliseconds("maximum_deadline_ms", document.maximumDeadline, shortestTime, longestCallTime);
    document.maximumBodyBytes = limits.integer("maximum_body_bytes", document.maximumBodyBytes, 1, largestBodyBytes);
    if (document.maximumDeadline < document.defaultDeadline)
        limits.problem("maximum_deadline_ms", "expected at least default_deadline_ms");
    limits.finish();
}

void readMeasurement(TomlReader measurement, MeasurementLimits& limits)
{
    limits.probesPerCall = measurement.real("probes_per_call", limits.probesPerCall, 0, 1);
    limits.bytesPerSecond = measurement.real("bytes_per_second", limits.bytesPerSecond, 0, largestMeasurementBytesPerSecond);
    measurement.finish();
}

void readRetries(TomlReader retries, RetryLimits& limits)
{
    limits.maximumAttempts = static_cast<std::uint32_t>(retries.integer("maximum_attempts", limits.maximumAttempts, 1, largestAttempts));
    limits.retryShare = retries.real("retry_share", limits.retryShare, 0, 1);
    limits.hedgeShare = retries.real("hedge_share", limits.hedgeShare, 0, 1);
    retries.finish();
}

void readEjection(TomlReader ejection, EjectionLimits& limits)
{
    limits.maximumShare = ejection.real("maximum_share", limits.maximumShare, 0, largestEjectedShare);
    limits.baseTime = ejection.milliseconds("base_time_ms", limits.baseTime, shortestTime, longestEjection);
    ejection.finish();
}

void readRamp(TomlReader ramp, ServiceDocument& document)
{
    document.rampTime = ramp.milliseconds("time_ms", document.rampTime, Duration(0), longestCallTime);
    document.rampCalls = static_cast<std::uint32_t>(ramp.integer("calls", document.rampCalls, 0, largestRampCalls));
    ramp.finish();
}

void readDrain(TomlReader drain, ServiceDocument& document)
{
    document.drainTime = drain.milliseconds("time_ms", document.drainTime, Duration(0), longestDrain);
    drain.finish();
}

Priority readPriority(TomlReader& reader)
{
    Priority priority;
    priority.name = reader.requiredText("name", isPlainName, plainNameExpectation);
    priority.target = reader.milliseconds("target_ms", priority.target, shortestTime, longestCallTime);
    priority.worth = reader.real("worth", priority.worth, smallestWorth, largestWorth);
    priority.minimumShare = reader.real("minimum_share", priority.minimumShare, 0, 1);
    priority.maximumQueueTime = reader.milliseconds("maximum_queue_ms", priority.maximumQueueTime, Duration(0), longestCallTime);
    reader.finish();
    return priority;
}

std::uint32_t priorityIndexOf(const ServiceDocument& document, const std::string& priority)
{
    const auto found = std::find_if(document.priorities.begin(), document.priorities.end(), [&priority](const Priority& candidate) { return candidate.name == priority; });
    return static_cast<std::uint32_t>(found - document.priorities.begin());
}

void readPriorities(TomlReader& reader, ServiceDocument& document)
{
    double sum = 0;
    for (TomlReader& section : reader.sections("priorities", 1, maximumPriorities)) {
        const Priority priority = readPriority(section);
        if (!priority.name.empty() && priorityIndexOf(document, priority.name) < document.priorities.size())
            section.problem("name", "expected a name that no other priority has, found \"" + priority.name + "\" again");
        sum += priority.minimumShare;
        if (sum > 1 + roundingTolerance)
            section.problem("minimum_share", "expected a sum of at most 1 over all priorities, found " + Json(sum).dump());
        document.priorities.push_back(priority);
    }
}

void readRoutes(TomlReader& reader, ServiceDocument& document)
{
    for (TomlReader& section : reader.sections("routes", 0, maximumRoutes)) {
        Route route;
        route.method = section.text("method", route.method, isMethod, methodExpectation);
        route.path = section.text("path", route.path, isPath, pathExpectation);
        route.idempotent = section.boolean("idempotent", route.idempotent);
        const std::string priority = section.requiredText("priority", isPlainName, "the name of a priority");
        route.priority = PriorityIndex(priorityIndexOf(document, priority));
        if (!priority.empty() && route.priority.value() == document.priorities.size())
            section.problem("priority", "expected the name of a priority of this document, found \"" + priority + "\"");
        const bool isRepeated = std::any_of(document.routes.begin(), document.routes.end(), [&route](const Route& other) { return other.method == route.method && other.path == route.path; });
        if (isRepeated)
            section.problem("path", "expected a method and path that no other route has, found " + route.method + " " + route.path + " again");
        section.finish();
        document.routes.push_back(route);
    }
}

ServiceDocument readDocument(TomlReader reader)
{
    ServiceDocument document;
    document.service = ServiceName(reader.requiredText("service", isPlainName, plainNameExpectation));
    document.team = reader.requiredText("team", isPlainName, plainNameExpectation);
    readLimits(reader.section("limits"), document);
    readMeasurement(reader.section("measurement"), document.measurement);
    readRetries(reader.section("retries"), document.retries);
    readEjection(reader.section("ejection"), document.ejection);
    readRamp(reader.section("ramp"), document);
    readDrain(reader.section("drain"), document);
    readPriorities(reader, document);
    readRoutes(reader, document);
    reader.finish();
    return document;
}

std::int64_t toWholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Writes the scalar values of a table. The JSON form of numbers and strings is also valid TOML. Integers need no
// fraction, because readers accept them for real numbers.
void renderTable(std::ostream& stream, const Json& table)
{
    for (const auto& [key, value] : table.items()) {
        if (!value.is_structured())
            stream << key << " = " << value.dump() << '\n';
    }
}

} // namespace

ParsedDocument checkDocument(std::string_view text)
{
    ParsedDocument parsed;
    const auto table = parseToml(text, parsed.problems);
    if (!table)
        return parsed;
    ServiceDocument document = readDocument(TomlReader(*table, {}, parsed.problems));
    if (parsed.problems.empty())
        parsed.document = std::move(document);
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(), [](const ConfigurationProblem& a, const ConfigurationProblem& b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    return parsed;
}

Result<ServiceDocument> parseDocument(std::string_view text)
{
    ParsedDocument parsed = checkDocument(text);
    if (!parsed.document)
        return Error { ResultCode::InvalidDocument, toText(parsed.problems, {}) };
    return std::move(*parsed.document);
}

nlohmann::json toJson(const ServiceDocument& document)
{
    Json priorities = Json::array();
    for (const Priority& priority : document.priorities) {
        priorities.push_back({
            { "name", priority.name },
            { "target_ms", toWholeMilliseconds(priority.target) },
            { "worth", priority.worth },
            { "minimum_share", priority.minimumShare },
            { "maximum_queue_ms", toWholeMilliseconds(priority.maximumQueueTime) },
        });
    }
    Json routes = Json::array();
    for (const Route& route : document.routes) {
        routes.push_back({
            { "method", route.method },
            { "path", route.path },
            { "priority", document.priorities.at(route.priority.value()).name },
            { "idempotent", route.idempotent },
        });
    }
    return {
        { "service", document.service.value() },
        { "team", document.team },
        { "limits", { { "default_slots", document.defaultSlots }, { "default_deadline_ms", toWholeMilliseconds(document.defaultDeadline) }, { "maximum_deadline_ms", toWholeMilliseconds(document.maximumDeadline) }, { "maximum_body_bytes", document.maximumBodyBytes } } },
        { "measurement", { { "probes_per_call", document.measurement.probesPerCall }, { "bytes_per_second", document.measurement.bytesPerSecond } } },
        { "retries", { { "maximum_attempts", document.retries.maximumAttempts }, { "retry_share", document.retries.retryShare }, { "hedge_share", document.retries.hedgeShare } } },
        { "ejection", { { "maximum_share", document.ejection.maximumShare }, { "base_time_ms", toWholeMilliseconds(document.ejection.baseTime) } } },
        { "ramp", { { "time_ms", toWholeMilliseconds(document.rampTime) }, { "calls", document.rampCalls } } },
        { "drain", { { "time_ms", toWholeMilliseconds(document.drainTime) } } },
        { "priorities", priorities },
        { "routes", routes },
    };
}

std::string renderDocument(const ServiceDocument& document)
{
    const Json json = toJson(document);
    std::ostringstream stream;
    renderTable(stream, json);
    for (const auto& [key, value] : json.items()) {
        if (value.is_object()) {
            stream << "\n[" << key << "]\n";
            renderTable(stream, value);
        }
        if (!value.is_array())
            continue;
        for (const Json& entry : value) {
            stream << "\n[[" << key << "]]\n";
            renderTable(stream, entry);
        }
    }
    return stream.str();
}

} // namespace Knapweedquay
