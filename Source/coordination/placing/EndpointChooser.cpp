#include "coordination/placing/EndpointChooser.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Knapweedquay {

namespace {

/// Round-trip times assumed until one is measured.
constexpr Duration unknownLocalRoundTrip { 200 };
constexpr Duration unknownRemoteRoundTrip { 2000 };
/// Smoothing of the round-trip time as in RFC 6298.
constexpr int roundTripDivisor = 8;
/// Increase of the slowdown between two reports beyond which the calls running at the endpoint are likely to be late.
constexpr std::uint32_t slowdownIncreaseFactor = 2;
/// Error rate from which on an endpoint may be ejected.
constexpr double ejectionErrorRate = 0.5;
/// Error rate assumed for an endpoint that was readmitted after an ejection.
constexpr double readmissionErrorRate = 0.2;
/// Share of the calls that may go to endpoints without a report while others have one; probes find most of them sooner.
constexpr double unprovenShare = 1.0 / 16;
/// Bound on the number of doublings of the ejection time.
constexpr std::uint32_t maximumDoublings = 5;

std::size_t randomBelow(std::size_t bound, EndpointChooser::RandomEngine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Reported load as a share of the endpoint's announced slots.
double reportedLoad(const EndpointRecord& record)
{
    return static_cast<double>(record.report().backlog()) / std::max(1U, record.description().slots);
}

} // namespace

EndpointChooser::EndpointChooser(const ServiceDocument& document, DataCentre localDataCentre, ChoiceSettings settings)
    : m_document(document)
    , m_localDataCentre(std::move(localDataCentre))
    , m_settings(settings)
{
}

EndpointChooser::~EndpointChooser() = default;

void EndpointChooser::setDocument(const ServiceDocument& document)
{
    m_document = document;
    enforceEjectionBound();
}

void EndpointChooser::update(const EndpointId& id, const EndpointDescription& description)
{
    if (auto* endpoint = find(id))
        endpoint->record.setDescription(description);
    else
        m_endpoints.emplace(id, std::make_unique<Endpoint>(id, description));
    updateSubset();
    enforceEjectionBound();
}

void EndpointChooser::remove(const EndpointId& id)
{
    m_endpoints.erase(id);
    updateSubset();
    updateFleetServiceTime();
    enforceEjectionBound();
}

void EndpointChooser::callSent(const EndpointId& id, CallTicket ticket, PriorityIndex priority, TimePoint now)
{
    auto* endpoint = find(id);
    if (!endpoint)
        return;
    auto [entry, isNew] = m_calls.try_emplace(ticket);
    if (!isNew)
        return;
    auto& call = entry->second;
    call.sentAt = now;
    call.predictedDuration = endpoint->record.predictedTime(priority, fleetView(endpoint->record), m_document, now);
    endpoint->record.addOutstanding(call);
    auto& ejection = endpoint->ejection;
    if (ejection && !ejection->trial && now >= ejection->until)
        ejection->trial = ticket;
}

void EndpointChooser::callFinished(CallTicket ticket, CallEnd end, TimePoint now)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end())
        return;
    if (auto* record = found->second.endpoint) {
        record->endOutstanding(found->second, end, now);
        updateEjection(endpointOf(*record), ticket, end, now);
    }
    m_calls.erase(found);
}

bool EndpointChooser::applyReport(const EndpointId& id, const LoadReport& report, TimePoint now)
{
    auto* endpoint = find(id);
    if (!endpoint)
        return false;
    const std::uint32_t before = endpoint->record.report().slowdownPercent;
    const bool wasDraining = endpoint->record.isDraining();
    endpoint->record.applyReport(report, now);
    updateFleetServiceTime();
    enforceEjectionBound();
    if (endpoint->record.isDraining() != wasDraining)
        updateSubset();
    return report.slowdownPercent > slowdownIncreaseFactor * before;
}

void EndpointChooser::addRoundTripSample(const EndpointId& id, Duration sample)
{
    auto* endpoint = find(id);
    if (!endpoint)
        return;
    endpoint->record.addRoundTripSample(sample);
    auto [entry, isNew] = m_roundTrips.try_emplace(endpoint->record.description().dataCentre, sample);
    if (!isNew)
        entry->second += (sample - entry->second) / roundTripDivisor;
}

