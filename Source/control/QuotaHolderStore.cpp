#include "control/QuotaHolderStore.h"

#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr const char* holderAuthor = "control store";
/// Interval between looks at the members.
constexpr Duration checkInterval { 100000 };

void logHolders(const QuotaHolderDocument& document, DocumentVersion version)
{
    std::string holders;
    for (const QuotaHolderDocument::Slice& slice : document.slices)
        holders += (holders.empty() ? "" : " ") + (slice.holder.value().empty() ? std::string("-") : slice.holder.value());
    log(LogEvent::QuotaHoldersChanged, { { "version", std::to_string(version.value()) }, { "holders", holders } });
}

} // namespace

QuotaHolderStore::QuotaHolderStore(ControlService& service, RoutingParser parse, const QuotaBound& bound, Hooks hooks)
    : m_service(service)
    , m_parse(std::move(parse))
    , m_hooks(std::move(hooks))
    , m_assignment(bound)
{
}

bool QuotaHolderStore::hasQuotas()
{
    const StoredDocument* document = m_service.state().documents().find(routingDocumentName());
    if (!document)
        return false;
    if (m_routingVersion == document->version)
        return m_hasQuotas;
    m_routingVersion = document->version;
    const auto routing = m_parse(document->text);
    m_hasQuotas = routing.has_value() && std::any_of(routing.value().workspaces.begin(), routing.value().workspaces.end(), [](const Workspace& workspace) { return workspace.quota.isLimited(); });
    return m_hasQuotas;
}

void QuotaHolderStore::tick(TimePoint now)
{
    if (now - m_checkedAt < checkInterval)
        return;
    m_checkedAt = now;
    if (!m_service.isLeading() || !m_service.log()->canAccept(now) || m_isEditing || !hasQuotas())
        return;
    m_assignment.lead(m_service.log()->term().value(), now);
    const StoredDocument* stored = m_service.state().documents().find(quotaHolderDocumentName());
    std::optional<QuotaHolderDocument> committed;
    if (stored) {
        const auto parsed = parseQuotaHolders(stored->text);
        if (parsed.has_error())
            return;
        committed = parsed.value();
    }
    const DocumentVersion version = stored ? stored->version : DocumentVersion();
    if (const auto next = m_assignment.next(committed, version.value() + 1, m_hooks.members(), now))
        submit(*next, version, now);
}

void QuotaHolderStore::submit(const QuotaHolderDocument& document, DocumentVersion expected, TimePoint now)
{
    DocumentEdit edit;
    edit.service = quotaHolderDocumentName();
    edit.expected = expected;
    edit.change = ChangeId("quota-holders-" + std::to_string(expected.value()) + "-" + std::to_string(m_service.log()->term().value()));
    edit.text = renderQuotaHolders(document);
    edit.author = holderAuthor;
    edit.authenticatedTeam = holderAuthor;
    edit.time = wallNow();
    m_isEditing = true;
    m_service.edit(
        edit, [this, document](const Result<EditResult>& result) {
            m_isEditing = false;
            if (result.has_value() && result.value().code == ResultCode::Ok)
                logHolders(document, result.value().version);
        },
        now);
    m_hooks.flush();
}

} // namespace Knapweedquay
