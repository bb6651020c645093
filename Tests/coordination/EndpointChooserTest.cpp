#include "coordination/placing/EndpointChooser.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

using namespace Knapweedquay;

namespace {

constexpr Duration millisecond { 1000 };
constexpr Duration second { 1000000 };
constexpr std::uint32_t slots = 12;

EndpointId endpointId(int index)
{
    return { NodeId("node-" + std::to_string(index)), Incarnation(1) };
}

ServiceDocument makeDocument()
{
    ServiceDocument document;
    document.priorities.resize(2);
    return document;
}

LoadReport makeReport(std::uint32_t running, Duration serviceTime = 5 * millisecond)
{
    LoadReport report;
    report.running = running;
    report.concurrencyLimit = slots;
    report.queued = { 0, 0 };
    report.serviceTime = serviceTime;
    report.completedCalls = 100000;
    return report;
}

class EndpointChooserTest : public testing::Test {
protected:
    /// Adds endpoints past their warm-up, with reports without load.
    void addEndpoints(int count, const std::string& dataCentre = "local")
    {
        for (int index = 0; index < count; ++index) {
            m_chooser.update(endpointId(m_count), { DataCentre(dataCentre), slots, m_now - 100 * second, false });
            m_chooser.applyReport(endpointId(m_count++), makeReport(0), m_now);
        }
    }

    int choose(std::uint32_t priority = 0, const std::vector<EndpointId>& excluded = {})
    {
        const auto chosen = m_chooser.choose(excluded, PriorityIndex(priority), m_now, m_random);
        for (int index = 0; chosen && index < m_count; ++index) {
            if (*chosen == endpointId(index))
                return index;
        }
        return -1;
    }

    CallTicket send(int endpoint)
    {
        const CallTicket ticket(m_nextTicket++);
        m_chooser.callSent(endpointId(endpoint), ticket, PriorityIndex(0), m_now);
        return ticket;
    }

    void fail(int endpoint, int count)
    {
        for (int call = 0; call < count; ++call)
            m_chooser.callFinished(send(endpoint), CallEnd::Failed, m_now);
    }

    std::vector<int> chosenCounts(int draws)
    {
        std::vector<int> counts(static_cast<std::size_t>(m_count));
        for (int draw = 0; draw < draws; ++draw)
            ++counts[static_cast<std::size_t>(choose())];
        return counts;
    }

    EndpointStatus status(int endpoint) const { return m_chooser.status(m_now)[static_cast<std::size_t>(endpoint)]; }

