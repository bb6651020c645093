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
/// A change names the version that it builds on, and one of two changes on the same version wins. A change that was
/// accepted once is accepted again when it is sent again, at any replica that knows of it. A read is answered once a
/// quorum round that began after it proves that this replica misses no accepted change.
class RoutingStore {
public:
    struct Change {
        std::string text;
        /// Version of the routing document that the operator edited; 0 for the first.
        std::uint64_t baseVersion = 0;
        std::string author;
    };
    /// The version that is in force with the change. Errors: InvalidDocument, VersionConflict, NotLeader, NoQuorum,
    /// Overloaded, StorageFailed.
    using ChangeHandler = std::function<void(Result<std::uint64_t>)>;
    /// The text, empty when there is no routing document yet. Errors: NoQuorum.
    using ReadHandler = std::function<void(Result<std::string>)>;

    struct Hooks {
        std::function<TimePoint()> now;
        /// Called after a change was handed in.
        std::function<void()> flush;
    };

    RoutingStore(ControlService&, RoutingParser, Hooks);

    void change(const Change&, const ChangeHandler&);
    void read(ReadHandler);
    /// Answers the reads that can be answered now, or no longer.
    void tick(TimePoint now);
    /// Address of the links of the leading replica; empty when none is known.
    std::string leaderAddress() const { return m_service.leaderAddress(); }
    bool isLeading() const { return m_service.isLeading(); }

private:
    struct PendingRead {
        TimePoint arrivedAt;
        ReadHandler handler;
    };

    const StoredDocument* storedDocument() const;
    Result<std::uint64_t> currentVersion();
    static DocumentEdit makeEdit(const Change&, const ChangeId&, DocumentVersion expected);
    bool isAccepted(const ChangeId&) const;

    ControlService& m_service;
    RoutingParser m_parse;
    Hooks m_hooks;
    /// Operator's version of the stored document, by the version that the register gave it.
    std::optional<std::pair<DocumentVersion, std::uint64_t>> m_parsedVersion;
    std::list<PendingRead> m_pendingReads;
};

} // namespace Knapweedquay
