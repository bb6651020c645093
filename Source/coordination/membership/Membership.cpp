#include "coordination/membership/Membership.h"

#include "coordination/membership/AntiEntropy.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Knapweedquay {

namespace {

// IPv4 and UDP headers of one datagram, which count towards the budget.
constexpr std::size_t datagramHeaderBytes = 28;
// Minimum time between two complete lists of document versions sent to peers.
constexpr Duration documentsPeriod = std::chrono::milliseconds(500);
// Maximum datagrams of records sent in answer to one summary or request.
constexpr std::size_t repairDatagrams = 4;
// Budget that must be available before a summary is sent, for the summary and the records that follow it.
constexpr std::size_t repairBytes = (repairDatagrams + 1) * maximumGossipBytes;
// Members sent to a joining member in the first reply; about as many as fit into a datagram.
constexpr std::size_t initialMembers = 10;
// Number of queued rumors above which receiving a known record counts as several of its transmissions.
constexpr std::size_t suppressionThreshold = 16;
constexpr std::uint32_t suppressedTransmissions = 5;
// Budget that rumors leave for anti-entropy, which costs fewer bytes per member when many records change at once.
constexpr std::size_t repairReserveBytes = 8000;
// Bytes of evidence in one datagram; the rest is left for the fields of every message.
constexpr std::size_t evidenceBytes = maximumGossipBytes - 200;
// Smallest encoded record; with less space left in a datagram, no further record is tried.
constexpr std::size_t smallestRecordBytes = 40;

std::uint32_t hashOf(const std::string& text)
{
    return XXH32(text.data(), text.size(), 0);
}

MemberRecord initialRecord(const MembershipSettings& settings)
{
    MemberRecord record;
    record.node = settings.node;
    record.version = { settings.incarnation, 1 };
    record.dataCentre = settings.dataCentre;
    record.peerAddress = settings.peerAddress;
    record.gossipAddress = settings.gossipAddress;
    return record;
}

bool isSameAnnouncement(const EndpointState& a, const EndpointState& b)
{
    return a.service == b.service && a.backendServer == b.backendServer && a.slots == b.slots
        && a.lifecycle == b.lifecycle && a.announcedAt == b.announcedAt;
}

bool isVisibleChange(const MemberRecord& before, const MemberRecord& after)
{
    const EndpointState& a = before.endpoint;
    const EndpointState& b = after.endpoint;
    return before.version.incarnation != after.version.incarnation || before.health != after.health
        || before.peerAddress != after.peerAddress || a.service != b.service || a.backendServer != b.backendServer
        || a.slots != b.slots || a.lifecycle != b.lifecycle;
}

} // namespace

