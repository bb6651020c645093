#include "QuotaBench/QuotaFleet.h"

#include "coordination/quotas/QuotaPlan.h"
#include "protocol/PeerMessages.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Knapweedquay {

namespace {

/// Interval at which nodes ask the control store for proof that their documents are the newest.
constexpr Duration proofInterval { 200000 };
constexpr std::size_t dataCentres = 3;
/// Longest wait of a call for credit.
constexpr Duration decisionTime { 80000 };
/// Longest time after which a call turns out not to run.
constexpr Duration longestNotRun { 1000000 };

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

NodeId idOf(std::size_t node)
{
    return NodeId("node-" + std::to_string(node));
}

QuotaCredit creditOf(std::size_t node, std::uint64_t incarnation, const QuotaBound& bound)
{
    return { idOf(node), Incarnation(incarnation), creditLifetime(bound) };
}

} // namespace

QuotaFleet::QuotaFleet(const Settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_assignment(settings.bound)
    , m_leaderFrom(m_now)
{
    for (std::size_t i = 0; i < settings.nodes; ++i)
        m_nodes.emplace_back(creditOf(i, 1, settings.bound), QuotaHolder(idOf(i), settings.bound, m_now));
    double sum = 0;
    for (std::size_t i = 0; i < settings.workspaces; ++i)
        sum += std::pow(static_cast<double>(i + 1), -settings.skew);
    for (std::size_t i = 0; i < settings.workspaces; ++i) {
        Workspace workspace;
        workspace.name = WorkspaceName("workspace-" + std::to_string(i));
        workspace.demand = settings.callsPerSecond * std::pow(static_cast<double>(i + 1), -settings.skew) / sum;
        workspace.quota.requestsPerSecond = workspace.demand * settings.quotaFactor;
        workspace.quota.burst = std::max(workspace.quota.requestsPerSecond * settings.burstSeconds, 1.0);
        workspace.quotas.emplace_back(m_now, workspace.quota);
        workspace.level = workspace.quota.burst;
        workspace.filledAt = m_now;
        m_totalDemand += workspace.demand;
        m_workspaces.push_back(std::move(workspace));
    }
    tickStore();
    nextCall();
}

void QuotaFleet::schedule(TimePoint time, std::function<void()> action)
{
    m_events.push({ std::max(time, m_now), ++m_lastEvent, std::move(action) });
}

void QuotaFleet::at(Duration time, std::function<void()> action)
{
    schedule(m_start + time, std::move(action));
}

void QuotaFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

void QuotaFleet::startMeasurement()
{
    m_isMeasuring = true;
    m_measuredFrom = m_now;
    m_bytes = 0;
    m_holderRequests = 0;
    m_calls = 0;
}

Duration QuotaFleet::delay()
{
    const double share = random();
    const Duration usual = m_settings.shortestDelay + fromSeconds(share * inSeconds(m_settings.longestDelay - m_settings.shortestDelay));
    return random() < m_settings.stallShare ? usual + fromSeconds(share * inSeconds(m_settings.maximumStall)) : usual;
}

bool QuotaFleet::isLost(const Node& from, const Node& to)
{
    if ((from.cutUntil > m_now) != (to.cutUntil > m_now) || from.stoppedUntil > m_now || to.stoppedUntil > m_now)
        return true;
    return random() < std::max({ m_settings.lossShare, from.lossShare, to.lossShare });
}

DataCentre QuotaFleet::dataCentreOf(std::size_t node) const
{
    return DataCentre(std::to_string(node * dataCentres / m_nodes.size()));
}

std::vector<Knapweedquay::Workspace> QuotaFleet::quotas() const
{
    std::vector<Knapweedquay::Workspace> quotas;
    for (const Workspace& workspace : m_workspaces)
        quotas.push_back({ workspace.name, {}, std::nullopt, workspace.quota });
    return quotas;
}

std::vector<MemberRecord> QuotaFleet::members() const
{
    std::vector<MemberRecord> members;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        MemberRecord member;
        member.node = idOf(i);
        member.dataCentre = dataCentreOf(i);
        member.endpoint.service = ServiceName("service");
        const Node& node = m_nodes[i];
        member.health = std::max({ node.cutUntil, node.frozenUntil, node.stoppedUntil }) > m_now ? MemberHealth::Suspect : MemberHealth::Alive;
        members.push_back(std::move(member));
    }
    return members;
}

