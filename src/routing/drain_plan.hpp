#pragma once
#include "base.hpp"

namespace tt {

/// The schedule by which a process drains after it has been told to stop. Load balancers stop sending clients to it
/// only some time after it reports that it is not ready, so until then it accepts every request. From then on it
/// accepts only requests that are sure to end before it does. Requests that are open at the end get a final response
/// before the process exits. Times are of the steady clock.
struct DrainPlan {
  TimePoint startedAt{};
  /// Until this time every request is accepted.
  TimePoint refusesFrom{};
  /// At this time all open requests get their final response.
  TimePoint endsAt{};
  /// The process exits at this time at the latest. Between `endsAt` and this time the final responses are sent.
  TimePoint exitsBy{};

  /// Whether a request with this deadline may be accepted; TimePoint::max() if it has none.
  bool accepts(TimePoint now, TimePoint deadline) const { return now < refusesFrom || deadline <= endsAt; }
};

/// The plan for a process that is told to stop now and is killed after the grace period.
DrainPlan planDrain(TimePoint now, Duration grace);

}  // namespace tt
