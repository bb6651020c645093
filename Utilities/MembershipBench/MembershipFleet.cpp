#include "MembershipBench/MembershipFleet.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// IPv4 header of 20 bytes and UDP header of 8 bytes.
constexpr std::uint64_t datagramHeaderBytes = 28;
constexpr std::uint16_t gossipPort = 7400;
constexpr std::uint16_t peerPort = 7300;
/// Datagrams buffered for a frozen member; the receive buffer of a socket holds about this many small datagrams.
constexpr std::size_t maximumWaitingDatagrams = 200;
constexpr Duration conditionCheckInterval = std::chrono::milliseconds(50);
/// Numbers of data centres and services over which the members are spread.
constexpr std::size_t dataCentres = 5;
constexpr std::size_t services = 29;

} // namespace

MembershipFleet::MembershipFleet(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_members(m_options.members)
{
    for (std::size_t member = 0; member < m_members.size(); ++member)
        m_byAddress[addressOf(member)] = member;
}

SocketAddress MembershipFleet::addressOf(std::size_t member) const
{
    return { "10.20." + std::to_string(member / 250) + "." + std::to_string(member % 250 + 1), gossipPort };
}

NodeId MembershipFleet::nodeId(std::size_t member) const
{
    return NodeId("node-" + std::to_string(member));
}

void MembershipFleet::start(std::size_t member)
{
    Member& entry = m_members[member];
    MembershipSettings settings = m_options.settings;
    settings.deployment = "bench";
    settings.node = nodeId(member);
    // Of the size of a Unix time in milliseconds, which is what a node process uses.
    constexpr std::uint64_t incarnationBase = 1700000000000;
    settings.incarnation = Incarnation(incarnationBase + ++entry.incarnation);
    settings.dataCentre = DataCentre("data-centre-" + std::to_string(member % dataCentres));
    settings.gossipAddress = addressOf(member);
    settings.peerAddress = { settings.gossipAddress.ip, peerPort };
    for (std::size_t seed = 0; seed < std::min(m_options.seeds, m_members.size()); ++seed)
        settings.seeds.push_back(addressOf(seed));
    if (member < m_options.seeds) {
        settings.bytesPerSecond = m_options.seedBytesPerSecond;
        settings.burstBytes = m_options.seedBurstBytes;
    }
    entry.membership = std::make_unique<Membership>(settings, m_random());
    entry.isFrozen = false;
    entry.waitingDatagrams.clear();
    setLifecycle(member, EndpointLifecycle::Ready);
}

void MembershipFleet::startAll()
{
    for (std::size_t member = 0; member < m_members.size(); ++member)
        start(member);
}

void MembershipFleet::kill(std::size_t member)
{
    m_members[member].membership.reset();
    m_members[member].waitingDatagrams.clear();
    ++m_members[member].timerGeneration;
}

void MembershipFleet::freeze(std::size_t member)
{
    m_members[member].isFrozen = true;
}

void MembershipFleet::wake(std::size_t member)
{
    m_members[member].isFrozen = false;
    for (const Datagram& datagram : std::exchange(m_members[member].waitingDatagrams, {}))
        deliver(member, datagram);
    execute(member, m_members[member].membership->tick(m_now));
}

void MembershipFleet::setLifecycle(std::size_t member, EndpointLifecycle lifecycle)
{
    EndpointState endpoint;
    endpoint.service = ServiceName("service-" + std::to_string(member % services));
    endpoint.backendServer = { addressOf(member).ip, 8080 };
    endpoint.slots = 12;
    endpoint.lifecycle = lifecycle;
    execute(member, m_members[member].membership->updateSelf(endpoint, m_now));
}

void MembershipFleet::leave(std::size_t member)
{
    execute(member, m_members[member].membership->leave(m_now));
}

void MembershipFleet::setDocuments(std::size_t member, const std::vector<DocumentHint>& inForce)
{
    execute(member, m_members[member].membership->updateDocuments(inForce, m_now));
}

void MembershipFleet::spreadEvidence(std::size_t member, const std::vector<CrashEvidence>& evidence, const std::vector<NodeId>& recipients)
{
    execute(member, m_members[member].membership->spreadEvidence(evidence, recipients, m_now));
}

void MembershipFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        process(event);
    }
    m_now = end;
}

Duration MembershipFleet::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const TimePoint start = m_now;
    while (!condition() && m_now - start < limit)
        run(conditionCheckInterval);
    return m_now - start;
}

void MembershipFleet::process(const Event& event)
{
    Member& member = m_members[event.member];
    if (event.isTimer) {
        if (member.membership && !member.isFrozen && event.number == member.timerGeneration)
            execute(event.member, member.membership->tick(m_now));
        return;
    }
    const Datagram datagram = m_inFlight.extract(event.number).mapped();
    if (!member.membership)
        return;
    if (!member.isFrozen)
        deliver(event.member, datagram);
    else if (member.waitingDatagrams.size() < maximumWaitingDatagrams)
        member.waitingDatagrams.push_back(datagram);
}

