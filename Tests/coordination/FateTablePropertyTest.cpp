#include "coordination/attempts/FateTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>

using namespace Knapweedquay;

namespace {

enum class StepKind { Receive,
    Cancel,
    Start,
    Refuse,
    Answer,
    UnknownOutcome,
    Expire,
    Restart };

/// One step of a schedule; small value ranges make ids and connections collide often.
struct Step {
    StepKind kind;
    int origin;
    int incarnation;
    int sequence;
    int connection;
    int delay;
    bool isResend;
    bool isForEarlierRun;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << "{kind " << static_cast<int>(step.kind) << " id " << step.origin << '/' << step.incarnation << '/' << step.sequence << " connection "
                  << step.connection << " delay " << step.delay << (step.isResend ? " resend" : "") << (step.isForEarlierRun ? " earlier run" : "") << '}';
}

rc::Gen<Step> steps()
{
    const auto kinds = rc::gen::weightedElement<StepKind>({ { 20, StepKind::Receive }, { 6, StepKind::Cancel }, { 20, StepKind::Start }, { 4, StepKind::Refuse },
        { 16, StepKind::Answer }, { 3, StepKind::UnknownOutcome }, { 6, StepKind::Expire }, { 1, StepKind::Restart } });
    using rc::gen::inRange;
    const auto oneIn = [](int count) { return rc::gen::map(inRange(0, count), [](int value) { return value == 0; }); };
    const auto incarnation = rc::gen::map(oneIn(10), [](bool isLater) { return isLater ? 2 : 1; });
    return rc::gen::construct<Step>(kinds, inRange(0, 2), incarnation, inRange(1, 5), inRange(1, 5), inRange(0, 30), rc::gen::arbitrary<bool>(), oneIn(6));
}

// Long enough for attempts to finish, to be removed from the table and to be received again.
rc::Gen<std::vector<Step>> schedules()
{
    constexpr double lengthening = 4;
    return rc::gen::scale(lengthening, rc::gen::container<std::vector<Step>>(steps()));
}

/// The reference model of one attempt: never removed, even across restarts of the node.
struct ReferenceFate {
    bool isQueued = false;
    bool hasStarted = false;
    bool isReportedNotRun = false;
    bool hasUnknownOutcome = false;
    std::optional<std::string> answer;
    ConnectionId newestConnection;
    /// The incarnation of the node that the first send was addressed to.
    Incarnation target;
    TimePoint firstSeen;
};

/// Applies the same steps to a fate table and to the reference model, and compares their results.
class FateComparison {
public:
    /// isExact: the limits are so wide that the table must report everything that the reference model knows.
    FateComparison(FateTableLimits limits, bool isExact)
        : m_limits(limits)
        , m_isExact(isExact)
    {
        restart();
    }

    void apply(const Step& step)
    {
        m_now += Duration(step.delay);
        const AttemptId id { NodeId(std::to_string(step.origin)), Incarnation(step.incarnation), static_cast<std::uint64_t>(step.sequence) };
        const ConnectionId connection(step.connection);
        switch (step.kind) {
        case StepKind::Receive:
            return receive(id, connection, step.isResend, step.isForEarlierRun);
        case StepKind::Cancel:
            return cancel(id, connection, step.isForEarlierRun);
        case StepKind::Start:
            return start(id);
        case StepKind::Refuse:
            return check(id, m_table->refuse(id, {}, m_now));
        case StepKind::Answer:
            return answer(id);
        case StepKind::UnknownOutcome:
            return check(id, m_table->recordUnknownOutcome(id, ResultCode::AnswerIncomplete, m_now));
        case StepKind::Expire:
            return m_table->expire(m_now);
        case StepKind::Restart:
            return restart();
        }
    }

    void checkBounds() const
    {
        RC_ASSERT(m_table->size() <= m_limits.maximumAttempts);
        RC_ASSERT(m_table->answerBytes() <= m_limits.maximumAnswerBytes);
        RC_ASSERT(m_table->originCount() <= m_limits.maximumOrigins);
    }

private:
    void restart()
    {
        m_self = Incarnation(m_self.value() + 1);
        m_table = std::make_unique<FateTable>(m_self, m_limits);
    }

