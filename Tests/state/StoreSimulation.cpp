#include "state/StoreSimulation.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

constexpr Duration stepTime { 5000 };
constexpr Duration typicalDelay { 1000 };
constexpr Duration lossDetectionTime { 500000 };
constexpr Duration typicalJobTime { 20000 };
constexpr Duration maximumJobTime { 800000 };
constexpr Duration longestDelay { 2000000 };
constexpr std::uint64_t clusterId = 77;
const std::string folder = "data";

} // namespace

StoreSimulation::StoreSimulation(std::size_t replicas, std::uint64_t seed, std::size_t snapshotEntries)
    : StoreSimulation(replicas, 0, 0, seed, SnapshotSizes { snapshotEntries, SnapshotSizes().chunkBytes })
{
}

StoreSimulation StoreSimulation::withFounders(std::size_t founders, std::size_t replicas, std::size_t voters, std::uint64_t seed)
{
    return StoreSimulation(replicas, founders, voters, seed, SnapshotSizes());
}

StoreSimulation StoreSimulation::withFounders(std::size_t founders, std::size_t replicas, std::size_t voters, std::uint64_t seed, SnapshotSizes sizes)
{
    return StoreSimulation(replicas, founders, voters, seed, sizes);
}

StoreSimulation::StoreSimulation(std::size_t replicas, std::size_t founders, std::size_t voters, std::uint64_t seed, SnapshotSizes snapshotSizes)
    : m_random(seed)
    , m_founders(founders)
    , m_voters(voters)
    , m_replicas(replicas)
    , m_snapshotSizes(snapshotSizes)
    , m_isStorageSlow(seed % 2 == 0)
{
    for (std::size_t i = 0; i < replicas; ++i)
        m_replicas[i].address = "replica-" + std::to_string(i);
    m_replicas[0].createsStoreAlone = true;
    for (std::size_t i = 0; i < replicas; ++i)
        start(i);
}

void StoreSimulation::start(std::size_t index)
{
    Replica& replica = m_replicas[index];
    ControlServiceSettings settings;
    settings.folder = folder;
    settings.address = replica.address;
    for (std::size_t i = 0; i < (m_founders > 0 ? m_founders : m_replicas.size()); ++i) {
        if (m_founders > 0 || i != index)
            settings.peers.push_back("replica-" + std::to_string(i));
    }
    if (m_founders > 0)
        settings.founders = settings.peers;
    settings.bootstrap = m_founders > 0 ? replica.hasOriginalDisk : replica.createsStoreAlone;
    settings.log.targetVoters = m_voters;
    settings.log.replaceAfter = m_replaceAfter;
    settings.newReplica = ReplicaId(m_nextId++);
    settings.newCluster = ClusterId(clusterId);
    settings.minimumVoters = m_voters > 0 ? m_voters - 1 : m_replicas.size() / 2 + 1;
    settings.snapshotEntries = m_snapshotSizes.entries;
    settings.snapshotBytes = m_snapshotSizes.logBytes;
    settings.log.seed = m_random();
    settings.log.snapshotChunkBytes = m_snapshotSizes.chunkBytes;
    ControlServiceHooks hooks;
    hooks.send = [this, index](const std::string& address, const ReplicaMessage& message) { sendMessage(index, address, message); };
    const std::size_t startNumber = ++replica.startCount;
    if (m_isStorageSlow) {
        hooks.runStorageJob = [this, index, startNumber](std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done) {
            const Duration maximumTime = m_random() % 20 == 0 ? maximumJobTime : typicalJobTime;
            // Data written during a sync may or may not be covered by it, so half of the jobs run at once.
            if (m_random() % 2 == 0)
                job = [result = job()] { return result; };
            m_jobs.emplace(m_now + Duration(m_random() % maximumTime.count()), PendingJob { index, startNumber, std::move(job), std::move(done) });
        };
    }
    auto opened = ControlService::open(settings, replica.disk, hooks, m_now);
    if (opened.has_error() && opened.error().code == ResultCode::StorageFailed)
        return;
    if (opened.has_error())
        report(replica.address + " does not start: " + opened.error().detail);
    else
        replica.service = std::move(opened.value());
}

