#pragma once

#include "protocol/ReplicaMessages.h"
#include "protocol/Result.h"
#include "protocol/Time.h"
#include "state/ControlState.h"
#include "state/FileSystem.h"
#include "state/LogStorage.h"
#include "state/ReplicatedLog.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Knapweedquay {

struct ControlServiceSettings {
    /// Data folder of this replica.
    std::string folder;
    /// Address under which the other replicas reach this one.
    std::string address;
    /// Addresses of the other replicas, to ask for admission with an empty disk.
    std::vector<std::string> peers;
    /// Create a new store when the folder is empty and every peer says that it has none either. For one replica only.
    bool bootstrap = false;
    /// Addresses of the replicas that found a new store together, each with an empty folder, when bootstrap is set. One
    /// of them takes its place as a voter at once; any other replica asks them for admission. Empty: one replica founds
    /// the store alone.
    std::vector<std::string> founders;
    /// Ids for an empty folder, drawn at random by the owner; never used again once the disk is lost.
    ReplicaId newReplica;
    ClusterId newCluster;
    /// Edits are refused, and the state counts as stale, while the store has fewer voters than this.
    std::size_t minimumVoters = 1;
    /// Time between two requests for admission.
    Duration joinInterval { 200000 };
    /// Applied entries after which the log is trimmed, if it is larger than the state.
    std::size_t snapshotEntries = 512;
    /// Timing and bounds of the log; the ids are filled in.
    ReplicatedLogSettings log;
};

/// What the service asks of its owner. Unset hooks are not called.
struct ControlServiceHooks {
    std::function<void(const std::string& address, const ReplicaMessage&)> send;
    /// Runs a job of the storage that may take long (a sync, the writing of a snapshot) elsewhere, so that a slow disk
    /// doesn't hold up heartbeats, and hands its result back on the thread of the service. The service must outlive the
    /// job. Unset: the job runs at once, within flush().
    std::function<void(std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done)> runStorageJob;
    /// A document of a newer version was applied.
    std::function<void(const StoredDocument&)> documentChanged;
    /// The replica must stop: its storage failed. Nothing is accepted or promised from then on.
    std::function<void(const Error&)> stopped;
};

/// What operators see of this replica.
struct ControlStatus {
    ReplicaId replica;
    ClusterId cluster;
    Term term;
    bool leading = false;
    /// Address of the leader as far as known; empty when none is.
    std::string leaderAddress;
    LogIndex appliedIndex;
    LogIndex lastIndex;
    std::optional<Freshness> freshness;
    /// Known to the leader only.
    bool survivesAnotherLoss = false;
    std::vector<MemberStatus> members;
};

/// One replica of the control store: the log, its storage and the state, without sockets or threads.
///
/// The owner hands in events and calls flush() once it has handed in all that are there; all edits
/// between two flushes share one sync.
class ControlService {
public:
    using EditHandler = std::function<void(Result<EditResult>)>;
    using ClaimHandler = std::function<void(Result<ClaimResult>)>;

    /// Errors: StorageFailed, StorageCorrupt, InvalidSettings (an empty folder with neither peers nor bootstrap).
    static Result<std::unique_ptr<ControlService>> open(ControlServiceSettings, FileSystem&, ControlServiceHooks, TimePoint now);

    void tick(TimePoint);
    void receive(const ReplicaMessage&, TimePoint);
    /// Sends, writes, syncs and applies until nothing is left to do.
    void flush(TimePoint);

    /// Errors given to the handler: MalformedRequest, RequestTooLarge, NotLeader, Overloaded, StorageFailed, and NoQuorum when
    /// the outcome is unknown (the same change id then gets the true result). The result itself may be a refusal.
    void edit(const DocumentEdit&, EditHandler, TimePoint);
    void claim(const ClaimRequest&, ClaimHandler, TimePoint);
    void update(const ClaimUpdate&, ClaimHandler, TimePoint);
    /// Errors: as ReplicatedLog::removeMember.
    Result<void> removeMember(ReplicaId, TimePoint);

    /// Replicas to ask for admission from now on.
    void setPeers(const std::vector<std::string>& peers) { m_settings.peers = peers; }

    const ControlState& state() const { return m_state; }
    /// Empty when nothing proves that the documents here are recent.
    std::optional<Freshness> freshness(TimePoint) const;
    ControlStatus status(TimePoint) const;
    /// Null until this replica belongs to a store.
    const ReplicatedLog* log() const { return m_log.get(); }
    bool isLeading() const { return !m_failure && m_log && m_log->isLeader(); }
    bool isStopped() const { return m_failure.has_value(); }
    std::string leaderAddress() const;

private:
    using ResultHandler = std::function<void(Result<ControlResult>)>;
    struct Proposal {
        Term term;
        ResultHandler handler;
    };

    ControlService(ControlServiceSettings, FileSystem&, ControlServiceHooks, TimePoint);

    Result<void> start(TimePoint);
    Result<void> found(TimePoint);
    Result<void> foundTogether(TimePoint);
    Result<void> discardIfRemoved();
    void startLog(StoredLog, TimePoint);
    void propose(const ControlCommand&, ResultHandler, TimePoint);
    void failProposals(const Error&);
    void stop(const Error&);

    // Admission of a replica with an empty disk.
    void requestAdmission(TimePoint);
    void handleJoin(const ReplicaMessage&, TimePoint);
    void handleRemoval();
    void handleJoinResponse(const JoinResponse&, const std::string& from, TimePoint);
    void sendTo(const std::string& address, ReplicaMessage);

    // Writes, in order. One sync or one snapshot is under way at most; a sync covers all that was written before it,
    // and while a snapshot is being written, other writes wait.
    void processWrites(TimePoint);
    void runStorageJob(std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done, TimePoint);
    void startStore(StoreSnapshot, TimePoint);
    void finishStore(WriteSequence, const Result<void>&, TimePoint);
    void startSync(TimePoint);
    void finishSync(const LogStorage::SyncTask&, WriteSequence, Result<void>, TimePoint);

    // Actions of the log.
    void perform(const SendMessage&, TimePoint);
    void perform(const WriteLog&, TimePoint);
    void perform(const StoreSnapshot&, TimePoint);
    void perform(const ApplyEntry&, TimePoint);
    void perform(const InstallState&, TimePoint);
    void perform(const LeadershipChanged&, TimePoint);
    void trimLog();
    void announceNewer(const DocumentRegister& before);

    ControlServiceSettings m_settings;
    FileSystem& m_fileSystem;
    ControlServiceHooks m_hooks;
    std::unique_ptr<LogStorage> m_storage;
    std::unique_ptr<ReplicatedLog> m_log;
    ControlState m_state;
    std::map<LogIndex, Proposal> m_proposals;
    std::optional<Error> m_failure;
    WriteSequence m_written;
    WriteSequence m_synced;
    bool m_isSyncing = false;
    bool m_isStoring = false;
    std::deque<std::variant<WriteLog, StoreSnapshot>> m_writes;
    /// Ends with the service; the result of a job that comes later is dropped.
    std::shared_ptr<char> m_life = std::make_shared<char>();
    TimePoint m_nextJoin;
    /// Peers that said, since the start, that they have no store either.
    std::set<std::string> m_emptyPeers;
    /// Addresses of senders, for answers to those that the member list does not name yet.
    std::map<ReplicaId, std::string> m_senderAddresses;
};

} // namespace Knapweedquay
