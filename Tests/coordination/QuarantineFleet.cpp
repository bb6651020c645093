#include "QuarantineFleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Knapweedquay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration step = milliseconds(5);
constexpr double callsPerNodeAndSecond = 6;
constexpr int shareOfRareCalls = 3;
/// Kinds of rare requests for each node.
constexpr std::size_t rareRequestsPerNode = 20;
constexpr Duration poisonTime = milliseconds(70);
constexpr Duration restartTime = seconds(4);
constexpr int attempts = 2;
constexpr int callerRepetitions = 2;
constexpr std::size_t knownCrashes = 3;
constexpr Duration knownTime = seconds(3);

RequestDigest digestOfText(const std::string& text)
{
    DigestBuilder builder;
    builder.add(text);
    return builder.finish();
}

MembershipFleet::Options optionsFor(std::size_t nodes, std::uint64_t seed)
{
    MembershipFleet::Options options;
    options.members = nodes;
    options.seed = seed;
    options.loss = 0.01;
    return options;
}

} // namespace

QuarantineFleet::QuarantineFleet(std::size_t nodes, std::uint64_t seed)
    : m_members(optionsFor(nodes, seed))
    , m_nodes(nodes)
    , m_random(seed)
{
    m_members.setEvidenceHook([this](std::size_t member, const CrashEvidence& evidence) {
        const auto own = m_nodes[member].quarantine->receive(evidence, m_members.now());
        if (!own.empty())
            m_members.spreadEvidence(member, own, {});
    });
    m_members.startAll();
    m_members.run(seconds(15));
}

void QuarantineFleet::run(Duration time)
{
    const TimePoint end = m_members.now() + time;
    const double callsPerStep = callsPerNodeAndSecond * static_cast<double>(m_nodes.size()) * std::chrono::duration<double>(step).count();
    while (m_members.now() < end) {
        for (int count = std::poisson_distribution<>(callsPerStep)(m_random); count > 0; --count) {
            const bool isRare = m_random() % shareOfRareCalls == 0;
            ++m_harmless.sent;
            send({ digestOfText(isRare ? "rare" + std::to_string(m_random() % (rareRequestsPerNode * m_nodes.size())) : "popular"), randomNode() });
        }
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
            finishRuns(node);
        m_members.run(step);
    }
}

void QuarantineFleet::sendPoison(int request)
{
    Call call { digestOfText("poison" + std::to_string(request)), randomNode(), request };
    call.repetitions = callerRepetitions;
    send(call);
}

bool QuarantineFleet::isUp(std::size_t node) const
{
    return m_nodes[node].hasPower && m_members.isRunning(node) && !m_members.isFrozen(node) && m_nodes[node].upAt <= m_members.now();
}

void QuarantineFleet::countRefusal(const Call& call)
{
    if (call.poison >= 0)
        return;
    ++m_harmless.refused;
    if (call.digest != digestOfText("popular"))
        return;
    ++m_harmless.popularRefused;
    if (!m_popularRefusedSince)
        m_popularRefusedSince = m_members.now();
    m_harmless.popularHeld = m_members.now() - *m_popularRefusedSince;
}

void QuarantineFleet::send(Call call)
{
    if (!m_members.isRunning(call.origin) || m_members.isFrozen(call.origin))
        return;
    if (m_nodes[call.origin].quarantine->verdict(call.digest, m_members.now()).state == QuarantineState::Held)
        return countRefusal(call);
    for (int draw = 0; draw < 20; ++draw) {
        const std::size_t node = randomNode();
        if (isUp(node))
            return start(node, call);
    }
}

void QuarantineFleet::start(std::size_t node, const Call& call)
{
    if (m_nodes[node].quarantine->verdict(call.digest, m_members.now()).state == QuarantineState::Held)
        return countRefusal(call);
    if (call.poison >= 0)
        m_poisonRuns[call.poison].push_back(m_members.now());
    const Duration time = call.poison >= 0 ? poisonTime : milliseconds(50 + m_random() % 200);
    m_nodes[node].runs.push_back({ call, m_members.now() + time });
}

void QuarantineFleet::finishRuns(std::size_t node)
{
    std::vector<Run>& runs = m_nodes[node].runs;
    const auto isEnded = [this](const Run& run) { return run.endsAt <= m_members.now(); };
    const auto poison = std::find_if(runs.begin(), runs.end(), [&](const Run& run) { return run.call.poison >= 0 && isEnded(run); });
    if (poison != runs.end()) {
        m_poisonCrashes[poison->call.poison].push_back(m_members.now());
        return endRuns(node, !m_members.isFrozen(node));
    }
    for (const Run& run : runs) {
        if (!isEnded(run) || !m_members.isRunning(node) || m_members.isFrozen(node))
            continue;
        const auto evidence = m_nodes[node].quarantine->succeeded(run.call.digest, m_members.now());
        if (!evidence.empty())
            m_members.spreadEvidence(node, evidence, {});
    }
    runs.erase(std::remove_if(runs.begin(), runs.end(), isEnded), runs.end());
}

void QuarantineFleet::crashServer(std::size_t node)
{
    if (isUp(node))
        endRuns(node, true);
}

void QuarantineFleet::losePower(std::size_t node)
{
    endRuns(node, false);
    m_nodes[node].hasPower = false;
    m_members.kill(node);
}

void QuarantineFleet::restartNode(std::size_t node)
{
    m_members.kill(node);
    m_nodes[node].quarantine = std::make_unique<RequestQuarantine>();
    m_members.start(node);
}

void QuarantineFleet::endRuns(std::size_t node, bool isWitness)
{
    const std::vector<Run> lost = std::exchange(m_nodes[node].runs, {});
    m_nodes[node].upAt = m_members.now() + restartTime;
    std::vector<RequestDigest> digests;
    std::vector<NodeId> origins;
    for (const Run& run : lost) {
        digests.push_back(run.call.digest);
        origins.push_back(m_members.nodeId(run.call.origin));
    }
    if (isWitness && m_members.isRunning(node)) {
        const CrashId crash((static_cast<std::uint64_t>(node) << 32) + ++m_nodes[node].crashes);
        m_members.spreadEvidence(node, m_nodes[node].quarantine->crashed(crash, ServiceName("dispatch"), digests, m_members.now()), origins);
    }
    for (const Run& run : lost) {
        Call call = run.call;
        // The evidence is on its way to the origin, too.
        if (++call.crashes < attempts)
            send(call);
        else if (call.repetitions-- > 0) {
            call.crashes = 0;
            call.origin = randomNode();
            send(call);
        }
    }
}

QuarantineFleet::PoisonResult QuarantineFleet::poison(int request) const
{
    const auto crashes = m_poisonCrashes.find(request);
    if (crashes == m_poisonCrashes.end())
        return {};
    PoisonResult result { crashes->second.size(), 0 };
    if (crashes->second.size() < knownCrashes)
        return result;
    const TimePoint known = crashes->second[knownCrashes - 1] + knownTime;
    const std::vector<TimePoint>& runs = m_poisonRuns.at(request);
    result.laterRuns = static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](TimePoint at) { return at > known; }));
    return result;
}

} // namespace Knapweedquay