    // The documented assumption: no first send is delivered more than originRetentionTime after a later attempt.
    bool isTooOldForNetwork(const AttemptId& id) const
    {
        return std::any_of(m_fates.begin(), m_fates.end(), [&](const auto& entry) {
            return entry.first.node == id.node && !(entry.first < id) && entry.second.firstSeen + m_limits.originRetentionTime <= m_now;
        });
    }

    ReferenceFate* recordReceipt(const AttemptId& id, Incarnation target, ConnectionId connection)
    {
        auto [entry, isNew] = m_fates.try_emplace(id);
        ReferenceFate& fate = entry->second;
        if (isNew) {
            fate.firstSeen = m_now;
            fate.target = target;
        }
        if (fate.target == m_self)
            fate.newestConnection = std::max(fate.newestConnection, connection);
        return &fate;
    }

    bool isOfNewestOriginRun(const AttemptId& id) const
    {
        return std::none_of(m_fates.begin(), m_fates.end(), [&](const auto& entry) {
            return entry.first.node == id.node && entry.first.incarnation > id.incarnation && entry.second.target == m_self;
        });
    }

    bool isNewestOfOrigin(const AttemptId& id) const
    {
        return std::none_of(m_fates.begin(), m_fates.end(), [&](const auto& entry) { return entry.first.node == id.node && !(entry.first < id); });
    }

    // Every resend of an attempt is addressed to the same incarnation as its first send.
    Incarnation target(const AttemptId& id, bool isForEarlierRun) const
    {
        const auto found = m_fates.find(id);
        return found != m_fates.end() ? found->second.target : Incarnation(m_self.value() - isForEarlierRun);
    }

    void receive(const AttemptId& id, ConnectionId connection, bool isResend, bool isForEarlierRun)
    {
        if (!isResend && isTooOldForNetwork(id))
            return;
        const bool isNew = !m_fates.count(id);
        const Incarnation run = target(id, isForEarlierRun);
        const bool isAdmissible = isNew && run == m_self && isOfNewestOriginRun(id);
        const bool hasRoom = m_table->size() < m_limits.maximumAttempts && m_table->originCount() < m_limits.maximumOrigins;
        const bool mustBeAdmitted = !isResend && run == m_self && hasRoom && isNewestOfOrigin(id);
        const ReferenceFate fate = *recordReceipt(id, run, connection);
        const auto actions = m_table->receive({ id, run, isResend, connection, id.sequence % 2 == 0 }, m_now);
        check(id, actions);
        // A table that had reached its limit on origins did not record the attempt until now.
        if (std::holds_alternative<AdmitAttempt>(actions.back()))
            m_fates[id].newestConnection = connection;
        if (mustBeAdmitted)
            RC_ASSERT(std::holds_alternative<AdmitAttempt>(actions.back()));
        if (m_isExact)
            checkExactReceive(fate, isAdmissible, actions);
    }

    void checkExactReceive(const ReferenceFate& fate, bool isAdmissible, const FateActions& actions) const
    {
        RC_ASSERT(std::holds_alternative<AdmitAttempt>(actions.back()) == isAdmissible);
        if (isAdmissible)
            return;
        RC_ASSERT(actions.size() == 1U);
        const bool isKnown = fate.target == m_self;
        RC_ASSERT(std::holds_alternative<SendAnswer>(actions[0]) == (isKnown && fate.answer.has_value()));
        RC_ASSERT(std::holds_alternative<SendRefusal>(actions[0]) == (isKnown && fate.isReportedNotRun));
        const bool isInProgress = isKnown && (fate.isQueued || fate.hasStarted) && !fate.answer && !fate.isReportedNotRun && !fate.hasUnknownOutcome;
        RC_ASSERT(std::holds_alternative<SendInProgress>(actions[0]) == isInProgress);
    }

