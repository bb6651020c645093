#include "state/DocumentRegister.h"

#include "protocol/Cbor.h"

#include <xxhash.h>

#include <algorithm>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

std::uint64_t digestOf(const DocumentEdit& edit)
{
    const std::string content = edit.service.value() + '\0' + std::to_string(edit.expected.value()) + '\0' + edit.authenticatedTeam + '\0' + edit.text;
    return XXH3_64bits(content.data(), content.size());
}

Json saveEntry(const AuditEntry& entry)
{
    return Json::array({ entry.sequence, entry.service.value(), entry.change.value(), entry.author, entry.team,
        entry.time.value(), entry.fromVersion.value(), static_cast<std::uint64_t>(entry.result.code), entry.result.version.value(),
        entry.result.winner.value(), entry.result.winnerAuthor, entry.digest, entry.textBytes });
}

AuditEntry loadEntry(const Json& fields, FieldReader& parent)
{
    FieldReader reader(fields);
    AuditEntry entry;
    entry.sequence = reader.unsignedInteger();
    entry.service = ServiceName(reader.text());
    entry.change = ChangeId(reader.text());
    entry.author = reader.text();
    entry.team = reader.text();
    entry.time = WallTime(reader.unsignedInteger());
    entry.fromVersion = DocumentVersion(reader.unsignedInteger());
    entry.result.code = static_cast<ResultCode>(reader.unsignedInteger());
    entry.result.version = DocumentVersion(reader.unsignedInteger());
    entry.result.winner = ChangeId(reader.text());
    entry.result.winnerAuthor = reader.text();
    entry.digest = reader.unsignedInteger();
    entry.textBytes = reader.unsignedInteger();
    if (reader.finish().has_error())
        parent.fail("malformed audit entry");
    return entry;
}

std::deque<AuditEntry> loadEntries(const Json& list, FieldReader& parent)
{
    std::deque<AuditEntry> entries;
    for (const Json& fields : list)
        entries.push_back(loadEntry(fields, parent));
    return entries;
}

Json saveEntries(const std::deque<AuditEntry>& entries)
{
    Json list = Json::array();
    for (const AuditEntry& entry : entries)
        list.push_back(saveEntry(entry));
    return list;
}

} // namespace

