#include "node/NodeQuotas.h"

#include "transport/Logger.h"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Knapweedquay {

namespace {

/// Longest wait of a call for credit, and the part of its time to its target that it may take.
constexpr Duration longestWait { 80000 };
constexpr Duration shortestWait { 40000 };
constexpr int waitDivisor = 4;
/// Interval between log lines about refusals.
constexpr Duration refusalLogInterval { 1000000 };
/// Interval between log lines about grants.
constexpr Duration grantLogInterval { 1000000 };

} // namespace

NodeQuotas::NodeQuotas(asio::io_context& context, const NodeIdentity& self, const QuotaBound& bound, Hooks hooks, NodeMetrics& metrics)
    : m_context(context)
    , m_self(self)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_credit(self.node, self.incarnation, creditLifetime(bound))
    , m_holder(self.node, bound, steadyNow())
    , m_timer(context, [this] { update(); })
{
}

void NodeQuotas::setRouting(const std::shared_ptr<const RoutingTable>& routing)
{
    m_limited.clear();
    for (const Workspace& workspace : routing->document().workspaces) {
        if (workspace.quota.isLimited())
            m_limited.insert(workspace.name.value());
    }
    m_holder.setQuotas(routing->document().workspaces, steadyNow());
}

void NodeQuotas::setHolders(const QuotaHolderDocument& holders)
{
    for (std::uint32_t index = 0; index < quotaSlices; ++index) {
        if (m_awaited.at(index) != holders.slices.at(index).holder)
            await(QuotaSlice(index), {});
    }
    m_holders = holders;
    m_holder.setHolders(holders, steadyNow());
    updateSlices();
}

void NodeQuotas::setMember(const MemberRecord& member)
{
    if (member.isPresent())
        m_dataCentres[member.node] = member.dataCentre;
    else
        m_dataCentres.erase(member.node);
    const auto isHolder = [&member](const QuotaHolderDocument::Slice& slice) { return slice.holder == member.node; };
    if (std::any_of(m_holders.slices.begin(), m_holders.slices.end(), isHolder))
        updateSlices();
}

void NodeQuotas::updateSlices()
{
    std::vector<QuotaSlice> near;
    std::vector<QuotaSlice> far;
    // Nodes in data centres without a holder begin with different slices.
    const std::size_t first = std::hash<NodeId>()(m_self.node) % quotaSlices;
    for (std::size_t i = 0; i < quotaSlices; ++i) {
        const QuotaSlice slice(static_cast<std::uint32_t>((first + i) % quotaSlices));
        const auto holder = m_dataCentres.find(m_holders.slice(slice).holder);
        if (holder != m_dataCentres.end())
            (holder->second == m_self.dataCentre ? near : far).push_back(slice);
    }
    near.insert(near.end(), far.begin(), far.end());
    m_credit.setSlices(near);
    update();
}

std::optional<QuotaGrantMessage> NodeQuotas::answer(const QuotaRequestMessage& request)
{
    const TimePoint now = steadyNow();
    auto grant = m_holder.answer(request, now);
    logGrants(now);
    if (!grant || grant->grants.empty())
        return std::nullopt;
    return grant;
}

void NodeQuotas::send(const QuotaRequestMessage& request)
{
    m_metrics.quotaRequested();
    const NodeId holder = m_holders.slice(request.slice).holder;
    if (holder == m_self.node) {
        // Posted, since a grant decides calls that may be in the middle of something.
        asio::post(m_context, [this, request] {
            if (const auto grant = answer(request))
                receive(*grant);
        });
        return;
    }
    const bool isAnswered = std::any_of(request.needs.begin(), request.needs.end(), [](const QuotaNeed& need) { return need.wanted > 0; });
    if (m_hooks.request(holder, request) && isAnswered && m_awaited.at(request.slice.value()).value().empty())
        await(request.slice, holder);
}

void NodeQuotas::await(QuotaSlice slice, const NodeId& holder)
{
    const NodeId previous = std::exchange(m_awaited.at(slice.value()), holder);
    if (!previous.value().empty())
        m_hooks.awaitAnswers(previous, -1);
    if (!holder.value().empty())
        m_hooks.awaitAnswers(holder, 1);
}

