/// How the simulator stops proxies in order, and what it checks of those that leave.
#include "actor.hpp"

namespace tt {
namespace {
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

/// Ends the process once it has nothing left to answer, or when its plan's time is over.
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

/// No order may be left without a verdict by a proxy that ends in order.
void World::checkGivenUp(const std::string& proxy) {
  for (const auto& [requestId, order] : orderRows)
    if (!order.ended && starts(requestId, (proxy + "/").c_str()))
      violate("given-up", requestId + " has no verdict at its proxy's end");
}

/// An order that was taken so late that it could be refused is never given up for the proxy's sake.
void World::checkGivenUp(const CallerVerdict& verdict, const OrderRow& order) {
  auto plan = drains.find(verdict.requestId.substr(0, verdict.requestId.find('/')));
  if (plan == drains.end() || verdict.verdict == "not run") return;
  if (static_cast<Code>(verdict.code) == Code::stopping && order.askedAt > plan->second.refusesFrom + stepEvery)
    violate("given-up", verdict.requestId + " was taken by a proxy that could not finish it");
}

}  // namespace tt
