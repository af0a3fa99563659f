/// Which orders are let in, whose turn it is, and when those turned away may come back.
#include "edge.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr std::size_t mostPriorities = 64;
}  // namespace

int ProxyRouter::comeBackMs(Effects& effects, Code code) const {
  int least = 300;
  if (code == Code::staleEdge) {
    least = settings.fetchWithinRequest ? 1200 : 500;
  } else if (code == Code::stopping) {
    least = 200;
  } else if (code == Code::pendingFull) {
    double timing = std::max(
        1.0, static_cast<double>(doneAt.size()) / std::chrono::duration<double>(settings.retryBudgetWindow).count());
    least = static_cast<int>(std::clamp(1000.0 * static_cast<double>(pending.size()) / timing, 300.0, 5000.0));
  } else if (code == Code::noWorker) {
    bool held = false;
    for (const auto& [zone, news] : cells)
      for (const auto& worker : news.workers) held = held || (worker.held && worker.alive);
    least = held ? 1500 : 1000;
  } else if (code == Code::retryBudget) {
    least = 1000;
  }
  return least + static_cast<int>(effects.randomBelow(static_cast<std::uint64_t>(std::max(least, 700))));
}

bool ProxyRouter::makeRoom(Effects& effects, const std::string& tenant) {
  std::map<std::string, std::size_t> pendingByTenant{{tenant, 0}};
  for (const auto& orderId : pending)
    if (auto found = orders.find(orderId); found != orders.end()) ++pendingByTenant[found->second->tenant];
  auto greediest = std::max_element(pendingByTenant.begin(), pendingByTenant.end(),
                                    [](const auto& one, const auto& other) { return one.second < other.second; });
  std::size_t share = settings.maxPending / pendingByTenant.size();
  if (pendingByTenant[tenant] >= share || greediest->second <= share) return false;
  for (auto row = pending.rbegin(); row != pending.rend(); ++row) {
    auto found = orders.find(*row);
    if (found == orders.end() || found->second->tenant != greediest->first) continue;
    std::string orderId = *row;
    pending.erase(std::next(row).base());
    found->second->lastCode = Code::pendingFull;
    effects.note("place given up", orderId + " " + tenant);
    dispatch(effects, orderId, "late");
    return true;
  }
  return false;
}

void ProxyRouter::admit(Effects& effects, const CallerOrder& ask) {
  auto order = std::make_unique<Order>();
  order->ask = ask;
  order->takenAt = effects.now;
  auto deny = [&](Code code, const std::string& subject = {}, const std::string& text = {}) {
    CallerVerdict said;
    said.orderId = ask.orderId;
    said.verdict = "not run";
    said.code = static_cast<int>(code);
    said.subject = subject;
    said.text = text.empty() ? codeText(code) : text;
    if (codeStatus(code) == 503) said.retryAfterMs = comeBackMs(effects, code);
    effects.note("denied", ask.orderId, static_cast<int>(code));
    effects.send("caller", said);
  };
  if (!fresh(effects.now)) return deny(Code::staleEdge);
  const RouteView* pathRoute = ask.path.empty() ? nullptr : view.routeFor(ask.host, ask.path);
  if (!ask.path.empty() && !pathRoute) return deny(Code::unknownRoute, "path");
  order->keyHash = sha256Hex(ask.key);
  auto key = view.findKey(order->keyHash);
  bool open = pathRoute && (pathRoute->open || !view.requiresKeys());
  if (!key && !open) return deny(Code::keyDenied, "authorization");
  if (key) order->tenant = key->tenant;
  if (pathRoute) {
    order->ask.route = pathRoute->name;
    order->ask.repeatable = pathRoute->repeat == RetryMode::safe || pathRoute->resumable;
    order->priority = pathRoute->priority;
    if (key)
      if (auto tenant = view.findTenant(order->tenant); tenant && tenant->priority) order->priority = *tenant->priority;
    order->urgency = order->priority;
    if (priorities.size() < mostPriorities) priorities.insert(order->priority);
    if (!ask.model.empty() && pathRoute->targetLatency > Duration(0)) {
      double aimMs = std::chrono::duration<double, std::milli>(pathRoute->targetLatency).count();
      tightestAimMs = tightestAimMs > 0 ? std::min(tightestAimMs, aimMs) : aimMs;
    }
    Duration wait = ask.deadlineMs > 0 ? Duration(std::chrono::milliseconds(ask.deadlineMs)) : Duration(120s);
    if (pathRoute->timeout > Duration(0)) wait = std::min(wait, pathRoute->timeout);
    order->deadline = effects.now + wait;
    if (mayEndBefore(order->deadline, effects.now)) return deny(Code::stopping);
    double sum = 0;
    for (const auto& [service, weight] : pathRoute->split) sum += weight;
    double drawn = static_cast<double>(effects.randomBelow(1000000)) / 1000000 * sum;
    for (const auto& [service, weight] : pathRoute->split) {
      order->service = service;
      if (drawn < weight) break;
      drawn -= weight;
    }
    order->route = *pathRoute;
    order->policy = pathRoute->policy.empty() ? routePolicy : view.policyOf(pathRoute->policy);
    if (pending.size() >= settings.maxPending && !makeRoom(effects, order->tenant))
      return deny(Code::pendingFull, "pending");
    return accept(effects, std::move(order));
  }
  if (mayEndBefore(TimePoint::max(), effects.now)) return deny(Code::stopping);
  auto route = view.findRoute(ask.route);
  if (!route || route->matchesPath()) return deny(Code::unknownRoute, "route");
  if (!view.knowsModel(ask.model)) return deny(Code::unknownModel, "model");
  if (route->model != ask.model) return deny(Code::badField, "model", "this route serves model " + route->model);
  if (!route->tenants.empty() && !route->tenants.count(order->tenant)) return deny(Code::unknownTenant, "route");
  if (!ask.tenant.empty() && ask.tenant != order->tenant) return deny(Code::unknownTenant, "tenant");
  if (auto modes = checkTransferModes(ask.modes); !modes)
    return deny(modes.error().code, modes.error().subject, modes.error().text);
  if (pending.size() >= settings.maxPending && !makeRoom(effects, order->tenant))
    return deny(Code::pendingFull, "pending");
  order->route = *route;
  order->policy = view.policyOf(route->policy);
  accept(effects, std::move(order));
}