void StoreSimulation::sendMessage(std::size_t from, const std::string& address, const ReplicaMessage& message)
{
    const auto to = std::find_if(m_replicas.begin(), m_replicas.end(), [&address](const Replica& replica) { return replica.address == address; });
    if (to == m_replicas.end() || m_random() % 100 < m_faults.loss)
        return;
    const MessageInFlight envelope { static_cast<std::size_t>(to - m_replicas.begin()), from, encodeReplicaMessage(message) };
    const int copies = m_random() % 100 < m_faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool isLong = m_random() % 100 < m_faults.longDelay;
        const Duration maximumDelay = isLong ? longestDelay : typicalDelay;
        m_messagesInFlight.emplace(m_now + typicalDelay + Duration(m_random() % maximumDelay.count()), envelope);
    }
}

void StoreSimulation::deliver(const MessageInFlight& envelope)
{
    const auto message = decodeReplicaMessage(envelope.bytes);
    if (message.has_error())
        report("message cannot be decoded: " + message.error().detail);
    else
        m_replicas[envelope.to].service->receive(message.value(), m_now);
}

void StoreSimulation::finishJobs()
{
    while (!m_jobs.empty() && m_jobs.begin()->first <= m_now) {
        const PendingJob pending = std::move(m_jobs.begin()->second);
        m_jobs.erase(m_jobs.begin());
        const Replica& replica = m_replicas[pending.replica];
        if (!replica.service || replica.startCount != pending.startNumber)
            continue;
        if (replica.frozenUntil > m_now)
            m_jobs.emplace(replica.frozenUntil, pending);
        else
            pending.done(pending.job(), m_now);
    }
}

bool StoreSimulation::isRunning(std::size_t index) const
{
    return m_replicas[index].service && m_replicas[index].frozenUntil <= m_now;
}

void StoreSimulation::step()
{
    m_now += stepTime;
    std::vector<std::pair<TimePoint, MessageInFlight>> later;
    while (!m_messagesInFlight.empty() && m_messagesInFlight.begin()->first <= m_now) {
        MessageInFlight envelope = std::move(m_messagesInFlight.begin()->second);
        m_messagesInFlight.erase(m_messagesInFlight.begin());
        const Replica& to = m_replicas[envelope.to];
        if (!to.service || to.isIsolated || m_replicas[envelope.from].isIsolated)
            continue;
        // Messages to a frozen process wait in its socket.
        if (to.frozenUntil > m_now)
            later.emplace_back(to.frozenUntil, std::move(envelope));
        else
            deliver(envelope);
    }
    for (auto& [time, envelope] : later)
        m_messagesInFlight.emplace(time, std::move(envelope));
    finishJobs();
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        if (!isRunning(i))
            continue;
        m_replicas[i].service->tick(m_now);
        m_replicas[i].service->flush(m_now);
        check(i);
    }
}

void StoreSimulation::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end)
        step();
}

bool StoreSimulation::runUntil(const std::function<bool()>& condition, Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end && !condition())
        step();
    return condition();
}

void StoreSimulation::crash(std::size_t index)
{
    m_replicas[index].service.reset();
    m_replicas[index].seenVersions.clear();
    m_replicas[index].disk.crash(m_random);
}

void StoreSimulation::restart(std::size_t index)
{
    if (!m_replicas[index].service)
        start(index);
}

void StoreSimulation::endProcess(std::size_t index)
{
    m_replicas[index].service.reset();
    m_replicas[index].seenVersions.clear();
}

void StoreSimulation::loseDisk(std::size_t index)
{
    crash(index);
    m_replicas[index].disk.loseDisk();
    m_replicas[index].hasOriginalDisk = false;
    m_lastDiskLoss = m_now;
}

void StoreSimulation::replaceMachine(std::size_t index)
{
    loseDisk(index);
    m_replicas[index].address += "-new";
    start(index);
}

void StoreSimulation::freeze(std::size_t index, Duration time)
{
    m_replicas[index].frozenUntil = m_now + time;
}

