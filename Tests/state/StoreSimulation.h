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

/// A few replicas on fake disks and a fake network in virtual time, checked after every step against a
/// naive record of what was accepted. The seed decides everything.
class StoreSimulation {
public:
    struct Faults {
        /// Share of messages that are lost, doubled, and delayed long, in percent.
        unsigned loss = 0;
        unsigned duplication = 0;
        unsigned longDelay = 0;
    };

    StoreSimulation(std::size_t replicas, std::uint64_t seed, std::size_t snapshotEntries = 8);
    /// Replicas that form a store by themselves: the first `founders` of them found it together, and all know just these.
    /// More replicas than voters wait as learners.
    static StoreSimulation formedBy(std::size_t founders, std::size_t replicas, std::size_t voters, std::uint64_t seed);

    void run(Duration);
    /// Runs until the condition holds; false when it does not within the time.
    bool runUntil(const std::function<bool()>&, Duration);

    void setFaults(Faults faults) { m_faults = faults; }
    void crash(std::size_t);
    void restart(std::size_t);
    void loseDisk(std::size_t);
    void freeze(std::size_t, Duration);
    void cutOff(std::size_t, bool);
    void failStorageSoon(std::size_t);
    /// All faults end; every replica runs.
    void heal();
    /// One random fault or repair of any kind that the promises cover.
    void disturb();
    /// The machine is gone for good, and an empty one takes its part under another address.
    void replaceMachine(std::size_t);

    /// Sends an edit to a replica; the expected version is the one that the replica has, plus the given number.
    void sendEdit(std::size_t replica, const std::string& service, std::uint64_t expectedBeyond = 0);
    /// Sends an earlier edit again, to any replica.
    void resendEdit();
    /// Checks the claims of idempotency keys: at most one attempt may be granted a key.
    void sendClaim(std::size_t replica);

    ControlService* service(std::size_t replica) { return m_replicas[replica].service.get(); }
    FakeFileSystem& disk(std::size_t replica) { return m_replicas[replica].disk; }
    std::optional<std::size_t> leader() const;
    bool survivesAnotherLoss() const;
    bool haveAllConverged() const;
    std::size_t acceptedCount() const { return m_acceptedCount; }
    TimePoint now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    /// What was seen that must never be; empty when all promises held.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct Replica {
        std::string address;
        FakeFileSystem disk;
        std::unique_ptr<ControlService> service;
        TimePoint frozenUntil;
        bool cutOff = false;
        bool founder = false;
        /// The system has not started before, as its operator says.
        bool isFirstStart = true;
        /// Starts of this process so far.
        std::size_t runs = 0;
        /// Versions seen by something attached to this process; they must never go back.
        std::map<ServiceName, DocumentVersion> seen;
    };
    struct Envelope {
        std::size_t to = 0;
        std::size_t from = 0;
        std::string bytes;
    };
    struct PendingJob {
        std::size_t replica = 0;
        std::size_t run = 0;
        std::function<Result<void>()> job;
        std::function<void(Result<void>, TimePoint)> done;
    };
    struct Accepted {
        DocumentEdit edit;
        TimePoint at;
    };

    void step();
    void start(std::size_t);
    void post(std::size_t from, const std::string& address, const ReplicaMessage&);
    void deliver(const Envelope&);
    void finishJobs();
    bool isRunning(std::size_t) const;
    void submit(std::size_t replica, const DocumentEdit&);
    void noteResult(const DocumentEdit&, const EditResult&);
    void check(std::size_t);
    void checkFreshness(std::size_t);
    void checkDocuments(std::size_t);
    void report(const std::string&);

    StoreSimulation(std::size_t replicas, std::size_t founders, std::size_t voters, std::uint64_t seed, std::size_t snapshotEntries);

    std::mt19937_64 m_random;
    /// 0: the first replica founds the store alone.
    std::size_t m_founders = 0;
    /// 0: every replica votes.
    std::size_t m_voters = 0;
    std::vector<Replica> m_replicas;
    std::multimap<TimePoint, Envelope> m_network;
    std::size_t m_snapshotEntries;
    /// True when jobs of the storage take their time while the replica goes on.
    bool m_isStorageSlow;
    std::multimap<TimePoint, PendingJob> m_jobs;
    Faults m_faults;
    TimePoint m_now { Duration(1000000) };
    TimePoint m_lastLoss;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextChange = 1;
    std::vector<DocumentEdit> m_sent;
    /// The naive register: what was accepted under each version of each service.
    std::map<ServiceName, std::map<DocumentVersion, Accepted>> m_accepted;
    std::map<ChangeId, EditResult> m_firstResults;
    std::map<ClaimKey, AttemptId> m_granted;
    std::size_t m_acceptedCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace Knapweedquay