void QuotaFleet::tickStore()
{
    schedule(m_now + proofInterval, [this] { tickStore(); });
    if (m_leaderFrom > m_now)
        return;
    m_assignment.lead(m_term, m_now);
    if (const auto next = m_assignment.next(m_committed, m_version + 1, members(), m_now)) {
        m_committed = next;
        ++m_version;
    }
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        const Node& asking = m_nodes[node];
        if (std::max({ asking.cutUntil, asking.frozenUntil, asking.stoppedUntil }) <= m_now)
            proveTo(node);
    }
}

void QuotaFleet::proveTo(std::size_t node)
{
    schedule(m_now + delay(), [this, node, holders = m_committed, quotas = quotas(), provedAt = m_now, incarnation = m_nodes[node].incarnation] {
        onNode(node, [this, node, holders, quotas, provedAt, incarnation] {
            if (m_nodes[node].incarnation == incarnation && holders)
                applyDocuments(node, *holders, quotas, provedAt);
        });
    });
}

void QuotaFleet::applyDocuments(std::size_t index, const QuotaHolderDocument& holders, const std::vector<Knapweedquay::Workspace>& quotas, TimePoint provedAt)
{
    Node& node = m_nodes[index];
    node.holders = holders;
    node.holder.setQuotas(quotas, m_now);
    node.holder.setHolders(holders, m_now);
    node.holder.proved(provedAt);
    std::vector<QuotaSlice> order;
    std::vector<QuotaSlice> far;
    for (std::size_t i = 0; i < quotaSlices; ++i) {
        const QuotaSlice slice(static_cast<std::uint32_t>((index + i) % quotaSlices));
        if (const auto holder = this->holder(slice))
            (dataCentreOf(*holder) == dataCentreOf(index) ? order : far).push_back(slice);
    }
    order.insert(order.end(), far.begin(), far.end());
    node.credit.setSlices(order);
}

std::optional<std::size_t> QuotaFleet::holder(QuotaSlice slice) const
{
    for (std::size_t i = 0; m_committed && i < m_nodes.size(); ++i) {
        if (m_committed->slice(slice).holder == idOf(i))
            return i;
    }
    return std::nullopt;
}

void QuotaFleet::onNode(std::size_t index, std::function<void()> action)
{
    if (m_nodes[index].frozenUntil > m_now)
        m_nodes[index].deferred.push_back(std::move(action));
    else
        action();
}

void QuotaFleet::freezeNode(std::size_t index, Duration time)
{
    m_nodes[index].frozenUntil = m_now + time;
    schedule(m_now + time, [this, index] { thaw(index); });
}

void QuotaFleet::thaw(std::size_t index)
{
    if (m_nodes[index].frozenUntil > m_now)
        return;
    for (const auto& action : std::exchange(m_nodes[index].deferred, {}))
        action();
}

void QuotaFleet::cutNode(std::size_t index, Duration time)
{
    m_nodes[index].cutUntil = m_now + time;
}

void QuotaFleet::restartNode(std::size_t index)
{
    Node& node = m_nodes[index];
    node.credit = creditOf(index, ++node.incarnation, m_settings.bound);
    node.holder = QuotaHolder(idOf(index), m_settings.bound, m_now);
    node.holders = {};
}

void QuotaFleet::stopNode(std::size_t index, Duration time)
{
    m_nodes[index].stoppedUntil = m_now + time;
    restartNode(index);
    schedule(m_now + time, [this, index] { restartNode(index); });
}

void QuotaFleet::replaceLeader(Duration gap)
{
    ++m_term;
    m_leaderFrom = m_now + gap;
}

