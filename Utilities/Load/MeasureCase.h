#pragma once

#include "Load/CallClass.h"
#include "Load/Deployment.h"

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Size and length of the measured runs.
struct MeasureSettings {
    double seconds = 10;
    double warmUpSeconds = 3;
    std::size_t endpoints = 5;
    /// Nodes of another service, which only pass calls on.
    std::size_t entryNodes = 4;
    std::size_t slots = 12;
    double serviceMilliseconds = 40;
    std::uint64_t seed = 1;
    std::string document;
    Programs programs;

    /// Calls a second that the slots can take.
    double capacity() const;
    std::string endpointName(std::size_t index) const { return "endpoint-" + std::to_string(index); }
    /// The endpoint that faults happen to.
    std::string affectedName() const { return endpointName(1); }
    std::vector<std::string> dataCentres() const { return { "amman-sweileh", "amman-marka", "amman-abdoun" }; }
};

/// One situation to compare policies in: how many calls of each kind come, and what goes wrong meanwhile.
struct MeasureCase {
    std::string name;
    std::vector<CallClass> classes;
    /// Share of the run after which the fault begins.
    double faultAt = 0.25;
    std::function<void(Deployment&)> fault;
    bool arePeersForwarded = false;
};

/// The cases that the project compares its policies in.
std::vector<MeasureCase> measureCases(const MeasureSettings&);

} // namespace Knapweedquay::Load
