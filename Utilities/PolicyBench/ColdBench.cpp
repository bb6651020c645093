// Lets backend servers of a fleet turn cold in virtual time, and prints what the worst of them gets and how many fall over.
// Usage: knapweedquayColdBench [seed] [case]
// Each node is the origin of an equal share of the calls and paces the server beside it, or doesn't. A cold server falls over when
// it gets more requests in a second than the bound, and comes back cold.

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/admission/ColdPace.h"
#include "coordination/placing/EndpointChooser.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <tuple>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr ColdBound bound { 1.5, 8 };
constexpr Duration coldTime = 3s;
constexpr Duration downTime = 1s;
constexpr Duration localDelay = 500us;
constexpr Duration remoteDelay = 1ms;
constexpr Duration announcementDelay = 30ms;
/// Until all nodes know of an announcement.
constexpr Duration gossipDelay = 400ms;
constexpr Duration checkTimer = 40ms;
constexpr Duration checkTime = 2ms;
constexpr Duration target = 500ms;
constexpr Duration deadline = 2500ms;
constexpr Duration runTime = 20s;
/// Calls before this time are not counted, and nothing turns cold before it.
constexpr Duration warmUp = 4s;
constexpr int maximumAttempts = 3;
constexpr int dataCentres = 3;
/// Cold servers work this much slower.
constexpr double coldFactor = 2;

/// A service: number of its endpoints, their slots, mean time of a call and cold rate.
struct Fleet {
    const char* name;
    int endpoints;
    std::uint32_t slots;
    Duration serviceTime;
    double coldRate;
};

enum class Trouble {
    /// A data centre's servers end and come back together.
    ThirdBack,
    /// A third turns cold without a word, three times.
    Silent,
    /// Servers are replaced one after the other.
    Release,
    AllBack,
    /// A seventh of the endpoints is added.
    Added,
};

class ColdSimulation {
public:
    ColdSimulation(const Fleet& fleet, Trouble trouble, double load, bool isPaced, std::uint64_t seed)
        : m_fleet(fleet)
        , m_trouble(trouble)
        , m_random(seed)
        , m_callsPerSecond(load * fleet.endpoints * fleet.slots * 1e6 / static_cast<double>(fleet.serviceTime.count()))
    {
        Priority priority;
        priority.target = target;
        priority.maximumQueueTime = 2 * target;
        m_document.priorities = { priority };
        for (int index = 0; index < fleet.endpoints; ++index) {
            m_nodes.push_back(std::make_unique<Node>(m_document, fleet, dataCentre(index), static_cast<std::uint64_t>(index)));
            Node& node = *m_nodes.back();
            node.pace.setHasHealthChecks(true);
            node.pace.runStarted(true, m_now);
            node.pace.setService(coldTime, isPaced ? std::optional(RequestRate(fleet.coldRate)) : std::nullopt, m_now);
            after(Duration(static_cast<Duration::rep>(m_random() % checkTimer.count())), [this, index] { timer(index); });
        }
        for (int index = 0; index < fleet.endpoints; ++index) {
            if (trouble != Trouble::Added || index % 7 != 0)
                add(index);
        }
    }

    void run(const char* trouble, const char* policy, double load)
    {
        const TimePoint start = m_now;
        after(Duration(1), [this] { generate(); });
        after(warmUp, [this] { begin(); });
        while (m_now < start + runTime) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        const double seconds = std::chrono::duration<double>(runTime).count();
        std::printf("%-13s %-4s %5.0f%% %-6s %6zu %7.1f %8zu %9.2f%% %9.2f%% %8.2f %6.0f%%", trouble, m_fleet.name, 100 * load, policy, m_worst, mostAllowed(), m_crashes, 100 * m_inTarget / m_counted, 100 * m_refused / m_counted, static_cast<double>(m_checks) / seconds / m_fleet.endpoints, 100 * m_coldStarts / std::max(m_coldSeconds * m_fleet.coldRate, 1.0));
        if (m_trouble == Trouble::Added)
            std::printf(" %8.2f", firstWork());
        std::printf("\n");
    }

private:
    /// A node, the backend server beside it, and what the node knows of other endpoints.
    struct Node {
        Node(const ServiceDocument& document, const Fleet& fleet, const DataCentre& dataCentre, std::uint64_t seed)
            : queue(document, fleet.slots)
            , chooser(document, dataCentre, settings(seed))
        {
        }
        static ChoiceSettings settings(std::uint64_t seed)
        {
            ChoiceSettings settings;
            settings.candidates = 12;
            settings.subset = 12;
            settings.subsetSeed = seed;
            settings.remotePenalty = 0.7;
            return settings;
        }

