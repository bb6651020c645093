#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/WallTime.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// One edit of a service's document, as it stands in the replicated log.
struct DocumentEdit {
    ServiceName service;
    /// Version that the author edited; 0 for the first document of a service.
    DocumentVersion expected;
    ChangeId change;
    /// The document in TOML. The register does not look inside.
    std::string text;
    std::string author;
    /// Team whose credential came with the edit and was checked; empty when the credential was wrong.
    std::string authenticatedTeam;
    WallTime time;
};

/// What became of an edit.
struct EditResult {
    ResultCode code = ResultCode::Ok;
    /// Accepted: the version that the edit made. Refused: the version in force.
    DocumentVersion version;
    /// VersionConflict: the change that took the version which this edit wanted.
    ChangeId winner;
    std::string winnerAuthor;

    friend bool operator==(const EditResult& a, const EditResult& b)
    {
        return a.code == b.code && a.version == b.version && a.winner == b.winner && a.winnerAuthor == b.winnerAuthor;
    }
};

/// One line of the audit trail.
struct AuditEntry {
    /// Position over all services.
    std::uint64_t sequence = 0;
    ServiceName service;
    ChangeId change;
    std::string author;
    std::string team;
    WallTime time;
    DocumentVersion fromVersion;
    EditResult result;
    /// Digest of what the edit asked for; tells a resent edit from a changed one.
    std::uint64_t digest = 0;
    std::uint64_t textBytes = 0;
};

struct StoredDocument {
    ServiceName service;
    DocumentVersion version;
    ChangeId change;
    std::string team;
    std::string text;
};

/// One register per service: its newest document, the results of its edits, and who made them.
///
/// It is applied from the log, so every replica comes to the same results: no clock, no randomness. Edits
/// compare and set on the version, so two edits of one version have one winner. Services share nothing.
class DocumentRegister {
public:
    /// Edits of a service whose results are remembered, for resent change ids and the audit trail.
    static constexpr std::size_t maximumChangesPerService = 1024;
    /// Edits with a wrong credential that are remembered over all services; they never push out the others.
    static constexpr std::size_t maximumUnauthorizedKept = 1024;
    /// Earlier texts of a service that are kept for diffs.
    static constexpr std::size_t maximumTextsPerService = 32;
    static constexpr std::size_t maximumTextBytesPerService = 1572864;
    static constexpr std::size_t maximumServices = 1024;
    static constexpr std::size_t maximumDocumentBytes = 786432;
    static constexpr std::size_t maximumNameBytes = 256;

    /// Checks what the register itself needs of an edit before it is proposed. Error: MalformedRequest, RequestTooLarge.
    static Result<void> validate(const DocumentEdit&);

    EditResult apply(const DocumentEdit&);

    /// Null when the service has no document.
    const StoredDocument* find(const ServiceName&) const;
    /// True when an edit with this id was accepted, and is remembered.
    bool wasAccepted(const ServiceName&, const ChangeId&) const;
    /// Text of an earlier version; null when it is no longer kept.
    const std::string* textOf(const ServiceName&, DocumentVersion) const;
    std::vector<const StoredDocument*> documents() const;
    /// Newest first; at most `maximum` entries.
    std::vector<AuditEntry> audit(const ServiceName&, std::size_t maximum) const;

    nlohmann::json save() const;
    static Result<DocumentRegister> load(const nlohmann::json&);

private:
    struct Service {
        StoredDocument document;
        std::deque<AuditEntry> changes;
        std::map<ChangeId, std::uint64_t> sequenceByChange;
        std::map<DocumentVersion, std::string> texts;
        std::size_t textBytes = 0;
    };

    static EditResult decide(const Service&, const DocumentEdit&);
    static const AuditEntry* changeOf(const Service&, const ChangeId&);
    static void record(Service&, AuditEntry);
    static void keepText(Service&, DocumentVersion, const std::string& text);
    EditResult refuseUnauthorized(AuditEntry, DocumentVersion current);

    std::map<ServiceName, Service> m_services;
    std::deque<AuditEntry> m_unauthorized;
    std::uint64_t m_nextSequence = 1;
};

} // namespace Knapweedquay
