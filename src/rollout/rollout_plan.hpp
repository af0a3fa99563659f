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
  /// How long the first start waits for further announcements, which often follow immediately.
  Duration settleDelay{0};
  /// The time over which the starts of the workers are spread. At 0 as many start at once as may change at once.
  Duration spread{0};
  /// After this time a worker is overdue: it is started at once, and twice as many workers as usual may change.
  Duration overdueAfter{0};
  /// If the weights may be bad, the waiting workers are started one at a time after this time.
  Duration suspectRetryAfter{0};
  /// One in this many workers may change at the same time.
  int parts{3};
};

/// Returns the workers of one model that should start to change to the newest weights now, ordered by when their
/// weights were superseded, the earliest first.
///
/// Let N be the number of workers, and w the number of waiting workers whose weights were superseded at time T or
/// earlier. The next of these is due at T + `settleDelay` + `spread` * (N - w) / N; the earliest such time over all T
/// counts. So a worker is due within `settleDelay` + `spread` of the time at which its own weights were superseded,
/// however often newer ones are announced, and at most once in that time. If loads have failed and none has succeeded,
/// neither here nor in another zone (`provenElsewhere`), the weights may be bad. The other workers then keep the old
/// weights, so that the operator can go back to them at once.
std::vector<std::string> workersToStart(const std::vector<RolloutWorker>& workers, const RolloutLimits& limits,
                                        TimePoint now, bool provenElsewhere = false);

}  // namespace tt