void StoreSimulation::setIsolated(std::size_t index, bool isIsolated)
{
    m_replicas[index].isIsolated = isIsolated;
}

void StoreSimulation::failStorageSoon(std::size_t index)
{
    m_replicas[index].disk.failAfter(m_random() % 8);
}

void StoreSimulation::endAllFaults()
{
    m_faults = {};
    for (Replica& replica : m_replicas) {
        replica.frozenUntil = m_now;
        replica.isIsolated = false;
        replica.disk.recover();
    }
    // Finishes all pending jobs now, so that replicas whose jobs failed stop and are restarted below.
    std::multimap<TimePoint, PendingJob> pending;
    pending.swap(m_jobs);
    for (auto& [time, job] : pending)
        m_jobs.emplace(m_now, std::move(job));
    finishJobs();
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        if (m_replicas[i].service && m_replicas[i].service->isStopped())
            crash(i);
        restart(i);
    }
}

void StoreSimulation::injectRandomFault()
{
    const std::size_t index = m_random() % m_replicas.size();
    switch (m_random() % 10) {
    case 0:
    case 1:
        crash(index);
        break;
    case 2:
    case 3:
    case 4:
        if (m_replicas[index].service && m_replicas[index].service->isStopped())
            crash(index);
        restart(index);
        break;
    case 5:
        freeze(index, Duration(m_random() % 3000000));
        break;
    case 6:
        setIsolated(index, true);
        break;
    case 7:
        setIsolated(index, false);
        break;
    case 8:
        failStorageSoon(index);
        break;
    default:
        // Loses a disk only when the store reports that it tolerates this, after it had time to detect the previous
        // loss.
        if (m_now - m_lastDiskLoss >= lossDetectionTime && survivesAnotherLoss())
            loseDisk(index);
        break;
    }
}

std::optional<std::size_t> StoreSimulation::leader() const
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        if (isRunning(i) && !m_replicas[i].isIsolated && m_replicas[i].service->log() && m_replicas[i].service->log()->canAccept(m_now))
            return i;
    return std::nullopt;
}

bool StoreSimulation::survivesAnotherLoss() const
{
    return std::any_of(m_replicas.begin(), m_replicas.end(), [this](const Replica& replica) {
        return replica.service && replica.frozenUntil <= m_now && replica.service->status(m_now).survivesAnotherLoss;
    });
}

bool StoreSimulation::haveAllConverged() const
{
    LogIndex applied;
    for (const Replica& replica : m_replicas) {
        if (!replica.service || !replica.service->log() || !replica.service->freshness(m_now))
            return false;
        const ReplicatedLog& log = *replica.service->log();
        const std::size_t voters = m_voters > 0 ? std::min(m_voters, m_replicas.size()) : m_replicas.size();
        if (voterCount(log.members()) != voters || log.members().size() != m_replicas.size())
            return false;
        if (log.appliedIndex() != log.log().lastIndex() || (applied.value() > 0 && applied != log.appliedIndex()))
            return false;
        applied = log.appliedIndex();
    }
    return true;
}

bool StoreSimulation::holdAllAccepted() const
{
    return std::all_of(m_replicas.begin(), m_replicas.end(), [this](const Replica& replica) {
        return replica.service && std::all_of(m_accepted.begin(), m_accepted.end(), [&replica](const auto& accepted) {
            const StoredDocument* document = replica.service->state().documents().find(accepted.first);
            return document && (accepted.second.empty() || document->version >= accepted.second.rbegin()->first);
        });
    });
}

void StoreSimulation::sendEdit(std::size_t replica, const std::string& service, std::uint64_t versionOffset, std::size_t textBytes)
{
    if (!isRunning(replica))
        return;
    DocumentEdit edit;
    edit.service = ServiceName(service);
    const StoredDocument* document = m_replicas[replica].service->state().documents().find(edit.service);
    edit.expected = DocumentVersion((document ? document->version.value() : 0) + versionOffset);
    edit.change = ChangeId("change-" + std::to_string(m_nextChange++));
    edit.text = "text of " + edit.change.value();
    edit.text.resize(std::max(edit.text.size(), textBytes), '.');
    edit.author = "operator";
    edit.authenticatedTeam = "team-" + service;
    m_sent.push_back(edit);
    submit(replica, edit);
}