    TimePoint m_now { 1000 * second };
    EndpointChooser m_chooser { makeDocument(), DataCentre("local") };
    EndpointChooser::RandomEngine m_random { 7 };
    int m_count = 0;
    std::uint64_t m_nextTicket = 1;
};

TEST_F(EndpointChooserTest, StaleIdleReport_ManyCallsSent_CallsAreSpread)
{
    addEndpoints(4);
    for (int index = 1; index < 4; ++index)
        m_chooser.applyReport(endpointId(index), makeReport(4), m_now);
    std::vector<int> counts(4);
    for (int call = 0; call < 32; ++call) {
        const int chosen = choose();
        send(chosen);
        ++counts[static_cast<std::size_t>(chosen)];
    }
    // Spread evenly, the 12 reported and the 32 new calls are 11 per endpoint.
    EXPECT_LE(counts[0], 14);
    EXPECT_GE(counts[0], 8);
    EXPECT_EQ(static_cast<std::size_t>(counts[0]), status(0).sentSinceReport);
}

// An endpoint that had limited its requests, but still answered fast, got more calls than before.
TEST_F(EndpointChooserTest, EndpointWithRequestLimit_CallsSent_ReceivesItsRateOnly)
{
    addEndpoints(3);
    LoadReport limited = makeReport(0, 100 * millisecond);
    limited.requestRate = RequestRate(8);
    for (int index = 1; index < 3; ++index)
        m_chooser.applyReport(endpointId(index), makeReport(2, 100 * millisecond), m_now);
    m_chooser.applyReport(endpointId(0), limited, m_now);
    std::vector<int> counts(3);
    for (int call = 0; call < 30; ++call) {
        const int chosen = choose();
        send(chosen);
        ++counts[static_cast<std::size_t>(chosen)];
    }
    EXPECT_LE(counts[0], 4);
    EXPECT_EQ(RequestRate(8), status(0).requestRate);
}

TEST_F(EndpointChooserTest, AllEndpointsWithRequestLimits_CallsQueued_FleetIsOverloaded)
{
    addEndpoints(2);
    LoadReport limited = makeReport(1);
    limited.requestRate = RequestRate(8);
    limited.queued = { 1, 0 };
    for (int index = 0; index < 2; ++index)
        m_chooser.applyReport(endpointId(index), limited, m_now);
    EXPECT_TRUE(m_chooser.isFleetOverloaded(PriorityIndex(0), m_now));
}

// After a start of all nodes, calls were sent to endpoints that were known from other members only, and had no link yet.
TEST_F(EndpointChooserTest, EndpointsWithoutReport_AnotherHasRoom_GetFewCalls)
{
    addEndpoints(1);
    for (; m_count < 20; ++m_count)
        m_chooser.update(endpointId(m_count), { DataCentre("local"), slots, m_now - 100 * second, false });
    constexpr int draws = 1000;
    EXPECT_GE(chosenCounts(draws)[0], draws * 9 / 10);

    LoadReport saturated = makeReport(slots);
    saturated.queued = { 3, 0 };
    m_chooser.applyReport(endpointId(0), saturated, m_now);
    EXPECT_LE(chosenCounts(draws)[0], draws / 10);
}

TEST_F(EndpointChooserTest, NoEndpointWithReport_CallsAreSpread)
{
    for (; m_count < 4; ++m_count)
        m_chooser.update(endpointId(m_count), { DataCentre("local"), slots, m_now - 100 * second, false });
    for (const int count : chosenCounts(1000))
        EXPECT_GE(count, 150);
}

TEST_F(EndpointChooserTest, BusyReport_CallsSentSince_AddToReportedLoad)
{
    addEndpoints(2);
    m_chooser.applyReport(endpointId(0), makeReport(10), m_now);
    m_chooser.applyReport(endpointId(1), makeReport(13), m_now);
    EXPECT_EQ(0, choose());
    for (int call = 0; call < 6; ++call)
        send(0);
    EXPECT_EQ(1, choose());
}

TEST_F(EndpointChooserTest, Straggler_OutstandingCallIsLate_PredictedTimeIncreases)
{
    addEndpoints(2);
    const auto before = status(0).predictedTime;
    send(0);
    const auto ticket = send(1);
    m_now += 100 * millisecond;
    m_chooser.callFinished(ticket, CallEnd::Answered, m_now);
    m_chooser.applyReport(endpointId(1), makeReport(0), m_now);
    EXPECT_GT(status(0).predictedTime, 3 * before);
    EXPECT_EQ(1, choose());
}

TEST_F(EndpointChooserTest, FastFailures_Repeated_EndpointIsEjected)
{
    addEndpoints(3);
    const auto before = status(0).predictedTime;
    fail(0, 2);
    EXPECT_GT(status(0).predictedTime, before);
    EXPECT_FALSE(status(0).ejected);
    fail(0, 10);
    EXPECT_TRUE(status(0).ejected);
    EXPECT_EQ(0, chosenCounts(100)[0]);
    EXPECT_EQ(0, choose(0, { endpointId(1), endpointId(2) }));
}

TEST_F(EndpointChooserTest, AbandonedAndRefusedCalls_Many_ErrorRateIsUnchanged)
{
    addEndpoints(2);
    for (int call = 0; call < 20; ++call)
        m_chooser.callFinished(send(0), call % 2 ? CallEnd::Abandoned : CallEnd::Refused, m_now);
    EXPECT_EQ(0, status(0).errorRate);
}

TEST_F(EndpointChooserTest, UnresponsiveEndpoint_CallsAbandonedAfterHedges_PredictedTimeIncreasesWithoutEjection)
{
    addEndpoints(3);
    const auto before = status(0).predictedTime;
    for (int call = 0; call < 40; ++call) {
        const auto ticket = send(0);
        m_now += 400 * millisecond;
        m_chooser.callFinished(ticket, CallEnd::Abandoned, m_now);
    }
    EXPECT_GT(status(0).predictedTime, 2 * before);
    EXPECT_FALSE(status(0).ejected);
    // Below the ejection threshold, so that one additional failure does not cause an ejection.
    EXPECT_LT(status(0).errorRate, 0.4);
}

TEST_F(EndpointChooserTest, ReportedFailures_NoCallsSent_EndpointIsAvoidedUntilRateDecays)
{
    addEndpoints(2);
    auto failing = makeReport(0);
    failing.failuresPerThousand = 900;
    m_chooser.applyReport(endpointId(0), failing, m_now);
    EXPECT_EQ(0, chosenCounts(100)[0]);
    // A repeated report does not renew the failure rate.
    const auto before = status(0).predictedTime;
    m_now += 30 * second;
    m_chooser.applyReport(endpointId(0), failing, m_now);
    EXPECT_LT(status(0).predictedTime, before / 5);
}

TEST_F(EndpointChooserTest, FewFailures_NoFurtherCalls_ErrorRateDecays)
{
    addEndpoints(2);
    fail(0, 5);
    ASSERT_FALSE(status(0).ejected);
    const auto before = status(0).predictedTime;
    m_now += 30 * second;
    EXPECT_LT(status(0).predictedTime, before / 2);
}

TEST_F(EndpointChooserTest, EjectedEndpoint_EjectionTimeElapsed_LeastUrgentTrialCallDecides)
{
    addEndpoints(3);
    fail(0, 12);
    m_now += second;
    EXPECT_NE(0, choose(0));
    EXPECT_NE(0, choose(1, { endpointId(2) }));
    EXPECT_EQ(0, choose(1));
    const auto trial = send(0);
    EXPECT_NE(0, choose(1));
    m_chooser.callFinished(trial, CallEnd::Abandoned, m_now);
    EXPECT_TRUE(status(0).ejected);
    EXPECT_EQ(0, choose(1));
    m_chooser.callFinished(send(0), CallEnd::Failed, m_now);
    m_now += second;
    EXPECT_NE(0, choose(1));
    // The second ejection is twice as long. Without calls of the least urgent priority, another call becomes the trial
    // after a further base time.
    m_now += 2 * second;
    EXPECT_EQ(0, choose(0));
    m_chooser.callFinished(send(0), CallEnd::Answered, m_now);
    EXPECT_FALSE(status(0).ejected);
}

TEST_F(EndpointChooserTest, AllEndpointsFail_EqualErrorRates_NoneIsEjected)
{
    addEndpoints(3);
    for (int round = 0; round < 30; ++round) {
        for (int index = 0; index < 3; ++index)
            fail(index, 1);
    }
    for (int index = 0; index < 3; ++index)
        EXPECT_FALSE(status(index).ejected);
}

TEST_F(EndpointChooserTest, ColdStart_RampByTimeAndCalls_ReceivesReducedShare)
{
    addEndpoints(3);
    const EndpointDescription cold { DataCentre("local"), slots, m_now, false };
    m_chooser.update(endpointId(m_count++), cold);
    EXPECT_LE(chosenCounts(1000)[3], 150);
    EXPECT_GE(chosenCounts(1000)[3], 10);
    std::vector<CallTicket> tickets;
    for (const int endpoint : { 0, 0, 3, 3 })
        tickets.push_back(send(endpoint));
    EXPECT_GT(status(3).predictedTime, status(0).predictedTime);
    for (const auto ticket : tickets)
        m_chooser.callFinished(ticket, CallEnd::Answered, m_now);
    m_now += makeDocument().rampTime;
    EXPECT_GE(chosenCounts(1000)[3], 180);
    auto warm = makeReport(0);
    warm.completedCalls = makeDocument().rampCalls;
    m_chooser.update(endpointId(3), { DataCentre("local"), slots, m_now, false });
    m_chooser.applyReport(endpointId(3), warm, m_now);
    EXPECT_GE(chosenCounts(1000)[3], 180);
}

TEST_F(EndpointChooserTest, DrainingReport_ManyChoices_EndpointIsNotChosen)
{
    addEndpoints(2);
    auto report = makeReport(0);
    report.draining = true;
    m_chooser.applyReport(endpointId(0), report, m_now);
    EXPECT_EQ(0, chosenCounts(50)[0]);
    EXPECT_EQ(-1, choose(0, { endpointId(1) }));
}

TEST_F(EndpointChooserTest, RemoteDataCentre_EqualLoad_LocalEndpointIsPreferred)
{
    addEndpoints(2, "remote");
    addEndpoints(2, "local");
    m_chooser.addRoundTripSample(endpointId(0), 3 * millisecond);
    m_chooser.addRoundTripSample(endpointId(2), Duration(100));
    EXPECT_EQ(0, chosenCounts(100)[0] + chosenCounts(100)[1]);
    // A queueing time above the difference of the round-trip times outweighs it.
    m_chooser.applyReport(endpointId(2), makeReport(60), m_now);
    m_chooser.applyReport(endpointId(3), makeReport(60), m_now);
    EXPECT_EQ(0, chosenCounts(100)[2] + chosenCounts(100)[3]);
}

TEST_F(EndpointChooserTest, SlowReport_NoFurtherCalls_PredictedTimeDecays)
{
    addEndpoints(2);
    m_chooser.applyReport(endpointId(0), makeReport(0, 50 * millisecond), m_now);
    EXPECT_EQ(0, chosenCounts(100)[0]);
    const auto before = status(0).predictedTime;
    m_now += 20 * second;
    EXPECT_LT(status(0).predictedTime, before / 5);
}

TEST_F(EndpointChooserTest, SlightlySlowerReport_EqualLoad_EndpointIsChosenAsOften)
{
    addEndpoints(2);
    m_chooser.applyReport(endpointId(0), makeReport(0, 6 * millisecond), m_now);
    EXPECT_GE(chosenCounts(1000)[0], 400);
}

TEST_F(EndpointChooserTest, BusyReport_Ages_LoadDecaysToAverage)
{
    addEndpoints(2);
    m_chooser.applyReport(endpointId(0), makeReport(60), m_now);
    EXPECT_EQ(0, chosenCounts(100)[0]);
    const auto before = status(0).predictedTime;
    m_now += second;
    EXPECT_LT(status(0).predictedTime, before / 2);
}

TEST_F(EndpointChooserTest, LessUrgentBacklog_MoreUrgentCall_BacklogIsIgnored)
{
    addEndpoints(2);
    auto flooded = makeReport(5);
    flooded.queued = { 0, 500 };
    auto busy = makeReport(11);
    busy.queued = { 4, 0 };
    m_chooser.applyReport(endpointId(0), flooded, m_now);
    m_chooser.applyReport(endpointId(1), busy, m_now);
    EXPECT_EQ(0, choose(0));
    EXPECT_EQ(1, choose(1));
}

TEST_F(EndpointChooserTest, SaturatedReports_AllEndpoints_FleetIsOverloadedForPriority)
{
    addEndpoints(2);
    auto full = makeReport(slots);
    full.queued = { 0, 3 };
    m_chooser.applyReport(endpointId(0), full, m_now);
    EXPECT_FALSE(m_chooser.isFleetOverloaded(PriorityIndex(1), m_now));
    m_chooser.applyReport(endpointId(1), full, m_now);
    EXPECT_TRUE(m_chooser.isFleetOverloaded(PriorityIndex(1), m_now));
    EXPECT_FALSE(m_chooser.isFleetOverloaded(PriorityIndex(0), m_now));
    EXPECT_FALSE(m_chooser.isFleetOverloaded(PriorityIndex(1), m_now + second));
}

RC_GTEST_PROP(EndpointChooserProperty, RandomEvents_AnyOrder_StatusMatchesReferenceCount, ())
{
    constexpr int endpoints = 6;
    struct SentCall {
        std::uint64_t ticket;
        EndpointId endpoint;
        TimePoint sentAt;
    };
    auto document = makeDocument();
    document.ejection.maximumShare = *rc::gen::inRange(0, 11) / 10.0;
    EndpointChooser chooser(document, DataCentre("local"));
    EndpointChooser::RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
    std::map<EndpointId, bool> present;
    std::map<EndpointId, TimePoint> reportedAt;
    std::vector<SentCall> sent;
    TimePoint now { 1000 * second };
    std::uint64_t nextTicket = 1;

    const int events = *rc::gen::inRange(1, 200);
    for (int event = 0; event < events; ++event) {
        const auto id = endpointId(*rc::gen::inRange(0, endpoints));
        switch (*rc::gen::inRange(0, 12)) {
        case 0: {
            const bool draining = *rc::gen::inRange(0, 4) == 0;
            chooser.update(id, { DataCentre("local"), slots, now, draining });
            present[id] = draining;
            break;
        }
        case 1:
            chooser.remove(id);
            present.erase(id);
            reportedAt.erase(id);
            // The endpoint's outstanding calls end later.
            for (auto& call : sent) {
                if (call.endpoint == id)
                    call.endpoint = EndpointId();
            }
            break;
        case 2:
            now += *rc::gen::inRange(1, 2000) * millisecond;
            break;
        case 3:
            chooser.applyReport(id, makeReport(*rc::gen::inRange<std::uint32_t>(0, 30)), now);
            if (present.count(id))
                reportedAt[id] = now;
            break;
        case 4:
        case 5:
        case 6:
        case 7:
            if (!sent.empty()) {
                const auto index = *rc::gen::inRange<std::size_t>(0, sent.size());
                const auto end = *rc::gen::element(CallEnd::Answered, CallEnd::Failed, CallEnd::Failed, CallEnd::Refused, CallEnd::Lost, CallEnd::Abandoned);
                chooser.callFinished(CallTicket(sent[index].ticket), end, now);
                // Finishing the same call again has no effect.
                chooser.callFinished(CallTicket(sent[index].ticket), end, now);
                sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(index));
            }
            break;
        default: {
            std::vector<EndpointId> excluded;
            if (*rc::gen::inRange(0, 3) == 0)
                excluded.push_back(id);
            const auto chosen = chooser.choose(excluded, PriorityIndex(*rc::gen::inRange<std::uint32_t>(0, 2)), now, random);
            const auto available = std::any_of(present.begin(), present.end(), [&](const auto& entry) {
                return !entry.second && std::find(excluded.begin(), excluded.end(), entry.first) == excluded.end();
            });
            RC_ASSERT(chosen.has_value() == available);
            if (!chosen)
                break;
            RC_ASSERT(!present.at(*chosen));
            RC_ASSERT(std::find(excluded.begin(), excluded.end(), *chosen) == excluded.end());
            chooser.callSent(*chosen, CallTicket(nextTicket), PriorityIndex(0), now);
            sent.push_back({ nextTicket++, *chosen, now });
        }
        }

        std::size_t ejected = 0;
        std::size_t available = 0;
        const auto statuses = chooser.status(now);
        RC_ASSERT(statuses.size() == present.size());
        for (const auto& status : statuses) {
            std::size_t outstanding = 0;
            std::size_t sentSince = 0;
            for (const auto& call : sent) {
                if (call.endpoint != status.id)
                    continue;
                ++outstanding;
                sentSince += !reportedAt.count(status.id) || call.sentAt >= reportedAt.at(status.id);
            }
            RC_ASSERT(status.outstanding == outstanding);
            RC_ASSERT(status.sentSinceReport == sentSince);
            RC_ASSERT(status.draining == present.at(status.id));
            available += !status.draining;
            ejected += status.ejected && !status.draining;
        }
        RC_ASSERT(ejected <= std::floor(document.ejection.maximumShare * static_cast<double>(available)));
    }
}

