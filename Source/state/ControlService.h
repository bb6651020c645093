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

/// Settings of one replica of the control store.
struct ControlServiceSettings {
    /// Folder for the log and the snapshots of this replica.
    std::string folder;
    /// Address at which the other replicas reach this replica.
    std::string address;
    /// Addresses of the replicas that this replica asks for admission when its folder is empty.
    std::vector<std::string> peers;
    /// Create a new store when the folder is empty. With `founders`, the store is created at the start. Otherwise it is
    /// created once every peer has reported that it has no store either, and this must be set for one replica only.
    bool bootstrap = false;
    /// Addresses of the initial voters of a new store, each with an empty folder, when `bootstrap` is set. A replica in
    /// this list is a voter from the start; any other replica asks its `peers` for admission. When the list is empty,
    /// one replica creates the store alone.
    std::vector<std::string> founders;
    /// Ids that are used when the folder is empty and the store is not created with `founders`, whose ids are derived
    /// from their addresses. The owner draws them at random, so that they are not reused after a disk loss.
    ReplicaId newReplica;
    ClusterId newCluster;
    /// Minimum number of voters below which edits are refused and the state counts as stale.
    std::size_t minimumVoters = 1;
    /// Interval between two admission requests.
    Duration joinInterval { 200000 };
    /// Number of applied entries after which the log is trimmed if it is larger than the state.
    std::size_t snapshotEntries = 512;
    /// Size of the log, in bytes, after which it is trimmed if it is larger than the state, however few its entries are.
    std::size_t snapshotBytes = 8 * 1024 * 1024;
    /// Timing and bounds of the replicated log. ControlService sets the ids in it.
    ReplicatedLogSettings log;
};

/// Callbacks to the owner of the service. Unset callbacks are not called.
struct ControlServiceHooks {
    /// Sends a message to the replica at an address.
    std::function<void(const std::string& address, const ReplicaMessage&)> send;
    /// Runs a long storage job (a sync or the writing of a snapshot) on another thread, so that a slow disk does not
    /// delay heartbeats, and calls `done` with its result on the thread of the service. The service must outlive the
    /// job. When this is unset, the job runs synchronously within flush().
    std::function<void(std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done)> runStorageJob;
    /// Called when a newer version of a document was applied.
    std::function<void(const StoredDocument&)> documentChanged;
    /// Called when the replica must stop because its storage failed or the store has removed it. The service accepts
    /// and acknowledges nothing afterwards.
    std::function<void(const Error&)> stopped;
};

/// Status of a replica as reported to operators. It has the default values until the replica belongs to a store.
struct ControlStatus {
    ReplicaId replica;
    ClusterId cluster;
    Term term;
    bool leading = false;
    /// Address of the known leader; empty when no leader is known.
    std::string leaderAddress;
    LogIndex appliedIndex;
    LogIndex lastIndex;
    std::optional<Freshness> freshness;
    /// Whether the store tolerates the loss of another voter. Always false on replicas other than the leader.
    bool survivesAnotherLoss = false;
    std::vector<MemberStatus> members;
};

/// One replica of the control store: the replicated log, its storage and the state, without sockets or threads.
///
/// The owner passes in the events that are available and then calls flush(). All edits between two flushes share one
/// sync.
class ControlService {
public:
    using EditHandler = std::function<void(Result<EditResult>)>;
    using ClaimHandler = std::function<void(Result<ClaimResult>)>;

    /// Opens the data folder and starts the replica. Errors: StorageFailed, StorageCorrupt, InvalidSettings (an empty
    /// folder with neither peers nor bootstrap), and those of ControlState::load().
    static Result<std::unique_ptr<ControlService>> open(ControlServiceSettings, FileSystem&, ControlServiceHooks, TimePoint now);

    void tick(TimePoint);
    void receive(const ReplicaMessage&, TimePoint);
    /// Performs the actions of the log (sending, writing, syncing, applying) until there are none left.
    void flush(TimePoint);

    /// Proposes an edit. Errors passed to the handler: MalformedRequest, RequestTooLarge, NotLeader (also while the
    /// store has too few voters), Overloaded, the error with which the replica has stopped, and NoQuorum when the
    /// outcome is unknown (an edit resent with the same change id then gets the actual result). The result itself may
    /// be a refusal.
    void edit(const DocumentEdit&, EditHandler, TimePoint);
    /// Proposes a claim of an idempotency key. Errors as for edit().
    void claim(const ClaimRequest&, ClaimHandler, TimePoint);
    /// Proposes the question whether a key is claimed. Errors as for edit().
    void query(const ClaimQuery&, ClaimHandler, TimePoint);
    /// Proposes the completion or release of a claim. Errors as for edit().
    void update(const ClaimUpdate&, ClaimHandler, TimePoint);
    /// Proposes the removal of a member. Errors as for ReplicatedLog::removeMember().
    Result<void> removeMember(ReplicaId, TimePoint);

