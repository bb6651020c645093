#pragma once

#include "coordination/membership/Membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Traffic of one member; the bytes include UDP and IP headers.
struct MemberTraffic {
    std::uint64_t bytesSent = 0;
    /// The part of bytesSent that went to members in other data centres.
    std::uint64_t bytesSentAbroad = 0;
    /// The part of bytesSent that the member took for local.
    std::uint64_t bytesMarkedLocal = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagramsSent = 0;
};

/// Simulates many members in one process, in virtual time, over a network that loses, delays and duplicates datagrams
/// and can be partitioned.
class MembershipFleet {
public:
    /// Parameters of the simulated network and members.
    struct Options {
        /// Settings that all members share; start() sets those that differ.
        MembershipSettings settings;
        std::size_t members = 0;
        /// Seed of the random generators of the network and the members.
        std::uint64_t seed = 1;
        /// Share of datagrams that are lost, 0..1.
        double loss = 0;
        /// Share of datagrams that are sent twice, 0..1.
        double duplication = 0;
        /// Bounds of the one-way delay, which is uniformly distributed.
        Duration minimumDelay { 500 };
        Duration maximumDelay { 2500 };
        /// Number of seed addresses of each member.
        std::size_t seeds = 3;
        /// Bounds of the bytes that a seed sends; those of the settings hold for all others.
        double seedBytesPerSecond = seedGossipBytesPerSecond;
        double seedBurstBytes = seedGossipBurstBytes;
    };

    explicit MembershipFleet(Options);

    /// Starts a member with a new incarnation and a ready endpoint.
    void start(std::size_t member);
    void startAll();
    /// Simulates a crash of the process; a later start() uses a new incarnation.
    void kill(std::size_t member);
    /// Simulates a suspended process, whose socket still buffers datagrams.
    void freeze(std::size_t member);
    /// Resumes a frozen member, which first handles the buffered datagrams.
    void wake(std::size_t member);
    /// Sets the function that decides whether datagrams between two members arrive; all do when it is empty.
    void setReachability(std::function<bool(std::size_t, std::size_t)> isReachable) { m_isReachable = std::move(isReachable); }
    /// Sets the share of lost datagrams, 0..1.
    void setLoss(double loss) { m_options.loss = loss; }
    /// Changes the lifecycle of a member's endpoint.
    void setLifecycle(std::size_t member, EndpointLifecycle);
    /// Lets a member announce that it leaves the membership.
    void leave(std::size_t member);
    /// Sets the versions of the documents in force at a member.
    void setDocuments(std::size_t member, const std::vector<DocumentHint>&);

    /// Sets the function that receives the evidence of other members about requests that were running in crashes.
    void setEvidenceHook(std::function<void(std::size_t member, const CrashEvidence&)> hook) { m_evidenceHook = std::move(hook); }
    /// Lets a member pass on evidence that it found.
    void spreadEvidence(std::size_t member, const std::vector<CrashEvidence>&, const std::vector<NodeId>& recipients);

    /// Advances the virtual time.
    void run(Duration);
    /// Runs until the condition holds, which is checked every 50 ms, or the limit is reached; returns the elapsed time.
    Duration runUntil(const std::function<bool()>& condition, Duration limit);

    std::size_t size() const { return m_members.size(); }
    bool isFrozen(std::size_t member) const { return m_members[member].isFrozen; }
    bool isRunning(std::size_t member) const { return m_members[member].membership != nullptr; }
    const Membership& membership(std::size_t member) const { return *m_members[member].membership; }
    NodeId nodeId(std::size_t member) const;
    MemberTraffic traffic(std::size_t member) const { return m_members[member].traffic; }
    /// All hints of newer documents that a member has received.
    const std::vector<NewerDocumentHint>& hints(std::size_t member) const { return m_members[member].hints; }
    TimePoint now() const { return m_now; }

    /// True when the condition holds for the record of the subject at every other running, unfrozen member that the
    /// filter accepts.
    bool doAllSee(std::size_t subject, const std::function<bool(const MemberRecord*)>& condition, const std::function<bool(std::size_t)>& filter = {}) const;
    /// True when every running member regards exactly the running members as present and suspects none.
    bool hasConverged() const;
    /// Number of pairs of running members of which one regards the other as dead.
    std::size_t falseDeaths() const;
    /// Number of pairs of running members of which one suspects the other.
    std::size_t falseSuspicions() const;

private:
    /// A datagram with the address of its sender.
    struct Datagram {
        SocketAddress from;
        std::string bytes;
    };

    /// A simulated process and what it has received.
    struct Member {
        /// Null while the process isn't running.
        std::unique_ptr<Membership> membership;
        /// Number of starts so far; each start uses a new incarnation.
        std::uint64_t incarnation = 0;
        /// Number of the last scheduled timer; earlier ones are ignored.
        std::uint64_t timerGeneration = 0;
        bool isFrozen = false;
        /// Datagrams that arrived while the member is frozen.
        std::vector<Datagram> waitingDatagrams;
        MemberTraffic traffic;
        std::vector<NewerDocumentHint> hints;
    };

    /// A scheduled timer of a member, or the arrival of a datagram at it.
    struct Event {
        TimePoint at;
        /// Orders events of the same time.
        std::uint64_t sequence = 0;
        std::size_t member = 0;
        /// True for a timer of the member, false for the arrival of a datagram.
        bool isTimer = false;
        /// Generation of the timer, or number of the datagram in flight.
        std::uint64_t number = 0;

        /// Reversed, so that the priority queue returns the earliest event first.
        friend bool operator<(const Event& a, const Event& b)
        {
            return a.at != b.at ? b.at < a.at : b.sequence < a.sequence;
        }
    };

    SocketAddress addressOf(std::size_t member) const;
    void process(const Event&);
    void deliver(std::size_t member, const Datagram&);
    void execute(std::size_t member, const MembershipActions&);
    void transmit(std::size_t member, const SendDatagram&);
    void scheduleTimer(std::size_t member);
    double drawUniform();

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<Member> m_members;
    std::map<SocketAddress, std::size_t> m_byAddress;
    std::priority_queue<Event> m_events;
    /// Datagrams that were sent but have not arrived, by number.
    std::map<std::uint64_t, Datagram> m_inFlight;
    std::function<bool(std::size_t, std::size_t)> m_isReachable;
    std::function<void(std::size_t, const CrashEvidence&)> m_evidenceHook;
    std::uint64_t m_lastSequence = 0;
    TimePoint m_now;
};

} // namespace Knapweedquay