// A machine slows down for half a second, which its backend server reports immediately.
TEST_F(EndpointChooserTest, SlowMachine_SlowdownReported_EndpointIsAvoidedUntilRecovery)
{
    addEndpoints(3);
    auto slow = makeReport(0);
    slow.slowdownPercent = 700;
    m_chooser.applyReport(endpointId(1), slow, m_now);
    for (int call = 0; call < 100; ++call)
        EXPECT_NE(1, choose());
    m_chooser.applyReport(endpointId(1), makeReport(0), m_now);
    int chosen = 0;
    for (int call = 0; call < 300; ++call)
        chosen += choose() == 1;
    EXPECT_GT(chosen, 50);
}

TEST_F(EndpointChooserTest, SlowMachine_NoFurtherReports_SlowdownDecaysToAverage)
{
    addEndpoints(1);
    auto slow = makeReport(0);
    slow.slowdownPercent = 700;
    m_chooser.applyReport(endpointId(0), slow, m_now);
    const Duration predictedWhenReported = m_chooser.status(m_now)[0].predictedTime;
    m_now += 10 * second;
    EXPECT_LT(m_chooser.status(m_now)[0].predictedTime, predictedWhenReported / 3);
}

TEST_F(EndpointChooserTest, ManyEndpoints_SubsetConfigured_UsesAtMostSubsetSize)
{
    EndpointChooser chooser(makeDocument(), DataCentre("local"), { ChoicePolicy::Predicted, 12, 12, 77, 0 });
    for (int index = 0; index < 60; ++index)
        chooser.update(endpointId(index), { DataCentre(index % 2 ? "local" : "remote"), slots, m_now - 100 * second, false });
    std::map<EndpointId, int> chosen;
    for (int call = 0; call < 3000; ++call)
        ++chosen[*chooser.choose({}, PriorityIndex(0), m_now, m_random)];
    EXPECT_LE(chosen.size(), 12u);
    // A removed endpoint is replaced by one other.
    const EndpointId removed = chosen.begin()->first;
    chooser.remove(removed);
    std::map<EndpointId, int> afterwards;
    for (int call = 0; call < 3000; ++call)
        ++afterwards[*chooser.choose({}, PriorityIndex(0), m_now, m_random)];
    int added = 0;
    for (const auto& entry : afterwards)
        added += chosen.count(entry.first) == 0;
    EXPECT_LE(added, 1);
}