    /// Handles that this replica is being stopped: asks the leader, with each tick, for a learner to take its place.
    void leave(TimePoint);
    /// True while another replica is taking the place of this one, so that its end would cost the store a voter. False once
    /// there is nothing to wait for: it was replaced, no replica can take its place, or no leader has answered for a while.
    bool isLeavePending(TimePoint) const;

    /// Replaces the addresses of the replicas that are asked for admission.
    void setPeers(const std::vector<std::string>& peers) { m_settings.peers = peers; }

    const ControlState& state() const { return m_state; }
    /// Age of the state on this replica; empty when it is unproven or the store has too few voters.
    std::optional<Freshness> freshness(TimePoint) const;
    ControlStatus status(TimePoint) const;
    /// The replicated log; null until this replica belongs to a store.
    const ReplicatedLog* log() const { return m_log.get(); }
    bool isLeading() const { return !m_failure && m_log && m_log->isLeader(); }
    bool isStopped() const { return m_failure.has_value(); }
    std::string leaderAddress() const;

private:
    using ResultHandler = std::function<void(Result<ControlResult>)>;
    /// A proposed command that is not applied yet.
    struct Proposal {
        /// Term in which it was proposed. An entry of another term at its index is another command.
        Term term;
        ResultHandler handler;
    };

    ControlService(ControlServiceSettings, FileSystem&, ControlServiceHooks, TimePoint);

    Result<void> start(TimePoint);
    Result<void> bootstrapAlone(TimePoint);
    Result<void> bootstrapWithFounders(TimePoint);
    Result<void> clearFolderIfRemoved();
    void startLog(StoredLog, TimePoint);
    void propose(const ControlCommand&, ResultHandler, TimePoint);
    void failProposals(const Error&);
    void stop(const Error&);

    // Admission of a replica with an empty disk.
    void requestAdmission(TimePoint);
    void handleJoinRequest(const ReplicaMessage&, TimePoint);
    void reportNonMember(const ReplicaMessage&);
    Result<void> markRemoved();
    void handleRemoval();
    void requestLeave(TimePoint);
    void handleLeaveProgress(LeaveProgress, TimePoint);
    void handleJoinResponse(const JoinResponse&, const std::string& from, TimePoint);
    void sendTo(const std::string& address, ReplicaMessage);

    // Writes are processed in order. At most one sync or one snapshot is in progress. A sync covers everything that was
    // written before it started; while a snapshot is being written, other writes wait.
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
    void notifyNewerDocuments(const DocumentRegister& before);

    ControlServiceSettings m_settings;
    FileSystem& m_fileSystem;
    ControlServiceHooks m_hooks;
    std::unique_ptr<LogStorage> m_storage;
    std::unique_ptr<ReplicatedLog> m_log;
    ControlState m_state;
    /// Proposals by the index of their log entry.
    std::map<LogIndex, Proposal> m_proposals;
    /// Reason for which the replica has stopped; empty while it runs.
    std::optional<Error> m_failure;
    /// Last write passed to the storage, and last write up to which all are synced.
    WriteSequence m_written;
    WriteSequence m_synced;
    bool m_isSyncing = false;
    /// True while a snapshot is being written.
    bool m_isStoring = false;
    /// Writes not passed to the storage yet, oldest first.
    std::deque<std::variant<WriteLog, StoreSnapshot>> m_writes;
    /// Detects that the service was destroyed before a storage job finished; the result is then ignored.
    std::shared_ptr<char> m_lifetime = std::make_shared<char>();
    /// A stop that was ordered, while it waits for the leader's word.
    struct Leave {
        TimePoint nextRequest;
        /// When the leader last said that the place is being taken, or when the stop was ordered.
        TimePoint confirmedAt;
    };
    /// Empty before the order to stop, and once this replica may end.
    std::optional<Leave> m_leave;
    /// Time of the next admission request.
    TimePoint m_nextJoin;
    /// Peers that have reported since the start that they have no store either.
    std::set<std::string> m_peersWithoutStore;
    /// Addresses of senders, used for responses to replicas that are not in the member list yet.
    std::map<ReplicaId, std::string> m_senderAddresses;
};

} // namespace Knapweedquay
