// Measures the control store with real files and syncs: the latency and rate of edits, and the duration of a restart.

#include "StoreBench/BenchReplica.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <random>

namespace Knapweedquay {

namespace {

/// Options of the command line.
struct Options {
    /// Folder for the data folders of the replicas.
    std::string folder;
    std::size_t replicas = 3;
    std::size_t edits = 500;
    /// Edits in flight at the same time.
    std::size_t outstanding = 1;
    /// Size of the text of each edit.
    std::size_t documentBytes = 2000;
    /// Number of documents over which the edits are spread.
    std::size_t services = 29;
};

DocumentEdit makeEdit(const Options& options, std::size_t number)
{
    DocumentEdit edit;
    edit.service = ServiceName("service-" + std::to_string(number % options.services));
    edit.expected = DocumentVersion(number / options.services);
    edit.change = ChangeId("change-" + std::to_string(number));
    edit.text = std::string(options.documentBytes, 'x');
    edit.author = "bench";
    edit.authenticatedTeam = "team";
    return edit;
}

std::uint64_t randomId()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

/// A control store whose replicas run in this process, each with its own thread and folder.
class BenchStore {
public:
    explicit BenchStore(const Options& options)
        : m_options(options)
    {
        const std::uint64_t cluster = randomId();
        for (std::size_t i = 0; i < options.replicas; ++i) {
            ControlServiceSettings settings;
            settings.folder = options.folder + "/replica-" + std::to_string(i);
            std::filesystem::remove_all(settings.folder);
            settings.address = std::to_string(i);
            for (std::size_t peer = 0; peer < options.replicas; ++peer)
                if (peer != i)
                    settings.peers.push_back(std::to_string(peer));
            settings.bootstrap = i == 0;
            settings.newReplica = ReplicaId(randomId());
            settings.newCluster = ClusterId(cluster);
            settings.minimumVoters = options.replicas / 2 + 1;
            settings.log.seed = randomId();
            m_replicas.push_back(std::make_unique<BenchReplica>(settings, [this](const std::string& address, std::string bytes) {
                m_replicas[std::stoul(address)]->deliver(std::move(bytes));
            }));
        }
        for (auto& replica : m_replicas)
            replica->start();
    }

    ~BenchStore()
    {
        for (auto& replica : m_replicas)
            replica->stop();
    }
    BenchStore(const BenchStore&) = delete;
    BenchStore& operator=(const BenchStore&) = delete;

    /// Waits up to 10 s until every replica is a voter, and determines the leader; false when that fails.
    bool form()
    {
        constexpr int attempts = 1000;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            for (std::size_t i = 0; i < m_replicas.size(); ++i)
                m_replicas[i]->post([this, i](ControlService& service, TimePoint now) {
                    const ControlStatus status = service.status(now);
                    const auto voters = std::count_if(status.members.begin(), status.members.end(), [](const MemberStatus& member) { return member.member.voter; });
                    const bool isFormed = m_options.replicas == 1 ? status.leading : status.survivesAnotherLoss;
                    if (isFormed && static_cast<std::size_t>(voters) == m_options.replicas)
                        m_leader = static_cast<int>(i);
                });
            if (m_leader >= 0)
                return true;
        }
        return false;
    }

