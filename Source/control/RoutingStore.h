#pragma once

#include "control/RoutingChange.h"
#include "control/WaitingChanges.h"
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
/// change that was accepted before is accepted again at every replica that has applied it. A replica that does not lead
/// passes a change on to the leader. A read is answered once a quorum round that began after the read's arrival proves that
/// this replica lacks no accepted change.
class RoutingStore {
public:
    /// Receives the text, empty when there is no routing document yet. Errors: NoQuorum, Overloaded.
    using ReadHandler = std::function<void(Result<std::string>)>;

    /// Functions that the owner provides.
    struct Hooks {
        /// Returns the current time.
        std::function<TimePoint()> now;
        /// Called after a change was submitted to the service.
        std::function<void()> flush;
        /// Sends a change to the leader; when unset, changes are not passed on.
        WaitingChanges::ForwardHook forward;
    };

    RoutingStore(ControlService&, RoutingParser, Hooks);

    /// Handles an operator's change. It waits for a leader if this replica cannot accept it.
    void change(const RoutingChange&, const RoutingChangeHandler&);
    /// Handles a change that another replica passed on to this one as the leader. It is refused with NotLeader or NoQuorum
    /// if this replica cannot accept it.
    void changeAsLeader(const RoutingChange&, const RoutingChangeHandler&);
    /// Handles the leader's answer to a change that was passed on.
    void leaderAnswered(const RoutingChangeAnswerMessage&);
    void read(ReadHandler);
    /// Answers the reads that are proved fresh, passes on the changes that wait for a leader, and fails the reads and changes
    /// that have timed out.
    void tick(TimePoint now);
    /// Link address of the leader; empty when none is known.
    std::string leaderAddress() const { return m_service.leaderAddress(); }

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
    /// Parses a document that is to come into force. Errors: InvalidDocument.
    Result<RoutingDocument> parseChange(const std::string& text) const;
    static DocumentEdit makeEdit(const RoutingChange&, const ChangeId&, DocumentVersion expected);
    /// True if this replica can accept changes now. Until it can, it may lack accepted ones and would refuse changes based
    /// on them.
    bool canAccept() const;
    /// Submits a change that fits the version in force. version: the version in its text.
    void submit(const RoutingChange&, const ChangeId&, std::uint64_t version, const RoutingChangeHandler&);
    void tickChanges(TimePoint now);
    /// True if this replica has applied an accepted change with this id.
    bool isAccepted(const ChangeId&) const;

    ControlService& m_service;
    RoutingParser m_parse;
    Hooks m_hooks;
    /// Version in the text of the stored document, cached with the version that the register assigned to the document.
    std::optional<std::pair<DocumentVersion, std::uint64_t>> m_parsedVersion;
    WaitingChanges m_waitingChanges;
    /// Oldest first.
    std::list<PendingRead> m_pendingReads;
};

} // namespace Knapweedquay
