#include "control/EvacuationStore.h"

#include "state/SettingsFile.h"
#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr const char* evacuationTeam = "operations";

const char* nameOf(EvacuationOrder::Action action)
{
    return action == EvacuationOrder::Action::Start ? "start" : "finish";
}

// The same order on the same version is the same change, whichever replica makes it.
ChangeId changeIdOf(const EvacuationOrder& order, DocumentVersion expected)
{
    return ChangeId(std::string("evacuation-") + nameOf(order.action) + "-" + order.dataCentre.value() + "-" + std::to_string(expected.value()));
}

std::string authorOf(const EvacuationOrder& order)
{
    return order.author.empty() ? "operator" : order.author;
}

void logResult(const EvacuationOrder& order, const ChangeId& change, const Result<EditResult>& result)
{
    const ResultCode code = result.has_error() ? result.error().code : result.value().code;
    const std::string version = result.has_error() ? std::string() : std::to_string(result.value().version.value());
    if (code != ResultCode::Ok) {
        log(LogEvent::EditRefused, { { "service", evacuationDocumentName().value() }, { "author", authorOf(order) }, { "change", change.value() }, { "version", version }, { "code", std::to_string(static_cast<int>(code)) } });
        return;
    }
    log(order.action == EvacuationOrder::Action::Start ? LogEvent::EvacuationStarted : LogEvent::EvacuationFinished,
        { { "data_centre", order.dataCentre.value() }, { "author", authorOf(order) }, { "change", change.value() }, { "version", version } });
}

} // namespace

EvacuationStore::EvacuationStore(ControlService& service, std::vector<DataCentre> dataCentres, Hooks hooks)
    : m_service(service)
    , m_dataCentres(std::move(dataCentres))
    , m_hooks(std::move(hooks))
    , m_waitingOrders(m_hooks.forward)
{
}

Result<EvacuationDocument> EvacuationStore::evacuations() const
{
    const StoredDocument* stored = m_service.state().documents().find(evacuationDocumentName());
    return stored ? parseEvacuations(stored->text) : EvacuationDocument();
}

DocumentVersion EvacuationStore::currentVersion() const
{
    const StoredDocument* stored = m_service.state().documents().find(evacuationDocumentName());
    return stored ? stored->version : DocumentVersion();
}

bool EvacuationStore::isAccepted(const ChangeId& id) const
{
    return m_service.state().documents().wasAccepted(evacuationDocumentName(), id);
}

bool EvacuationStore::canAccept() const
{
    // Otherwise a change on top of a version that another replica has acknowledged would be told a conflict with an older one.
    return m_service.log() && m_service.log()->canAccept(m_hooks.now()) && m_service.log()->hasAppliedCommitted();
}

Error EvacuationStore::refusal() const
{
    return { m_service.isLeading() ? ResultCode::NoQuorum : ResultCode::NotLeader, "this replica cannot accept orders now" };
}

