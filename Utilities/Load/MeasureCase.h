#pragma once

#include "Load/CallClass.h"
#include "Load/Deployment.h"

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Size of the measured deployment and length of the runs.
struct MeasureSettings {
    /// Length of each run.
    double seconds = 10;
    /// Time during which calls are sent before each run, without being counted.
    double warmUpSeconds = 3;
    /// Nodes with a backend server.
    std::size_t endpoints = 5;
    /// Nodes without a backend server, which only send calls to the endpoints.
    std::size_t entryNodes = 4;
    /// Slots of each backend server.
    std::size_t slots = 12;
    /// Mean service time of the backend servers.
    double serviceMilliseconds = 40;
    /// Seed of the arrival times.
    std::uint64_t seed = 1;
    /// Text of the service document of "dispatch".
    std::string document;
    Programs programs;

    /// Calls per second that occupy all slots of all endpoints.
    double capacity() const;
    std::string endpointName(std::size_t index) const { return "endpoint-" + std::to_string(index); }
    /// Name of the endpoint into which faults are injected.
    std::string affectedName() const { return endpointName(1); }
    std::vector<std::string> dataCentres() const { return { "amman-sweileh", "amman-marka", "amman-abdoun" }; }
};

/// A scenario in which policies are compared: the offered load of each class, and a fault during the run.
struct MeasureCase {
    /// Name in the table and for --case.
    std::string name;
    /// Classes of calls with their rates.
    std::vector<CallClass> classes;
    /// Share of the run after which the fault is injected, 0..1.
    double faultAt = 0.25;
    /// Injects the fault; empty for none.
    std::function<void(Deployment&)> fault;
    /// True when the connections between the nodes go through forwarders.
    bool arePeersForwarded = false;
};

/// All cases, in the order in which they are measured.
std::vector<MeasureCase> measureCases(const MeasureSettings&);

} // namespace Knapweedquay::Load
