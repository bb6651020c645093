#include "Load/CallClassResult.h"

#include <fmt/format.h>

namespace Knapweedquay::Load {

std::string CallClassResult::describeCodes() const
{
    std::string text;
    for (const auto& [code, count] : codes)
        text += fmt::format("{}{} x{}", text.empty() ? "" : ", ", code, count);
    return text;
}

nlohmann::json toJson(const CallClassResult& result)
{
    return {
        { "name", result.calls.name },
        { "rate", result.calls.rate },
        { "target_ms", result.calls.targetMs },
        { "sent", result.sent },
        { "answered", result.answered },
        { "failed", result.failed },
        { "not_run", result.notRun },
        { "unknown", result.unknown },
        { "errors", result.errors },
        { "wrong", result.wrong },
        { "codes", result.codes },
        { "within_target", result.withinTarget },
        { "within_target_share", result.withinTargetShare() },
        { "p50_ms", result.latency.quantile(0.5) },
        { "p99_ms", result.latency.quantile(0.99) },
        { "p999_ms", result.latency.quantile(0.999) },
        { "double_runs", result.doubleRuns },
        { "false_not_run", result.falseNotRun },
        { "answered_without_run", result.answeredWithoutRun },
    };
}

} // namespace Knapweedquay::Load