void QuotaFleet::scaleDemand(std::size_t index, double factor)
{
    Workspace& workspace = m_workspaces[index];
    m_totalDemand += workspace.demand * (factor - 1);
    workspace.demand *= factor;
}

void QuotaFleet::scaleQuota(std::size_t index, double factor)
{
    Workspace& workspace = m_workspaces[index];
    workspace.quota.requestsPerSecond *= factor;
    workspace.quota.burst *= factor;
    workspace.quotas.emplace_back(m_now, workspace.quota);
    workspace.level = std::min(workspace.level, workspace.quota.burst);
}

std::size_t QuotaFleet::chooseWorkspace()
{
    double point = random() * m_totalDemand;
    for (std::size_t i = 0; i + 1 < m_workspaces.size(); ++i) {
        point -= m_workspaces[i].demand;
        if (point < 0)
            return i;
    }
    return m_workspaces.size() - 1;
}

void QuotaFleet::nextCall()
{
    schedule(m_now + fromSeconds(std::exponential_distribution<double>(m_totalDemand)(m_random)), [this] {
        if (m_callsFrom > m_now)
            return nextCall();
        const double spread = random() < m_movedShare ? 1.0 / 3 : 1;
        auto node = static_cast<std::size_t>(random() * spread * static_cast<double>(m_nodes.size()));
        for (std::size_t tries = 0; m_nodes[node].stoppedUntil > m_now && tries < m_nodes.size(); ++tries)
            node = (node + 1) % m_nodes.size();
        arrive(node, chooseWorkspace());
        nextCall();
    });
}

std::pair<double, double>& QuotaFleet::windowOf(Workspace& workspace)
{
    const auto index = static_cast<std::size_t>((m_now - m_measuredFrom) / m_settings.bound.window);
    if (workspace.windows.size() <= index)
        workspace.windows.resize(index + 1);
    return workspace.windows[index];
}

void QuotaFleet::arrive(std::size_t index, std::size_t number)
{
    Workspace& workspace = m_workspaces[number];
    workspace.level = std::min(workspace.quota.burst, workspace.level + workspace.quota.requestsPerSecond * inSeconds(m_now - workspace.filledAt));
    workspace.filledAt = m_now;
    if (m_isMeasuring)
        ++m_calls;
    if (workspace.level >= 1) {
        workspace.level -= 1;
        if (m_isMeasuring)
            windowOf(workspace).first += 1;
    }
    const std::uint64_t call = ++m_lastCall;
    m_waiting[call] = number;
    onNode(index, [this, index, number, call] {
        const QuotaCredit::Decision decision = m_nodes[index].credit.take(m_workspaces[number].name, call, m_now + decisionTime, m_now);
        if (decision.code)
            handle(index, decision);
        pump(index);
    });
}

void QuotaFleet::handle(std::size_t index, const QuotaCredit::Decision& decision)
{
    const std::size_t number = m_waiting.at(decision.call);
    Workspace& workspace = m_workspaces[number];
    m_waiting.erase(decision.call);
    if (*decision.code != ResultCode::Ok)
        return;
    if (m_settings.notRunShare > 0 && random() < m_settings.notRunShare) {
        schedule(m_now + fromSeconds(random() * inSeconds(longestNotRun)), [this, index, number, ticket = decision.ticket, incarnation = m_nodes[index].incarnation] {
            onNode(index, [this, index, number, ticket, incarnation] {
                if (m_nodes[index].incarnation == incarnation)
                    m_nodes[index].credit.giveBack(m_workspaces[number].name, ticket, m_now);
            });
        });
        return;
    }
    workspace.runs.push_back(m_now);
    if (m_isMeasuring)
        windowOf(workspace).second += 1;
}

void QuotaFleet::pump(std::size_t index)
{
    Node& node = m_nodes[index];
    for (const QuotaRequestMessage& request : node.credit.nextRequests(m_now))
        send(index, request);
    for (const QuotaCredit::Decision& decision : node.credit.expire(m_now))
        handle(index, decision);
    const auto next = node.credit.nextTime(m_now);
    if (!next || (node.wakeAt > m_now && node.wakeAt <= *next))
        return;
    node.wakeAt = *next;
    schedule(*next, [this, index, time = *next] {
        if (m_nodes[index].wakeAt != time)
            return;
        onNode(index, [this, index] { pump(index); });
    });
}

