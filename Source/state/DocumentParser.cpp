#include "state/DocumentParser.h"

#include <toml++/toml.h>

#include <chrono>

namespace Knapweedquay {

namespace {

Duration readMilliseconds(const toml::table& table, std::string_view key, Duration fallback)
{
    const auto milliseconds = table[key].value<std::int64_t>();
    return milliseconds ? Duration(std::chrono::milliseconds(*milliseconds)) : fallback;
}

toml::table section(const toml::table& table, std::string_view key)
{
    const toml::table* found = table[key].as_table();
    return found ? *found : toml::table();
}

void readPriorities(const toml::table& table, ServiceDocument& document)
{
    const toml::array* list = table["priorities"].as_array();
    if (!list)
        return;
    for (const auto& node : *list) {
        const toml::table& entry = *node.as_table();
        Priority priority;
        priority.name = entry["name"].value_or(std::string());
        priority.target = readMilliseconds(entry, "target_ms", priority.target);
        priority.worth = entry["worth"].value_or(priority.worth);
        priority.minimumShare = entry["minimum_share"].value_or(priority.minimumShare);
        priority.maximumQueueTime = readMilliseconds(entry, "maximum_queue_ms", priority.maximumQueueTime);
        document.priorities.push_back(priority);
    }
}

Result<void> readRoutes(const toml::table& table, ServiceDocument& document)
{
    const toml::array* list = table["routes"].as_array();
    if (!list)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    for (const auto& node : *list) {
        const toml::table& entry = *node.as_table();
        Route route;
        route.method = entry["method"].value_or(route.method);
        route.path = entry["path"].value_or(route.path);
        route.idempotent = entry["idempotent"].value_or(route.idempotent);
        const std::string name = entry["priority"].value_or(std::string());
        std::uint32_t index = 0;
        while (index < document.priorities.size() && document.priorities[index].name != name)
            ++index;
        if (index == document.priorities.size())
            return Error { ResultCode::InvalidDocument, "routes: unknown priority '" + name + "'" };
        route.priority = PriorityIndex(index);
        document.routes.push_back(route);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

Result<ServiceDocument> parseDocument(std::string_view text)
{
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error& error) {
        return Error { ResultCode::InvalidDocument, std::string(error.description()) };
    }
    ServiceDocument document;
    document.service = ServiceName(table["service"].value_or(std::string()));
    document.team = table["team"].value_or(std::string());
    const toml::table limits = section(table, "limits");
    document.defaultSlots = limits["default_slots"].value_or(document.defaultSlots);
    document.defaultDeadline = readMilliseconds(limits, "default_deadline_ms", document.defaultDeadline);
    document.maximumDeadline = readMilliseconds(limits, "maximum_deadline_ms", document.maximumDeadline);
    document.maximumBodyBytes = limits["maximum_body_bytes"].value_or(document.maximumBodyBytes);
    const toml::table measurement = section(table, "measurement");
    document.measurement.probesPerCall = measurement["probes_per_call"].value_or(document.measurement.probesPerCall);
    document.measurement.bytesPerSecond = measurement["bytes_per_second"].value_or(document.measurement.bytesPerSecond);
    const toml::table retries = section(table, "retries");
    document.retries.maximumAttempts = retries["maximum_attempts"].value_or(document.retries.maximumAttempts);
    document.retries.retryShare = retries["retry_share"].value_or(document.retries.retryShare);
    document.retries.hedgeShare = retries["hedge_share"].value_or(document.retries.hedgeShare);
    const toml::table ejection = section(table, "ejection");
    document.ejection.maximumShare = ejection["maximum_share"].value_or(document.ejection.maximumShare);
    document.ejection.baseTime = readMilliseconds(ejection, "base_time_ms", document.ejection.baseTime);
    const toml::table ramp = section(table, "ramp");
    document.rampTime = readMilliseconds(ramp, "time_ms", document.rampTime);
    document.rampCalls = ramp["calls"].value_or(document.rampCalls);
    document.drainTime = readMilliseconds(section(table, "drain"), "time_ms", document.drainTime);
    readPriorities(table, document);
    BOOST_OUTCOME_TRYV(readRoutes(table, document));
    if (document.service.value().empty() || document.priorities.empty())
        return Error { ResultCode::InvalidDocument, "service and at least one entry of priorities are needed" };
    return document;
}

} // namespace Knapweedquay
