#pragma once

#include "coordination/quotas/QuotaAssignment.h"
#include "coordination/quotas/QuotaCredit.h"
#include "coordination/quotas/QuotaHolder.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Knapweedquay {

/// Nodes that hold and use slices of quotas, and successive leaders of the control store, in virtual time, with calls at random
/// times, delayed and lost messages, frozen, lost and restarted nodes. Counts the runs of each workspace in all windows, and the calls that its quota allows but that were refused.
class QuotaFleet {
public:
    struct Settings {
        std::size_t nodes = 14;
        std::size_t workspaces = 76;
        /// Calls per second of all workspaces; their sizes follow Zipf's law.
        double callsPerSecond = 1000;
        double skew = 1.2;
        /// Quota of a workspace, relative to its calls per second.
        double quotaFactor = 1.6;
        /// Seconds of its quota that a workspace may use at once.
        double burstSeconds = 1;
        QuotaBound bound { std::chrono::seconds(5), 0.1, 20 };
        Duration shortestDelay { 500 };
        Duration longestDelay { 2000 };
        /// Shares of messages that are lost, and that take up to maximumStall.
        double lossShare = 0;
        double stallShare = 0;
        Duration maximumStall { 2500000 };
        /// Share of the calls that turn out not to run, some time after they took their credit.
        double notRunShare = 0;
        std::uint64_t seed = 1;
    };

    struct Result {
        /// Largest number of runs in a window, relative to the bound.
        double worstWindow = 0;
        std::uint64_t calls = 0;
        /// Calls that the quotas allow, and those of them that were not run.
        double owed = 0;
        double wronglyRefused = 0;
        std::uint64_t runs = 0;
        /// Bytes that a node sent and received in a second, as an average over all.
        double bytesPerNodeSecond = 0;
        /// Requests for credit that a holder got in a second, as an average over all.
        double requestsPerHolderSecond = 0;

        double wronglyRefusedShare() const { return owed > 0 ? wronglyRefused / owed : 0; }
    };

    explicit QuotaFleet(const Settings&);

    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    /// Calls a function at a time after the start.
    void at(Duration, std::function<void()>);
    void run(Duration);
    /// Begins to count owed calls and bytes. Runs are always counted.
    void startMeasurement();
    Result result() const;

    /// Ends the leadership in the control store; the next leader leads after the gap.
    void replaceLeader(Duration gap);
    void freezeNode(std::size_t, Duration);
    /// Cuts a node off from the control store and from all nodes that are not cut off.
    void cutNode(std::size_t, Duration);
    /// Ends a node for this time; calls go to others.
    void stopNode(std::size_t, Duration);
    /// The node that holds a slice; not set if there is none.
    std::optional<std::size_t> holder(QuotaSlice) const;
    /// Loses a share of all messages of a node from now on.
    void setLoss(std::size_t node, double share) { m_nodes.at(node).lossShare = share; }
    void restartNode(std::size_t);
    /// Lets no calls arrive for this time.
    void stopCalls(Duration time) { m_callsFrom = m_now + time; }
    /// Calls per second of all workspaces.
    double demand() const { return m_totalDemand; }
    /// Multiplies the calls of a workspace.
    void scaleDemand(std::size_t workspace, double factor);
    /// Multiplies the quota of a workspace, from now on in the control store.
    void scaleQuota(std::size_t workspace, double factor);
    /// Sends a share of all calls to the first third of the nodes.
    void moveDemand(double share) { m_movedShare = share; }

private:
    struct Node {
        Node(QuotaCredit user, QuotaHolder keeper)
            : credit(std::move(user))
            , holder(std::move(keeper))
        {
        }
        QuotaCredit credit;
        QuotaHolder holder;
        QuotaHolderDocument holders;
        double lossShare = 0;
        TimePoint stoppedUntil;
        std::uint64_t incarnation = 1;
        TimePoint frozenUntil;
        TimePoint cutUntil;
        TimePoint wakeAt;
        /// What happens to a frozen node when it wakes.
        std::vector<std::function<void()>> deferred;
    };

    struct Workspace {
        WorkspaceName name;
        double demand = 0;
        WorkspaceQuota quota;
        /// Runs in order of time.
        std::vector<TimePoint> runs;
        /// Quotas with the time from which they are in force.
        std::vector<std::pair<TimePoint, WorkspaceQuota>> quotas;
        /// Bucket by which the calls are owed.
        double level = 0;
        TimePoint filledAt;
        /// Owed and run calls in each window of the measurement.
        std::vector<std::pair<double, double>> windows;
    };

    struct Event {
        TimePoint time;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::make_pair(other.time, other.number) < std::make_pair(time, number); }
    };

    void schedule(TimePoint, std::function<void()>);
    /// Performs it when the node isn't frozen.
    void onNode(std::size_t, std::function<void()>);
    void thaw(std::size_t);
    Duration delay();
    bool isLost(const Node& from, const Node& to);
    DataCentre dataCentreOf(std::size_t node) const;
    /// Lets the control store prove its documents to the nodes, and its leader name holders.
    void tickStore();
    void proveTo(std::size_t node);
    std::vector<MemberRecord> members() const;
    void applyDocuments(std::size_t node, const QuotaHolderDocument&, const std::vector<Knapweedquay::Workspace>&, TimePoint provedAt);
    std::vector<Knapweedquay::Workspace> quotas() const;
    void nextCall();
    std::size_t chooseWorkspace();
    void arrive(std::size_t node, std::size_t workspace);
    void handle(std::size_t node, const QuotaCredit::Decision&);
    void pump(std::size_t node);
    void send(std::size_t node, const QuotaRequestMessage&);
    void holderReceives(std::size_t holder, std::size_t node, const std::string& bytes);
    std::pair<double, double>& windowOf(Workspace&);
    double limitOf(const Workspace&, TimePoint windowStart) const;

    Settings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    TimePoint m_start { m_now };
    std::uint64_t m_lastEvent = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    std::vector<Workspace> m_workspaces;
    double m_totalDemand = 0;
    double m_movedShare = 0;
    TimePoint m_callsFrom;
    QuotaAssignment m_assignment;
    std::optional<QuotaHolderDocument> m_committed;
    std::uint64_t m_version = 0;
    std::uint64_t m_term = 1;
    TimePoint m_leaderFrom;
    std::uint64_t m_lastCall = 0;
    std::unordered_map<std::uint64_t, std::size_t> m_waiting;
    bool m_isMeasuring = false;
    TimePoint m_measuredFrom;
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_holderRequests = 0;
};

} // namespace Knapweedquay
