#include "MembershipBench/MembershipFleet.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <unistd.h>

using namespace Knapweedquay;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time for the members to converge again between two measurements.
constexpr Duration settleTime = seconds(40);
constexpr Duration steadyTime = seconds(60);
/// Limit of the wait until every member has learnt of a change.
constexpr Duration convergenceLimit = seconds(300);
/// Share of lost datagrams in the measurement of false suspicions and deaths.
constexpr double lossRate = 0.01;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Measures traffic and processor use per member since its construction, per second of virtual time.
class TrafficMeter {
public:
    explicit TrafficMeter(const MembershipFleet& fleet)
        : m_fleet(fleet)
        , m_start(fleet.now())
        , m_processorStart(processorSeconds())
    {
        for (std::size_t member = 0; member < fleet.size(); ++member)
            m_before.push_back(fleet.traffic(member));
    }

    double elapsed() const { return inSeconds(m_fleet.now() - m_start); }
    double sentPerNode() const { return total(&MemberTraffic::bytesSent) / elapsed() / static_cast<double>(m_fleet.size()); }
    double largestSent() const
    {
        double largest = 0;
        for (std::size_t member = 0; member < m_fleet.size(); ++member)
            largest = std::max(largest, static_cast<double>(m_fleet.traffic(member).bytesSent - m_before[member].bytesSent) / elapsed());
        return largest;
    }
    double datagramsPerNode() const { return total(&MemberTraffic::datagramsSent) / elapsed() / static_cast<double>(m_fleet.size()); }
    /// Share of one core that a member uses on average.
    double processorPerNode() const { return (processorSeconds() - m_processorStart) / elapsed() / static_cast<double>(m_fleet.size()); }

private:
    double total(std::uint64_t MemberTraffic::*field) const
    {
        double sum = 0;
        for (std::size_t member = 0; member < m_fleet.size(); ++member)
            sum += static_cast<double>(m_fleet.traffic(member).*field - m_before[member].*field);
        return sum;
    }

    const MembershipFleet& m_fleet;
    const TimePoint m_start;
    const double m_processorStart;
    std::vector<MemberTraffic> m_before;
};

/// Results for one number of members, the columns of one row of the table.
///
/// Traffic is in bytes per second of virtual time and processor use is a share of one core, both as means per member
/// unless stated otherwise.
struct Row {
    std::size_t members = 0;
    /// Time until a fleet whose members start together has converged.
    double startSeconds = 0;
    double sent = 0;
    /// Bytes per second of the member that sent most.
    double largestSent = 0;
    /// Datagrams sent per second and member.
    double datagrams = 0;
    double processor = 0;
    /// Traffic while one endpoint changes its lifecycle each second.
    double churnSent = 0;
    double churnProcessor = 0;
    /// Resident memory per member, in bytes.
    double memory = 0;
    /// Time until every member regards a restarted member as present.
    double joinSeconds = 0;
    /// Time until every member has learnt that an endpoint drains.
    double drainSeconds = 0;
    /// Time until every member regards a killed member as dead.
    double killSeconds = 0;
    /// Time until every member regards a member as present that was frozen for a minute and resumed.
    double frozenSeconds = 0;
    /// Largest number of false deaths at one time, while datagrams are lost at lossRate.
    std::size_t lossDeaths = 0;
    /// Largest number of false suspicions at one time, while datagrams are lost at lossRate.
    std::size_t lossSuspicions = 0;
    /// Time until the fleet has converged after a partition into two halves.
    double healSeconds = 0;
    /// Traffic during that time.
    double healSent = 0;
    double healProcessor = 0;
};

MembershipFleet::Options optionsFor(std::size_t members)
{
    MembershipFleet::Options options;
    options.members = members;
    options.seed = 20261203;
    return options;
}

double secondsUntilAllSee(MembershipFleet& fleet, std::size_t subject, const std::function<bool(const MemberRecord*)>& condition)
{
    return inSeconds(fleet.runUntil([&] { return fleet.doAllSee(subject, condition); }, convergenceLimit));
}

bool isSeenDead(const MemberRecord* record) { return record && record->health == MemberHealth::Dead; }
bool isSeenAlive(const MemberRecord* record) { return record && record->isPresent(); }

void measureSteady(MembershipFleet& fleet, Row& row)
{
    const TrafficMeter meter(fleet);
    fleet.run(steadyTime);
    row.sent = meter.sentPerNode();
    row.largestSent = meter.largestSent();
    row.datagrams = meter.datagramsPerNode();
    row.processor = meter.processorPerNode();
}