TEST_F(EndpointChooserTest, CallRefusedBySubset_Retry_UsesEndpointOutsideSubset)
{
    EndpointChooser chooser(makeDocument(), DataCentre("local"), { ChoicePolicy::Predicted, 12, 1, 5, 0 });
    for (int index = 0; index < 4; ++index)
        chooser.update(endpointId(index), { DataCentre("local"), slots, m_now - 100 * second, false });
    const EndpointId first = *chooser.choose({}, PriorityIndex(0), m_now, m_random);
    const auto retried = chooser.choose({ first }, PriorityIndex(0), m_now, m_random);
    ASSERT_TRUE(retried);
    EXPECT_FALSE(*retried == first);
}

/// A service of 180 endpoints in five data centres, of which the node uses twelve.
class LargeServiceTest : public EndpointChooserTest {
protected:
    LargeServiceTest()
    {
        for (int index = 0; index < 180; ++index)
            m_large.update(endpointId(index), { DataCentre(index % 5 ? "remote-" + std::to_string(index % 5) : "local"), slots, m_now - 100 * second, false });
        for (const EndpointStatus& status : m_large.probeCandidates(m_now))
            m_subset.insert(status.id);
    }

    EndpointChooser m_large { makeDocument(), DataCentre("local"), { ChoicePolicy::Predicted, 12, 12, 77, 0 } };
    std::set<EndpointId> m_subset;
};

