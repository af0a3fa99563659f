#include "drain_plan.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long clients go on being led to a process that is not ready: whoever leads them asks each second and turns away
/// after two misses; half a second is kept for answers that are late.
constexpr Duration noticedAfter = 2500ms;
/// What is kept of the grace before the kill, for a process that is slow to exit.
constexpr Duration exitReserve = 700ms;
/// How long the last answers have to leave the process.
constexpr Duration lastAnswers = 200ms;
/// The same three for a short grace, as shares of it.
constexpr int noticedShare = 3, reserveShare = 8, answersShare = 40;
}  // namespace

DrainPlan planDrain(TimePoint now, Duration grace) {
  DrainPlan plan;
  plan.startedAt = now;
  plan.refusesFrom = now + std::min(noticedAfter, grace / noticedShare);
  plan.exitsBy = now + grace - std::min(exitReserve, grace / reserveShare);
  plan.endsAt = plan.exitsBy - std::min(lastAnswers, grace / answersShare);
  return plan;
}

}  // namespace tt