Membership::Membership(MembershipSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_deployment(hashOf(m_settings.deployment))
    , m_random(seed)
    , m_table(m_settings.maximumMembers, m_settings.refutationTime)
    , m_suspicions(m_settings.minimumSuspicionTime, m_settings.maximumSuspicionTime, m_settings.suspicionConfirmations)
    , m_failureDetector(m_settings, m_table, m_peers, m_random,
          { [this](const SocketAddress& address, const GossipBody& body) { send(address, body); }, [this](const NodeId& node) { suspect(node); } })
    , m_budget(m_settings.bytesPerSecond, m_settings.burstBytes)
    , m_evidenceBudget(m_settings.evidenceBytesPerSecond, m_settings.evidenceBurstBytes)
{
    m_table.merge(initialRecord(m_settings), TimePoint());
    m_rumors.add(m_settings.node);
}

const MemberRecord& Membership::self() const
{
    return *m_table.find(m_settings.node);
}

MembershipActions Membership::handle(const SocketAddress& from, std::string_view bytes, TimePoint now)
{
    beginCall(now);
    const auto message = decodeGossipMessage(bytes, now);
    if (message.has_value() && message.value().deployment == m_deployment && message.value().sender != m_settings.node)
        dispatch(message.value(), from);
    return finishCall();
}

MembershipActions Membership::tick(TimePoint now)
{
    beginCall(now);
    m_failureDetector.tick(now);
    expireSuspicions();
    spreadRumors();
    exchangeDigest();
    reconnectDead();
    reconnectSeed();
    return finishCall();
}

TimePoint Membership::nextTick() const
{
    TimePoint next = std::min({ m_failureDetector.nextTick(), m_nextDigestAt, m_nextReconnectAt, m_nextSeedAt });
    if (hasRumors() && !m_peers.isEmpty())
        next = std::min(next, m_nextGossipAt);
    if (const auto deadline = m_suspicions.nextDeadline())
        next = std::min(next, *deadline);
    return next;
}

MembershipActions Membership::updateSelf(const EndpointState& endpoint, TimePoint now)
{
    beginCall(now);
    if (!self().hasLeft() && !isSameAnnouncement(self().endpoint, endpoint)) {
        MemberRecord record = self();
        record.endpoint = endpoint;
        announceSelf(std::move(record));
    }
    return finishCall();
}

MembershipActions Membership::leave(TimePoint now)
{
    beginCall(now);
    if (!self().hasLeft()) {
        MemberRecord record = self();
        record.endpoint.lifecycle = EndpointLifecycle::Left;
        announceSelf(std::move(record));
    }
    return finishCall();
}

bool Membership::hasSpreadLeave() const
{
    bool isWaiting = false;
    m_rumors.visit([this, &isWaiting](const NodeId& node) {
        isWaiting = isWaiting || node == m_settings.node;
        return !isWaiting;
    });
    return self().hasLeft() && (!isWaiting || m_peers.isEmpty());
}

MembershipActions Membership::updateDocuments(const std::vector<DocumentHint>& inForce, TimePoint now)
{
    beginCall(now);
    m_documents.update(inForce);
    return finishCall();
}

MembershipActions Membership::spreadEvidence(const std::vector<CrashEvidence>& evidence, const std::vector<NodeId>& recipients, TimePoint now)
{
    beginCall(now);
    for (const CrashEvidence& piece : evidence)
        m_evidence.add(piece, m_now);
    std::vector<NodeId> targets = recipients;
    for (const NodeId& node : drawRumorTargets())
        targets.push_back(node);
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    spreadEvidenceRumors(targets);
    return finishCall();
}

void Membership::beginCall(TimePoint now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_now = now;
        // Random offsets spread the work of members that start together over the periods.
        m_failureDetector.restart(now + jittered(m_settings.probePeriod));
        m_nextGossipAt = now;
        m_nextDigestAt = now + jittered(m_settings.digestPeriod);
        m_nextReconnectAt = now + jittered(m_settings.reconnectPeriod);
        m_nextSeedAt = now;
        return;
    }
    m_now = std::max(m_now, now);
    if (m_now > m_expectedTick + m_settings.freezeThreshold)
        recoverFromFreeze();
}

void Membership::recoverFromFreeze()
{
    m_suspicions.postpone(m_now - m_expectedTick);
    m_failureDetector.restart(m_now);
    m_nextGossipAt = m_now;
    m_nextDigestAt = m_now;
    m_nextReconnectAt = m_now;
    m_nextSeedAt = m_now;
    // The other members may have declared this one dead during the freeze.
    announceSelf(self());
}

MembershipActions Membership::finishCall()
{
    m_expectedTick = std::max(nextTick(), m_now);
    return std::exchange(m_actions, {});
}

void Membership::dispatch(const GossipMessage& message, const SocketAddress& from)
{
    const MemberRecord* sender = m_table.find(message.sender);
    const bool wasAbsent = sender && !sender->isPresent();
    std::vector<MemberRecord> outdated;
    for (const MemberRecord& record : message.records) {
        if (mergeRecord(record) == MergeResult::Outdated)
            outdated.push_back(*m_table.find(record.node));
    }
    sender = m_table.find(message.sender);
    if (wasAbsent && sender && sender->isPresent()) {
        m_digestPartner = message.sender;
        m_nextDigestAt = m_now;
    }
    for (const DocumentHint& hint : message.documents) {
        if (m_documents.isNewHint(hint, m_now))
            m_actions.push_back(NewerDocumentHint { hint.service, hint.version, message.sender });
    }

    if (const auto* ping = std::get_if<GossipPing>(&message.body))
        answer(*ping, from);
    else if (const auto* ack = std::get_if<GossipAck>(&message.body))
        m_failureDetector.handle(*ack);
    else if (const auto* indirectPing = std::get_if<GossipIndirectPing>(&message.body))
        m_failureDetector.handle(*indirectPing, from, m_now);
    else if (const auto* nack = std::get_if<GossipNack>(&message.body))
        m_failureDetector.handle(*nack);
    else if (const auto* digest = std::get_if<GossipDigest>(&message.body))
        answer(*digest, from);
    else if (const auto* summary = std::get_if<GossipSummary>(&message.body))
        answer(*summary, from);
    else if (const auto* request = std::get_if<GossipRequest>(&message.body))
        answer(*request, from);
    else if (const auto* documents = std::get_if<GossipDocuments>(&message.body))
        answer(*documents, message, from);
    else if (const auto* evidence = std::get_if<GossipCrashEvidence>(&message.body))
        receive(*evidence);

    if (m_budget.isAvailable(maximumGossipBytes, m_now))
        sendRecords(from, outdated, 1);
    compareSenderVersion(message, from);
    compareDocuments(message, from);
}