void StoreSimulation::resendEdit()
{
    const std::size_t replica = m_random() % m_replicas.size();
    if (!m_sent.empty() && isRunning(replica))
        submit(replica, m_sent[m_random() % m_sent.size()]);
}

void StoreSimulation::submit(std::size_t replica, const DocumentEdit& edit)
{
    m_replicas[replica].service->edit(
        edit, [this, edit](const Result<EditResult>& result) {
            if (result.has_value())
                recordResult(edit, result.value());
        },
        m_now);
}

void StoreSimulation::recordResult(const DocumentEdit& edit, const EditResult& result)
{
    const auto [first, isFirst] = m_firstResults.emplace(edit.change, result);
    if (!isFirst && !(first->second == result))
        report(edit.change.value() + " received two different results");
    if (result.code != ResultCode::Ok || !isFirst)
        return;
    const auto [accepted, isNew] = m_accepted[edit.service].emplace(result.version, Accepted { edit, m_now });
    if (!isNew)
        report(edit.service.value() + ": two winners of version " + std::to_string(result.version.value()));
    if (result.version.value() != edit.expected.value() + 1)
        report(edit.change.value() + " was accepted with a wrong expected version");
    ++m_acceptedCount;
}

void StoreSimulation::sendClaim(std::size_t replica)
{
    if (!isRunning(replica))
        return;
    constexpr std::uint64_t keys = 20;
    ClaimRequest request;
    request.key = { ServiceName("dispatch"), IdempotencyKey("key-" + std::to_string(m_random() % keys)) };
    request.attempt = { NodeId("node"), Incarnation(1), m_nextChange++ };
    request.node = NodeId("node");
    request.expiry = WallTime(static_cast<std::uint64_t>(-1));
    m_replicas[replica].service->claim(
        request, [this, request](const Result<ClaimResult>& result) {
            if (result.has_error() || result.value().code != ResultCode::Ok)
                return;
            const auto [granted, isFirst] = m_grantedClaims.emplace(request.key, request.attempt);
            if (!isFirst && granted->second != request.attempt)
                report(request.key.key.value() + " was granted twice");
        },
        m_now);
}

void StoreSimulation::check(std::size_t index)
{
    if (m_replicas[index].service->isStopped())
        return;
    checkDocuments(index);
    checkFreshness(index);
}

void StoreSimulation::checkDocuments(std::size_t index)
{
    Replica& replica = m_replicas[index];
    const DocumentRegister& documents = replica.service->state().documents();
    for (const auto& [service, versions] : m_accepted) {
        const StoredDocument* document = documents.find(service);
        const DocumentVersion version = document ? document->version : DocumentVersion();
        if (version < replica.seenVersions[service])
            report(replica.address + ": " + service.value() + " was replaced by an older version");
        replica.seenVersions[service] = version;
        const auto accepted = versions.find(version);
        if (accepted != versions.end() && accepted->second.edit.text != document->text)
            report(replica.address + ": " + service.value() + " has a text that differs from the accepted one");
    }
}

void StoreSimulation::checkFreshness(std::size_t index)
{
    const Replica& replica = m_replicas[index];
    const auto freshness = replica.service->freshness(m_now);
    if (!freshness)
        return;
    const TimePoint asOf = m_now - freshness->age;
    for (const auto& [service, versions] : m_accepted) {
        const StoredDocument* document = replica.service->state().documents().find(service);
        const DocumentVersion version = document ? document->version : DocumentVersion();
        const auto newest = versions.rbegin();
        if (newest->first > version && newest->second.at < asOf)
            report(replica.address + " claims to be fresh without version " + std::to_string(newest->first.value()) + " of " + service.value());
    }
}

void StoreSimulation::report(const std::string& violation)
{
    constexpr std::size_t maximumReports = 10;
    if (m_violations.size() < maximumReports)
        m_violations.push_back(violation);
}

} // namespace Knapweedquay
