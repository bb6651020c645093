// A core machine is replaced as planned, and then two others lose their disks. Can the acknowledged configuration still be read?

#include "../support-2/Deployment.h"

#include <exception>
#include <iostream>

using namespace Knapweedquay::Review;

namespace {

constexpr int toleratedLosses = 2;
/// CatchUpS of the settings, and a little more: a new machine counts as lost for this time after its start.
constexpr Milliseconds catchUp { 4500 };
/// From the end of the replaced machine's process to the loss of the disks.
constexpr Milliseconds afterRemoval { 2000 };
constexpr Milliseconds downTime { 1000 };
/// RecoveryS of the settings, and the time for which an operator reads the configuration back then.
constexpr std::chrono::seconds recovery { 15 };
constexpr std::chrono::seconds readBack { 20 };
constexpr Milliseconds orderTimeout { 1000 };
constexpr Milliseconds readInterval { 100 };
constexpr int statusOk = 200;

std::string configuration(const std::string& version, const std::string& timeout)
{
    return R"({"Version":")" + version + R"(","Services":[{"Name":"dispatch","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},"VirtualHosts":[{"Host":"orders.example","Paths":[{"Name":"booking","PathPrefix":"/booking/","Kind":"unsafe","TimeoutS":)" + timeout + R"(,"TargetLatencyS":0.3,"Priority":1,"Service":"dispatch","MaxAttempts":2}]}]})";
}

/// Reads the configuration at each of these machines in turn until the time is over; returns how often it came.
int readConfiguration(Record& record, const Deployment& deployment, const std::vector<std::string>& machines, const std::string& expected, std::chrono::seconds time)
{
    const Clock::time_point end = Clock::now() + time;
    int answers = 0;
    int reads = 0;
    while (Clock::now() < end) {
        const std::string& machine = machines[static_cast<std::size_t>(reads++) % machines.size()];
        const Address target = deployment.control(machine);
        const Response response = exchange(target, { "GET", "/v1/Config.Get", { { "Host", target.text() } }, {} }, orderTimeout);
        answers += response.status == statusOk && response.body == expected ? 1 : 0;
        if (reads <= static_cast<int>(machines.size()))
            record.write("operator: a read at " + machine + " gets " + std::to_string(response.status) + ' ' + response.failure);
        std::this_thread::sleep_for(readInterval);
    }
    record.write("operator: " + std::to_string(answers) + " of " + std::to_string(reads) + " reads gave the acknowledged configuration");
    return answers;
}

int run(const CaseOptions& options, Record& record)
{
    Deployment deployment(options, record, toleratedLosses);
    deployment.start();
    deployment.replaceConfiguration("00000000", configuration("00000001", "2.5"));
    std::this_thread::sleep_for(std::chrono::seconds(6));

    const std::string successor = deployment.addCore();
    std::this_thread::sleep_for(catchUp);
    deployment.remove("core-5");
    const std::string newest = configuration("00000002", "2");
    deployment.replaceConfiguration("00000001", newest);
    std::this_thread::sleep_for(afterRemoval);
    if (options.hasTrouble)
        deployment.loseDisks({ "core-1", "core-2" }, downTime);
    else
        std::this_thread::sleep_for(downTime);
    std::this_thread::sleep_for(recovery);
    record.write("operator: reads the configuration back");
    const int answers = readConfiguration(record, deployment, { "core-1", "core-2", "core-3", "core-4", successor }, newest, readBack);
    std::cout << answers << " reads gave the acknowledged configuration\n";
    return answers == 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char** argv)
{
    const CaseOptions options = CaseOptions::read(argc, argv);
    Record record(options.folder + "/record.txt");
    try {
        return run(options, record);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        record.write(std::string("could not run: ") + error.what());
        return exitCouldNotRun;
    }
}
