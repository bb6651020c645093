#pragma once

#include "state/ControlService.h"
#include "state/FakeFileSystem.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Deterministic simulation of several replicas with in-memory disks and network in virtual time. After every step, the
/// replicas are checked against a reference record of the accepted edits. The seed determines the complete run.
class StoreSimulation {
public:
    /// Network faults, each as a percentage of the messages.
    struct Faults {
        unsigned loss = 0;
        unsigned duplication = 0;
        /// Messages that are delayed by up to two seconds.
        unsigned longDelay = 0;
    };

    /// Bounds that decide when a replica writes and sends a snapshot.
    struct SnapshotSizes {
        std::size_t entries = 8;
        std::size_t chunkBytes = 256;
        std::size_t logBytes = 8 * 1024 * 1024;
    };

    StoreSimulation(std::size_t replicas, std::uint64_t seed, std::size_t snapshotEntries = 8);
    /// Replicas that form a store without an operator: the first `founders` replicas create it together, and all
    /// replicas have only their addresses. Replicas beyond the number of voters stay learners.
    static StoreSimulation withFounders(std::size_t founders, std::size_t replicas, std::size_t voters, std::uint64_t seed);
    static StoreSimulation withFounders(std::size_t founders, std::size_t replicas, std::size_t voters, std::uint64_t seed, SnapshotSizes);

    /// Sets the silence after which voters are replaced, for replicas that start from now on.
    void setReplaceAfter(Duration replaceAfter) { m_replaceAfter = replaceAfter; }

    void run(Duration);
    /// Runs until the condition holds or the time has passed, and returns whether the condition holds.
    bool runUntil(const std::function<bool()>&, Duration);

    void setFaults(Faults faults) { m_faults = faults; }
    void crash(std::size_t);
    void restart(std::size_t);
    /// Ends the process alone; its machine and disk keep all that was written.
    void endProcess(std::size_t);
    void loseDisk(std::size_t);
    void freeze(std::size_t, Duration);
    void setIsolated(std::size_t, bool);
    /// Makes all storage operations of a replica fail after up to seven more.
    void failStorageSoon(std::size_t);
    /// Ends all faults and restarts all stopped replicas.
    void endAllFaults();
    /// Injects one random fault or repair, of the kinds that the guarantees cover.
    void injectRandomFault();
    /// Replaces a machine permanently by one with an empty disk and another address.
    void replaceMachine(std::size_t);

    /// Sends an edit to a replica. The expected version is that of the replica's document plus the offset.
    void sendEdit(std::size_t replica, const std::string& service, std::uint64_t versionOffset = 0, std::size_t textBytes = 0);
    /// Resends a random earlier edit to a random replica.
    void resendEdit();
    /// Sends a claim of a random idempotency key. Granting a key to more than one attempt is a violation.
    void sendClaim(std::size_t replica);

    std::size_t size() const { return m_replicas.size(); }
    ControlService* service(std::size_t replica) { return m_replicas[replica].service.get(); }
    FakeFileSystem& disk(std::size_t replica) { return m_replicas[replica].disk; }
    /// Index of a running, connected replica that can accept edits; unset when there is none.
    std::optional<std::size_t> leader() const;
    /// True when a running replica reports that the store survives the loss of another replica.
    bool survivesAnotherLoss() const;
    /// True when every replica is a fresh member, the target number of them are voters, and all have applied the same
    /// log.
    bool haveAllConverged() const;
    /// True when every replica runs and has applied the newest accepted edit of each service.
    bool holdAllAccepted() const;
    std::size_t acceptedCount() const { return m_acceptedCount; }
    TimePoint now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    /// Violated guarantees; empty when there were none.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    /// A replica with its disk and the faults in effect at it.
    struct Replica {
        std::string address;
        FakeFileSystem disk;
        /// Null while the process isn't running.
        std::unique_ptr<ControlService> service;
        /// The process is suspended until this time.
        TimePoint frozenUntil;
        /// True while all messages to and from the replica are lost.
        bool isIsolated = false;
        /// True for the replica that creates the store alone; not used when m_founders is set.
        bool createsStoreAlone = false;
        /// False once the replica has lost its disk; passed as the setting `bootstrap` when m_founders is set.
        bool hasOriginalDisk = true;
        /// Number of starts of this replica so far.
        std::size_t startCount = 0;
        /// Last version of each document that this process has served; it must never decrease.
        std::map<ServiceName, DocumentVersion> seenVersions;
    };
    /// An encoded message in flight between two replicas, which are given by their indices.
    struct MessageInFlight {
        std::size_t to = 0;
        std::size_t from = 0;
        std::string bytes;
    };
    /// A storage job that ends at a later time, unless its replica stops before.
    struct PendingJob {
        std::size_t replica = 0;
        /// Value of Replica::startCount when the job was submitted; the job is dropped if it has changed.
        std::size_t startNumber = 0;
        std::function<Result<void>()> job;
        std::function<void(Result<void>, TimePoint)> done;
    };
    /// An accepted edit and the time at which its sender received the result.
    struct Accepted {
        DocumentEdit edit;
        TimePoint at;
    };

    void step();
    void start(std::size_t);
    void sendMessage(std::size_t from, const std::string& address, const ReplicaMessage&);
    void deliver(const MessageInFlight&);
    void finishJobs();
    bool isRunning(std::size_t) const;
    void submit(std::size_t replica, const DocumentEdit&);
    void recordResult(const DocumentEdit&, const EditResult&);
    void check(std::size_t);
    void checkFreshness(std::size_t);
    void checkDocuments(std::size_t);
    void report(const std::string&);

    StoreSimulation(std::size_t replicas, std::size_t founders, std::size_t voters, std::uint64_t seed, SnapshotSizes);

    std::mt19937_64 m_random;
    /// Number of founders; 0 when the first replica creates the store alone.
    std::size_t m_founders = 0;
    /// Target number of voters; 0 when every replica is a voter.
    std::size_t m_voters = 0;
    Duration m_replaceAfter = ReplicatedLogSettings().replaceAfter;
    std::vector<Replica> m_replicas;
    std::multimap<TimePoint, MessageInFlight> m_messagesInFlight;
    SnapshotSizes m_snapshotSizes;
    /// Whether storage jobs run asynchronously with a random duration.
    bool m_isStorageSlow;
    std::multimap<TimePoint, PendingJob> m_jobs;
    Faults m_faults;
    TimePoint m_now { Duration(1000000) };
    TimePoint m_lastDiskLoss;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextChange = 1;
    std::vector<DocumentEdit> m_sent;
    /// Reference record of the accepted edit for each version of each service.
    std::map<ServiceName, std::map<DocumentVersion, Accepted>> m_accepted;
    /// First result of each edit, which every resend must receive again.
    std::map<ChangeId, EditResult> m_firstResults;
    /// The attempt that each key was granted to.
    std::map<ClaimKey, AttemptId> m_grantedClaims;
    std::size_t m_acceptedCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace Knapweedquay