// One endpoint changes its lifecycle each second, far more often than with 50 restarts and some drains a day.
void measureChurn(MembershipFleet& fleet, Row& row)
{
    const TrafficMeter meter(fleet);
    for (std::size_t second = 0; second < 30; ++second) {
        const std::size_t member = second * 7 % fleet.size();
        fleet.setLifecycle(member, second % 2 == 0 ? EndpointLifecycle::Draining : EndpointLifecycle::Ready);
        fleet.run(seconds(1));
    }
    row.churnSent = meter.sentPerNode();
    row.churnProcessor = meter.processorPerNode();
}

void measureLoss(MembershipFleet& fleet, Row& row)
{
    fleet.setLoss(lossRate);
    for (int second = 0; second < 60; ++second) {
        fleet.run(seconds(1));
        row.lossDeaths = std::max(row.lossDeaths, fleet.falseDeaths());
        row.lossSuspicions = std::max(row.lossSuspicions, fleet.falseSuspicions());
    }
    fleet.setLoss(0);
    fleet.run(settleTime);
}

void measureChanges(MembershipFleet& fleet, Row& row)
{
    const std::size_t subject = fleet.size() / 2;
    fleet.setLifecycle(subject, EndpointLifecycle::Draining);
    row.drainSeconds = secondsUntilAllSee(fleet, subject, [](const MemberRecord* record) {
        return record && record->endpoint.lifecycle == EndpointLifecycle::Draining;
    });
    fleet.run(settleTime);
    fleet.kill(subject);
    row.killSeconds = secondsUntilAllSee(fleet, subject, isSeenDead);
    fleet.run(settleTime);
    fleet.start(subject);
    row.joinSeconds = secondsUntilAllSee(fleet, subject, isSeenAlive);
    fleet.run(settleTime);

    fleet.freeze(subject);
    fleet.run(seconds(60));
    fleet.wake(subject);
    row.frozenSeconds = secondsUntilAllSee(fleet, subject, isSeenAlive);
    fleet.run(settleTime);
}

void measurePartition(MembershipFleet& fleet, Row& row)
{
    const std::size_t half = fleet.size() / 2;
    fleet.setReachability([half](std::size_t a, std::size_t b) { return (a < half) == (b < half); });
    fleet.run(seconds(180));
    fleet.setReachability({});
    const TrafficMeter meter(fleet);
    row.healSeconds = inSeconds(fleet.runUntil([&fleet] { return fleet.hasConverged(); }, convergenceLimit));
    row.healSent = meter.sentPerNode();
    row.healProcessor = meter.processorPerNode();
}

Row measure(std::size_t members)
{
    Row row;
    row.members = members;
    const double memoryBefore = residentBytes();
    MembershipFleet fleet(optionsFor(members));
    fleet.startAll();
    row.startSeconds = inSeconds(fleet.runUntil([&fleet] { return fleet.hasConverged(); }, convergenceLimit));
    fleet.run(settleTime);
    row.memory = (residentBytes() - memoryBefore) / static_cast<double>(members);
    measureSteady(fleet, row);
    measureChurn(fleet, row);
    fleet.run(settleTime);
    measureChanges(fleet, row);
    measureLoss(fleet, row);
    measurePartition(fleet, row);
    return row;
}

void print(const Row& row)
{
    constexpr double percent = 100;
    constexpr double kibibyte = 1024;
    std::printf("| %zu | %.1f | %.0f | %.0f | %.1f | %.3f | %.0f | %.3f | %.0f | %.2f | %.2f | %.1f | %.2f | %zu / %zu | %.1f | %.0f | %.3f |\n",
        row.members, row.startSeconds, row.sent, row.largestSent, row.datagrams, row.processor * percent, row.churnSent, row.churnProcessor * percent,
        row.memory / kibibyte, row.joinSeconds, row.drainSeconds, row.killSeconds, row.frozenSeconds, row.lossSuspicions, row.lossDeaths, row.healSeconds,
        row.healSent, row.healProcessor * percent);
    std::fflush(stdout);
}

} // namespace

// Usage: MembershipBench [members...]; the default is 10 50 100 200 400 720.
int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes { 10, 50, 100, 200, 400, 720 };
    if (argc > 1)
        sizes.clear();
    for (int argument = 1; argument < argc; ++argument)
        sizes.push_back(std::strtoul(argv[argument], nullptr, 10));
    std::printf("| members | all known s | sent B/s | most sent B/s | datagrams/s | core %% | churn B/s | churn core %% | KiB/node | join s | drain s | kill s | wake s | suspected/dead at 1%% loss | heal s | heal B/s | heal core %% |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t members : sizes)
        print(measure(members));
    return 0;
}
