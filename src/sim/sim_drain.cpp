/// Graceful shutdown of proxies, and the checks of the requests that they leave unfinished.
#include "actor.hpp"

namespace tt {
namespace {
/// How often it is checked whether a draining proxy may exit.
constexpr Duration stepEvery = 50ms;
}  // namespace

void World::leave(const std::string& name, Duration grace) {
  auto& actor = *actors.at(name);
  if (!actor.alive || drains.count(name)) return;
  drains[name] = planDrain(clock, grace);
  std::uint64_t life = actor.life;
  auto told = [this, name, grace] { edge(name)->drain(planDrain(localNow(name), grace)); };
  if (clock < actor.frozenUntil)
    actor.held.push_back(told);
  else
    told();
  later(stepEvery, [this, name, life] { leaveFurther(name, life); });
  later(grace, [this, name, life] {
    if (actors.at(name)->life == life) kill(name);
  });
}

/// Ends the process once it has no open requests, at the latest when its drain plan says.
void World::leaveFurther(const std::string& name, std::uint64_t life) {
  auto& actor = *actors.at(name);
  if (actor.life != life || !actor.alive) return;
  const auto& plan = drains.at(name);
  bool isEmpty = clock >= plan.refusesFrom && edge(name)->openRequests() == 0;
  bool safeToStop = clock >= actor.frozenUntil && (isEmpty || clock >= plan.exitsBy);
  if (!safeToStop) return later(stepEvery, [this, name, life] { leaveFurther(name, life); });
  checkGivenUp(name);
  kill(name);
}

/// Checks that a proxy that was drained has sent a final response to each of its requests.
void World::checkGivenUp(const std::string& proxy) {
  for (const auto& [requestId, order] : orderRows)
    if (!order.ended && starts(requestId, (proxy + "/").c_str()))
      violate("given-up", requestId + " got no final response before its proxy stopped");
}

/// Checks that a request that arrived after the proxy had begun to reject requests is not ended because the proxy
/// stops: it should have been rejected.
void World::checkGivenUp(const CallerVerdict& verdict, const OrderRow& order) {
  auto plan = drains.find(verdict.requestId.substr(0, verdict.requestId.find('/')));
  if (plan == drains.end() || verdict.verdict == "not run") return;
  if (static_cast<Code>(verdict.code) == Code::stopping && order.askedAt > plan->second.refusesFrom + stepEvery)
    violate("given-up", verdict.requestId + " was accepted by a draining proxy that could not finish it");
}

}  // namespace tt
