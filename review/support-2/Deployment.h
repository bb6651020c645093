#pragma once

#include "Http.h"

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Knapweedquay::Review {

/// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

/// Writes lines with the time since the start of the case; may be used by several threads.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_startedAt = Clock::now();
};

/// The case could not run; main() ends with exitCouldNotRun.
class SetupError : public std::exception {
public:
    explicit SetupError(std::string text)
        : m_text(std::move(text))
    {
    }
    const char* what() const noexcept override { return m_text.c_str(); }

private:
    std::string m_text;
};

/// What a case is called with: the folder of the case, the root of the repository, and TROUBLE of the environment.
struct CaseOptions {
    std::string folder;
    std::string repository;
    bool hasTrouble = true;

    static CaseOptions read(int argc, char** argv);
};

/// Machines of the classes "core" and "sidecar", each with a loopback address of its own.
///
/// Plays the platform: writes settings files, starts, kills and restarts the programs of the deploy file, and ends them all.
class Deployment {
public:
    /// toleratedLosses: core machines that may be lost at once; there is one more than twice as many.
    Deployment(const CaseOptions&, Record&, int toleratedLosses = 1);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Adds the machine sidecar-NUMBER for an endpoint of this service; call before start().
    std::string addSidecar(int number, const std::string& service);
    /// Starts all machines, the core machines first.
    void start();
    /// Starts this core machine first, then the sidecar machines, and the other core machines last, all within 0.3 s.
    void startAfter(const std::string& firstCore);
    /// Sends a configuration until it is acknowledged.
    void replaceConfiguration(const std::string& baseVersion, const std::string& text);
    /// Waits until the node on this machine is ready.
    void awaitReady(const std::string& machine);
    /// Sends SIGKILL, and starts the program again after this time.
    void killAndRestart(const std::string& machine, Milliseconds downTime);
    /// Sends SIGKILL, and starts the programs again after this time, with empty disks.
    void loseDisks(const std::vector<std::string>& machines, Milliseconds downTime);
    /// Starts a further core machine, with an empty disk.
    std::string addCore();
    /// Sends SIGTERM, and SIGKILL after GraceS; the machine does not come back.
    void remove(const std::string& machine);
    std::vector<std::string> coreMachines() const;
    /// Writes the settings file of a sidecar machine anew and sends SIGHUP, without a restart.
    void changeService(const std::string& machine, const std::string& service);

    Address outbound(const std::string& machine) const { return { m_machines.at(machine).ip, outboundPort }; }
    Address control(const std::string& machine) const { return { m_machines.at(machine).ip, controlPort }; }
    Address app(const std::string& machine) const { return { m_machines.at(machine).ip, appPort }; }

    static constexpr int appPort = 8147;

private:
    struct Machine {
        std::string ip;
        std::string service;
        pid_t process = -1;
        /// True after the first start.
        bool hasStarted = false;
    };

    static constexpr int readyPort = 8140;
    static constexpr int outboundPort = 8141;
    static constexpr int inboundPort = 8145;
    static constexpr int controlPort = 8146;

    void choosePrefix();
    std::string dataFolder(const std::string& machine) const;
    void writeSettings(const std::string& machine);
    void startSidecars();
    void startProcess(const std::string& machine);
    void endProcess(const std::string& machine);

    CaseOptions m_options;
    Record& m_record;
    std::string m_folder;
    std::string m_prefix;
    int m_toleratedLosses;
    /// Control addresses of three core machines, as an operator's list has them.
    std::string m_seeds;
    std::map<std::string, Machine> m_machines;
};

/// Sends a request of a caller and writes to the record what was sent and what came back.
Response call(Record&, const Address& node, const Request&, Milliseconds timeout);

/// Unix milliseconds, for the field "born".
std::int64_t unixMilliseconds();

/// Sends the heartbeats of one run of an endpoint, and lets a case send single ones.
struct Beat {
    std::string id;
    std::string service;
    std::string address;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    std::string state = "ready";
    int slots = 12;
};

/// Returns whether the heartbeat was acknowledged.
bool sendHeartbeat(const Address& control, const Beat&);
bool sendDeregister(const Address& control, const Beat&);

} // namespace Knapweedquay::Review
