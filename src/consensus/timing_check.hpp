#pragma once
#include "election.hpp"

namespace tt {

/// The time limits from the settings of a deployment with which the limits in Timing must be compatible.
struct TimingBounds {
  /// How long after its acknowledgement a key revocation takes effect everywhere; empty if this is not promised.
  std::optional<Duration> revoke;
  /// How long after its acknowledgement a configuration change takes effect on all reachable machines.
  Duration configApply{2s};
  /// How long the acknowledgement of a valid configuration change may take.
  Duration acknowledge{4s};
  /// How long after the machine list shows a worker as leaving it may still receive requests.
  Duration drain{3s};
  /// The minimum time between the last command of one lease holder and the first command of the next.
  Duration commandLease{3s};
};

/// Checks that the time limits are compatible with each other and with the bounds. The error names the first inequality
/// that does not hold.
Result<void> checkTiming(const Timing& durations, const TimingBounds& bounds);

}  // namespace tt