void MembershipFleet::deliver(std::size_t member, const Datagram& datagram)
{
    m_members[member].traffic.bytesReceived += datagram.bytes.size() + datagramHeaderBytes;
    execute(member, m_members[member].membership->handle(datagram.from, datagram.bytes, m_now));
}

void MembershipFleet::execute(std::size_t member, const MembershipActions& actions)
{
    for (const MembershipAction& action : actions) {
        if (const auto* datagram = std::get_if<SendDatagram>(&action))
            transmit(member, *datagram);
        else if (const auto* hint = std::get_if<NewerDocumentHint>(&action))
            m_members[member].hints.push_back(*hint);
        else if (const auto* received = std::get_if<EvidenceReceived>(&action); received && m_evidenceHook)
            m_evidenceHook(member, received->evidence);
    }
    scheduleTimer(member);
}

void MembershipFleet::transmit(std::size_t member, const SendDatagram& datagram)
{
    MemberTraffic& traffic = m_members[member].traffic;
    traffic.bytesSent += datagram.bytes.size() + datagramHeaderBytes;
    ++traffic.datagramsSent;
    if (datagram.isLocal)
        traffic.bytesMarkedLocal += datagram.bytes.size() + datagramHeaderBytes;
    const auto target = m_byAddress.find(datagram.address);
    if (target != m_byAddress.end() && target->second % dataCentres != member % dataCentres)
        traffic.bytesSentAbroad += datagram.bytes.size() + datagramHeaderBytes;
    if (target == m_byAddress.end() || (m_isReachable && !m_isReachable(member, target->second)))
        return;
    const int copies = drawUniform() < m_options.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (drawUniform() < m_options.loss)
            continue;
        const double range = static_cast<double>((m_options.maximumDelay - m_options.minimumDelay).count());
        const Duration delay = m_options.minimumDelay + Duration(static_cast<Duration::rep>(range * drawUniform()));
        m_inFlight[++m_lastSequence] = { addressOf(member), datagram.bytes };
        m_events.push({ m_now + delay, m_lastSequence, target->second, false, m_lastSequence });
    }
}

void MembershipFleet::scheduleTimer(std::size_t member)
{
    Member& entry = m_members[member];
    const TimePoint at = std::max(entry.membership->nextTick(), m_now);
    m_events.push({ at, ++m_lastSequence, member, true, ++entry.timerGeneration });
}

double MembershipFleet::drawUniform()
{
    constexpr double range = 9007199254740992.0;
    constexpr unsigned unusedBits = 11;
    return static_cast<double>(m_random() >> unusedBits) / range;
}

bool MembershipFleet::doAllSee(std::size_t subject, const std::function<bool(const MemberRecord*)>& condition, const std::function<bool(std::size_t)>& filter) const
{
    const NodeId node = nodeId(subject);
    for (std::size_t member = 0; member < m_members.size(); ++member) {
        if (member == subject || !isRunning(member) || m_members[member].isFrozen || (filter && !filter(member)))
            continue;
        if (!condition(membership(member).table().find(node)))
            return false;
    }
    return true;
}

bool MembershipFleet::hasConverged() const
{
    const Membership* first = nullptr;
    std::size_t running = 0;
    for (const Member& member : m_members) {
        if (!member.membership)
            continue;
        ++running;
        if (!first)
            first = member.membership.get();
        // Equal digests mean equal records of the present members.
        if (member.membership->table().digest() != first->table().digest())
            return false;
    }
    if (!first || first->table().presentCount() != running)
        return false;
    const std::vector<MemberRecord> records = first->table().records();
    return std::none_of(records.begin(), records.end(), [](const MemberRecord& record) { return record.health == MemberHealth::Suspect; });
}

std::size_t MembershipFleet::falseDeaths() const
{
    std::size_t count = 0;
    for (std::size_t member = 0; member < m_members.size(); ++member) {
        for (std::size_t subject = 0; isRunning(member) && subject < m_members.size(); ++subject) {
            const MemberRecord* record = membership(member).table().find(nodeId(subject));
            count += isRunning(subject) && record && record->health == MemberHealth::Dead;
        }
    }
    return count;
}

std::size_t MembershipFleet::falseSuspicions() const
{
    std::size_t count = 0;
    for (std::size_t member = 0; member < m_members.size(); ++member) {
        for (std::size_t subject = 0; isRunning(member) && subject < m_members.size(); ++subject) {
            const MemberRecord* record = membership(member).table().find(nodeId(subject));
            count += isRunning(subject) && record && record->isPresent() && record->health == MemberHealth::Suspect;
        }
    }
    return count;
}

} // namespace Knapweedquay
