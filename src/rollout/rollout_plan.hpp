#pragma once
/// The order and pace in which workers change to newly announced weights.
#include "base.hpp"

namespace tt {

/// The progress of one worker's change to the newest weights.
enum class RolloutStep { serving, changing, failed };

/// One worker of a model, as the plan sees it.
struct RolloutWorker {
  std::string name;
  /// When its weights were superseded (see VersionTimeline); TimePoint::max() if it has the newest.
  TimePoint supersededAt{TimePoint::max()};
  RolloutStep step{RolloutStep::serving};
};

/// The limits of a roll-out. Durations count from when a worker's weights were superseded.
struct RolloutLimits {
  /// How long the first start waits for further announcements, which often follow at once.
  Duration settleDelay{0};
  /// The time over which the starts of the workers are spread. At 0 as many start at once as may change at once.
  Duration spread{0};
  /// After this time a worker is overdue: it is started at once, and twice as many workers may change as otherwise.
  Duration overdueAfter{0};
  /// After this time, where the weights may be bad, the waiting workers are tried one at a time.
  Duration suspectRetryAfter{0};
  /// One in this many workers may change at the same time.
  int parts{3};
};

/// Returns the workers of one model that are to start the change to the newest weights now, those whose weights were
/// superseded first coming first.
///
/// Consider the workers whose weights were superseded at or before some time. The next of them is due after the
/// fraction of `spread` that equals the fraction of all workers that no longer wait. So each worker is started at most
/// `spread` after its own weights were superseded, however often newer ones are announced, and at most once in that
/// time. Where loads have failed and none succeeded, neither here nor in another zone (`provenElsewhere`), the weights
/// may be bad: the other workers then keep the old ones, so that the operator can go back to these at once.
std::vector<std::string> workersToStart(const std::vector<RolloutWorker>& workers, const RolloutLimits& limits,
                                        TimePoint now, bool provenElsewhere = false);

}  // namespace tt