    /// Sends the edit with the given number to the leader.
    void submit(std::size_t number, ControlService::EditHandler handler)
    {
        m_replicas[static_cast<std::size_t>(m_leader.load())]->post([edit = makeEdit(m_options, number), handler = std::move(handler)](ControlService& service, TimePoint now) {
            service.edit(edit, handler, now);
        });
    }

private:
    const Options& m_options;
    std::vector<std::unique_ptr<BenchReplica>> m_replicas;
    std::atomic<int> m_leader { -1 };
};

/// Value at a quantile, given as a share, of sorted values.
double percentile(const std::vector<double>& sorted, double share)
{
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

int measureEdits(const Options& options)
{
    BenchStore store(options);
    if (!store.form()) {
        std::cerr << "the replicas did not form a store\n";
        return EXIT_FAILURE;
    }
    std::mutex mutex;
    std::condition_variable done;
    std::vector<double> latencies;
    std::size_t inFlight = 0;
    std::size_t failed = 0;
    const TimePoint begin = benchNow();
    std::unique_lock<std::mutex> lock(mutex);
    for (std::size_t number = 0; number < options.edits; ++number) {
        done.wait(lock, [&] { return inFlight < options.outstanding; });
        ++inFlight;
        const TimePoint sent = benchNow();
        store.submit(number, [&, sent](const Result<EditResult>& result) {
            const std::lock_guard<std::mutex> guard(mutex);
            --inFlight;
            if (result.has_error() || result.value().code != ResultCode::Ok)
                ++failed;
            latencies.push_back(toMilliseconds(benchNow() - sent));
            done.notify_one();
        });
    }
    done.wait(lock, [&] { return inFlight == 0; });
    constexpr double millisecondsPerSecond = 1000;
    const double seconds = toMilliseconds(benchNow() - begin) / millisecondsPerSecond;
    std::sort(latencies.begin(), latencies.end());
    std::printf("replicas %zu, outstanding %zu, edits %zu of %zu bytes, failed %zu: p50 %.2f ms, p99 %.2f ms, %.0f edits/s\n", options.replicas,
        options.outstanding, options.edits, options.documentBytes, failed, percentile(latencies, 0.5), percentile(latencies, 0.99), static_cast<double>(options.edits) / seconds);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

std::uint64_t folderBytes(const std::string& folder)
{
    std::uint64_t bytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        bytes += entry.file_size();
    return bytes;
}

int measureRestart(Options options)
{
    options.replicas = 1;
    {
        BenchStore store(options);
        if (!store.form())
            return EXIT_FAILURE;
        std::atomic<std::size_t> answered { 0 };
        for (std::size_t number = 0; number < options.edits; ++number) {
            store.submit(number, [&answered](const Result<EditResult>&) { ++answered; });
            while (answered + options.outstanding <= number)
                std::this_thread::yield();
        }
        while (answered < options.edits)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ControlServiceSettings settings;
    settings.folder = options.folder + "/replica-0";
    settings.bootstrap = true;
    PosixFileSystem files;
    const TimePoint begin = benchNow();
    const auto opened = ControlService::open(settings, files, {}, benchNow());
    const double milliseconds = toMilliseconds(benchNow() - begin);
    if (opened.has_error()) {
        std::cerr << opened.error().detail << '\n';
        return EXIT_FAILURE;
    }
    const LogBuffer& log = opened.value()->log()->log();
    std::printf("changes %zu of %zu bytes: restart %.1f ms, %zu entries after the snapshot, %llu bytes on disk\n", options.edits, options.documentBytes, milliseconds,
        log.entryCount(), static_cast<unsigned long long>(folderBytes(settings.folder)));
    return EXIT_SUCCESS;
}

} // namespace

} // namespace Knapweedquay

int main(int argc, char** argv)
{
    namespace ProgramOptions = boost::program_options;
    Knapweedquay::Options options;
    std::string measure;
    ProgramOptions::options_description description("knapweedquay-store-bench");
    description.add_options()("help", "print this text")("measure", ProgramOptions::value(&measure)->default_value("edits"), "what to measure: edits or restart")(
        "folder", ProgramOptions::value(&options.folder)->required(), "folder for the data of the replicas; an existing replica-N in it is replaced")(
        "replicas", ProgramOptions::value(&options.replicas)->default_value(options.replicas), "number of replicas")(
        "edits", ProgramOptions::value(&options.edits)->default_value(options.edits), "number of edits")(
        "outstanding", ProgramOptions::value(&options.outstanding)->default_value(options.outstanding), "edits that wait for an answer at the same time")(
        "document-bytes", ProgramOptions::value(&options.documentBytes)->default_value(options.documentBytes), "size of a document in bytes");
    ProgramOptions::variables_map values;
    try {
        ProgramOptions::store(ProgramOptions::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        ProgramOptions::notify(values);
    } catch (const ProgramOptions::error& error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return measure == "restart" ? Knapweedquay::measureRestart(options) : Knapweedquay::measureEdits(options);
}
