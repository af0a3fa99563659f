/// Admits or denies requests, decides which pending request is served next, and when a denied client may retry.
#include "proxy_router.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How many different priorities are remembered; bounds the memory that they take.
constexpr std::size_t maxKnownPriorities = 64;
/// How long a request stays pending while no worker, not even a busy one, could serve it.
constexpr Duration noWorkerTimeout = 500ms;
/// The deadline of a request on a path route that neither the client nor the route limits.
constexpr Duration defaultDeadline = 120s;
/// On a route with a target latency a request may be pending for the target latency divided by this.
constexpr int pendingLatencyDivisor = 5;
/// The minimum retry delay of a denied client, in milliseconds, by the reason: none of the others; a stale proxy,
/// without and with fetches within requests; a stopping proxy; no worker, without and with any that a roll-out
/// withholds; a spent retry budget. If the queue is full, the delay is the time to work it off, within bounds.
constexpr int defaultRetryMs = 300, staleRetryMs = 500, staleFetchingRetryMs = 1200, stoppingRetryMs = 200,
              noWorkerRetryMs = 1000, withheldRetryMs = 1500, retryBudgetRetryMs = 1000;
constexpr double minQueueRetryMs = 300, maxQueueRetryMs = 5000;
/// The random part of a retry delay is below the minimum delay, or below this if that is larger, in milliseconds.
constexpr int minRetryJitterMs = 700;
/// The resolution of the random draw of a service from a route's traffic split.
constexpr std::uint64_t splitResolution = 1000000;
}  // namespace

int ProxyRouter::retryDelayMs(Effects& effects, Code code) const {
  int minDelayMs = defaultRetryMs;
  if (code == Code::staleEdge) {
    minDelayMs = settings.fetchWithinRequest ? staleFetchingRetryMs : staleRetryMs;
  } else if (code == Code::stopping) {
    minDelayMs = stoppingRetryMs;
  } else if (code == Code::pendingFull) {
    double completionsPerSecond = std::max(1.0, static_cast<double>(completionTimes.size()) /
                                                    std::chrono::duration<double>(settings.retryBudgetWindow).count());
    minDelayMs = static_cast<int>(std::clamp(1000.0 * static_cast<double>(pending.size()) / completionsPerSecond,
                                             minQueueRetryMs, maxQueueRetryMs));
  } else if (code == Code::noWorker) {
    bool anyWithheld = false;
    for (const auto& [zone, cell] : cells)
      for (const auto& worker : cell.workers) anyWithheld = anyWithheld || (worker.withheld && worker.alive);
    minDelayMs = anyWithheld ? withheldRetryMs : noWorkerRetryMs;
  } else if (code == Code::retryBudget) {
    minDelayMs = retryBudgetRetryMs;
  }
  return minDelayMs +
         static_cast<int>(effects.randomBelow(static_cast<std::uint64_t>(std::max(minDelayMs, minRetryJitterMs))));
}

bool ProxyRouter::displacePending(Effects& effects, const std::string& tenant) {
  std::map<std::string, std::size_t> pendingByTenant{{tenant, 0}};
  for (const auto& requestId : pending)
    if (auto found = requests.find(requestId); found != requests.end()) ++pendingByTenant[found->second->tenant];
  auto largest = std::max_element(pendingByTenant.begin(), pendingByTenant.end(),
                                  [](const auto& one, const auto& other) { return one.second < other.second; });
  std::size_t share = settings.maxPending / pendingByTenant.size();
  if (pendingByTenant[tenant] >= share || largest->second <= share) return false;
  for (auto row = pending.rbegin(); row != pending.rend(); ++row) {
    auto found = requests.find(*row);
    if (found == requests.end() || found->second->tenant != largest->first) continue;
    std::string requestId = *row;
    pending.erase(std::next(row).base());
    found->second->lastCode = Code::pendingFull;
    effects.note("place given up", requestId + " " + tenant);
    dispatch(effects, requestId, "late");
    return true;
  }
  return false;
}

