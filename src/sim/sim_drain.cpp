/// Graceful shutdown of proxies, and the checks of the requests that they leave unfinished.
#include "actor.hpp"

namespace tt {
namespace {
/// How often it is checked whether a draining proxy may exit.
constexpr Duration drainCheckInterval = 50ms;
}  // namespace

void World::drainProxy(const std::string& name, Duration grace) {
  auto& actor = *actors.at(name);
  if (!actor.alive || drainPlans.count(name)) return;
  drainPlans[name] = planDrain(clock, grace);
  std::uint64_t incarnation = actor.incarnation;
  auto startDrain = [this, name, grace] { proxyRouter(name)->drain(planDrain(localNow(name), grace)); };
  if (clock < actor.frozenUntil)
    actor.deferred.push_back(startDrain);
  else
    startDrain();
  schedule(drainCheckInterval, [this, name, incarnation] { continueDrain(name, incarnation); });
  schedule(grace, [this, name, incarnation] {
    if (actors.at(name)->incarnation == incarnation) kill(name);
  });
}

/// Ends the process once it has no open requests, at the latest when its drain plan says.
void World::continueDrain(const std::string& name, std::uint64_t incarnation) {
  auto& actor = *actors.at(name);
  if (actor.incarnation != incarnation || !actor.alive) return;
  const auto& plan = drainPlans.at(name);
  bool idle = clock >= plan.refusesFrom && proxyRouter(name)->openRequests() == 0;
  bool safeToStop = clock >= actor.frozenUntil && (idle || clock >= plan.exitsBy);
  if (!safeToStop) return schedule(drainCheckInterval, [this, name, incarnation] { continueDrain(name, incarnation); });
  checkAllAnswered(name);
  kill(name);
}

/// Checks that a proxy that was drained has sent a final response to each of its requests.
void World::checkAllAnswered(const std::string& proxy) {
  for (const auto& [requestId, request] : requestRecords)
    if (!request.ended && startsWith(requestId, (proxy + "/").c_str()))
      reportViolation("given-up", requestId + " got no final response before its proxy stopped");
}

/// Checks that a request that arrived after the proxy had begun to reject requests is not ended because the proxy
/// stops: it should have been rejected.
void World::checkStopResponse(const CallerVerdict& response, const RequestRecord& request) {
  auto plan = drainPlans.find(response.requestId.substr(0, response.requestId.find('/')));
  if (plan == drainPlans.end() || response.verdict == "not run") return;
  if (static_cast<Code>(response.code) == Code::stopping &&
      request.sentAt > plan->second.refusesFrom + drainCheckInterval)
    reportViolation("given-up", response.requestId + " was accepted by a draining proxy that could not finish it");
}

}  // namespace tt