    void cancel(const AttemptId& id, ConnectionId connection, bool isForEarlierRun)
    {
        const Incarnation run = target(id, isForEarlierRun);
        const bool isProvable = run == m_self && isOfNewestOriginRun(id);
        const ReferenceFate fate = *recordReceipt(id, run, connection);
        const auto actions = m_table->cancel(id, run, connection, m_now);
        check(id, actions);
        if (m_isExact && isProvable)
            RC_ASSERT(m_fates[id].isReportedNotRun == (fate.isReportedNotRun || !fate.hasStarted));
    }

    void start(const AttemptId& id)
    {
        if (!m_table->tryStart(id))
            return;
        ReferenceFate& fate = m_fates[id];
        RC_ASSERT(fate.isQueued);
        RC_ASSERT(fate.target == m_self);
        RC_ASSERT(!fate.hasStarted);
        RC_ASSERT(!fate.isReportedNotRun);
        fate.hasStarted = true;
    }

    void answer(const AttemptId& id)
    {
        const auto bytes = std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer " + std::to_string(++m_answerCount) });
        const auto actions = m_table->answer(id, bytes, m_now);
        if (actions.empty())
            return;
        ReferenceFate& fate = m_fates[id];
        RC_ASSERT(fate.hasStarted);
        RC_ASSERT(!fate.answer);
        RC_ASSERT(!fate.isReportedNotRun);
        fate.answer = bytes->body.bytes();
        check(id, actions);
    }

    void check(const AttemptId& id, const FateActions& actions)
    {
        for (const FateAction& action : actions)
            std::visit([&](const auto& typedAction) { RC_ASSERT(typedAction.attempt == id); checkAction(m_fates[id], typedAction); }, action);
    }

    void checkAction(ReferenceFate& fate, const AdmitAttempt&) const
    {
        RC_ASSERT(!fate.isQueued);
        RC_ASSERT(!fate.isReportedNotRun);
        fate.isQueued = true;
    }

    void checkAction(ReferenceFate& fate, const SendAnswer& action) const
    {
        RC_ASSERT(fate.answer == action.answer->body.bytes());
        RC_ASSERT(fate.newestConnection == action.connection);
    }

    // An attempt that has started may only be refused by its own runner, before any part of it ran.
    void checkAction(ReferenceFate& fate, const SendRefusal&) const
    {
        RC_ASSERT(!fate.answer);
        RC_ASSERT(!fate.hasUnknownOutcome);
        fate.isReportedNotRun = true;
    }

    void checkAction(ReferenceFate& fate, const SendCancelResult& action) const
    {
        if (action.result != CancelResult::NotRun)
            return;
        RC_ASSERT(!fate.hasStarted || fate.isReportedNotRun);
        fate.isReportedNotRun = true;
    }

    void checkAction(ReferenceFate& fate, const SendUnknown& action) const { fate.hasUnknownOutcome |= action.code == ResultCode::AnswerIncomplete; }
    void checkAction(ReferenceFate& fate, const SendInProgress&) const { RC_ASSERT(!fate.answer); }
    void checkAction(ReferenceFate& fate, const RemoveFromQueue&) const { RC_ASSERT(!fate.hasStarted); }
    void checkAction(ReferenceFate& fate, const AbortRunning&) const { RC_ASSERT(fate.hasStarted); }

    FateTableLimits m_limits;
    bool m_isExact;
    Incarnation m_self { 1 };
    TimePoint m_now {};
    std::unique_ptr<FateTable> m_table;
    std::map<AttemptId, ReferenceFate> m_fates;
    int m_answerCount = 0;
};

RC_GTEST_PROP(FateTableProperty, WideLimits_AnySchedule_EqualsReferenceModel, ())
{
    FateComparison comparison({}, true);
    for (const Step& step : *schedules().as("steps"))
        comparison.apply(step);
}

RC_GTEST_PROP(FateTableProperty, TightLimits_AnySchedule_NeverContradictsReferenceModel, ())
{
    const FateTableLimits limits { Duration(60), 3, 24, 1, Duration(200) };
    FateComparison comparison(limits, false);
    for (const Step& step : *schedules().as("steps")) {
        comparison.apply(step);
        comparison.checkBounds();
    }
}

} // namespace
