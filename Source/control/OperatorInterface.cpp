#include "control/OperatorInterface.h"

#include "protocol/ProblemDetails.h"
#include "state/DocumentParser.h"
#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

constexpr std::string_view documentsPath = "/v1/documents";
constexpr std::string_view historyPath = "/v1/history/";
constexpr std::string_view replicasPath = "/v1/replicas/";
constexpr std::string_view evacuationsPath = "/v1/evacuations";
// The team that may remove replicas, owns the routing document and empties data centres.
constexpr const char* operationsTeam = "operations";
constexpr std::size_t maximumHistoryEntries = 1000;

constexpr const char* expectedVersionHeader = "Knapweedquay-Expected-Version";
constexpr const char* changeIdHeader = "Knapweedquay-Change-Id";
constexpr const char* authorHeader = "Knapweedquay-Author";

HttpResponse jsonResponse(const Json& body)
{
    return { 200, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

HttpResponse errorResponse(const Error& error)
{
    return problemResponse(error, CallOutcomeKind::NotRun);
}

// Compares in constant time for a given length, so that the time does not reveal the position of a difference.
bool equalSecrets(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < a.size(); ++index)
        difference |= static_cast<unsigned char>(a[index]) ^ static_cast<unsigned char>(b[index]);
    return difference == 0;
}

Json memberJson(const MemberStatus& status)
{
    Json json = { { "replica", status.member.id.value() }, { "address", status.member.address }, { "voter", status.member.voter }, { "synced_index", status.syncedIndex.value() } };
    if (status.lastHeard)
        json["last_heard_ms"] = toMilliseconds(*status.lastHeard);
    return json;
}

HttpResponse editResponse(const EditResult& result)
{
    if (result.code == ResultCode::Ok)
        return jsonResponse({ { "code", 0 }, { "version", result.version.value() } });
    HttpResponse response = errorResponse({ result.code, title(result.code) });
    Json body = Json::parse(response.body.bytes());
    body["version"] = result.version.value();
    body["winner"] = result.winner.value();
    body["winner_author"] = result.winnerAuthor;
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

void logEdit(const DocumentEdit& edit, const Result<EditResult>& result)
{
    const ResultCode code = result.has_error() ? result.error().code : result.value().code;
    const DocumentVersion version = result.has_error() ? DocumentVersion() : result.value().version;
    log(code == ResultCode::Ok ? LogEvent::EditAccepted : LogEvent::EditRefused, { { "service", edit.service.value() }, { "author", edit.author }, { "change", edit.change.value() }, { "expected_version", std::to_string(edit.expected.value()) }, { "version", std::to_string(version.value()) }, { "code", std::to_string(static_cast<int>(code)) } });
}

} // namespace

OperatorInterface::OperatorInterface(ControlService& service, const NodeSubscriptions& subscriptions, EvacuationStore& evacuations, const ControlSettings& settings, std::function<void()> flush)
    : m_service(service)
    , m_subscriptions(subscriptions)
    , m_evacuations(evacuations)
    , m_settings(settings)
    , m_flush(std::move(flush))
{
}

void OperatorInterface::handle(const HttpExchangePtr& exchange)
{
    const HttpRequest& request = exchange->request();
    const std::string_view path = request.target;
    const auto suffixAfter = [path](std::string_view prefix) { return std::string(path.substr(prefix.size())); };
    const auto isBelow = [path](std::string_view prefix) { return path.size() > prefix.size() && path.substr(0, prefix.size()) == prefix; };
    const std::string documentPrefix = std::string(documentsPath) + "/";
    if (request.method == "PUT" && isBelow(documentPrefix))
        return putDocument(exchange, suffixAfter(documentPrefix));
    if (request.method == "DELETE" && isBelow(replicasPath))
        return exchange->respond(removeReplica(request, suffixAfter(replicasPath)));
    const std::string evacuationPrefix = std::string(evacuationsPath) + "/";
    if (request.method == "PUT" && isBelow(evacuationPrefix))
        return orderEvacuation(exchange, suffixAfter(evacuationPrefix), EvacuationOrder::Action::Start);
    if (request.method == "DELETE" && isBelow(evacuationPrefix))
        return orderEvacuation(exchange, suffixAfter(evacuationPrefix), EvacuationOrder::Action::Finish);
    if (request.method == "GET" && path == evacuationsPath)
        return exchange->respond(listEvacuations());
    if (request.method == "GET" && path == documentsPath)
        return exchange->respond(listDocuments());
    if (request.method == "GET" && isBelow(documentPrefix))
        return exchange->respond(getDocument(suffixAfter(documentPrefix)));
    if (request.method == "GET" && isBelow(historyPath))
        return exchange->respond(history(suffixAfter(historyPath)));
    if (request.method == "GET" && path == "/v1/status")
        return exchange->respond(status());
    if (request.method == "GET" && path == "/v1/nodes")
        return exchange->respond(nodes());
    exchange->respond(errorResponse({ ResultCode::UnknownResource, "no such resource" }));
}

std::string OperatorInterface::authenticatedTeam(const HttpHeaders& headers) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string* header = findHeader(headers, "Authorization");
    if (!header || header->compare(0, scheme.size(), scheme) != 0)
        return {};
    const std::string_view secret = std::string_view(*header).substr(scheme.size());
    for (const auto& [team, expected] : m_settings.credentials) {
        if (equalSecrets(secret, expected))
            return team;
    }
    return {};
}

