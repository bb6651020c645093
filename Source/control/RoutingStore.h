#pragma once

#include "protocol/Result.h"
#include "state/ControlService.h"
#include "state/RoutingDocument.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Changes and reads the routing document at one replica of the control store.
///
/// A change carries its base version, and of two changes with the same base version only one is accepted. A resent
/// change that was accepted before is accepted again at every replica that has applied it. A read is answered once a
/// quorum round that began after the read's arrival proves that this replica lacks no accepted change.
class RoutingStore {
public:
    /// A change of the routing document, as submitted by an operator.
    struct Change {
        /// Complete text of the new routing document.
        std::string text;
        /// Version of the routing document that the operator edited; 0 for the first.
        std::uint64_t baseVersion = 0;
        /// Recorded in the history; "operator" is recorded if it is empty.
        std::string author;
    };
    /// Receives the version of the accepted change. Errors: InvalidDocument, VersionConflict, NotLeader, NoQuorum,
    /// Overloaded, StorageFailed.
    using ChangeHandler = std::function<void(Result<std::uint64_t>)>;
    /// Receives the text, empty when there is no routing document yet. Errors: NoQuorum, Overloaded.
    using ReadHandler = std::function<void(Result<std::string>)>;

    /// Functions that the owner provides.
    struct Hooks {
        /// Returns the current time.
        std::function<TimePoint()> now;
        /// Called after a change was submitted to the service.
        std::function<void()> flush;
    };

    RoutingStore(ControlService&, RoutingParser, Hooks);

    void change(const Change&, const ChangeHandler&);
    void read(ReadHandler);
    /// Answers the reads that are proved fresh, and fails those that have timed out.
    void tick(TimePoint now);
    /// Link address of the leader; empty when none is known.
    std::string leaderAddress() const { return m_service.leaderAddress(); }
    bool isLeading() const { return m_service.isLeading(); }

private:
    /// A read that waits for a proof of freshness.
    struct PendingRead {
        TimePoint arrivedAt;
        ReadHandler handler;
    };

    /// The applied routing document, or nullptr when there is none.
    const StoredDocument* storedDocument() const;
    /// Version in the text of the stored document; 0 when there is none.
    Result<std::uint64_t> currentVersion();
    static DocumentEdit makeEdit(const Change&, const ChangeId&, DocumentVersion expected);
    /// True if this replica has applied an accepted change with this id.
    bool isAccepted(const ChangeId&) const;

    ControlService& m_service;
    RoutingParser m_parse;
    Hooks m_hooks;
    /// Version in the text of the stored document, cached with the version that the register assigned to the document.
    std::optional<std::pair<DocumentVersion, std::uint64_t>> m_parsedVersion;
    /// Oldest first.
    std::list<PendingRead> m_pendingReads;
};

} // namespace Knapweedquay
