#include "drain_plan.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long clients are still sent to a process that is not ready: load balancers probe each second and stop after two
/// failed probes; half a second is added for late probe responses.
constexpr Duration propagationDelay = 2500ms;
/// The end of the grace period that is left for a process that is slow to exit.
constexpr Duration exitReserve = 700ms;
/// How long the final responses have to leave the process.
constexpr Duration responseFlushTime = 200ms;
/// For a short grace period the three above are these fractions of it instead.
constexpr int propagationDivisor = 3, reserveDivisor = 8, flushDivisor = 40;
}  // namespace

DrainPlan planDrain(TimePoint now, Duration grace) {
  DrainPlan plan;
  plan.startedAt = now;
  plan.refusesFrom = now + std::min(propagationDelay, grace / propagationDivisor);
  plan.exitsBy = now + grace - std::min(exitReserve, grace / reserveDivisor);
  plan.endsAt = plan.exitsBy - std::min(responseFlushTime, grace / flushDivisor);
  return plan;
}

}  // namespace tt