void Membership::answer(const GossipPing& ping, const SocketAddress& from)
{
    // The address may have belonged to a different node before, which is the one that the sender probes.
    if (ping.target == m_settings.node)
        send(from, GossipAck { ping.sequence, m_settings.node });
}

void Membership::answer(const GossipDigest& digest, const SocketAddress& from)
{
    sendEvidence(from, m_evidence.repeatedCrashes(evidenceBytes, m_random(), m_now));
    const std::size_t bucketsInUse = digestBuckets - static_cast<std::size_t>(std::count(digest.buckets.begin(), digest.buckets.end(), 0));
    if (bucketsInUse <= 1 && m_peers.size() > 1) {
        // One datagram, which nothing can replace for a member that knows nobody.
        if (m_budget.isAvailable(maximumGossipBytes, m_now))
            sendInitialMembers(from);
        return;
    }
    // Without budget for the records that follow it, the summary would be useless.
    if (!m_budget.isAvailable(repairBytes, m_now))
        return;
    const auto start = static_cast<std::uint32_t>(m_random() % digestBuckets);
    if (const auto summary = summarizeDifferences(m_table, digest, start))
        send(from, *summary);
}

// Sends the records of a few other members to a joining one, which can then exchange digests with these. Otherwise many
// members that start at the same time would all depend on the same seed.
void Membership::sendInitialMembers(const SocketAddress& address)
{
    std::vector<MemberRecord> records { self() };
    for (const NodeId& node : m_peers.sample(initialMembers, m_random))
        records.push_back(*m_table.find(node));
    sendRecords(address, records, 1);
}

void Membership::answer(const GossipSummary& summary, const SocketAddress& from)
{
    const Differences differences = findDifferences(m_table, summary);
    if (differences.isEmpty())
        return;
    // Rumors repair small differences without further digests.
    if (differences.toSend.size() + differences.toRequest.nodes.size() >= m_settings.repairThreshold)
        m_nextDigestAt = std::min(m_nextDigestAt, m_now + m_settings.repairPeriod);
    if (!differences.toRequest.nodes.empty())
        send(from, differences.toRequest);
    sendRecords(from, differences.toSend, repairDatagrams);
}

void Membership::answer(const GossipRequest& request, const SocketAddress& from)
{
    std::vector<MemberRecord> records;
    for (const RecordHash node : request.nodes) {
        for (const MemberRecord* record : m_table.findByHash(node))
            records.push_back(*record);
    }
    sendRecords(from, records, repairDatagrams);
}

void Membership::answer(const GossipDocuments& documents, const GossipMessage& message, const SocketAddress& from)
{
    if (!documents.isReply && m_documents.isPeerBehind(message.documents))
        sendDocuments(from, true);
}

void Membership::receive(const GossipCrashEvidence& message)
{
    for (const CrashEvidence& evidence : message.evidence) {
        if (m_evidence.add(evidence, m_now))
            m_actions.push_back(EvidenceReceived { evidence });
    }
}

void Membership::compareDocuments(const GossipMessage& message, const SocketAddress& from)
{
    if (message.documentsHash == m_documents.hash() || std::holds_alternative<GossipDocuments>(message.body) || m_now < m_nextDocumentsAt)
        return;
    m_nextDocumentsAt = m_now + documentsPeriod;
    sendDocuments(from, false);
}

void Membership::compareSenderVersion(const GossipMessage& message, const SocketAddress& from)
{
    const MemberRecord* sender = m_table.find(message.sender);
    if (!sender || sender->version < message.senderVersion) {
        if (m_budget.isAvailable(maximumGossipBytes, m_now))
            send(from, GossipRequest { { MembershipTable::hashOf(message.sender) } });
        return;
    }
    // Informs the sender that it is suspected or declared dead, so that it refutes (Lifeguard's buddy system).
    if (sender->health != MemberHealth::Alive && !sender->hasLeft())
        sendRecords(from, { *sender }, 1);
}