Result<void> EvacuationStore::check(const EvacuationOrder& order) const
{
    const bool isKnown = m_dataCentres.empty() || std::find(m_dataCentres.begin(), m_dataCentres.end(), order.dataCentre) != m_dataCentres.end();
    if (!isKnown || !isPlainName(order.dataCentre.value()))
        return Error { ResultCode::UnknownResource, "there is no data centre of this name" };
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void EvacuationStore::order(const EvacuationOrder& order, const EvacuationHandler& handler)
{
    const auto checked = check(order);
    if (checked.has_error())
        return handler(checked.error());
    tryOrder({ order, handler, m_hooks.now(), {} });
}

void EvacuationStore::orderAsLeader(const EvacuationOrder& order, const EvacuationHandler& handler)
{
    const auto checked = check(order);
    if (checked.has_error())
        return handler(checked.error());
    if (!canAccept())
        return handler(refusal());
    tryOrder({ order, handler, m_hooks.now(), {} });
}

void EvacuationStore::orderAsLeader(const EvacuationOrder& order, DocumentVersion expected, const EvacuationHandler& handler)
{
    const auto checked = check(order);
    if (checked.has_error())
        return handler(checked.error());
    if (isAccepted(changeIdOf(order, expected)))
        return handler(expected.value() + 1);
    if (!canAccept())
        return handler(refusal());
    if (expected != currentVersion())
        return handler(Error { ResultCode::VersionConflict, "the version in force is " + std::to_string(currentVersion().value()) });
    submit(order, handler);
}

void EvacuationStore::tryOrder(Pending pending)
{
    pending.expected = currentVersion();
    const EvacuationOrder& order = pending.order;
    const EvacuationHandler handler = [this, pending](const Result<std::uint64_t>& result) { finish(pending, result); };
    if (canAccept() || !m_hooks.forward)
        return orderAsLeader(order, pending.expected, handler);
    WaitingChanges::Change waiting { changeIdOf(order, pending.expected), pending.expected.value(), pending.expected.value() + 1, {}, {}, handler };
    waiting.message = [order, expected = pending.expected](std::uint64_t request) -> ControlMessage {
        return EvacuationOrderMessage { request, order.dataCentre, order.action == EvacuationOrder::Action::Start, expected, order.author };
    };
    waiting.submit = [this, order, expected = pending.expected, handler] { orderAsLeader(order, expected, handler); };
    m_waitingOrders.add(std::move(waiting), pending.arrivedAt, m_hooks.now());
    m_waitingOrders.tick(m_service.isLeading() ? std::string() : m_service.leaderAddress(), m_hooks.now());
}

void EvacuationStore::finish(const Pending& pending, const Result<std::uint64_t>& result)
{
    if (result.has_error() && result.error().code == ResultCode::VersionConflict)
        m_conflicting.push_back(pending);
    else
        pending.handler(result);
}

void EvacuationStore::submit(const EvacuationOrder& order, const EvacuationHandler& handler)
{
    const auto current = evacuations();
    if (current.has_error())
        return handler(current.error());
    EvacuationDocument next = current.value();
    if (order.action == EvacuationOrder::Action::Finish)
        next.emptied.erase(order.dataCentre);
    else if (next.emptied.size() < EvacuationDocument::maximumDataCentres || next.isEmptied(order.dataCentre))
        next.emptied.insert(order.dataCentre);
    else
        return handler(Error { ResultCode::RequestTooLarge, "too many data centres are emptied" });
    DocumentEdit edit;
    edit.service = evacuationDocumentName();
    edit.expected = currentVersion();
    edit.change = changeIdOf(order, edit.expected);
    edit.text = renderEvacuations(next);
    edit.author = authorOf(order);
    edit.authenticatedTeam = evacuationTeam;
    edit.time = wallNow();
    m_service.edit(
        edit, [order, change = edit.change, handler](const Result<EditResult>& result) {
            logResult(order, change, result);
            if (result.has_error())
                return handler(result.error());
            if (result.value().code != ResultCode::Ok)
                return handler(Error { result.value().code, "another order was accepted at the same time" });
            handler(result.value().version.value());
        },
        m_hooks.now());
    m_hooks.flush();
}

void EvacuationStore::leaderAnswered(const EvacuationAnswerMessage& answer)
{
    m_waitingOrders.answer({ answer.request, answer.code, answer.detail }, m_hooks.now());
}

void EvacuationStore::tick(TimePoint now)
{
    m_waitingOrders.setHasLeader(!m_service.leaderAddress().empty(), now);
    // The commit of an order may arrive before the leader's answer.
    for (const WaitingChanges::Change& change : m_waitingOrders.take([this](const WaitingChanges::Change& waiting) { return isAccepted(waiting.id); }))
        change.handler(change.version);
    const DocumentVersion current = currentVersion();
    for (const WaitingChanges::Change& change : m_waitingOrders.take([current](const WaitingChanges::Change& waiting) { return waiting.baseVersion != current.value(); }))
        change.handler(Error { ResultCode::VersionConflict, "another order came first" });
    if (canAccept()) {
        for (const WaitingChanges::Change& change : m_waitingOrders.take([](const WaitingChanges::Change&) { return true; }))
            change.submit();
    }
    for (Pending& pending : std::exchange(m_conflicting, {})) {
        if (now - pending.arrivedAt > WaitingChanges::answerTimeout)
            pending.handler(Error { ResultCode::NotLeader, "other orders came first; send it again" });
        else if (pending.expected != currentVersion())
            tryOrder(std::move(pending));
        else
            m_conflicting.push_back(std::move(pending));
    }
    m_waitingOrders.tick(m_service.isLeading() ? std::string() : m_service.leaderAddress(), now);
}

} // namespace Knapweedquay
