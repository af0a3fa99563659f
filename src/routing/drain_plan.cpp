#include "drain_plan.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long load balancers may still send clients to a process that reports that it is not ready: they probe every
/// second and stop after two failed probes; half a second is added for late probe responses.
constexpr Duration propagationDelay = 2500ms;
/// The last part of the grace period, reserved for a process that is slow to exit.
constexpr Duration exitReserve = 700ms;
/// The time reserved for sending the final responses.
constexpr Duration responseFlushTime = 200ms;
/// In a short grace period each of the three times above is limited to the grace period divided by this.
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