std::optional<EndpointId> EndpointChooser::choose(const std::vector<EndpointId>& excluded, PriorityIndex priority, TimePoint now, RandomEngine& random)
{
    // Retries and hedges are not used as trial calls, because the endpoint failed recently.
    if (excluded.empty()) {
        if (const auto* trial = dueTrial(priority, now))
            return trial->record.id();
    }
    auto eligible = candidates(excluded, Pool::Subset);
    const auto isSaturated = [&](const Endpoint* endpoint) { return endpoint->record.isSaturated(priority, now); };
    // Endpoints outside the subset have no recent report and perhaps no link, so they serve only what the subset can't.
    if (eligible.empty() || (!excluded.empty() && std::all_of(eligible.begin(), eligible.end(), isSaturated)))
        eligible = candidates(excluded, Pool::All);
    if (eligible.empty())
        eligible = candidates(excluded, Pool::Ejected);
    if (eligible.empty())
        return std::nullopt;
    if (m_settings.policy == ChoicePolicy::Predicted)
        preferProven(eligible, priority, now, random);

    const Endpoint* chosen = nullptr;
    switch (m_settings.policy) {
    case ChoicePolicy::Predicted:
        chosen = choosePredicted(std::move(eligible), priority, now, random);
        break;
    case ChoicePolicy::Random:
        chosen = eligible[randomBelow(eligible.size(), random)];
        break;
    case ChoicePolicy::RoundRobin:
        chosen = eligible[m_roundRobinIndex++ % eligible.size()];
        break;
    case ChoicePolicy::LeastReportedLoad:
        chosen = chooseLeastLoaded(eligible, random);
        break;
    }
    return chosen->record.id();
}

bool EndpointChooser::isFleetOverloaded(PriorityIndex priority, TimePoint now) const
{
    const auto available = candidates({}, Pool::Subset);
    return !available.empty() && std::all_of(available.begin(), available.end(), [&](const Endpoint* endpoint) {
        return endpoint->record.isSaturated(priority, now);
    });
}

std::vector<EndpointStatus> EndpointChooser::status(TimePoint now) const
{
    std::vector<EndpointStatus> all;
    all.reserve(m_endpoints.size());
    for (const auto& [id, endpoint] : m_endpoints)
        all.push_back(makeStatus(id, *endpoint, PriorityIndex(0), now));
    return all;
}

std::vector<EndpointStatus> EndpointChooser::probeCandidates(TimePoint now) const
{
    std::vector<EndpointStatus> found;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint->isInSubset || endpoint->record.isDraining())
            found.push_back(makeStatus(id, *endpoint, PriorityIndex(0), now));
    }
    return found;
}

EndpointStatus EndpointChooser::statusOf(const EndpointId& id, PriorityIndex priority, TimePoint now) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? EndpointStatus() : makeStatus(id, *found->second, priority, now);
}

EndpointStatus EndpointChooser::makeStatus(const EndpointId& id, const Endpoint& endpoint, PriorityIndex priority, TimePoint now) const
{
    const auto& record = endpoint.record;
    EndpointStatus status;
    status.id = id;
    status.outstanding = record.outstanding();
    status.sentSinceReport = record.sentSinceReport();
    status.reportedAt = record.reportedAt();
    status.draining = record.isDraining();
    status.isDrainAnnounced = record.description().draining;
    status.ejected = endpoint.ejection.has_value();
    status.errorRate = record.errorRate();
    status.slowdownPercent = record.report().slowdownPercent;
    status.requestRate = record.report().requestRate;
    status.predictedTime = record.predictedTime(priority, fleetView(record), m_document, now);
    return status;
}

EndpointChooser::Endpoint* EndpointChooser::find(const EndpointId& id)
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

EndpointChooser::Endpoint& EndpointChooser::endpointOf(const EndpointRecord& record)
{
    return *m_endpoints.at(record.id());
}

FleetView EndpointChooser::fleetView(const EndpointRecord& record) const
{
    const auto& dataCentre = record.description().dataCentre;
    const auto measured = m_roundTrips.find(dataCentre);
    if (measured != m_roundTrips.end())
        return { m_fleetServiceTime, measured->second };
    return { m_fleetServiceTime, dataCentre == m_localDataCentre ? unknownLocalRoundTrip : unknownRemoteRoundTrip };
}

void EndpointChooser::updateFleetServiceTime()
{
    std::vector<Duration> times;
    times.reserve(m_endpoints.size());
    for (const auto& entry : m_endpoints) {
        const auto time = entry.second->record.report().serviceTime;
        if (time > Duration(0))
            times.push_back(time);
    }
    if (times.empty())
        return;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    m_fleetServiceTime = *middle;
}