void ProxyRouter::accept(Effects& effects, std::unique_ptr<Order> order) {
  std::string orderId = order->ask.orderId;
  order->walk = std::make_unique<StateMachine<ProxyRouter, Effects&, Order&>>("order", actions(), "pending");
  admittedAt.push_back(effects.now);
  effects.note("admitted", orderId);
  orders[orderId] = std::move(order);
  pending.push_back(orderId);
  servePending(effects);
}

Duration ProxyRouter::pendingMostOf(const Order& order) const {
  if (!order.route.matchesPath() || order.route.targetLatency <= Duration(0)) return settings.pendingTimeout;
  return std::min(settings.pendingTimeout, order.route.targetLatency / 5);
}

void ProxyRouter::servePending(Effects& effects) {
  std::map<std::string, std::deque<std::string>> byTenant;
  for (const auto& orderId : pending)
    if (auto found = orders.find(orderId); found != orders.end() && found->second->walk->in("pending"))
      byTenant[found->second->tenant].push_back(orderId);
  pending.clear();
  std::deque<std::string> left;
  auto openOf = [&](const std::string& tenant) {
    auto open = openByTenant.find(tenant);
    return open == openByTenant.end() ? 0 : open->second;
  };
  while (!byTenant.empty()) {
    auto next = std::min_element(byTenant.begin(), byTenant.end(), [&](const auto& one, const auto& other) {
      return openOf(one.first) < openOf(other.first);
    });
    std::string orderId = next->second.front();
    next->second.pop_front();
    if (next->second.empty()) byTenant.erase(next);
    auto found = orders.find(orderId);
    if (found == orders.end()) continue;
    auto& order = *found->second;
    if (effects.now - order.takenAt >= pendingMostOf(order) || overdue(order, effects.now) || !fresh(effects.now)) {
      if (!fresh(effects.now)) order.lastCode = Code::staleEdge;
      dispatch(effects, orderId, "late");
      continue;
    }
    if (order.tries > 0 && !mayRetry(effects.now)) {
      order.lastCode = Code::retryBudget;
      left.push_back(orderId);
      continue;
    }
    if (!drawWorker(effects, order)) {
      if (order.lastCode == Code::noWorker && effects.now - order.takenAt > 500ms)
        dispatch(effects, orderId, "late");
      else
        left.push_back(orderId);
      continue;
    }
    if (order.tries > 0) {
      retriedAt.push_back(effects.now);
      effects.note("retry", orderId, order.tries);
    }
    drawSources(order, effects.now);
    dispatch(effects, orderId, order.plan.candidates.empty() ? "drawn" : "wantMove");
  }
  pending.insert(pending.end(), left.begin(), left.end());
}

bool ProxyRouter::mayEndBefore(TimePoint deadline, TimePoint now) const {
  return drainPlan && !drainPlan->takes(now, deadline) && settings.defences.isEnabled(Defence::drainRefuses);
}

}  // namespace tt
