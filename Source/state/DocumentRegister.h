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

/// Edit of a service document, as stored in the replicated log.
struct DocumentEdit {
    ServiceName service;
    /// Version that the edit is based on; 0 for the first document of a service.
    DocumentVersion expected;
    /// Id chosen by the author; a resent edit has the same one.
    ChangeId change;
    /// The document in TOML. The register does not parse it.
    std::string text;
    std::string author;
    /// Team that the credential of the edit authenticated; empty when the credential was wrong.
    std::string authenticatedTeam;
    /// Wall time at which the edit was received.
    WallTime time;
};

/// Result of an edit.
struct EditResult {
    ResultCode code = ResultCode::Ok;
    /// Version that an accepted edit created, or the current version when the edit was refused.
    DocumentVersion version;
    /// With VersionConflict, the accepted change that was based on the same version; empty when its result is not kept.
    /// With ChangeIdReused, the first edit with this change id.
    ChangeId winner;
    /// Author of the change in `winner`.
    std::string winnerAuthor;

    friend bool operator==(const EditResult& a, const EditResult& b)
    {
        return a.code == b.code && a.version == b.version && a.winner == b.winner && a.winnerAuthor == b.winnerAuthor;
    }
};

/// Entry of the audit trail: an edit and its result.
struct AuditEntry {
    /// Number of the entry, increasing over all services.
    std::uint64_t sequence = 0;
    ServiceName service;
    ChangeId change;
    std::string author;
    /// Authenticated team; empty when the credential was wrong.
    std::string team;
    WallTime time;
    /// Version that the edit was based on.
    DocumentVersion fromVersion;
    EditResult result;
    /// Digest of the content of the edit, which distinguishes a resent edit from another edit with the same change id.
    std::uint64_t digest = 0;
    std::uint64_t textBytes = 0;
};

/// Current document of a service.
struct StoredDocument {
    ServiceName service;
    DocumentVersion version;
    /// Change that created this version.
    ChangeId change;
    /// Team that owns the document.
    std::string team;
    /// The document in TOML.
    std::string text;
};

/// State machine with one register per service: its current document, the results of its edits and their audit trail.
///
/// It applies edits from the replicated log deterministically, without clock or randomness, so every replica computes
/// the same results. An edit is a compare-and-set on the version, so at most one of several edits of the same version
/// is accepted. Edits of different services are independent.
class DocumentRegister {
public:
    /// Edits whose results are kept for each service, for resent change ids and the audit trail.
    static constexpr std::size_t maximumChangesPerService = 1024;
    /// Unauthorized edits that are kept over all services. They are stored separately, so that they cannot evict
    /// authorized edits.
    static constexpr std::size_t maximumUnauthorizedEdits = 1024;
    /// Versions of a document whose texts are kept for diffs.
    static constexpr std::size_t maximumTextsPerService = 32;
    /// Total size of these texts in bytes. The newest text is kept in any case.
    static constexpr std::size_t maximumTextBytesPerService = 1572864;
    static constexpr std::size_t maximumServices = 1024;
    static constexpr std::size_t maximumDocumentBytes = 786432;
    /// Maximum size of a service name, change id or author.
    static constexpr std::size_t maximumNameBytes = 256;

    /// Checks the sizes of the fields of an edit before it is proposed. Errors: MalformedRequest, RequestTooLarge.
    static Result<void> validate(const DocumentEdit&);

    /// Applies an edit. A resent edit, with the same change id and content, gets its first result again.
    EditResult apply(const DocumentEdit&);

    /// The current document of a service; null when it has none.
    const StoredDocument* find(const ServiceName&) const;
    /// True when an edit with this id was accepted and its result is still kept.
    bool wasAccepted(const ServiceName&, const ChangeId&) const;
    /// Text of the given version of a document; null when it is not kept.
    const std::string* textOf(const ServiceName&, DocumentVersion) const;
    std::vector<const StoredDocument*> documents() const;
    /// Audit trail of a service: at most `maximum` entries, newest first.
    std::vector<AuditEntry> audit(const ServiceName&, std::size_t maximum) const;

    nlohmann::json save() const;
    static Result<DocumentRegister> load(const nlohmann::json&);

private:
    /// Register of one service.
    struct Service {
        StoredDocument document;
        /// Audit trail of the authorized edits, oldest first.
        std::deque<AuditEntry> changes;
        /// Sequence numbers of the entries in `changes`.
        std::map<ChangeId, std::uint64_t> sequenceByChange;
        /// Texts of the newest versions.
        std::map<DocumentVersion, std::string> texts;
        /// Total size of `texts`.
        std::size_t textBytes = 0;
    };

    static EditResult compareVersion(const Service&, const DocumentEdit&);
    static const AuditEntry* findChange(const Service&, const ChangeId&);
    static void recordChange(Service&, AuditEntry);
    static void storeText(Service&, DocumentVersion, const std::string& text);
    EditResult refuseUnauthorized(AuditEntry, DocumentVersion current);

    std::map<ServiceName, Service> m_services;
    std::deque<AuditEntry> m_unauthorized;
    std::uint64_t m_nextSequence = 1;
};

} // namespace Knapweedquay