EndpointChooser::Candidates EndpointChooser::candidates(const std::vector<EndpointId>& excluded, Pool pool) const
{
    Candidates found;
    found.reserve(m_endpoints.size());
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint->record.isDraining() || endpoint->ejection.has_value() != (pool == Pool::Ejected))
            continue;
        if (pool == Pool::Subset && !endpoint->isInSubset)
            continue;
        if (std::find(excluded.begin(), excluded.end(), id) == excluded.end())
            found.push_back(endpoint.get());
    }
    return found;
}

void EndpointChooser::preferProven(Candidates& eligible, PriorityIndex priority, TimePoint now, RandomEngine& random) const
{
    const auto isProven = [](const Endpoint* endpoint) { return endpoint->record.reportedAt().has_value(); };
    // A single new endpoint is warmed up instead.
    if (2 * std::count_if(eligible.begin(), eligible.end(), isProven) >= static_cast<std::ptrdiff_t>(eligible.size()))
        return;
    const Duration target = priority.value() < m_document.priorities.size() ? m_document.priorities[priority.value()].target : Duration::max();
    const bool hasRoom = std::any_of(eligible.begin(), eligible.end(), [&](const Endpoint* endpoint) {
        const EndpointRecord& record = endpoint->record;
        return isProven(endpoint) && !record.isSaturated(priority, now) && record.predictedTime(priority, fleetView(record), m_document, now) <= target;
    });
    if (!hasRoom)
        return;
    if (std::uniform_real_distribution<double>(0, 1)(random) >= unprovenShare)
        eligible.erase(std::remove_if(eligible.begin(), eligible.end(), [&](const Endpoint* endpoint) { return !isProven(endpoint); }), eligible.end());
}

void EndpointChooser::updateSubset()
{
    if (m_settings.subset == 0)
        return;
    Candidates local;
    Candidates remote;
    for (const auto& entry : m_endpoints) {
        entry.second->isInSubset = false;
        if (entry.second->record.isDraining())
            continue;
        const bool isLocal = entry.second->record.description().dataCentre == m_localDataCentre;
        (isLocal ? local : remote).push_back(entry.second.get());
    }
    const auto selectFirst = [this](Candidates& from, std::size_t count) {
        std::sort(from.begin(), from.end(), [this](const Endpoint* a, const Endpoint* b) { return subsetRank(a->record) < subsetRank(b->record); });
        const std::size_t selectedCount = std::min(count, from.size());
        for (std::size_t index = 0; index < selectedCount; ++index)
            from[index]->isInSubset = true;
        return selectedCount;
    };
    const std::size_t remoteQuota = std::max(m_settings.subset / 3, m_settings.subset - std::min(local.size(), m_settings.subset));
    const std::size_t selectedRemote = selectFirst(remote, remoteQuota);
    selectFirst(local, m_settings.subset - selectedRemote);
}

std::uint64_t EndpointChooser::subsetRank(const EndpointRecord& record) const
{
    const std::string& node = record.id().node.value();
    return XXH3_64bits_withSeed(node.data(), node.size(), m_settings.subsetSeed);
}

EndpointChooser::Endpoint* EndpointChooser::dueTrial(PriorityIndex priority, TimePoint now) const
{
    for (const auto& entry : m_endpoints) {
        const auto& ejection = entry.second->ejection;
        if (!ejection || ejection->trial || entry.second->record.isDraining())
            continue;
        // Trials use calls of the least urgent priority, and others only after a further base time without such a call.
        const bool isLeastUrgent = priority.value() + 1 >= m_document.priorities.size();
        const auto due = isLeastUrgent ? ejection->until : ejection->until + m_document.ejection.baseTime;
        if (now >= due)
            return entry.second.get();
    }
    return nullptr;
}

EndpointChooser::Endpoint* EndpointChooser::choosePredicted(Candidates eligible, PriorityIndex priority, TimePoint now, RandomEngine& random) const
{
    std::uniform_real_distribution<double> share(0, 1);
    Endpoint* best = nullptr;
    Duration bestTime { 0 };
    std::size_t compared = 0;
    for (std::size_t drawn = 0; drawn < eligible.size() && compared < m_settings.candidates; ++drawn) {
        std::swap(eligible[drawn], eligible[drawn + randomBelow(eligible.size() - drawn, random)]);
        auto* candidate = eligible[drawn];
        const auto& record = candidate->record;
        // An endpoint in its warm-up is considered less often, unless no other candidate is left.
        const bool isLast = drawn + 1 == eligible.size() && !best;
        if (!isLast && share(random) >= record.rampFactor(m_document, now))
            continue;
        ++compared;
        const auto time = cost(*candidate, priority, now);
        if (!best || time < bestTime) {
            best = candidate;
            bestTime = time;
        }
    }
    return best;
}

