#pragma once

// Stand-ins for the clients, the endpoints, the operator and the platform of a small deployment. They speak what the users' page
// PROTOCOL.md says and use nothing but the system's own library.

#include <netinet/in.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Seconds since the start of the program.
double now();
void sleepFor(double seconds);
void sleepUntil(double at);

/// The value of a header; empty when there is none.
std::string headerOf(const Headers&, const std::string& name);

/// Writes lines to record.txt, each with its time.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    void add(const std::string& line);

private:
    std::mutex m_mutex;
    int m_file;
};

/// One HTTP message that was read from a connection.
struct Message {
    /// The method and the path of a request, or the version and the status of a response.
    std::string first;
    std::string second;
    Headers headers;
    std::string body;
    int status() const;
};

/// A TCP connection that reads HTTP/1.1 messages.
class Connection {
public:
    Connection() = default;
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Opens a connection to "IP:PORT"; false if it isn't open in time.
    bool open(const std::string& address, double timeout);
    bool isOpen() const { return m_socket >= 0; }
    bool send(const std::string& bytes);
    /// Reads one message. Returns false at the deadline, or when the connection ended before the message was whole.
    bool read(Message&, double deadline);
    /// True once the peer has closed the connection.
    bool isClosedByPeer() const;
    /// True if the last read ended since the connection ended, and not at its deadline.
    bool hasEnded() const { return m_hasEnded; }
    /// Bytes that were received and belong to no whole message.
    std::size_t pendingBytes() const { return m_input.size(); }
    void close();

private:
    bool fill(double deadline);

    int m_socket = -1;
    bool m_hasEnded = false;
    std::string m_input;
};

/// What a client saw of one request.
struct Answer {
    /// 0 when the connection ended, or the client left, without a whole answer.
    int status = 0;
    Message message;
    double sentAt = 0;
    double endedAt = 0;
    bool isConnected = false;
    /// True when the connection ended without a whole answer.
    bool isCut = false;
};

/// A client's request on a connection of its own.
struct Request {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string id;
    int deadlineMs = 0;
    std::string body;
    Headers more;

    std::string text() const;
};
Answer sendRequest(const std::string& address, const Request&, double timeout);

/// A request that an endpoint began to run.
struct Run {
    std::string endpoint;
    std::string id;
    std::string method;
    std::string path;
    std::string body;
    std::string callerService;
    double startedAt = 0;
    double endedAt = 0;
    bool isDropped = false;
};

/// An endpoint: runs so many requests at once, queues a few more and rejects others. The time of work is the number of milliseconds in
/// the query "w=", the least size of the answer that in "r=".
class Endpoint {
public:
    struct Settings {
        std::string service;
        std::string instance;
        std::string zone;
        /// "IP:PORT" of its own, and of the node beside it.
        std::string address;
        std::string control;
        int slots = 4;
        int queue = 4;
        double heartbeat = 1.5;
        /// Bytes that a faulty endpoint sends behind a complete response, and how long after it; none when empty.
        std::string additionalBytes {};
        double additionalDelay = 0.02;
    };

    Endpoint(Settings, Record&);
    ~Endpoint();
    Endpoint(const Endpoint&) = delete;
    Endpoint& operator=(const Endpoint&) = delete;

    /// Starts to listen and to send heartbeats.
    bool start();
    void stop();
    /// From now on this share of the responses to requests that ran is followed by the additional bytes.
    void setAdditionalShare(double share) { m_additionalShare = share; }
    int additionalSent() const { return m_additionalSent; }
    /// Number of acknowledged heartbeats.
    int acknowledged() const { return m_acknowledged; }
    std::vector<Run> runs() const;

private:
    void accept();
    void serve(int socket);
    /// Sends the additional bytes a moment later, if it is this response's turn.
    void sendAdditionalBytes(int socket);
    void beat();
    std::string answerTo(const Message&, Connection&, bool& drops);

    Settings m_settings;
    Record& m_record;
    std::uint64_t m_born;
    int m_listener = -1;
    std::atomic<bool> m_isStopped { false };
    std::atomic<int> m_acknowledged { 0 };
    std::atomic<int> m_running { 0 };
    std::atomic<int> m_waiting { 0 };
    std::atomic<int> m_connections { 0 };
    std::atomic<double> m_additionalShare { 0 };
    std::atomic<int> m_additionalSent { 0 };
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::thread m_acceptor;
    std::thread m_beater;
};

/// A process of the system, started as the deploy file says.
class Process {
public:
    Process(std::string program, std::string settings, std::string log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    void signal(int) const;
    /// Waits for the end of the process; false if it still runs after that time.
    bool waitForEnd(double timeout);
    bool isRunning();
    pid_t pid() const { return m_pid; }

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/// A sidecar or core machine: its addresses, its settings file and its process.
struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    std::string settingsPath;
    std::unique_ptr<Process> process;

    std::string outbound() const { return ip + ":8141"; }
    std::string ready() const { return ip + ":8140"; }
    std::string control() const { return ip + ":8146"; }
    std::string app() const { return ip + ":8147"; }
};

/// Core machines, sidecar machines and their files in a temporary folder.
class Deployment {
public:
    /// bounds: entries of the setting "Bounds" that differ from the defaults, as "name=value".
    Deployment(std::string root, std::size_t cores, int tolerated, std::map<std::string, std::string> bounds = {});
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Adds a sidecar machine of a service.
    Machine& addSidecar(const std::string& service, const std::string& zone);
    void writeSettings(const Machine&, bool isFirstStart) const;
    void start();
    /// Sends a configuration until it is acknowledged; false if it isn't in time.
    bool configure(const std::string& version, const std::string& base, const std::string& text, double timeout);
    /// Waits until the node says that it is ready.
    static bool waitReady(const Machine&, double timeout);

    std::vector<std::unique_ptr<Machine>> cores;
    std::vector<std::unique_ptr<Machine>> sidecars;

private:
    std::string boundsText() const;

    std::string m_root;
    std::string m_folder;
    std::string m_prefix;
    int m_tolerated;
    std::map<std::string, std::string> m_bounds;
};

/// A configuration in the form that the users' page shows.
struct RouteText {
    std::string prefix;
    std::string kind;
    std::string service;
    double timeout = 4;
    double target = 1;
    int priority = 0;
    int attempts = 2;
};
std::string configurationText(const std::string& version, const std::string& host, const std::vector<std::string>& services, const std::vector<RouteText>& routes);

/// True unless TROUBLE=0 is set.
bool hasTrouble();

} // namespace Review