MergeResult Membership::mergeRecord(const MemberRecord& record)
{
    if (record.node == m_settings.node) {
        refuteIfNeeded(record);
        return record.version < self().version ? MergeResult::Outdated : MergeResult::Unchanged;
    }
    const MemberRecord* known = m_table.find(record.node);
    const std::optional<MemberRecord> before = known ? std::optional<MemberRecord>(*known) : std::nullopt;
    const MergeResult result = m_table.merge(record, m_now);
    if (result == MergeResult::Changed)
        handleRecordChange(before, *m_table.find(record.node));
    else if (record.health == MemberHealth::Suspect && before && before->version == record.version)
        confirmSuspicion(record);
    // Other members spread this rumor too, so with many rumors queued it needs fewer transmissions (Demers and others,
    // PODC '87). When a whole fleet starts, the rumors of all would otherwise use the budget long after all are known.
    if (result == MergeResult::Unchanged && m_rumors.size() > suppressionThreshold)
        m_rumors.markSent(record.node, transmissionLimit(), suppressedTransmissions);
    return result;
}

void Membership::confirmSuspicion(const MemberRecord& record)
{
    if (!m_suspicions.confirm(record.node, record.suspectedBy))
        return;
    m_table.recordConfirmation(record.node, record.suspectedBy);
    m_rumors.add(record.node);
}

void Membership::refuteIfNeeded(const MemberRecord& record)
{
    const MemberVersion own = self().version;
    if (own.incarnation < record.version.incarnation) {
        m_actions.push_back(IncarnationSuperseded { record.version.incarnation });
        return;
    }
    const bool isNewer = own < record.version;
    const bool isReportedUnhealthy = own == record.version && record.health != MemberHealth::Alive;
    if (!isNewer && !isReportedUnhealthy)
        return;
    if (record.health != MemberHealth::Alive)
        m_failureDetector.recordOwnRefutation();
    MemberRecord refutation = self();
    refutation.version = record.version;
    announceSelf(std::move(refutation));
}

void Membership::announceSelf(MemberRecord record)
{
    const MemberRecord before = self();
    ++record.version.state;
    m_table.merge(record, m_now);
    m_rumors.add(m_settings.node);
    m_nextGossipAt = m_now;
    if (isVisibleChange(before, record))
        m_actions.push_back(MemberChanged { record });
}

void Membership::suspect(const NodeId& node)
{
    MemberRecord record = *m_table.find(node);
    record.health = MemberHealth::Suspect;
    record.suspectedBy = m_settings.node;
    mergeRecord(record);
}

void Membership::handleRecordChange(const std::optional<MemberRecord>& before, const MemberRecord& after)
{
    m_rumors.add(after.node);
    const bool wasPresent = before && before->isPresent();
    if (after.isPresent() && !wasPresent)
        m_peers.add(after.node, m_random);
    if (!after.isPresent() && wasPresent)
        m_peers.remove(after.node);
    updateLocalPeer(before, after);

    if (after.health == MemberHealth::Suspect && after.isPresent()) {
        const std::size_t confirmers = m_peers.size() - 1;
        m_suspicions.start(after.node, after.suspectedBy, confirmers, m_now);
    } else {
        m_suspicions.cancel(after.node);
    }
    if (!before || isVisibleChange(*before, after))
        m_actions.push_back(MemberChanged { after });
}

void Membership::updateLocalPeer(const std::optional<MemberRecord>& before, const MemberRecord& after)
{
    if (before)
        m_localAddresses.erase(before->gossipAddress);
    if (!after.isPresent() || after.dataCentre != m_settings.dataCentre)
        return m_localPeers.remove(after.node);
    m_localPeers.add(after.node, m_random);
    m_localAddresses.insert(after.gossipAddress);
}

void Membership::expireSuspicions()
{
    for (const NodeId& node : m_suspicions.takeExpired(m_now)) {
        const MemberRecord before = *m_table.find(node);
        m_table.declareDead(node, m_now);
        handleRecordChange(before, *m_table.find(node));
    }
}