        AdmissionQueue queue;
        ColdPace pace { bound };
        EndpointChooser chooser;
        bool isReachable = true;
        std::optional<TimePoint> checkSentAt;
        TimePoint respondedAt;
        LoadReport lastReport;

        bool isAdded = false;
        TimePoint addedAt;
        std::optional<TimePoint> firstWorkAt;
        bool isDown = false;
        int serverRun = 0;
        TimePoint coldUntil;
        /// Arrivals of the last second while cold.
        std::deque<TimePoint> coldArrivals;
        std::set<CallTicket> running;
    };
    struct Call {
        int origin = 0;
        TimePoint sentAt;
        bool isCounted = false;
        std::vector<EndpointId> tried;
    };
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    static DataCentre dataCentre(int index) { return DataCentre("dc-" + std::to_string(index % dataCentres)); }
    static EndpointId id(int index) { return { NodeId("node-" + std::to_string(index)), Incarnation(1) }; }
    static int indexOf(const EndpointId& endpoint) { return std::atoi(endpoint.node.value().c_str() + 5); }
    static Duration delay(int a, int b) { return a % dataCentres == b % dataCentres ? localDelay : remoteDelay; }
    void after(Duration time, std::function<void()> action) { m_events.push({ m_now + time, m_sequence++, std::move(action) }); }
    Node& node(int index) { return *m_nodes[static_cast<std::size_t>(index)]; }
    double mostAllowed() const { return m_fleet.coldRate * bound.overage + bound.slack; }
    Duration exponential(double mean) { return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(m_random))); }

    double firstWork() const
    {
        double latest = 0;
        for (const auto& added : m_nodes) {
            if (added->addedAt > TimePoint(1s))
                latest = std::max(latest, added->firstWorkAt ? std::chrono::duration<double>(*added->firstWorkAt - added->addedAt).count() : 99.0);
        }
        return latest;
    }

    void add(int index)
    {
        node(index).isAdded = true;
        node(index).addedAt = m_now;
        for (int origin = 0; origin < m_fleet.endpoints; ++origin) {
            node(origin).chooser.update(id(index), { dataCentre(index), m_fleet.slots, m_now, false });
            node(origin).chooser.addRoundTripSample(id(index), 2 * delay(origin, index));
        }
    }

    void begin()
    {
        switch (m_trouble) {
        case Trouble::ThirdBack:
        case Trouble::AllBack:
            for (int index = 0; index < m_fleet.endpoints; ++index) {
                if (m_trouble == Trouble::AllBack || index % dataCentres == 0)
                    end(index);
            }
            return;
        case Trouble::Silent:
            for (int round = 0; round < 3; ++round)
                after(round * 5s, [this] { turnThirdCold(); });
            return;
        case Trouble::Release:
            for (int index = 0; index < m_fleet.endpoints; ++index)
                after(index * 10s / m_fleet.endpoints, [this, index] { end(index); });
            return;
        case Trouble::Added:
            for (int index = 0; index < m_fleet.endpoints; index += 7) {
                node(index).coldUntil = m_now + coldTime;
                add(index);
            }
            return;
        }
    }

    void turnThirdCold()
    {
        for (int index = 0; index < m_fleet.endpoints; ++index) {
            if (m_random() % 3 == 0)
                node(index).coldUntil = m_now + coldTime;
        }
    }

    /// Ends a backend server; it comes back cold.
    void end(int index)
    {
        Node& ended = node(index);
        ended.isDown = true;
        ++ended.serverRun;
        ended.coldArrivals.clear();
        ended.checkSentAt.reset();
        for (const CallTicket ticket : std::exchange(ended.running, {})) {
            ended.queue.finished(ticket, BackendOutcome::Failed, m_now);
            answer(ticket, index, CallEnd::Failed);
        }
        after(downTime, [this, index] {
            node(index).isDown = false;
            node(index).coldUntil = m_now + coldTime;
            after(announcementDelay, [this, index, run = node(index).serverRun] { announced(index, run); });
        });
        startQueued(index);
    }

    void announced(int index, int run)
    {
        Node& own = node(index);
        if (run != own.serverRun)
            return;
        own.queue.setBackend(m_fleet.slots);
        own.pace.connectionOpened(m_now);
        own.pace.runStarted(false, m_now);
        own.isReachable = true;
        check(index);
        after(gossipDelay, [this, index] {
            for (int origin = 0; origin < m_fleet.endpoints; ++origin)
                node(origin).chooser.update(id(index), { dataCentre(index), m_fleet.slots, m_now, false });
        });
    }

    /// A request reaches the server. Returns false if the server fell over.
    bool arrive(int index)
    {
        Node& server = node(index);
        if (m_now >= server.coldUntil) {
            server.coldArrivals.clear();
            return true;
        }
        while (!server.coldArrivals.empty() && server.coldArrivals.front() <= m_now - 1s)
            server.coldArrivals.pop_front();
        server.coldArrivals.push_back(m_now);
        m_worst = std::max(m_worst, server.coldArrivals.size());
        if (static_cast<double>(server.coldArrivals.size()) <= mostAllowed())
            return true;
        ++m_crashes;
        end(index);
        return false;
    }

    void timer(int index)
    {
        check(index);
        startQueued(index);
        if (!node(index).isDown && m_now < node(index).coldUntil)
            m_coldSeconds += std::chrono::duration<double>(checkTimer).count();
        after(checkTimer, [this, index] { timer(index); });
    }

    void check(int index)
    {
        Node& own = node(index);
        applyPace(index);
        const bool isDue = m_now - own.respondedAt >= checkTimer && own.pace.mayAsk(m_now) && own.queue.allowsRequest(m_now);
        if (!own.isAdded || own.checkSentAt || !(isDue || own.pace.mustAsk(m_now)))
            return;
        own.pace.checkSent(m_now);
        own.queue.countRequest(m_now);
        if (own.isDown)
            return refused(index);
        ++m_checks;
        own.checkSentAt = m_now;
        if (!arrive(index))
            return;
        after(checkTime, [this, index, run = own.serverRun] { checkAnswered(index, run); });
    }

    void checkAnswered(int index, int run)
    {
        Node& own = node(index);
        if (run != own.serverRun)
            return;
        const TimePoint sentAt = *own.checkSentAt;
        own.checkSentAt.reset();
        own.respondedAt = m_now;
        own.isReachable = true;
        own.pace.connectionOpened(m_now);
        own.pace.checkAnswered(std::max(own.coldUntil - m_now, Duration(0)), true, sentAt, m_now);
        applyPace(index);
        if (own.pace.mustAsk(m_now))
            check(index);
        startQueued(index);
    }

    void refused(int index)
    {
        Node& own = node(index);
        own.pace.connectionRefused(m_now);
        own.queue.forgetRequests(m_now);
        applyPace(index);
        if (!std::exchange(own.isReachable, false))
            return;
        own.queue.drain(m_now, Duration(0));
        startQueued(index);
        own.queue.resume();
    }

    void applyPace(int index)
    {
        node(index).pace.apply(node(index).queue, {}, m_now);
        tellChange(index);
    }

    LoadReport report(int index)
    {
        LoadReport load = node(index).queue.report();
        load.draining = load.draining || !node(index).isReachable;
        return load;
    }

    /// Tells all nodes of a change of the rate or the reachability.
    void tellChange(int index)
    {
        const LoadReport load = report(index);
        LoadReport& last = node(index).lastReport;
        const bool haveFailuresEnded = last.failuresPerThousand >= 200 && load.failuresPerThousand == 0;
        if (last.requestRate == load.requestRate && last.draining == load.draining && !haveFailuresEnded)
            return;
        last = load;
        for (int origin = 0; origin < m_fleet.endpoints; ++origin)
            after(2ms + delay(origin, index), [this, origin, index, load] { node(origin).chooser.applyReport(id(index), load, m_now); });
    }

    void generate()
    {
        const CallTicket ticket(++m_lastTicket);
        Call& call = m_calls[ticket];
        call.origin = static_cast<int>(m_random() % m_nodes.size());
        call.sentAt = m_now;
        call.isCounted = m_sequence > 0 && m_now > TimePoint(100s) + warmUp;
        m_counted += call.isCounted;
        send(ticket);
        after(exponential(1e6 / m_callsPerSecond), [this] { generate(); });
    }

    void send(CallTicket ticket)
    {
        Call& call = m_calls[ticket];
        EndpointChooser& chooser = node(call.origin).chooser;
        const auto chosen = call.tried.size() < maximumAttempts ? chooser.choose(call.tried, PriorityIndex(0), m_now, m_random) : std::nullopt;
        if (!chosen) {
            m_refused += call.isCounted;
            m_calls.erase(ticket);
            return;
        }
        chooser.callSent(*chosen, ticket, PriorityIndex(0), m_now);
        call.tried.push_back(*chosen);
        const int index = indexOf(*chosen);
        after(delay(call.origin, index), [this, ticket, index] { receive(ticket, index); });
    }

    void receive(CallTicket ticket, int index)
    {
        Node& own = node(index);
        const Call& call = m_calls[ticket];
        if (!own.isReachable)
            return answer(ticket, index, CallEnd::Refused);
        const auto decision = own.queue.offer(ticket, PriorityIndex(0), call.sentAt + deadline, m_now, call.sentAt + target);
        if (decision.kind == AdmissionKind::Started)
            start(ticket, index);
        if (decision.kind == AdmissionKind::Refused)
            answer(ticket, index, CallEnd::Refused);
        startQueued(index);
    }

    void startQueued(int index)
    {
        Node& own = node(index);
        const StartableCalls calls = own.queue.takeStartable(m_now);
        for (const auto& call : calls.givenUp)
            answer(call.ticket, index, CallEnd::Refused);
        for (const CallTicket ticket : calls.started)
            start(ticket, index);
        const auto next = own.queue.nextTimer();
        if (next && *next > m_now && own.pace.paceInForce())
            after(*next - m_now, [this, index] { startQueued(index); });
    }

    void start(CallTicket ticket, int index)
    {
        Node& own = node(index);
        if (own.isDown) {
            own.queue.finished(ticket, BackendOutcome::Failed, m_now);
            answer(ticket, index, CallEnd::Refused);
            return refused(index);
        }
        if (!own.firstWorkAt)
            own.firstWorkAt = m_now;
        own.pace.requestSent(m_now);
        own.running.insert(ticket);
        check(index);
        if (!arrive(index))
            return;
        m_coldStarts += m_now < own.coldUntil;
        const double factor = m_now < own.coldUntil ? coldFactor : 1;
        const double mean = static_cast<double>(m_fleet.serviceTime.count()) * factor;
        after(Duration(static_cast<Duration::rep>(mean * std::lognormal_distribution<double>(-0.045, 0.3)(m_random))), [this, ticket, index, run = own.serverRun] {
            Node& ended = node(index);
            if (run != ended.serverRun)
                return;
            ended.running.erase(ticket);
            ended.respondedAt = m_now;
            ended.queue.finished(ticket, BackendOutcome::Succeeded, m_now);
            answer(ticket, index, CallEnd::Answered);
            startQueued(index);
        });
    }

    void answer(CallTicket ticket, int index, CallEnd end)
    {
        const LoadReport load = report(index);
        after(delay(m_calls[ticket].origin, index), [this, ticket, index, end, load] {
            const Call& call = m_calls[ticket];
            EndpointChooser& chooser = node(call.origin).chooser;
            chooser.callFinished(ticket, end, m_now);
            chooser.applyReport(id(index), load, m_now);
            if (end == CallEnd::Refused)
                return send(ticket);
            m_inTarget += call.isCounted && end == CallEnd::Answered && m_now <= call.sentAt + target;
            m_calls.erase(ticket);
        });
    }

    Fleet m_fleet;
    Trouble m_trouble;
    std::mt19937_64 m_random;
    double m_callsPerSecond;
    ServiceDocument m_document;
    TimePoint m_now { 100s };
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::unordered_map<CallTicket, Call> m_calls;
    std::uint64_t m_lastTicket = 0;
    std::size_t m_worst = 0;
    std::size_t m_crashes = 0;
    std::size_t m_checks = 0;
    double m_counted = 0;
    double m_inTarget = 0;
    double m_refused = 0;
    /// Calls that cold servers started, and the time for which servers were cold.
    double m_coldStarts = 0;
    double m_coldSeconds = 0;
};

constexpr Fleet fleets[] = { { "26", 26, 6, 160ms, 7.2 }, { "68", 68, 13, 130ms, 17 } };
constexpr std::pair<const char*, Trouble> troubles[] = { { "third back", Trouble::ThirdBack }, { "silent", Trouble::Silent }, { "release", Trouble::Release }, { "all back", Trouble::AllBack }, { "added", Trouble::Added } };

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t defaultSeed = 20261204;
    constexpr int decimal = 10;
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, decimal) : defaultSeed;
    std::printf("%-13s %-4s %6s %-6s %6s %7s %8s %10s %10s %8s %7s %8s\n", "case", "size", "load", "policy", "worst", "bound", "crashes", "in target", "refused", "checks", "used", "work s");
    for (const auto& [name, trouble] : troubles) {
        if (argc > 2 && std::strcmp(argv[2], name) != 0)
            continue;
        for (const Fleet& fleet : fleets) {
            for (const double load : { 0.5, 1.5 }) {
                ColdSimulation(fleet, trouble, load, false, seed).run(name, "none", load);
                ColdSimulation(fleet, trouble, load, true, seed).run(name, "paced", load);
            }
        }
    }
    return 0;
}
