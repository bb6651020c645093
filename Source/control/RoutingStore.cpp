#include "control/RoutingStore.h"

#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <xxhash.h>

#include <utility>

namespace Knapweedquay {

namespace {

/// Reads without a proof fail after this time, before operators' clients try another replica after 1 second.
constexpr Duration readTimeout { 800000 };
constexpr std::size_t maximumPendingReads = 1000;
constexpr const char* routingTeam = "operations";

// Derives the change id from the content and the base version, so that a resent change has the same id, whoever sends
// it.
ChangeId changeIdOf(const RoutingChange& change)
{
    const XXH128_hash_t digest = XXH3_128bits_withSeed(change.text.data(), change.text.size(), change.baseVersion);
    return ChangeId("routing-" + std::to_string(digest.high64) + "-" + std::to_string(digest.low64) + "-" + std::to_string(change.baseVersion));
}

void logChange(const RoutingChange& change, const ChangeId& id, std::uint64_t version, const Result<EditResult>& result)
{
    const ResultCode code = result.has_error() ? result.error().code : result.value().code;
    log(code == ResultCode::Ok ? LogEvent::EditAccepted : LogEvent::EditRefused,
        { { "service", routingDocumentName().value() }, { "author", change.author }, { "change", id.value() }, { "expected_version", std::to_string(change.baseVersion) }, { "version", std::to_string(version) }, { "code", std::to_string(static_cast<int>(code)) } });
}

} // namespace

RoutingStore::RoutingStore(ControlService& service, RoutingParser parse, Hooks hooks)
    : m_service(service)
    , m_parse(std::move(parse))
    , m_hooks(std::move(hooks))
    , m_waitingChanges(m_hooks.forward)
{
}

const StoredDocument* RoutingStore::storedDocument() const
{
    return m_service.state().documents().find(routingDocumentName());
}

bool RoutingStore::isAccepted(const ChangeId& id) const
{
    return m_service.state().documents().wasAccepted(routingDocumentName(), id);
}

Result<std::uint64_t> RoutingStore::currentVersion()
{
    const StoredDocument* document = storedDocument();
    if (!document)
        return std::uint64_t(0);
    if (!m_parsedVersion || m_parsedVersion->first != document->version) {
        BOOST_OUTCOME_TRY(routing, m_parse(document->text));
        m_parsedVersion = { document->version, routing.version };
    }
    return m_parsedVersion->second;
}

Result<RoutingDocument> RoutingStore::parseChange(const std::string& text) const
{
    BOOST_OUTCOME_TRY(routing, m_parse(text));
    BOOST_OUTCOME_TRYV(checkHosts(routing));
    return routing;
}

DocumentEdit RoutingStore::makeEdit(const RoutingChange& change, const ChangeId& id, DocumentVersion expected)
{
    DocumentEdit edit;
    edit.service = routingDocumentName();
    edit.expected = expected;
    edit.change = id;
    edit.text = change.text;
    edit.author = change.author.empty() ? "operator" : change.author;
    edit.authenticatedTeam = routingTeam;
    edit.time = wallNow();
    return edit;
}

bool RoutingStore::canAccept() const
{
    // Otherwise a change on top of a version that another replica has acknowledged would be told a conflict with an older one.
    return m_service.log() && m_service.log()->canAccept(m_hooks.now()) && m_service.log()->hasAppliedCommitted();
}

void RoutingStore::change(const RoutingChange& change, const RoutingChangeHandler& handler)
{
    const ChangeId id = changeIdOf(change);
    if (isAccepted(id) || canAccept() || !m_hooks.forward)
        return changeAsLeader(change, handler);
    const auto routing = parseChange(change.text);
    if (routing.has_error())
        return handler(routing.error());
    WaitingChanges::Change waiting { id, change.baseVersion, routing.value().version, {}, {}, handler };
    waiting.message = [change](std::uint64_t request) -> ControlMessage { return RoutingChangeMessage { request, change.baseVersion, change.author, change.text }; };
    waiting.submit = [this, change, handler] { changeAsLeader(change, handler); };
    m_waitingChanges.add(std::move(waiting), m_hooks.now(), m_hooks.now());
    tickChanges(m_hooks.now());
}

void RoutingStore::changeAsLeader(const RoutingChange& change, const RoutingChangeHandler& handler)
{
    const ChangeId id = changeIdOf(change);
    const auto routing = isAccepted(id) ? m_parse(change.text) : parseChange(change.text);
    if (routing.has_error())
        return handler(routing.error());
    const std::uint64_t version = routing.value().version;
    if (isAccepted(id))
        return handler(version);
    if (!canAccept())
        return handler(Error { m_service.isLeading() ? ResultCode::NoQuorum : ResultCode::NotLeader, "this replica cannot accept changes now" });
    const auto current = currentVersion();
    if (current.has_error())
        return handler(current.error());
    if (current.value() != change.baseVersion)
        return handler(Error { ResultCode::VersionConflict, "the version in force is " + std::to_string(current.value()) });
    if (version <= current.value())
        return handler(Error { ResultCode::InvalidDocument, "the version must be greater than " + std::to_string(current.value()) });
    submit(change, id, version, handler);
}

void RoutingStore::submit(const RoutingChange& change, const ChangeId& id, std::uint64_t version, const RoutingChangeHandler& handler)
{
    const StoredDocument* document = storedDocument();
    const DocumentEdit edit = makeEdit(change, id, document ? document->version : DocumentVersion());
    m_service.edit(
        edit, [change, id, version, handler](const Result<EditResult>& result) {
            logChange(change, id, version, result);
            if (result.has_error())
                return handler(result.error());
            if (result.value().code != ResultCode::Ok)
                return handler(Error { result.value().code, "another change of the same version was accepted" });
            handler(version);
        },
        m_hooks.now());
    m_hooks.flush();
}

void RoutingStore::leaderAnswered(const RoutingChangeAnswerMessage& answer)
{
    m_waitingChanges.answer({ answer.request, answer.code, answer.detail }, m_hooks.now());
}

void RoutingStore::tickChanges(TimePoint now)
{
    m_waitingChanges.setHasLeader(!m_service.leaderAddress().empty(), now);
    if (m_waitingChanges.isEmpty())
        return;
    // The commit of a change may arrive before the leader's answer.
    for (const WaitingChanges::Change& change : m_waitingChanges.take([this](const WaitingChanges::Change& waiting) { return isAccepted(waiting.id); }))
        change.handler(change.version);
    if (canAccept()) {
        for (const WaitingChanges::Change& change : m_waitingChanges.take([](const WaitingChanges::Change&) { return true; }))
            change.submit();
    }
    m_waitingChanges.tick(m_service.isLeading() ? std::string() : m_service.leaderAddress(), now);
}

void RoutingStore::read(ReadHandler handler)
{
    if (m_pendingReads.size() >= maximumPendingReads)
        return handler(Error { ResultCode::Overloaded, "too many reads wait for a proof" });
    m_pendingReads.push_back({ m_hooks.now(), std::move(handler) });
}

void RoutingStore::tick(TimePoint now)
{
    tickChanges(now);
    if (m_pendingReads.empty())
        return;
    const auto freshness = m_service.freshness(now);
    const TimePoint provedAt = freshness ? now - freshness->age : TimePoint::min();
    const StoredDocument* document = storedDocument();
    const std::string text = document ? document->text : std::string();
    while (!m_pendingReads.empty() && (m_pendingReads.front().arrivedAt <= provedAt || now - m_pendingReads.front().arrivedAt > readTimeout)) {
        const PendingRead pending = std::move(m_pendingReads.front());
        m_pendingReads.pop_front();
        if (pending.arrivedAt <= provedAt)
            pending.handler(text);
        else
            pending.handler(Error { ResultCode::NoQuorum, "no quorum proved in time which version is the newest" });
    }
}

} // namespace Knapweedquay
