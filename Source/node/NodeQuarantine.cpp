#include "node/NodeQuarantine.h"

#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// Shortest time between two log lines about refusals.
constexpr Duration refusalLogInterval { 1000000 };
/// Retry-After of a refusal while a trial is due or under way elsewhere.
constexpr Duration minimumRetryAfter { 1000000 };

CrashId crashIdOf(const NodeIdentity& self, std::uint64_t number)
{
    const std::string text = self.node.value() + '\n' + std::to_string(self.incarnation.value()) + '\n' + std::to_string(number);
    return CrashId(XXH3_64bits(text.data(), text.size()));
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

NodeQuarantine::NodeQuarantine(NodeIdentity self, NodeMetrics& metrics)
    : m_self(std::move(self))
    , m_metrics(metrics)
{
}

void NodeQuarantine::crashed(std::uint64_t number, const ServiceName& service, const std::vector<RequestDigest>& requests, const std::vector<NodeId>& origins)
{
    spread(m_quarantine.crashed(crashIdOf(m_self, number), service, requests, steadyNow()), origins);
    reportChanges();
}

void NodeQuarantine::succeeded(const RequestDigest& digest)
{
    spread(m_quarantine.succeeded(digest, steadyNow()));
    reportChanges();
}

void NodeQuarantine::receive(const CrashEvidence& evidence)
{
    spread(m_quarantine.receive(evidence, steadyNow()));
    reportChanges();
}

bool NodeQuarantine::release(const RequestDigest& digest)
{
    const std::vector<CrashEvidence> pieces = m_quarantine.release(digest, steadyNow());
    spread(pieces);
    reportChanges();
    return !pieces.empty();
}

QuarantineVerdict NodeQuarantine::verdict(const RequestDigest& digest) const
{
    return m_quarantine.verdict(digest, steadyNow());
}

std::optional<Refusal> NodeQuarantine::checkRun(const RequestDigest& digest)
{
    const TimePoint now = steadyNow();
    const QuarantineVerdict verdict = m_quarantine.verdict(digest, now);
    if (verdict.state == QuarantineState::Held)
        return refuse(digest, verdict);
    if (verdict.state == QuarantineState::TrialDue) {
        log(LogEvent::QuarantineTrial, { { "digest", toText(digest) }, { "crashes", std::to_string(verdict.crashes) } });
        spread(m_quarantine.startTrial(digest, now));
    }
    return std::nullopt;
}

Refusal NodeQuarantine::refuse(const RequestDigest& digest, const QuarantineVerdict& verdict)
{
    const TimePoint now = steadyNow();
    m_metrics.requestHeld();
    ++m_unloggedRefusals;
    if (now >= m_refusalsLoggedUntil) {
        m_refusalsLoggedUntil = now + refusalLogInterval;
        log(LogEvent::QuarantineRefusals, { { "digest", toText(digest) }, { "refusals", std::to_string(std::exchange(m_unloggedRefusals, 0)) } });
    }
    return { ResultCode::RequestHeld, std::max(verdict.heldUntil - now, minimumRetryAfter) };
}

std::vector<NodeQuarantine::Entry> NodeQuarantine::entries() const
{
    const TimePoint now = steadyNow();
    std::vector<Entry> entries;
    for (const RequestDigest& digest : m_quarantine.held()) {
        const QuarantineVerdict verdict = m_quarantine.verdict(digest, now);
        entries.push_back({ digest, m_quarantine.evidence().find(digest)->service, verdict.crashes, std::max(verdict.heldUntil - now, Duration::zero()) });
    }
    return entries;
}

void NodeQuarantine::expire()
{
    m_quarantine.expire(steadyNow());
    reportChanges();
}

void NodeQuarantine::spread(const std::vector<CrashEvidence>& evidence, const std::vector<NodeId>& recipients)
{
    if (!evidence.empty() && m_spreadHook)
        m_spreadHook(evidence, recipients);
}

void NodeQuarantine::reportChanges()
{
    for (const QuarantineChange& change : m_quarantine.takeChanges()) {
        const QuarantineVerdict verdict = m_quarantine.verdict(change.digest, steadyNow());
        std::vector<LogField> fields { { "digest", toText(change.digest) }, { "service", change.service.value() }, { "crashes", std::to_string(change.crashes) } };
        if (change.isHeld)
            fields.push_back({ "held_ms", milliseconds(verdict.heldUntil - steadyNow()) });
        log(change.isHeld ? LogEvent::RequestQuarantined : LogEvent::RequestReleased, fields);
    }
    m_metrics.setQuarantined(m_quarantine.heldCount());
}

} // namespace Knapweedquay