void QuotaFleet::send(std::size_t index, const QuotaRequestMessage& message)
{
    const std::string bytes = encode(PeerMessage(message));
    m_bytes += bytes.size();
    const NodeId& name = m_nodes[index].holders.slice(message.slice).holder;
    for (std::size_t holder = 0; holder < m_nodes.size(); ++holder) {
        if (idOf(holder) != name)
            continue;
        if (holder != index && isLost(m_nodes[index], m_nodes[holder]))
            return;
        schedule(m_now + delay(), [this, index, holder, bytes, incarnation = m_nodes[holder].incarnation] {
            onNode(holder, [this, index, holder, bytes, incarnation] {
                if (m_nodes[holder].incarnation == incarnation)
                    holderReceives(holder, index, bytes);
            });
        });
    }
}

void QuotaFleet::holderReceives(std::size_t holder, std::size_t index, const std::string& bytes)
{
    ++m_holderRequests;
    const auto request = std::get<QuotaRequestMessage>(decodePeerMessage(bytes).value());
    const auto grant = m_nodes[holder].holder.answer(request, m_now);
    if (!grant || grant->grants.empty())
        return;
    const std::string answer = encode(PeerMessage(*grant));
    m_bytes += answer.size();
    if (holder != index && isLost(m_nodes[holder], m_nodes[index]))
        return;
    schedule(m_now + delay(), [this, index, answer, incarnation = m_nodes[index].incarnation] {
        onNode(index, [this, index, answer, incarnation] {
            if (m_nodes[index].incarnation != incarnation)
                return;
            for (const QuotaCredit::Decision& decision : m_nodes[index].credit.receive(std::get<QuotaGrantMessage>(decodePeerMessage(answer).value()), m_now))
                handle(index, decision);
            pump(index);
        });
    });
}

double QuotaFleet::limitOf(const Workspace& workspace, TimePoint windowStart) const
{
    const QuotaBound& bound = m_settings.bound;
    const auto limit = [&bound](const WorkspaceQuota& quota) {
        return (quota.requestsPerSecond * inSeconds(bound.window) + quota.burst) * (1 + bound.overage) + bound.slack;
    };
    double largest = 0;
    for (std::size_t i = 0; i < workspace.quotas.size(); ++i) {
        const bool hasBegun = workspace.quotas[i].first <= windowStart + bound.window;
        const bool isOver = i + 1 < workspace.quotas.size() && workspace.quotas[i + 1].first + bound.window <= windowStart;
        if (hasBegun && !isOver)
            largest = std::max(largest, limit(workspace.quotas[i].second));
    }
    return largest;
}

QuotaFleet::Result QuotaFleet::result() const
{
    Result result;
    for (const Workspace& workspace : m_workspaces) {
        std::size_t end = 0;
        for (std::size_t begin = 0; begin < workspace.runs.size(); ++begin) {
            while (end < workspace.runs.size() && workspace.runs[end] <= workspace.runs[begin] + m_settings.bound.window)
                ++end;
            result.worstWindow = std::max(result.worstWindow, static_cast<double>(end - begin) / limitOf(workspace, workspace.runs[begin]));
        }
        result.runs += workspace.runs.size();
        for (const auto& [owed, run] : workspace.windows) {
            result.owed += owed;
            result.wronglyRefused += std::max(owed - run, 0.0);
        }
    }
    result.calls = m_calls;
    result.bytesPerNodeSecond = static_cast<double>(m_bytes) / static_cast<double>(m_nodes.size()) / inSeconds(m_now - m_measuredFrom);
    result.requestsPerHolderSecond = static_cast<double>(m_holderRequests) / quotaSlices / inSeconds(m_now - m_measuredFrom);
    return result;
}

} // namespace Knapweedquay
