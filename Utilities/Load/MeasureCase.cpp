#include "Load/MeasureCase.h"

#include <algorithm>

namespace Knapweedquay::Load {

namespace {

/// Offered load of a steady run as a share of the capacity.
constexpr double steadyShare = 0.7;
/// Offered load of a class that floods, as a multiple of the capacity.
constexpr double floodFactor = 4;
constexpr double millisecondsPerSecond = 1000;

CallClass makeClass(const std::string& name, const std::string& method, const std::string& path, double rate, std::size_t targetMs, std::size_t deadlineMs)
{
    CallClass calls;
    calls.name = name;
    calls.method = method;
    calls.path = path;
    calls.rate = rate;
    calls.targetMs = targetMs;
    calls.deadlineMs = deadlineMs;
    return calls;
}

/// The four classes of Utilities/Examples/dispatch.toml with its targets, most urgent first.
std::vector<CallClass> dispatchClasses(double rate)
{
    return {
        makeClass("booking", "POST", "/call/dispatch/bookings", 0.2 * rate, 400, 1000),
        makeClass("stock", "GET", "/call/dispatch/stock", 0.3 * rate, 300, 600),
        makeClass("status", "GET", "/call/dispatch/status", 0.25 * rate, 800, 1500),
        makeClass("catalogue", "GET", "/call/dispatch/catalogue", 0.25 * rate, 2000, 3000),
    };
}

/// Makes the first endpoints name a limit of requests per second.
void limitRequests(Deployment& deployment, const MeasureSettings& settings, std::size_t endpoints, double requestsPerSecond)
{
    for (std::size_t index = 0; index < endpoints; ++index)
        deployment.setModes(settings.endpointName(index), { { "requestLimit", std::to_string(requestsPerSecond) } });
}

void silencePeerLinks(Deployment& deployment)
{
    for (const std::string& name : deployment.nodeNames())
        Deployment::command(deployment.peerLink(name), "/silence");
}

} // namespace

double MeasureSettings::capacity() const
{
    return static_cast<double>(endpoints * slots) * millisecondsPerSecond / serviceMilliseconds;
}

std::vector<MeasureCase> measureCases(const MeasureSettings& settings)
{
    const std::vector<CallClass> steadyClasses = dispatchClasses(steadyShare * settings.capacity());
    const std::string affected = settings.affectedName();
    const auto setModes = [affected](const nlohmann::json& modes) {
        return [affected, modes](Deployment& deployment) { deployment.setModes(affected, modes); };
    };
    MeasureCase steadyCase { "steady 70%", steadyClasses, 0, nullptr, false };
    MeasureCase straggler { "straggler x10", steadyClasses, 0.25, setModes({ { "slowdown", 10 } }), false };
    MeasureCase failFast { "fail fast", steadyClasses, 0.25, setModes({ { "failFast", true } }), false };
    MeasureCase lowestFlood { "lowest floods", steadyClasses, 0, nullptr, false };
    lowestFlood.classes.back().rate = floodFactor * settings.capacity();
    MeasureCase highestFlood { "highest floods", steadyClasses, 0, nullptr, false };
    highestFlood.classes.front().rate = floodFactor * settings.capacity();
    MeasureCase killed { "node killed", steadyClasses, 0.25, [affected](Deployment& deployment) { deployment.node(affected).kill(); }, false };
    MeasureCase silent { "links silent", steadyClasses, 0.25, silencePeerLinks, true };
    // The endpoints without a limit have room for all calls.
    constexpr double limitedShare = 0.4;
    constexpr std::size_t limitedEndpoints = 2;
    constexpr double lowLimit = 8;
    MeasureCase someLimited { "two limited", dispatchClasses(limitedShare * settings.capacity()), 0.25, [settings](Deployment& deployment) { limitRequests(deployment, settings, limitedEndpoints, lowLimit); }, false };
    // All endpoints together take half of the calls.
    const double halfOfEach = steadyShare * settings.capacity() / 2 / static_cast<double>(settings.endpoints);
    MeasureCase allLimited { "all limited", steadyClasses, 0.25, [settings, halfOfEach](Deployment& deployment) { limitRequests(deployment, settings, settings.endpoints, halfOfEach); }, false };
    return { steadyCase, straggler, failFast, lowestFlood, highestFlood, killed, silent, someLimited, allLimited };
}

} // namespace Knapweedquay::Load