void Membership::spreadRumors()
{
    if (m_now < m_nextGossipAt || !hasRumors() || m_peers.isEmpty())
        return;
    m_nextGossipAt = m_now + m_settings.gossipPeriod;
    const std::vector<NodeId> targets = drawRumorTargets();
    spreadEvidenceRumors(targets);
    for (const NodeId& node : targets) {
        const MemberRecord* peer = m_table.find(node);
        if (hasRumors() && m_budget.isAvailable(maximumGossipBytes + repairReserveBytes, m_now))
            send(peer->gossipAddress, GossipRumors {});
    }
}

void Membership::spreadEvidenceRumors(const std::vector<NodeId>& targets)
{
    for (const NodeId& node : targets) {
        const MemberRecord* peer = m_table.find(node);
        if (peer && m_evidence.hasRumors() && m_evidenceBudget.isAvailable(maximumGossipBytes, m_now))
            sendEvidence(peer->gossipAddress, m_evidence.takeRumors(evidenceBytes, transmissionLimit(), m_now));
    }
}

void Membership::sendEvidence(const SocketAddress& address, std::vector<CrashEvidence> evidence)
{
    if (address.isEmpty() || evidence.empty())
        return;
    std::string bytes = encodeGossipMessage(message(GossipCrashEvidence { std::move(evidence) }), m_now);
    m_evidenceBudget.spend(bytes.size() + datagramHeaderBytes, m_now);
    m_actions.push_back(SendDatagram { address, std::move(bytes), m_localAddresses.count(address) > 0 });
}

std::vector<NodeId> Membership::drawRumorTargets()
{
    if (m_localPeers.isEmpty())
        return m_peers.sample(m_settings.gossipFanout, m_random);
    std::vector<NodeId> targets = m_peers.sample(m_settings.gossipFanout - m_settings.localGossipFanout, m_random);
    for (const NodeId& node : m_localPeers.sample(m_settings.localGossipFanout, m_random)) {
        if (std::find(targets.begin(), targets.end(), node) == targets.end())
            targets.push_back(node);
    }
    // The budget may not suffice for all of them.
    std::shuffle(targets.begin(), targets.end(), m_random);
    return targets;
}

void Membership::exchangeDigest()
{
    if (m_now < m_nextDigestAt)
        return;
    m_nextDigestAt = m_now + jittered(m_settings.digestPeriod);
    m_table.removeAbsentBefore(m_now - m_settings.absentRetention);
    m_evidence.expire(m_now);
    const MemberRecord* partner = m_table.find(std::exchange(m_digestPartner, {}));
    if (!partner || !partner->isPresent()) {
        if (m_peers.isEmpty())
            return;
        const bool isLocal = !m_localPeers.isEmpty() && m_random() % m_settings.digestsPerDistantDigest != 0;
        partner = m_table.find((isLocal ? m_localPeers : m_peers).sample(1, m_random).front());
    }
    send(partner->gossipAddress, GossipDigest { m_table.digest() });
}

void Membership::reconnectDead()
{
    if (m_now < m_nextReconnectAt)
        return;
    m_nextReconnectAt = m_now + jittered(m_settings.reconnectPeriod);
    std::vector<const MemberRecord*> dead;
    for (const NodeId& node : m_table.absentNodes()) {
        const MemberRecord* record = m_table.find(node);
        if (!record->hasLeft())
            dead.push_back(record);
    }
    if (dead.empty())
        return;
    const MemberRecord& target = *dead[m_random() % dead.size()];
    // If the target is running, the record shows it which version it has to refute.
    GossipMessage ping = message(GossipPing { m_failureDetector.nextSequence(), target.node });
    ping.records.push_back(target);
    send(target.gossipAddress, std::move(ping));
}

void Membership::reconnectSeed()
{
    if (m_now < m_nextSeedAt)
        return;
    m_nextSeedAt = m_now + jittered(m_peers.isEmpty() ? m_settings.joinPeriod : m_settings.seedPeriod);
    std::vector<SocketAddress> missing;
    const std::vector<MemberRecord> records = m_table.records();
    for (const SocketAddress& seed : m_settings.seeds) {
        const bool isPresent = std::any_of(records.begin(), records.end(), [&seed](const MemberRecord& record) {
            return record.gossipAddress == seed && record.isPresent();
        });
        if (!isPresent)
            missing.push_back(seed);
    }
    if (missing.empty())
        return;
    GossipMessage digest = message(GossipDigest { m_table.digest() });
    digest.records.push_back(self());
    send(missing[m_random() % missing.size()], std::move(digest));
}