TEST_F(LargeServiceTest, ManyProbesAndRetries_SubsetWithRoom_UseNoOtherEndpoint)
{
    EXPECT_EQ(12U, m_subset.size());
    std::vector<EndpointId> excluded;
    for (std::size_t attempt = 0; attempt < m_subset.size(); ++attempt) {
        excluded.push_back(*m_large.choose(excluded, PriorityIndex(0), m_now, m_random));
        EXPECT_EQ(1U, m_subset.count(excluded.back()));
    }
    // An endpoint outside is the last resort.
    EXPECT_EQ(0U, m_subset.count(*m_large.choose(excluded, PriorityIndex(0), m_now, m_random)));
}

TEST_F(LargeServiceTest, SubsetOfAServiceInFiveDataCentres_IsMostlyLocal)
{
    const auto local = std::count_if(m_subset.begin(), m_subset.end(), [](const EndpointId& id) { return std::stoi(id.node.value().substr(5)) % 5 == 0; });
    EXPECT_EQ(8, local);
}

TEST_F(LargeServiceTest, SubsetSaturated_FurtherAttempt_LeavesTheSubset)
{
    LoadReport full = makeReport(slots);
    full.queued = { 3, 0 };
    for (const EndpointId& id : m_subset)
        m_large.applyReport(id, full, m_now);
    const EndpointId first = *m_large.choose({}, PriorityIndex(0), m_now, m_random);
    EXPECT_EQ(1U, m_subset.count(first));
    int outside = 0;
    for (int draw = 0; draw < 100; ++draw)
        outside += m_subset.count(*m_large.choose({ first }, PriorityIndex(0), m_now, m_random)) == 0;
    EXPECT_GT(outside, 80);
}

