#pragma once
#include "base.hpp"

namespace tt {

/// How a process that was told to stop ends in order. Clients are led away from it only some time after it has said
/// that it is not ready, so it serves on until then; from then on it takes only what is sure to be over before its end;
/// and what is unfinished at its end gets a final answer before the process exits. Times are of the steady clock.
struct DrainPlan {
  TimePoint startedAt{};
  /// Until here every request is taken.
  TimePoint refusesFrom{};
  /// Here whatever is unfinished gets its final answer.
  TimePoint endsAt{};
  /// The process exits here at the latest, so that the last answers have time to leave.
  TimePoint exitsBy{};

  /// Whether a request may be taken that is given up at its own deadline; Moment::max() if it has none.
  bool takes(TimePoint now, TimePoint deadline) const { return now < refusesFrom || deadline <= endsAt; }
};

/// The plan for a process that is told to stop now and killed after the grace.
DrainPlan planDrain(TimePoint now, Duration grace);

}  // namespace tt
