#include "control/QuotaOwner.h"

#include <utility>

namespace Knapweedquay {

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
}

std::optional<QuotaGrantMessage> QuotaOwner::answer(const QuotaRequestMessage& message, TimePoint now)
{
    if (!prepare(now))
        return std::nullopt;
    return m_ledger.answer(message, now);
}

} // namespace Knapweedquay
