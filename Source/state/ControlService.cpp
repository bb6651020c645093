#include "state/ControlService.h"

#include <xxhash.h>

#include <algorithm>

namespace Knapweedquay {

namespace {

// Maximum number of replicas whose addresses are stored from their messages; those of further replicas are ignored.
constexpr std::size_t maximumSenderAddresses = 64;
// Name of the marker file that is written when the store has removed this replica. The other files in the folder are
// then obsolete.
constexpr const char* removalMarker = "removed";
// Interval between two requests to leave.
constexpr Duration leaveInterval { 50000 };
// Time without a leader's word after which a replica ends without having been replaced; longer than an election.
constexpr Duration leaveTimeout { 2000000 };

std::uint64_t idFromText(const std::string& text)
{
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

// Ids derived from the configured addresses are equal at all founders, so that they need no agreement on them.
ClusterId clusterIdOf(const MemberList& founders)
{
    std::string text;
    for (const Member& founder : founders)
        text += founder.address + '\n';
    return ClusterId(idFromText(text));
}

MemberList founderList(std::vector<std::string> addresses)
{
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    MemberList founders;
    for (const std::string& address : addresses)
        founders.push_back({ ReplicaId(idFromText("founder " + address)), address, true, noReplica() });
    return founders;
}

Error unknownOutcome()
{
    return Error { ResultCode::NoQuorum, "this replica ceased to lead; whether the change was accepted is unknown: send it again with the same id" };
}

// Adapts a handler of one result type to a handler of the variant ControlResult.
template <typename Typed>
std::function<void(Result<ControlResult>)> typedHandler(std::function<void(Result<Typed>)> handler)
{
    return [handler = std::move(handler)](Result<ControlResult> result) {
        if (result.has_error())
            handler(result.error());
        else
            handler(std::get<Typed>(result.value()));
    };
}

} // namespace

ControlService::ControlService(ControlServiceSettings settings, FileSystem& fileSystem, ControlServiceHooks hooks, TimePoint now)
    : m_settings(std::move(settings))
    , m_fileSystem(fileSystem)
    , m_hooks(std::move(hooks))
    , m_nextJoin(now)
{
}

Result<std::unique_ptr<ControlService>> ControlService::open(ControlServiceSettings settings, FileSystem& fileSystem, ControlServiceHooks hooks, TimePoint now)
{
    std::unique_ptr<ControlService> service(new ControlService(std::move(settings), fileSystem, std::move(hooks), now));
    BOOST_OUTCOME_TRYV(service->start(now));
    return service;
}

Result<void> ControlService::clearFolderIfRemoved()
{
    BOOST_OUTCOME_TRY(names, m_fileSystem.list(m_settings.folder));
    if (std::find(names.begin(), names.end(), removalMarker) == names.end())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    for (const std::string& name : names) {
        if (name != removalMarker) {
            BOOST_OUTCOME_TRYV(m_fileSystem.remove(m_settings.folder + "/" + name));
        }
    }
    BOOST_OUTCOME_TRYV(m_fileSystem.syncFolder(m_settings.folder));
    BOOST_OUTCOME_TRYV(m_fileSystem.remove(m_settings.folder + "/" + removalMarker));
    // The store continues without this replica, so this replica must not bootstrap a second store.
    m_settings.bootstrap = false;
    return m_fileSystem.syncFolder(m_settings.folder);
}

Result<void> ControlService::start(TimePoint now)
{
    BOOST_OUTCOME_TRYV(clearFolderIfRemoved());
    BOOST_OUTCOME_TRY(storage, LogStorage::open(m_fileSystem, m_settings.folder));
    m_storage = std::move(storage);
    if (!m_storage->identity()) {
        if (m_settings.peers.empty() && !m_settings.bootstrap)
            return Error { ResultCode::InvalidSettings, m_settings.folder + " is empty: bootstrap a new store, or name the peers whose store to join" };
        if (m_settings.bootstrap && !m_settings.founders.empty())
            return bootstrapWithFounders(now);
        if (m_settings.peers.empty())
            return bootstrapAlone(now);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    StoredLog stored = m_storage->takeStored();
    BOOST_OUTCOME_TRY(state, ControlState::load(*stored.snapshot.state));
    m_state = std::move(state);
    startLog(std::move(stored), now);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ControlService::bootstrapAlone(TimePoint now)
{
    BOOST_OUTCOME_TRYV(m_storage->initialize({ m_settings.newCluster, m_settings.newReplica }, ReplicatedLog::bootstrap(m_settings.newReplica, m_settings.address)));
    startLog(m_storage->takeStored(), now);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ControlService::bootstrapWithFounders(TimePoint now)
{
    const MemberList founders = founderList(m_settings.founders);
    m_settings.bootstrap = false;
    const auto self = std::find_if(founders.begin(), founders.end(), [this](const Member& founder) { return founder.address == m_settings.address; });
    if (self == founders.end())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    BOOST_OUTCOME_TRYV(m_storage->initialize({ clusterIdOf(founders), self->id }, ReplicatedLog::bootstrapFounders(founders)));
    startLog(m_storage->takeStored(), now);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ControlService::startLog(StoredLog stored, TimePoint now)
{
    ReplicatedLogSettings settings = m_settings.log;
    settings.self = m_storage->identity()->replica;
    settings.cluster = m_storage->identity()->cluster;
    m_log = std::make_unique<ReplicatedLog>(settings, std::move(stored), now);
}

void ControlService::tick(TimePoint now)
{
    if (m_failure)
        return;
    const bool isLogEmpty = !m_log || m_log->log().lastIndex() == LogIndex();
    if (isLogEmpty && now >= m_nextJoin)
        requestAdmission(now);
    if (m_log)
        m_log->tick(now);
    if (m_leave && now >= m_leave->nextRequest)
        requestLeave(now);
}

void ControlService::leave(TimePoint now)
{
    const bool isMember = m_log && findMember(m_log->members(), m_log->self());
    if (isMember && !m_failure && !m_leave)
        m_leave = Leave { now, now };
}

bool ControlService::isLeavePending(TimePoint now) const
{
    return m_leave && now < m_leave->confirmedAt + leaveTimeout;
}

void ControlService::requestLeave(TimePoint now)
{
    m_leave->nextRequest = now + leaveInterval;
    // A leader that has removed itself leads no more, and its own log tells it.
    const bool isRemoved = !findMember(m_log->members(), m_log->self()) && m_log->log().membersIndex() <= m_log->commitIndex();
    if (isRemoved)
        handleLeaveProgress(LeaveProgress::Removed, now);
    else if (m_log->isLeader())
        handleLeaveProgress(m_log->requestLeave(m_log->self(), now), now);
    else if (const Member* leader = findMember(m_log->members(), m_log->leader()))
        sendTo(leader->address, { m_log->cluster(), m_log->self(), leader->id, LeaveRequest {}, {} });
}

void ControlService::handleLeaveProgress(LeaveProgress progress, TimePoint now)
{
    if (!m_leave)
        return;
    m_leave->confirmedAt = now;
    if (progress == LeaveProgress::Pending)
        return;
    m_leave.reset();
    if (progress == LeaveProgress::Unneeded)
        return;
    const Result<void> marked = markRemoved();
    if (marked.has_error())
        return stop(marked.error());
    // The owner ends the process when the requests in progress are answered.
    m_failure = Error { ResultCode::UnknownReplica, "the place of this replica was taken by another" };
    failProposals(*m_failure);
}

void ControlService::receive(const ReplicaMessage& message, TimePoint now)
{
    if (m_failure)
        return;
    if (std::holds_alternative<JoinRequest>(message.body)) {
        handleJoinRequest(message, now);
        return;
    }
    if (const auto* response = std::get_if<JoinResponse>(&message.body)) {
        // A response to an earlier replica at this address, which lost its disk, must not affect the current replica.
        if (m_log && message.to != m_log->self())
            return;
        handleJoinResponse(*response, message.fromAddress, now);
        return;
    }
    if (!m_log || message.cluster != m_log->cluster())
        return;
    if (const auto* response = std::get_if<LeaveResponse>(&message.body))
        return message.to == m_log->self() ? handleLeaveProgress(response->progress, now) : void();
    if (m_senderAddresses.size() < maximumSenderAddresses || m_senderAddresses.count(message.from) > 0)
        m_senderAddresses[message.from] = message.fromAddress;
    const bool isLeaveRequest = std::holds_alternative<LeaveRequest>(message.body);
    if (!isLeaveRequest && m_log->isKnownNonMember(message.from, now)) {
        sendTo(message.fromAddress, { m_log->cluster(), m_log->self(), message.from, JoinResponse { ResultCode::UnknownReplica, m_log->cluster() }, {} });
        return;
    }
    reportNonMember(message);
    m_log->receive(message, now);
}

// Passes the vote request of a replica that is no member on to the leader, which alone knows whether it was removed. A
// removed replica asks only the voters that it knows, and the leader may not be one of them.
void ControlService::reportNonMember(const ReplicaMessage& message)
{
    // A request that was already passed on names another receiver.
    const bool isDirect = std::holds_alternative<VoteRequest>(message.body) && message.to == m_log->self();
    if (!isDirect || m_log->isLeader() || findMember(m_log->members(), message.from))
        return;
    const std::string leader = leaderAddress();
    if (!leader.empty() && m_hooks.send)
        m_hooks.send(leader, message);
}

void ControlService::flush(TimePoint now)
{
    while (m_log && !m_failure) {
        const std::vector<LogAction> actions = m_log->takeActions(now);
        if (actions.empty())
            return;
        for (const LogAction& action : actions)
            if (!m_failure)
                std::visit([this, now](const auto& typed) { perform(typed, now); }, action);
        if (!m_failure)
            trimLog();
    }
}

void ControlService::edit(const DocumentEdit& edit, EditHandler handler, TimePoint now)
{
    const Result<void> valid = DocumentRegister::validate(edit);
    if (valid.has_error()) {
        handler(valid.error());
        return;
    }
    propose(edit, typedHandler<EditResult>(std::move(handler)), now);
}

void ControlService::claim(const ClaimRequest& request, ClaimHandler handler, TimePoint now)
{
    propose(request, typedHandler<ClaimResult>(std::move(handler)), now);
}

void ControlService::query(const ClaimQuery& query, ClaimHandler handler, TimePoint now)
{
    propose(query, typedHandler<ClaimResult>(std::move(handler)), now);
}

void ControlService::update(const ClaimUpdate& update, ClaimHandler handler, TimePoint now)
{
    propose(update, typedHandler<ClaimResult>(std::move(handler)), now);
}

Result<void> ControlService::removeMember(ReplicaId id, TimePoint now)
{
    if (!m_log)
        return Error { ResultCode::NotLeader, "this replica belongs to no store yet" };
    return m_log->removeMember(id, now);
}

void ControlService::propose(const ControlCommand& command, ResultHandler handler, TimePoint now)
{
    if (m_failure) {
        handler(*m_failure);
        return;
    }
    if (!m_log) {
        handler(Error { ResultCode::NotLeader, "this replica belongs to no store yet" });
        return;
    }
    if (voterCount(m_log->members()) < m_settings.minimumVoters) {
        handler(Error { ResultCode::NotLeader, "the store has fewer than " + std::to_string(m_settings.minimumVoters) + " voters yet" });
        return;
    }
    const auto index = m_log->propose(encodeCommand(command), now);
    if (index.has_error()) {
        handler(index.error());
        return;
    }
    m_proposals[index.value()] = { m_log->term(), std::move(handler) };
}

void ControlService::failProposals(const Error& error)
{
    std::map<LogIndex, Proposal> proposals;
    proposals.swap(m_proposals);
    for (auto& [index, proposal] : proposals)
        proposal.handler(error);
}

void ControlService::stop(const Error& error)
{
    m_failure = error;
    failProposals(error);
    if (m_hooks.stopped)
        m_hooks.stopped(error);
}

std::optional<Freshness> ControlService::freshness(TimePoint now) const
{
    const bool hasEnoughVoters = m_log && !m_failure && voterCount(m_log->members()) >= m_settings.minimumVoters;
    return hasEnoughVoters ? m_log->freshness(now) : std::nullopt;
}

std::string ControlService::leaderAddress() const
{
    if (!m_log)
        return {};
    const Member* leader = findMember(m_log->members(), m_log->leader());
    return leader ? leader->address : std::string();
}

ControlStatus ControlService::status(TimePoint now) const
{
    ControlStatus status;
    if (!m_log)
        return status;
    status.replica = m_log->self();
    status.cluster = m_log->cluster();
    status.term = m_log->term();
    status.leading = isLeading();
    status.leaderAddress = leaderAddress();
    status.appliedIndex = m_log->appliedIndex();
    status.lastIndex = m_log->log().lastIndex();
    status.freshness = freshness(now);
    status.survivesAnotherLoss = !m_failure && m_log->survivesAnotherLoss(now);
    status.members = m_log->memberStatus(now);
    return status;
}

// Admission of a replica with an empty disk.

void ControlService::requestAdmission(TimePoint now)
{
    m_nextJoin = now + m_settings.joinInterval;
    // Bootstraps only after every peer has reported that it has no store: a peer that does not answer may belong to the
    // store whose local copy was lost.
    if (!m_log && m_settings.bootstrap && m_peersWithoutStore.size() >= m_settings.peers.size()) {
        const Result<void> bootstrapped = bootstrapAlone(now);
        if (bootstrapped.has_error())
            stop(bootstrapped.error());
        return;
    }
    const ReplicaId self = m_log ? m_log->self() : m_settings.newReplica;
    for (const std::string& peer : m_settings.peers)
        if (peer != m_settings.address)
            sendTo(peer, { ClusterId(), self, noReplica(), JoinRequest {}, {} });
}

void ControlService::handleJoinRequest(const ReplicaMessage& request, TimePoint now)
{
    const ReplicaId from = request.from;
    const std::string& address = request.fromAddress;
    JoinResponse response;
    if (!m_log) {
        response.code = ResultCode::UnknownReplica;
    } else if (!m_log->isLeader()) {
        // Forwards the request, because the sender may have outdated addresses. A request that was already forwarded
        // names a receiver and is not forwarded again.
        const std::string leader = leaderAddress();
        if (request.to == noReplica() && !leader.empty() && m_hooks.send) {
            ReplicaMessage forwarded = request;
            forwarded.to = m_log->leader();
            m_hooks.send(leader, forwarded);
            return;
        }
        response.code = ResultCode::NotLeader;
        response.cluster = m_log->cluster();
    } else {
        response.cluster = m_log->cluster();
        ReplicaId replaces;
        bool isAlive = false;
        for (const MemberStatus& status : m_log->memberStatus(now)) {
            if (status.member.address != address || status.member.id == from)
                continue;
            // Prefers a voter as the member to replace: addLearner() removes a learner at this address anyway.
            if (status.member.voter || replaces == noReplica())
                replaces = status.member.id;
            isAlive = isAlive || (status.lastHeard && *status.lastHeard < m_settings.log.electionTimeout);
        }
        // Two live processes with the same address would otherwise replace each other repeatedly.
        const Result<void> added = isAlive
            ? Result<void>(Error { ResultCode::MembershipChangeRefused, "a replica at this address is alive" })
            : m_log->addLearner(from, address, replaces, now);
        response.code = added.has_error() ? added.error().code : ResultCode::Ok;
    }
    sendTo(address, { response.cluster, m_log ? m_log->self() : noReplica(), from, response, {} });
}

// Another replica has replaced this one, whose identity must not vote again. The marker file makes the next start clear
// the folder.
Result<void> ControlService::markRemoved()
{
    BOOST_OUTCOME_TRY(marker, m_fileSystem.create(m_settings.folder + "/" + removalMarker));
    BOOST_OUTCOME_TRYV(marker->sync());
    return m_fileSystem.syncFolder(m_settings.folder);
}

void ControlService::handleRemoval()
{
    const Result<void> marked = markRemoved();
    if (marked.has_error())
        return stop(marked.error());
    stop({ ResultCode::UnknownReplica, "the store has removed this replica; it joins again with an empty folder" });
}

void ControlService::handleJoinResponse(const JoinResponse& response, const std::string& from, TimePoint now)
{
    const bool holdsEntries = m_log && m_log->log().lastIndex() > LogIndex();
    if (holdsEntries && response.code == ResultCode::UnknownReplica && response.cluster == m_log->cluster())
        return handleRemoval();
    if (m_log)
        return;
    if (response.cluster == ClusterId()) {
        const bool isPeer = std::find(m_settings.peers.begin(), m_settings.peers.end(), from) != m_settings.peers.end();
        if (isPeer)
            m_peersWithoutStore.insert(from);
        return;
    }
    // A store already exists, so this replica must not bootstrap another one.
    m_settings.bootstrap = false;
    if (response.code != ResultCode::Ok)
        return;
    const Result<void> initialized = m_storage->initialize({ response.cluster, m_settings.newReplica }, StoredLog {});
    if (initialized.has_error()) {
        stop(initialized.error());
        return;
    }
    startLog(m_storage->takeStored(), now);
}

void ControlService::sendTo(const std::string& address, ReplicaMessage message)
{
    message.fromAddress = m_settings.address;
    if (m_hooks.send)
        m_hooks.send(address, message);
}

// Actions of the log.

void ControlService::perform(const SendMessage& action, TimePoint)
{
    const ReplicaId to = action.message.to;
    const auto sender = m_senderAddresses.find(to);
    if (const Member* member = findMember(m_log->members(), to))
        sendTo(member->address, action.message);
    else if (sender != m_senderAddresses.end())
        sendTo(sender->second, action.message);
}

void ControlService::perform(const WriteLog& action, TimePoint now)
{
    m_writes.emplace_back(action);
    processWrites(now);
}

void ControlService::perform(const StoreSnapshot& action, TimePoint now)
{
    m_writes.emplace_back(action);
    processWrites(now);
}

void ControlService::processWrites(TimePoint now)
{
    while (!m_writes.empty() && !m_isStoring && !m_failure) {
        const auto* write = std::get_if<WriteLog>(&m_writes.front());
        if (!write && m_isSyncing)
            return;
        if (!write) {
            StoreSnapshot store = std::move(std::get<StoreSnapshot>(m_writes.front()));
            m_writes.pop_front();
            startStore(std::move(store), now);
            continue;
        }
        const Result<void> written = m_storage->write(*write);
        if (written.has_error()) {
            stop(written.error());
            return;
        }
        m_written = write->sequence;
        m_writes.pop_front();
    }
    startSync(now);
}

void ControlService::runStorageJob(std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done, TimePoint now)
{
    if (!m_hooks.runStorageJob) {
        done(job(), now);
        return;
    }
    const std::weak_ptr<char> lifetime = m_lifetime;
    m_hooks.runStorageJob(std::move(job), [lifetime, done = std::move(done)](Result<void> result, TimePoint finishedAt) {
        if (!lifetime.expired())
            done(std::move(result), finishedAt);
    });
}

void ControlService::startStore(StoreSnapshot store, TimePoint now)
{
    m_isStoring = true;
    const WriteSequence sequence = store.sequence;
    runStorageJob([storage = m_storage.get(), store = std::move(store)] { return storage->store(store); },
        [this, sequence](const Result<void>& stored, TimePoint finishedAt) { finishStore(sequence, stored, finishedAt); }, now);
}

void ControlService::finishStore(WriteSequence sequence, const Result<void>& stored, TimePoint now)
{
    m_isStoring = false;
    if (m_failure)
        return;
    if (stored.has_error()) {
        stop(stored.error());
        return;
    }
    m_written = sequence;
    m_synced = sequence;
    m_log->synced(sequence, now);
    processWrites(now);
}

void ControlService::startSync(TimePoint now)
{
    if (m_isSyncing || m_isStoring || m_written == m_synced || m_failure)
        return;
    m_isSyncing = true;
    const LogStorage::SyncTask task = m_storage->startSync();
    runStorageJob([file = task.file] { return file->sync(); },
        [this, task, sequence = m_written](Result<void> synced, TimePoint finishedAt) { finishSync(task, sequence, std::move(synced), finishedAt); }, now);
}

void ControlService::finishSync(const LogStorage::SyncTask& task, WriteSequence sequence, Result<void> synced, TimePoint now)
{
    m_isSyncing = false;
    if (m_failure)
        return;
    const Result<void> finished = m_storage->finishSync(task, std::move(synced));
    if (finished.has_error()) {
        stop(finished.error());
        return;
    }
    m_synced = std::max(m_synced, sequence);
    m_log->synced(sequence, now);
    processWrites(now);
}

void ControlService::perform(const ApplyEntry& action, TimePoint)
{
    const LogEntry& entry = action.entry;
    if (entry.kind != LogEntryKind::Command)
        return;
    auto result = m_state.apply(entry.payload);
    const auto* edit = result.has_value() ? std::get_if<EditResult>(&result.value()) : nullptr;
    const bool isAccepted = edit && edit->code == ResultCode::Ok;
    if (isAccepted && m_hooks.documentChanged) {
        const auto command = decodeCommand(entry.payload);
        m_hooks.documentChanged(*m_state.documents().find(std::get<DocumentEdit>(command.value()).service));
    }
    const auto found = m_proposals.find(entry.index);
    if (found == m_proposals.end())
        return;
    const Proposal proposal = std::move(found->second);
    m_proposals.erase(found);
    if (proposal.term == entry.term)
        proposal.handler(std::move(result));
    else
        proposal.handler(unknownOutcome());
}

void ControlService::perform(const InstallState& action, TimePoint)
{
    auto loaded = ControlState::load(*action.snapshot.state);
    if (loaded.has_error()) {
        stop(loaded.error());
        return;
    }
    const ControlState before = std::move(m_state);
    m_state = std::move(loaded.value());
    notifyNewerDocuments(before.documents());
}

void ControlService::perform(const LeadershipChanged& action, TimePoint)
{
    if (!action.leading)
        failProposals(unknownOutcome());
}

void ControlService::notifyNewerDocuments(const DocumentRegister& before)
{
    if (!m_hooks.documentChanged)
        return;
    for (const StoredDocument* document : m_state.documents().documents()) {
        const StoredDocument* earlier = before.find(document->service);
        if (!earlier || earlier->version < document->version)
            m_hooks.documentChanged(*document);
    }
}

void ControlService::trimLog()
{
    const LogBuffer& log = m_log->log();
    const std::uint64_t applied = m_log->appliedIndex().value() - log.snapshot().lastIndex.value();
    const bool isLong = applied >= m_settings.snapshotEntries || log.entryBytes() >= m_settings.snapshotBytes;
    if (applied == 0 || !isLong)
        return;
    // Trims the log only when it is larger than the state, because a snapshot writes the complete state. The factor
    // bounds the log when its entries are small.
    constexpr std::size_t maximumFactor = 16;
    const bool isLargerThanState = log.entryBytes() >= log.snapshot().state->size();
    if (isLargerThanState || applied >= maximumFactor * m_settings.snapshotEntries)
        m_log->compact(m_state.save());
}

} // namespace Knapweedquay