TEST_F(LargeServiceTest, EndpointOfTheSubset_ReportsADrain_IsStillProbed)
{
    LoadReport draining = makeReport(0);
    draining.draining = true;
    m_large.applyReport(*m_subset.begin(), draining, m_now);
    const auto probed = m_large.probeCandidates(m_now);
    EXPECT_EQ(13U, probed.size());
    EXPECT_TRUE(std::any_of(probed.begin(), probed.end(), [&](const EndpointStatus& status) { return status.id == *m_subset.begin(); }));
}

// Calls of one priority take ten times as long as those of the other. On a slow machine only the short ones are still
// fast enough, so a prediction from the mean of all calls would be wrong for both.
TEST_F(EndpointChooserTest, ServiceTimesByPriority_DifferWidely_PredictedPerPriority)
{
    addEndpoints(1);
    auto report = makeReport(0, 60 * millisecond);
    report.serviceTimes = { 20 * millisecond, 200 * millisecond };
    report.slowdownPercent = 700;
    m_chooser.applyReport(endpointId(0), report, m_now);
    EXPECT_NEAR(140000, static_cast<double>(m_chooser.statusOf(endpointId(0), PriorityIndex(0), m_now).predictedTime.count()), 10000);
    EXPECT_NEAR(1400000, static_cast<double>(m_chooser.statusOf(endpointId(0), PriorityIndex(1), m_now).predictedTime.count()), 50000);
}

} // namespace
