#include "node/CallTrace.h"

#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace Knapweedquay {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

void CallTrace::add(LogEvent event, TimePoint at, const NodeId& peer, Values values)
{
    m_entries.push_back({ event, at, peer, values });
}

std::array<const char*, CallTrace::valueCount> traceFields(LogEvent event)
{
    switch (event) {
    case LogEvent::CallAccepted:
        return { "priority", "time_left_us", "spent_before_us", "routing_version" };
    case LogEvent::EndpointChosen:
        return { "predicted_us", "report_age_us", "slowdown_percent", "outstanding" };
    case LogEvent::AttemptRefused:
        return { "code", "retry_after_us", "", "" };
    case LogEvent::AttemptOutcomeUnknown:
        return { "code", "", "", "" };
    case LogEvent::AttemptAnswered:
        return { "status", "", "", "" };
    case LogEvent::CallHedged:
        return { "waited_us", "", "", "" };
    case LogEvent::CallEnded:
        return { "status", "code", "waited_us", "attempts" };
    case LogEvent::AttemptAdmitted:
        return { "started", "time_left_us", "target_left_us", "slowdown_percent" };
    case LogEvent::AttemptRejected:
        return { "code", "time_left_us", "target_left_us", "retry_after_us" };
    case LogEvent::AttemptStarted:
        return { "queued_us", "running", "limit", "slowdown_percent" };
    case LogEvent::AttemptEnded:
        return { "status", "code", "service_us", "resent" };
    default:
        return { "", "", "", "" };
    }
}

void CallTrace::write(const std::string& request, const ServiceName& service, const std::string& route) const
{
    const TimePoint now = steadyNow();
    const std::uint64_t wall = wallNow().value();
    for (const Entry& entry : m_entries) {
        // The time of the decision, not the time of writing.
        const std::uint64_t decidedAt = wall - static_cast<std::uint64_t>((now - entry.at).count());
        std::vector<LogField> fields { { "request", request }, { "service", service.value() }, { "wall_us", std::to_string(decidedAt) } };
        if (!entry.peer.value().empty())
            fields.push_back({ "peer", entry.peer.value() });
        const auto names = traceFields(entry.event);
        for (std::size_t index = 0; index < valueCount; ++index) {
            if (names[index][0] != '\0')
                fields.push_back({ names[index], std::to_string(entry.values[index]) });
        }
        if (entry.event == LogEvent::CallAccepted)
            fields.push_back({ "route", route });
        log(entry.event, fields);
    }
}

TraceSampler::TraceSampler(Settings settings)
    : m_settings(settings)
    , m_tokens(settings.linesPerSecond)
{
}

bool TraceSampler::isSampled(const std::string& request) const
{
    return m_settings.sampleOneIn > 0 && XXH3_64bits(request.data(), request.size()) % m_settings.sampleOneIn == 0;
}

bool TraceSampler::admits(const std::string& request, bool hasFailed, std::size_t lines, TimePoint now)
{
    if (!hasFailed && !isSampled(request))
        return false;
    const double rate = m_settings.linesPerSecond;
    const double refill = static_cast<double>((now - m_refilledAt).count()) / microsecondsPerSecond * rate;
    m_refilledAt = now;
    m_tokens = std::min(rate, m_tokens + std::max(0.0, refill));
    if (m_tokens < static_cast<double>(lines)) {
        m_droppedLines += lines;
        return false;
    }
    m_tokens -= static_cast<double>(lines);
    return true;
}

} // namespace Knapweedquay