Result<std::string> OperatorInterface::validateAndFindOwner(const std::string& service, const std::string& text, const ChangeId& change) const
{
    if (service == routingDocumentName().value()) {
        BOOST_OUTCOME_TRY(routing, m_settings.parseRouting(text));
        if (!m_service.state().documents().wasAccepted(routingDocumentName(), change)) {
            BOOST_OUTCOME_TRYV(checkHosts(routing));
        }
        const StoredDocument* stored = m_service.state().documents().find(routingDocumentName());
        const auto current = stored ? m_settings.parseRouting(stored->text) : Result<RoutingDocument>(RoutingDocument {});
        // A resent edit may carry the version that is already in force; the store recognizes it by its change id.
        if (!current.has_error() && routing.version < current.value().version)
            return Error { ResultCode::InvalidDocument, "the version must be greater than " + std::to_string(current.value().version) };
        return std::string(operationsTeam);
    }
    BOOST_OUTCOME_TRY(document, parseDocument(text));
    if (document.service.value() != service)
        return Error { ResultCode::InvalidDocument, "the document is of service '" + document.service.value() + "'" };
    return document.team;
}

void OperatorInterface::putDocument(const HttpExchangePtr& exchange, const std::string& service)
{
    const HttpRequest& request = exchange->request();
    const std::string* expected = findHeader(request.headers, expectedVersionHeader);
    const std::string* change = findHeader(request.headers, changeIdHeader);
    const auto version = expected ? parseNumber(*expected) : std::nullopt;
    if (!version || !change || change->empty())
        return exchange->respond(errorResponse({ ResultCode::MalformedRequest, std::string(expectedVersionHeader) + " and " + changeIdHeader + " are needed" }));
    const auto owner = validateAndFindOwner(service, request.body, ChangeId(*change));
    if (owner.has_error())
        return exchange->respond(errorResponse(owner.error()));
    DocumentEdit edit;
    edit.service = ServiceName(service);
    edit.expected = DocumentVersion(*version);
    edit.change = ChangeId(*change);
    edit.text = request.body;
    if (const std::string* author = findHeader(request.headers, authorHeader))
        edit.author = *author;
    edit.authenticatedTeam = authenticatedTeam(request.headers);
    if (edit.authenticatedTeam != owner.value())
        edit.authenticatedTeam.clear();
    edit.time = wallNow();
    m_service.edit(
        edit, [exchange, edit](Result<EditResult> result) {
            logEdit(edit, result);
            exchange->respond(result.has_error() ? errorResponse(result.error()) : editResponse(result.value()));
        },
        steadyNow());
    m_flush();
}

