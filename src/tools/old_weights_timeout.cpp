#include "old_weights_timeout.hpp"

#include "timing_check.hpp"

namespace tt {

Result<void> setOldWeightsTimeout(double versionMs) {
  timing.oldWeightsTimeout = std::chrono::milliseconds(static_cast<std::int64_t>(versionMs));
  /// The same proportions as those of the defaults: 18 s and 19.5 s of 20 s.
  timing.oldWeightsSendTimeout = timing.oldWeightsTimeout * 9 / 10;
  timing.unstartedRequestTimeout = timing.oldWeightsTimeout * 39 / 40;
  TimingBounds bounds;
  bounds.commandLease = timing.commandHoldoff;
  return checkTiming(timing, bounds);
}

}  // namespace tt
