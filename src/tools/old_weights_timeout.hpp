#pragma once
#include "election.hpp"

namespace tt {

/// Limits and default of the setting versionMs, in milliseconds.
constexpr double minVersionMs = 5000, maxVersionMs = 600000, defaultVersionMs = 20000;

/// Sets how long after newer weights are announced requests may still start on older ones (oldWeightsTimeout), and in
/// proportion the timeouts that depend on it. The error names the first inequality between the timeouts that does not
/// hold.
Result<void> setOldWeightsTimeout(double versionMs);

}  // namespace tt