Duration EndpointChooser::cost(const Endpoint& endpoint, PriorityIndex priority, TimePoint now) const
{
    const auto& record = endpoint.record;
    const Duration time = record.predictedTime(priority, fleetView(record), m_document, now);
    if (record.description().dataCentre == m_localDataCentre || priority.value() >= m_document.priorities.size())
        return time;
    const auto target = static_cast<double>(m_document.priorities[priority.value()].target.count());
    return time + Duration(static_cast<Duration::rep>(m_settings.remotePenalty * target));
}

EndpointChooser::Endpoint* EndpointChooser::chooseLeastLoaded(const Candidates& eligible, RandomEngine& random) const
{
    Endpoint* best = nullptr;
    std::size_t ties = 0;
    for (auto* candidate : eligible) {
        const double load = reportedLoad(candidate->record);
        const double bestLoad = best ? reportedLoad(best->record) : load;
        if (best && load > bestLoad)
            continue;
        ties = best && load == bestLoad ? ties + 1 : 1;
        if (randomBelow(ties, random) == 0)
            best = candidate;
    }
    return best;
}

void EndpointChooser::updateEjection(Endpoint& endpoint, CallTicket ticket, CallEnd end, TimePoint now)
{
    if (m_settings.policy != ChoicePolicy::Predicted)
        return;
    auto& ejection = endpoint.ejection;
    const bool isTrial = ejection && ejection->trial == ticket;
    if (isTrial && (end == CallEnd::Refused || end == CallEnd::Abandoned)) {
        ejection->trial.reset();
        return;
    }
    if (isTrial && end == CallEnd::Answered) {
        ejection.reset();
        endpoint.record.setErrorRate(readmissionErrorRate);
        return;
    }
    if (isTrial) {
        eject(endpoint, now);
        return;
    }
    if (!ejection && end == CallEnd::Answered && endpoint.record.errorRate() < readmissionErrorRate / 2)
        endpoint.ejectionCount = 0;
    const bool failed = end == CallEnd::Failed || end == CallEnd::Lost;
    if (!ejection && failed && isErrorRateOutlier(endpoint) && ejectedCount() < maximumEjected())
        eject(endpoint, now);
}

void EndpointChooser::eject(Endpoint& endpoint, TimePoint now)
{
    const auto doublings = std::min(endpoint.ejectionCount++, maximumDoublings);
    endpoint.ejection = Ejection { now + m_document.ejection.baseTime * (1 << doublings), std::nullopt };
}

bool EndpointChooser::isErrorRateOutlier(const Endpoint& endpoint) const
{
    const double rate = endpoint.record.errorRate();
    if (rate < ejectionErrorRate)
        return false;
    // If calls fail at all endpoints, ejecting one of them does not help.
    double others = 0;
    for (const auto& entry : m_endpoints)
        others += entry.second->record.errorRate();
    others -= rate;
    return m_endpoints.size() > 1 && others / static_cast<double>(m_endpoints.size() - 1) < rate / 2;
}

std::size_t EndpointChooser::availableCount() const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(),
        [](const auto& entry) { return !entry.second->record.isDraining(); }));
}

std::size_t EndpointChooser::ejectedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(),
        [](const auto& entry) { return entry.second->ejection && !entry.second->record.isDraining(); }));
}

std::size_t EndpointChooser::maximumEjected() const
{
    return static_cast<std::size_t>(std::floor(m_document.ejection.maximumShare * static_cast<double>(availableCount())));
}

void EndpointChooser::enforceEjectionBound()
{
    while (ejectedCount() > maximumEjected()) {
        Endpoint* best = nullptr;
        for (const auto& entry : m_endpoints) {
            auto* endpoint = entry.second.get();
            if (!endpoint->ejection || endpoint->record.isDraining())
                continue;
            if (!best || endpoint->record.errorRate() < best->record.errorRate())
                best = endpoint;
        }
        best->ejection.reset();
    }
}

} // namespace Knapweedquay
