#include "version_span.hpp"

#include "timing_check.hpp"

namespace tt {

Result<void> setVersionSpan(double versionMs) {
  timing.oldWeightsTimeout = std::chrono::milliseconds(static_cast<std::int64_t>(versionMs));
  timing.oldWeightsSendTimeout = timing.oldWeightsTimeout * 9 / 10;
  timing.unstartedRequestTimeout = timing.oldWeightsTimeout * 39 / 40;
  TimingBounds bounds;
  bounds.commandLease = timing.commandHoldoff;
  return checkTiming(timing, bounds);
}

}  // namespace tt
