#pragma once

#include "MembershipBench/MembershipFleet.h"
#include "coordination/quarantine/RequestQuarantine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Knapweedquay {

/// A fleet in virtual time whose nodes each have a backend server, take harmless calls and exchange evidence by gossip.
///
/// A call runs at a random server that is up. A crash loses all that its server runs; each lost call is sent once more, unless its
/// origin holds the request. The server is back after some seconds.
class QuarantineFleet {
public:
    QuarantineFleet(std::size_t nodes, std::uint64_t seed);

    /// Advances the time while harmless calls arrive, two thirds of them one popular request.
    void run(Duration);
    /// Sends a request that crashes each server that runs it, at a random node; its caller repeats it twice.
    void sendPoison(int request);
    /// Ends a backend server with all that it runs.
    void crashServer(std::size_t node);
    /// Ends a backend server together with its node, which tells nothing.
    void losePower(std::size_t node);
    MembershipFleet& members() { return m_members; }
    std::size_t size() const { return m_nodes.size(); }
    /// Restarts the process of a node, which has forgotten everything.
    void restartNode(std::size_t node);

    /// Crashes under a poison request in all, and runs of it later than the time after its third crash.
    struct PoisonResult {
        std::size_t crashes = 0;
        std::size_t laterRuns = 0;
    };
    PoisonResult poison(int request) const;
    /// Harmless calls that were sent, and those refused because their request was held: in all, and of the popular request.
    struct HarmlessResult {
        std::size_t sent = 0;
        std::size_t refused = 0;
        std::size_t popularRefused = 0;
        /// From the first to the last refusal of the popular request.
        Duration popularHeld { 0 };
    };
    const HarmlessResult& harmless() const { return m_harmless; }

private:
    /// A call, and how often it was lost in a crash.
    struct Call {
        RequestDigest digest;
        std::size_t origin = 0;
        /// Number of the poison request; -1 for a harmless one.
        int poison = -1;
        int crashes = 0;
        /// Repetitions by the caller that remain.
        int repetitions = 0;
    };
    struct Run {
        Call call;
        TimePoint endsAt;
    };
    struct Node {
        std::unique_ptr<RequestQuarantine> quarantine = std::make_unique<RequestQuarantine>();
        std::vector<Run> runs;
        /// When the backend server is up again.
        TimePoint upAt;
        std::uint64_t crashes = 0;
        bool hasPower = true;
    };

    bool isUp(std::size_t node) const;
    std::size_t randomNode() { return m_random() % m_nodes.size(); }
    void send(Call);
    void start(std::size_t node, const Call&);
    void finishRuns(std::size_t node);
    /// Ends the runs of a server; witness: its node sees the crash.
    void endRuns(std::size_t node, bool isWitness);
    void countRefusal(const Call&);

    MembershipFleet m_members;
    std::vector<Node> m_nodes;
    std::mt19937_64 m_random;
    std::map<int, std::vector<TimePoint>> m_poisonCrashes;
    std::map<int, std::vector<TimePoint>> m_poisonRuns;
    HarmlessResult m_harmless;
    std::optional<TimePoint> m_popularRefusedSince;
};

} // namespace Knapweedquay
