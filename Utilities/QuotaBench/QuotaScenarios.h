#pragma once

#include "QuotaBench/QuotaFleet.h"

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// A run of a fleet: some seconds to settle, then one trouble, or none, while it is measured.
struct QuotaScenario {
    std::string name;
    bool isSteady = false;
    /// Called at the start of the measurement.
    std::function<void(QuotaFleet&)> trouble;
};

const std::vector<QuotaScenario>& quotaScenarios();
/// The scenario with this name, which must exist.
const QuotaScenario& quotaScenario(const std::string& name);
/// Plays a scenario; virtual time.
QuotaFleet::Result playScenario(const QuotaScenario&, const QuotaFleet::Settings&);

/// Goals for the share of calls within their quotas that are refused.
constexpr double wronglyRefusedGoalSteady = 1.0 / 200;
constexpr double wronglyRefusedGoalInTrouble = 1.0 / 50;

} // namespace Knapweedquay
