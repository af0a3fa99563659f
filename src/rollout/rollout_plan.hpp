#pragma once
#include "base.hpp"

namespace tt {

/// What a roll-out is doing with one worker.
enum class RolloutStep { serving, changing, failed };

/// One worker of a model, as the plan sees it.
struct RolloutWorker {
  std::string name;
  /// When its weights were superseded, see VersionTimeline: Moment::max() if it has the newest.
  TimePoint supersededAt{TimePoint::max()};
  RolloutStep step{RolloutStep::serving};
};

/// The spans, counted from when a worker's weights were superseded, and the limit that a plan keeps to.
struct RolloutLimits {
  /// How long the first start waits for further namings, which often follow at once.
  Duration settle{0};
  /// Over how long the workers are started, one after the other; 0 starts all that there is room for.
  Duration spread{0};
  /// After which a worker is overdue: started at once, with twice as many changing as otherwise.
  Duration latest{0};
  /// After which, where the weights may be bad, the workers that wait are tried one at a time.
  Duration suspectRest{0};
  /// One in so many workers may change at the same time.
  int parts{3};
};

/// Which workers of one model to start on the newest weights now, those whose weights were superseded first coming
/// first.
///
/// Of the workers whose weights were superseded at a moment or before it, the next is due after the share of `spread`
/// that those not waiting any more are of all. So each worker is started at most `spread` after its own weights were
/// superseded, however often newer ones are named, and at most once in that time. Where loads have failed and none
/// succeeded, neither here nor elsewhere, the weights may be bad: then the others keep the old ones, so that the
/// operator can go back to these at once.
std::vector<std::string> workersToStart(const std::vector<RolloutWorker>& workers, const RolloutLimits& limits,
                                        TimePoint now, bool provenElsewhere = false);

}  // namespace tt