void Membership::sendRecords(const SocketAddress& address, const std::vector<MemberRecord>& records, std::size_t maximumDatagrams)
{
    std::size_t position = 0;
    for (std::size_t datagram = 0; datagram < maximumDatagrams && position < records.size(); ++datagram) {
        GossipMessage rumors = message(GossipRumors {});
        std::size_t bytes = encodeGossipMessage(rumors, m_now).size();
        for (; position < records.size(); ++position) {
            bytes += encodedSize(records[position], m_now);
            if (bytes > maximumGossipBytes && !rumors.records.empty())
                break;
            rumors.records.push_back(records[position]);
        }
        send(address, std::move(rumors));
    }
}

void Membership::sendDocuments(const SocketAddress& address, bool isReply)
{
    GossipMessage documents = message(GossipDocuments { isReply });
    std::vector<DocumentHint> inForce = m_documents.inForce();
    // When not all versions fit, each message carries a different random selection.
    std::shuffle(inForce.begin(), inForce.end(), m_random);
    std::size_t bytes = encodeGossipMessage(documents, m_now).size();
    for (const DocumentHint& hint : inForce) {
        bytes += encodedSize(hint);
        if (bytes > maximumGossipBytes)
            break;
        documents.documents.push_back(hint);
    }
    if (m_budget.isAvailable(bytes, m_now))
        send(address, std::move(documents));
}

void Membership::send(const SocketAddress& address, const GossipBody& body)
{
    send(address, message(body));
}

void Membership::send(const SocketAddress& address, GossipMessage outgoing)
{
    if (address.isEmpty())
        return;
    piggybackRumors(outgoing, encodeGossipMessage(outgoing, m_now).size());
    std::string bytes = encodeGossipMessage(outgoing, m_now);
    m_budget.spend(bytes.size() + datagramHeaderBytes, m_now);
    m_actions.push_back(SendDatagram { address, std::move(bytes), m_localAddresses.count(address) > 0 });
}

// Fills the remaining space of a datagram with rumors about members and documents.
void Membership::piggybackRumors(GossipMessage& outgoing, std::size_t encodedBytes)
{
    std::size_t bytes = encodedBytes;
    std::vector<NodeId> nodes;
    m_rumors.visit([&](const NodeId& node) {
        const MemberRecord* record = m_table.find(node);
        if (!record)
            return true;
        const std::size_t size = encodedSize(*record, m_now);
        if (bytes + size > maximumGossipBytes || !m_budget.isAvailable(bytes + size + repairReserveBytes, m_now))
            return false;
        bytes += size;
        outgoing.records.push_back(*record);
        nodes.push_back(node);
        return bytes + smallestRecordBytes <= maximumGossipBytes;
    });
    for (const NodeId& node : nodes)
        m_rumors.markSent(node, transmissionLimit());

    std::vector<ServiceName> services;
    m_documents.rumors().visit([&](const ServiceName& service) {
        const DocumentHint hint = m_documents.hint(service);
        const std::size_t size = encodedSize(hint);
        if (bytes + size > maximumGossipBytes)
            return false;
        bytes += size;
        outgoing.documents.push_back(hint);
        services.push_back(service);
        return true;
    });
    for (const ServiceName& service : services)
        m_documents.rumors().markSent(service, transmissionLimit());
}

GossipMessage Membership::message(const GossipBody& body) const
{
    GossipMessage outgoing;
    outgoing.deployment = m_deployment;
    outgoing.sender = m_settings.node;
    outgoing.senderVersion = self().version;
    outgoing.documentsHash = m_documents.hash();
    outgoing.body = body;
    return outgoing;
}

std::uint32_t Membership::transmissionLimit() const
{
    const double members = static_cast<double>(m_table.presentCount());
    return m_settings.rumorTransmissionFactor * static_cast<std::uint32_t>(std::ceil(std::log10(members + 1)));
}

bool Membership::hasRumors() const
{
    return !m_rumors.isEmpty() || !m_documents.rumors().isEmpty() || m_evidence.hasRumors();
}

// Draws a duration between half and one and a half times the period, so that members don't synchronize.
Duration Membership::jittered(Duration period)
{
    const Duration half = period / 2;
    return half + Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(period.count() + 1)));
}

} // namespace Knapweedquay
