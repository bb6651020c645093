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

/// Bytes and datagrams of one member, UDP and IP headers included.
struct MemberTraffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagramsSent = 0;
};

/// Many members in one process, in virtual time, over a fake network that loses, delays, repeats and cuts.
class MembershipFleet {
public:
    struct Options {
        MembershipSettings settings;
        std::size_t members = 0;
        std::uint64_t seed = 1;
        /// Share of datagrams that are lost, and that arrive twice, 0..1.
        double loss = 0;
        double duplication = 0;
        /// One-way delay, evenly drawn.
        Duration minimumDelay { 500 };
        Duration maximumDelay { 2500 };
        /// Seeds of each member.
        std::size_t seeds = 3;
    };

    explicit MembershipFleet(Options);

    void start(std::size_t member);
    void startAll();
    /// The process is gone; a later start() makes a new incarnation.
    void kill(std::size_t member);
    /// The process stands still; datagrams wait for it.
    void freeze(std::size_t member);
    void wake(std::size_t member);
    /// Decides whether datagrams pass between two members; all pass when empty.
    void setReachability(std::function<bool(std::size_t, std::size_t)> isReachable) { m_isReachable = std::move(isReachable); }
    void setLoss(double loss) { m_options.loss = loss; }
    void setLifecycle(std::size_t member, EndpointLifecycle);
    void leave(std::size_t member);
    void setDocuments(std::size_t member, const std::vector<DocumentHint>&);

    void run(Duration);
    /// Runs until the condition holds, looked at every 50 ms, and returns the time; gives up at the limit.
    Duration runUntil(const std::function<bool()>& condition, Duration limit);

    std::size_t size() const { return m_members.size(); }
    bool isRunning(std::size_t member) const { return m_members[member].membership != nullptr; }
    const Membership& membership(std::size_t member) const { return *m_members[member].membership; }
    NodeId nodeId(std::size_t member) const;
    MemberTraffic traffic(std::size_t member) const { return m_members[member].traffic; }
    /// All hints of newer documents that a member was given.
    const std::vector<NewerDocumentHint>& hints(std::size_t member) const { return m_members[member].hints; }
    TimePoint now() const { return m_now; }

    /// True when every running member accepted by the filter satisfies the condition on its record of the subject.
    bool doAllSee(std::size_t subject, const std::function<bool(const MemberRecord*)>& condition, const std::function<bool(std::size_t)>& filter = {}) const;
    /// True when every running member sees exactly the running ones as present and alive.
    bool hasConverged() const;
    /// Running, unfrozen members that some running member holds to be dead: each pair counts.
    std::size_t falseDeaths() const;
    std::size_t falseSuspicions() const;

private:
    struct Datagram {
        SocketAddress from;
        std::string bytes;
    };

    struct Member {
        std::unique_ptr<Membership> membership;
        std::uint64_t incarnation = 0;
        std::uint64_t timerStamp = 0;
        bool isFrozen = false;
        std::vector<Datagram> waiting;
        MemberTraffic traffic;
        std::vector<NewerDocumentHint> hints;
    };

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t member = 0;
        /// Timer events carry the stamp of their member's timer; datagrams carry their number.
        bool isTimer = false;
        std::uint64_t number = 0;

        friend bool operator<(const Event& a, const Event& b)
        {
            return a.at != b.at ? b.at < a.at : b.order < a.order;
        }
    };

    SocketAddress addressOf(std::size_t member) const;
    void process(const Event&);
    void deliver(std::size_t member, const Datagram&);
    void carryOut(std::size_t member, const MembershipActions&);
    void transmit(std::size_t member, const SendDatagram&);
    void scheduleTimer(std::size_t member);
    double draw();

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<Member> m_members;
    std::map<SocketAddress, std::size_t> m_byAddress;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, Datagram> m_inFlight;
    std::function<bool(std::size_t, std::size_t)> m_isReachable;
    std::uint64_t m_order = 0;
    TimePoint m_now;
};

} // namespace Knapweedquay
