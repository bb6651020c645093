#include "coordination/membership/FailureDetector.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

// Bounds the memory for indirect pings that other members request.
constexpr std::size_t maximumRelays = 64;

} // namespace

FailureDetector::FailureDetector(const MembershipSettings& settings, const MembershipTable& table, PeerList& peers, PeerList::Random& random, Hooks hooks)
    : m_settings(settings)
    , m_table(table)
    , m_peers(peers)
    , m_random(random)
    , m_hooks(std::move(hooks))
{
}

void FailureDetector::tick(TimePoint now)
{
    expireRelays(now);
    if (m_probe && !m_probe->isAnswered && !m_probe->isIndirect && now >= m_probe->indirectAt)
        askHelpers();
    if (now < m_nextProbeAt)
        return;
    finishProbe();
    startProbe(now);
}

void FailureDetector::startProbe(TimePoint now)
{
    m_nextProbeAt = now + m_settings.probePeriod * m_localHealth.multiplier();
    if (m_peers.isEmpty())
        return;
    const MemberRecord* target = m_table.find(m_peers.next(m_random));
    if (!target)
        return;
    Probe probe;
    probe.sequence = nextSequence();
    probe.target = target->node;
    probe.targetAddress = target->gossipAddress;
    probe.indirectAt = now + m_settings.probeTimeout * m_localHealth.multiplier();
    probe.endAt = m_nextProbeAt;
    m_probe = probe;
    m_hooks.send(probe.targetAddress, GossipPing { probe.sequence, probe.target });
}

void FailureDetector::askHelpers()
{
    m_probe->isIndirect = true;
    for (const NodeId& node : m_peers.sample(m_settings.indirectProbes, m_random, m_probe->target)) {
        const MemberRecord* helper = m_table.find(node);
        if (!helper)
            continue;
        ++m_probe->helpersAsked;
        m_hooks.send(helper->gossipAddress, GossipIndirectPing { m_probe->sequence, m_probe->target, m_probe->targetAddress });
    }
}

void FailureDetector::finishProbe()
{
    if (!m_probe)
        return;
    const Probe probe = *m_probe;
    m_probe.reset();
    if (probe.isAnswered)
        return;
    // When most helpers sent no acknowledgement of either kind, the fault may be local.
    const std::size_t silentHelpers = probe.helpersAsked - std::min(probe.helpersAsked, probe.nacksReceived);
    if (probe.helpersAsked == 0 || 2 * silentHelpers > probe.helpersAsked)
        m_localHealth.recordFailure();
    const MemberRecord* target = m_table.find(probe.target);
    if (target && target->isPresent())
        m_hooks.suspect(probe.target);
}

void FailureDetector::handle(const GossipAck& ack)
{
    if (m_probe && m_probe->sequence == ack.sequence && m_probe->target == ack.target) {
        if (!std::exchange(m_probe->isAnswered, true))
            m_localHealth.recordSuccess();
        return;
    }
    const auto relay = m_relays.find(ack.sequence);
    if (relay == m_relays.end())
        return;
    m_hooks.send(relay->second.requester, GossipAck { relay->second.requesterSequence, ack.target });
    m_relays.erase(relay);
}

void FailureDetector::handle(const GossipNack& nack)
{
    if (m_probe && m_probe->sequence == nack.sequence)
        ++m_probe->nacksReceived;
}

void FailureDetector::handle(const GossipIndirectPing& ping, const SocketAddress& from, TimePoint now)
{
    if (m_relays.size() >= maximumRelays || ping.targetAddress.isEmpty())
        return;
    const std::uint64_t sequence = nextSequence();
    m_relays[sequence] = { from, ping.sequence, now + m_settings.probeTimeout };
    m_hooks.send(ping.targetAddress, GossipPing { sequence, ping.target });
}

void FailureDetector::expireRelays(TimePoint now)
{
    for (auto relay = m_relays.begin(); relay != m_relays.end();) {
        if (relay->second.deadline > now) {
            ++relay;
            continue;
        }
        m_hooks.send(relay->second.requester, GossipNack { relay->second.requesterSequence });
        relay = m_relays.erase(relay);
    }
}

void FailureDetector::restart(TimePoint now)
{
    m_probe.reset();
    m_relays.clear();
    m_localHealth.reset();
    m_nextProbeAt = now;
}

TimePoint FailureDetector::nextTick() const
{
    TimePoint next = m_nextProbeAt;
    if (m_probe && !m_probe->isAnswered && !m_probe->isIndirect)
        next = std::min(next, m_probe->indirectAt);
    for (const auto& [sequence, relay] : m_relays)
        next = std::min(next, relay.deadline);
    return next;
}

} // namespace Knapweedquay