QuotaCredit::Decision NodeQuotas::take(const WorkspaceName& workspace, std::uint64_t call, Duration timeLeft)
{
    const TimePoint now = steadyNow();
    const Duration wait = std::clamp(timeLeft / waitDivisor, shortestWait, longestWait);
    const QuotaCredit::Decision decision = m_credit.take(workspace, call, now + wait, now);
    if (decision.code)
        count(workspace, decision);
    else
        m_waiting.emplace(call, workspace);
    update();
    return decision;
}

bool NodeQuotas::cancel(std::uint64_t call)
{
    m_waiting.erase(call);
    return m_credit.cancel(call);
}

void NodeQuotas::giveBack(const WorkspaceName& workspace, const QuotaTicket& ticket)
{
    m_credit.giveBack(workspace, ticket, steadyNow());
    update();
}

void NodeQuotas::receive(const QuotaGrantMessage& message)
{
    m_answeredAt = steadyNow();
    await(message.slice, {});
    for (const QuotaGrantMessage::Grant& grant : message.grants)
        m_metrics.quotaGranted(grant.credit);
    pass(m_credit.receive(message, steadyNow()));
    update();
}

void NodeQuotas::update()
{
    const TimePoint now = steadyNow();
    for (const QuotaRequestMessage& request : m_credit.nextRequests(now))
        send(request);
    pass(m_credit.expire(now));
    logRefusals(now);
    std::optional<TimePoint> next = m_credit.nextTime(now);
    if (!m_refusals.empty() || !m_refused.empty())
        next = std::min(next.value_or(TimePoint::max()), m_loggedAt + refusalLogInterval);
    if (next)
        m_timer.setAt(*next);
}

void NodeQuotas::pass(const std::vector<QuotaCredit::Decision>& decisions)
{
    for (const QuotaCredit::Decision& decision : decisions) {
        const auto entry = m_waiting.find(decision.call);
        if (entry != m_waiting.end()) {
            count(entry->second, decision);
            m_waiting.erase(entry);
        }
        m_hooks.decided(decision);
    }
}

void NodeQuotas::count(const WorkspaceName& workspace, const QuotaCredit::Decision& decision)
{
    if (*decision.code == ResultCode::Ok)
        return;
    m_metrics.quotaRefused(*decision.code);
    ++m_refusals[workspace];
    ++(*decision.code == ResultCode::QuotaExceeded ? m_spent : m_unproved);
}

void NodeQuotas::logGrants(TimePoint now)
{
    if (now - m_grantsLoggedAt < grantLogInterval)
        return;
    m_grantsLoggedAt = now;
    const QuotaLedger::Counts counts = m_holder.takeCounts();
    if (counts.requests == 0)
        return;
    log(LogEvent::QuotaGrantsCounted, { { "requests", std::to_string(counts.requests) }, { "wanted", std::to_string(counts.wanted) }, { "granted", std::to_string(counts.granted) }, { "denied_by_bucket", std::to_string(counts.deniedByBucket) }, { "denied_by_allowance", std::to_string(counts.deniedByAllowance) }, { "denied_by_share", std::to_string(counts.deniedByShare) } });
}

void NodeQuotas::logRefusals(TimePoint now)
{
    if (now - m_loggedAt < refusalLogInterval || (m_refusals.empty() && m_refused.empty()))
        return;
    m_loggedAt = now;
    std::string begun;
    std::string ended;
    std::uint64_t calls = 0;
    std::set<WorkspaceName> refused;
    for (const auto& [workspace, refusals] : std::exchange(m_refusals, {})) {
        calls += refusals;
        refused.insert(workspace);
        if (m_refused.count(workspace) == 0)
            begun += (begun.empty() ? "" : " ") + workspace.value();
    }
    for (const WorkspaceName& workspace : m_refused) {
        if (refused.count(workspace) == 0)
            ended += (ended.empty() ? "" : " ") + workspace.value();
    }
    m_refused = std::move(refused);
    if (calls > 0) {
        const auto answerAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_answeredAt).count();
        log(LogEvent::QuotaRefusalsCounted, { { "spent", std::to_string(std::exchange(m_spent, 0)) }, { "unproved", std::to_string(std::exchange(m_unproved, 0)) }, { "answer_age_ms", std::to_string(answerAge) } });
    }
    if (!begun.empty())
        log(LogEvent::QuotaRefusalsBegan, { { "workspaces", begun }, { "calls", std::to_string(calls) } });
    if (!ended.empty())
        log(LogEvent::QuotaRefusalsEnded, { { "workspaces", ended } });
}

} // namespace Knapweedquay
