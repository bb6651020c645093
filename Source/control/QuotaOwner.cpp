#include "control/QuotaOwner.h"

#include "transport/Logger.h"

#include <string>
#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between log lines about grants.
constexpr Duration countInterval { 1000000 };

} // namespace

QuotaOwner::QuotaOwner(const ControlService& service, RoutingParser parse, const QuotaBound& bound)
    : m_service(service)
    , m_parse(std::move(parse))
    , m_ledger(bound)
{
}

bool QuotaOwner::prepare(TimePoint now)
{
    if (!m_service.isLeading() || !m_service.log()->canAccept(now))
        return false;
    const std::uint64_t term = m_service.log()->term().value();
    if (std::exchange(m_term, term) != term)
        m_version.reset();
    const StoredDocument* document = m_service.state().documents().find(routingDocumentName());
    if (!document)
        return false;
    m_ledger.lead(term, now);
    if (m_version == document->version)
        return true;
    // The store accepts only documents that can be parsed.
    const auto routing = m_parse(document->text);
    if (routing.has_error())
        return false;
    m_ledger.setQuotas(routing.value().workspaces, now);
    m_version = document->version;
    return true;
}

void QuotaOwner::tick(TimePoint now)
{
    prepare(now);
    logCounts(now);
}

void QuotaOwner::logCounts(TimePoint now)
{
    if (now - m_loggedAt < countInterval)
        return;
    m_loggedAt = now;
    const QuotaLedger::Counts counts = m_ledger.takeCounts();
    if (counts.requests == 0)
        return;
    log(LogEvent::QuotaGrantsCounted, { { "requests", std::to_string(counts.requests) }, { "wanted", std::to_string(counts.wanted) }, { "granted", std::to_string(counts.granted) }, { "denied_by_bucket", std::to_string(counts.deniedByBucket) }, { "denied_by_allowance", std::to_string(counts.deniedByAllowance) }, { "denied_by_share", std::to_string(counts.deniedByShare) } });
}

std::optional<QuotaGrantMessage> QuotaOwner::answer(const QuotaRequestMessage& message, TimePoint now)
{
    if (!prepare(now))
        return std::nullopt;
    return m_ledger.answer(message, now);
}

} // namespace Knapweedquay