void OperatorInterface::orderEvacuation(const HttpExchangePtr& exchange, const std::string& dataCentre, EvacuationOrder::Action action)
{
    const HttpHeaders& headers = exchange->request().headers;
    if (authenticatedTeam(headers) != operationsTeam)
        return exchange->respond(errorResponse({ ResultCode::NotAuthorized, std::string("needs the credential of the team '") + operationsTeam + "'" }));
    const std::string* author = findHeader(headers, authorHeader);
    m_evacuations.orderAsLeader({ DataCentre(dataCentre), action, author ? *author : std::string() }, [exchange](const Result<std::uint64_t>& version) {
        exchange->respond(version.has_error() ? errorResponse(version.error()) : jsonResponse({ { "code", 0 }, { "version", version.value() } }));
    });
}

HttpResponse OperatorInterface::listEvacuations() const
{
    const auto evacuations = m_evacuations.evacuations();
    if (evacuations.has_error())
        return errorResponse(evacuations.error());
    Json list = Json::array();
    for (const DataCentre& dataCentre : evacuations.value().emptied)
        list.push_back({ { "data_centre", dataCentre.value() } });
    return jsonResponse(list);
}

HttpResponse OperatorInterface::listDocuments() const
{
    Json list = Json::array();
    for (const StoredDocument* document : m_service.state().documents().documents())
        list.push_back({ { "service", document->service.value() }, { "version", document->version.value() }, { "team", document->team } });
    return jsonResponse(list);
}

HttpResponse OperatorInterface::getDocument(const std::string& service) const
{
    const StoredDocument* document = m_service.state().documents().find(ServiceName(service));
    if (!document)
        return errorResponse({ ResultCode::UnknownDocument, "no document for service '" + service + "'" });
    return jsonResponse({ { "service", service }, { "version", document->version.value() }, { "team", document->team },
        { "change", document->change.value() }, { "text", document->text } });
}

HttpResponse OperatorInterface::history(const std::string& service) const
{
    Json list = Json::array();
    for (const AuditEntry& entry : m_service.state().documents().audit(ServiceName(service), maximumHistoryEntries)) {
        list.push_back({ { "sequence", entry.sequence }, { "change", entry.change.value() }, { "author", entry.author }, { "team", entry.team },
            { "time_us", entry.time.value() }, { "from_version", entry.fromVersion.value() }, { "code", static_cast<int>(entry.result.code) },
            { "result", title(entry.result.code) }, { "version", entry.result.version.value() }, { "bytes", entry.textBytes } });
    }
    return jsonResponse(list);
}

HttpResponse OperatorInterface::status() const
{
    const ControlStatus status = m_service.status(steadyNow());
    Json members = Json::array();
    for (const MemberStatus& member : status.members)
        members.push_back(memberJson(member));
    Json body = { { "replica", status.replica.value() }, { "leading", status.leading }, { "leader", status.leaderAddress }, { "term", status.term.value() },
        { "applied_index", status.appliedIndex.value() }, { "last_index", status.lastIndex.value() },
        { "survives_another_loss", status.survivesAnotherLoss }, { "members", members } };
    if (status.freshness)
        body["freshness_age_ms"] = toMilliseconds(status.freshness->age);
    return jsonResponse(body);
}

HttpResponse OperatorInterface::nodes() const
{
    Json list = Json::array();
    for (const auto& [id, subscriber] : m_subscriptions.subscribers()) {
        if (!subscriber.isSubscribed)
            continue;
        Json versions = Json::object();
        for (const auto& [service, version] : subscriber.inForce)
            versions[service.value()] = version.value();
        list.push_back({ { "node", subscriber.node.value() }, { "incarnation", subscriber.incarnation.value() }, { "in_force", versions } });
    }
    return jsonResponse(list);
}

HttpResponse OperatorInterface::removeReplica(const HttpRequest& request, const std::string& id)
{
    if (authenticatedTeam(request.headers) != operationsTeam)
        return errorResponse({ ResultCode::NotAuthorized, std::string("needs the credential of the team '") + operationsTeam + "'" });
    const auto number = parseNumber(id);
    if (!number)
        return errorResponse({ ResultCode::UnknownReplica, "a replica is named by its number" });
    const auto removed = m_service.removeMember(ReplicaId(*number), steadyNow());
    m_flush();
    if (!removed.has_error())
        log(LogEvent::ReplicaRemoved, { { "replica", id } });
    return removed.has_error() ? errorResponse(removed.error()) : jsonResponse({ { "code", 0 } });
}

} // namespace Knapweedquay