void ProxyRouter::admit(Effects& effects, const CallerOrder& submitted) {
  auto request = std::make_unique<Request>();
  request->submitted = submitted;
  request->pendingSince = effects.now;
  auto deny = [&](Code code, const std::string& subject = {}, const std::string& text = {}) {
    CallerVerdict status;
    status.requestId = submitted.requestId;
    status.verdict = "not run";
    status.code = static_cast<int>(code);
    status.subject = subject;
    status.text = text.empty() ? codeText(code) : text;
    if (codeStatus(code) == 503) status.retryAfterMs = retryDelayMs(effects, code);
    effects.note("denied", submitted.requestId, static_cast<int>(code));
    effects.send("caller", status);
  };
  if (!fresh(effects.now)) return deny(Code::staleEdge);
  const RouteView* pathRoute = submitted.path.empty() ? nullptr : config.routeFor(submitted.host, submitted.path);
  if (!submitted.path.empty() && !pathRoute) return deny(Code::unknownRoute, "path");
  request->keyHash = sha256Hex(submitted.key);
  auto key = config.findKey(request->keyHash);
  bool open = pathRoute && (pathRoute->open || !config.requiresKeys());
  if (!key && !open) return deny(Code::keyDenied, "authorization");
  if (key) request->tenant = key->tenant;
  if (pathRoute) {
    request->submitted.route = pathRoute->name;
    request->submitted.repeatable = pathRoute->repeat == RetryMode::safe || pathRoute->resumable;
    request->priority = pathRoute->priority;
    if (key)
      if (auto tenant = config.findTenant(request->tenant); tenant && tenant->priority)
        request->priority = *tenant->priority;
    request->urgency = request->priority;
    if (knownPriorities.size() < maxKnownPriorities) knownPriorities.insert(request->priority);
    if (!submitted.model.empty() && pathRoute->targetLatency > Duration(0)) {
      double targetLatencyMs = std::chrono::duration<double, std::milli>(pathRoute->targetLatency).count();
      minLatencyTargetMs = minLatencyTargetMs > 0 ? std::min(minLatencyTargetMs, targetLatencyMs) : targetLatencyMs;
    }
    Duration timeout =
        submitted.deadlineMs > 0 ? Duration(std::chrono::milliseconds(submitted.deadlineMs)) : defaultDeadline;
    if (pathRoute->timeout > Duration(0)) timeout = std::min(timeout, pathRoute->timeout);
    request->deadline = effects.now + timeout;
    if (mayStopBefore(request->deadline, effects.now)) return deny(Code::stopping);
    double totalWeight = 0;
    for (const auto& [service, weight] : pathRoute->split) totalWeight += weight;
    double draw = static_cast<double>(effects.randomBelow(splitResolution)) / splitResolution * totalWeight;
    for (const auto& [service, weight] : pathRoute->split) {
      request->service = service;
      if (draw < weight) break;
      draw -= weight;
    }
    request->route = *pathRoute;
    request->policy = pathRoute->policy.empty() ? routePolicy : config.policyOf(pathRoute->policy);
    if (pending.size() >= settings.maxPending && !displacePending(effects, request->tenant))
      return deny(Code::pendingFull, "pending");
    return accept(effects, std::move(request));
  }
  if (mayStopBefore(TimePoint::max(), effects.now)) return deny(Code::stopping);
  auto route = config.findRoute(submitted.route);
  if (!route || route->matchesPath()) return deny(Code::unknownRoute, "route");
  if (!config.knowsModel(submitted.model)) return deny(Code::unknownModel, "model");
  if (route->model != submitted.model) return deny(Code::badField, "model", "this route serves model " + route->model);
  if (route->tenants && !route->tenants->count(request->tenant)) return deny(Code::unknownTenant, "route");
  if (!submitted.tenant.empty() && submitted.tenant != request->tenant) return deny(Code::unknownTenant, "tenant");
  if (auto modes = checkTransferModes(submitted.modes); !modes)
    return deny(modes.error().code, modes.error().subject, modes.error().text);
  if (pending.size() >= settings.maxPending && !displacePending(effects, request->tenant))
    return deny(Code::pendingFull, "pending");
  request->route = *route;
  request->policy = config.policyOf(route->policy);
  accept(effects, std::move(request));
}

void ProxyRouter::accept(Effects& effects, std::unique_ptr<Request> request) {
  std::string requestId = request->submitted.requestId;
  request->stateMachine =
      std::make_unique<StateMachine<ProxyRouter, Effects&, Request&>>("order", actions(), "pending");
  admissionTimes.push_back(effects.now);
  effects.note("admitted", requestId);
  requests[requestId] = std::move(request);
  pending.push_back(requestId);
  servePending(effects);
}

Duration ProxyRouter::pendingTimeoutFor(const Request& request) const {
  if (!request.route.matchesPath() || request.route.targetLatency <= Duration(0)) return settings.pendingTimeout;
  return std::min(settings.pendingTimeout, request.route.targetLatency / pendingLatencyDivisor);
}

void ProxyRouter::servePending(Effects& effects) {
  std::map<std::string, std::deque<std::string>> byTenant;
  for (const auto& requestId : pending)
    if (auto found = requests.find(requestId); found != requests.end() && found->second->stateMachine->isIn("pending"))
      byTenant[found->second->tenant].push_back(requestId);
  pending.clear();
  std::deque<std::string> remaining;
  auto openCountOf = [&](const std::string& tenant) {
    auto open = openByTenant.find(tenant);
    return open == openByTenant.end() ? 0 : open->second;
  };
  while (!byTenant.empty()) {
    auto next = std::min_element(byTenant.begin(), byTenant.end(), [&](const auto& one, const auto& other) {
      return openCountOf(one.first) < openCountOf(other.first);
    });
    std::string requestId = next->second.front();
    next->second.pop_front();
    if (next->second.empty()) byTenant.erase(next);
    auto found = requests.find(requestId);
    if (found == requests.end()) continue;
    auto& request = *found->second;
    if (effects.now - request.pendingSince >= pendingTimeoutFor(request) || isPastDeadline(request, effects.now) ||
        !fresh(effects.now)) {
      if (!fresh(effects.now)) request.lastCode = Code::staleEdge;
      dispatch(effects, requestId, "late");
      continue;
    }
    if (request.attempts > 0 && !retryBudgetAllows(effects.now)) {
      request.lastCode = Code::retryBudget;
      remaining.push_back(requestId);
      continue;
    }
    if (!selectWorker(effects, request)) {
      if (request.lastCode == Code::noWorker && effects.now - request.pendingSince > noWorkerTimeout)
        dispatch(effects, requestId, "late");
      else
        remaining.push_back(requestId);
      continue;
    }
    if (request.attempts > 0) {
      retryTimes.push_back(effects.now);
      effects.note("retry", requestId, request.attempts);
    }
    selectSources(request, effects.now);
    dispatch(effects, requestId, request.plan.candidates.empty() ? "drawn" : "wantMove");
  }
  pending.insert(pending.end(), remaining.begin(), remaining.end());
}

bool ProxyRouter::mayStopBefore(TimePoint deadline, TimePoint now) const {
  return drainPlan && !drainPlan->accepts(now, deadline) && settings.defences.isEnabled(Defence::drainRefuses);
}

}  // namespace tt