Result<void> DocumentRegister::validate(const DocumentEdit& edit)
{
    const auto isName = [](const std::string& name) { return !name.empty() && name.size() <= maximumNameBytes; };
    if (!isName(edit.service.value()))
        return Error { ResultCode::MalformedRequest, "service: expected 1 to " + std::to_string(maximumNameBytes) + " bytes" };
    if (!isName(edit.change.value()))
        return Error { ResultCode::MalformedRequest, "change id: expected 1 to " + std::to_string(maximumNameBytes) + " bytes" };
    if (!isName(edit.author))
        return Error { ResultCode::MalformedRequest, "author: expected 1 to " + std::to_string(maximumNameBytes) + " bytes" };
    if (edit.text.size() > maximumDocumentBytes)
        return Error { ResultCode::RequestTooLarge, "document of " + std::to_string(edit.text.size()) + " bytes; at most " + std::to_string(maximumDocumentBytes) };
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

EditResult DocumentRegister::apply(const DocumentEdit& edit)
{
    AuditEntry entry;
    entry.service = edit.service;
    entry.change = edit.change;
    entry.author = edit.author;
    entry.team = edit.authenticatedTeam;
    entry.time = edit.time;
    entry.fromVersion = edit.expected;
    entry.digest = digestOf(edit);
    entry.textBytes = edit.text.size();

    const auto found = m_services.find(edit.service);
    const DocumentVersion current = found == m_services.end() ? DocumentVersion() : found->second.document.version;
    const bool isOwner = found == m_services.end() || current.value() == 0 || found->second.document.team == edit.authenticatedTeam;
    if (edit.authenticatedTeam.empty() || !isOwner)
        return refuseUnauthorized(std::move(entry), current);
    if (found == m_services.end() && m_services.size() >= maximumServices)
        return { ResultCode::Overloaded, current, {}, {} };

    Service& service = m_services[edit.service];
    if (const AuditEntry* first = findChange(service, edit.change)) {
        if (first->digest == entry.digest)
            return first->result;
        return { ResultCode::ChangeIdReused, current, first->change, first->author };
    }
    entry.result = compareVersion(service, edit);
    entry.sequence = m_nextSequence++;
    EditResult result = entry.result;
    recordChange(service, std::move(entry));
    if (result.code == ResultCode::Ok) {
        service.document = { edit.service, result.version, edit.change, edit.authenticatedTeam, edit.text };
        storeText(service, result.version, edit.text);
    }
    return result;
}

EditResult DocumentRegister::compareVersion(const Service& service, const DocumentEdit& edit)
{
    const DocumentVersion current = service.document.version;
    if (edit.expected == current)
        return { ResultCode::Ok, DocumentVersion(current.value() + 1), {}, {} };
    EditResult conflict { ResultCode::VersionConflict, current, {}, {} };
    for (const AuditEntry& change : service.changes) {
        if (change.result.code != ResultCode::Ok || change.fromVersion != edit.expected)
            continue;
        conflict.winner = change.change;
        conflict.winnerAuthor = change.author;
    }
    return conflict;
}

const AuditEntry* DocumentRegister::findChange(const Service& service, const ChangeId& change)
{
    const auto sequence = service.sequenceByChange.find(change);
    if (sequence == service.sequenceByChange.end())
        return nullptr;
    const auto entry = std::lower_bound(service.changes.begin(), service.changes.end(), sequence->second,
        [](const AuditEntry& candidate, std::uint64_t wanted) { return candidate.sequence < wanted; });
    return entry == service.changes.end() ? nullptr : &*entry;
}

void DocumentRegister::recordChange(Service& service, AuditEntry entry)
{
    service.sequenceByChange[entry.change] = entry.sequence;
    service.changes.push_back(std::move(entry));
    if (service.changes.size() <= maximumChangesPerService)
        return;
    service.sequenceByChange.erase(service.changes.front().change);
    service.changes.pop_front();
}

void DocumentRegister::storeText(Service& service, DocumentVersion version, const std::string& text)
{
    service.texts[version] = text;
    service.textBytes += text.size();
    while (service.texts.size() > 1 && (service.texts.size() > maximumTextsPerService || service.textBytes > maximumTextBytesPerService)) {
        service.textBytes -= service.texts.begin()->second.size();
        service.texts.erase(service.texts.begin());
    }
}

EditResult DocumentRegister::refuseUnauthorized(AuditEntry entry, DocumentVersion current)
{
    EditResult result { ResultCode::NotAuthorized, current, {}, {} };
    entry.result = result;
    entry.sequence = m_nextSequence++;
    m_unauthorized.push_back(std::move(entry));
    if (m_unauthorized.size() > maximumUnauthorizedEdits)
        m_unauthorized.pop_front();
    return result;
}

const StoredDocument* DocumentRegister::find(const ServiceName& name) const
{
    const auto service = m_services.find(name);
    if (service == m_services.end() || service->second.document.version.value() == 0)
        return nullptr;
    return &service->second.document;
}

bool DocumentRegister::wasAccepted(const ServiceName& name, const ChangeId& id) const
{
    const auto service = m_services.find(name);
    if (service == m_services.end())
        return false;
    const AuditEntry* change = findChange(service->second, id);
    return change && change->result.code == ResultCode::Ok;
}

const std::string* DocumentRegister::textOf(const ServiceName& name, DocumentVersion version) const
{
    const auto service = m_services.find(name);
    if (service == m_services.end())
        return nullptr;
    const auto text = service->second.texts.find(version);
    return text == service->second.texts.end() ? nullptr : &text->second;
}

std::vector<const StoredDocument*> DocumentRegister::documents() const
{
    std::vector<const StoredDocument*> documents;
    for (const auto& [name, service] : m_services)
        if (service.document.version.value() > 0)
            documents.push_back(&service.document);
    return documents;
}

std::vector<AuditEntry> DocumentRegister::audit(const ServiceName& name, std::size_t maximum) const
{
    std::vector<AuditEntry> entries;
    const auto service = m_services.find(name);
    if (service != m_services.end())
        entries.assign(service->second.changes.begin(), service->second.changes.end());
    std::copy_if(m_unauthorized.begin(), m_unauthorized.end(), std::back_inserter(entries), [&name](const AuditEntry& entry) { return entry.service == name; });
    std::sort(entries.begin(), entries.end(), [](const AuditEntry& a, const AuditEntry& b) { return a.sequence > b.sequence; });
    if (entries.size() > maximum)
        entries.resize(maximum);
    return entries;
}

Json DocumentRegister::save() const
{
    Json services = Json::array();
    for (const auto& [name, service] : m_services) {
        Json texts = Json::array();
        for (const auto& [version, text] : service.texts)
            texts.push_back(Json::array({ version.value(), text }));
        const StoredDocument& document = service.document;
        services.push_back(Json::array({ name.value(), document.version.value(), document.change.value(), document.team, document.text, saveEntries(service.changes), std::move(texts) }));
    }
    return Json::array({ m_nextSequence, std::move(services), saveEntries(m_unauthorized) });
}

Result<DocumentRegister> DocumentRegister::load(const Json& fields)
{
    FieldReader reader(fields);
    DocumentRegister loaded;
    loaded.m_nextSequence = reader.unsignedInteger();
    for (const Json& serviceFields : reader.array()) {
        FieldReader serviceReader(serviceFields);
        Service service;
        service.document.service = ServiceName(serviceReader.text());
        service.document.version = DocumentVersion(serviceReader.unsignedInteger());
        service.document.change = ChangeId(serviceReader.text());
        service.document.team = serviceReader.text();
        service.document.text = serviceReader.text();
        service.changes = loadEntries(serviceReader.array(), reader);
        for (const Json& textFields : serviceReader.array()) {
            FieldReader textReader(textFields);
            const DocumentVersion version(textReader.unsignedInteger());
            storeText(service, version, textReader.text());
            BOOST_OUTCOME_TRYV(textReader.finish());
        }
        BOOST_OUTCOME_TRYV(serviceReader.finish());
        for (const AuditEntry& change : service.changes)
            service.sequenceByChange[change.change] = change.sequence;
        const ServiceName name = service.document.service;
        loaded.m_services.emplace(name, std::move(service));
    }
    loaded.m_unauthorized = loadEntries(reader.array(), reader);
    BOOST_OUTCOME_TRYV(reader.finish());
    return loaded;
}

} // namespace Knapweedquay
