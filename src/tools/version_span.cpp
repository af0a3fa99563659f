#include "version_span.hpp"

#include "timing_check.hpp"

namespace tt {

Result<void> setVersionSpan(double versionMs) {
  timing.versionMost = std::chrono::milliseconds(static_cast<std::int64_t>(versionMs));
  timing.rolloutMost = timing.versionMost * 9 / 10;
  timing.unbegunMost = timing.versionMost * 39 / 40;
  TimingBounds bounds;
  bounds.commandLease = timing.commandRest;
  return checkTiming(timing, bounds);
}

}  // namespace tt
