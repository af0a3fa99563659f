/// Which worker takes an order: load, kept prefixes, and whether it is worth taking at all.
#include "edge.hpp"
#include "first_draw_costs.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Duration newsOld = 1500ms;
constexpr Duration loadOld = 1s;
/// How long until what was sent to the store shows in its index, and how many such prefixes are remembered.
constexpr Duration savedSure = 3s;
constexpr double delayShare = 0.1;
constexpr Duration delayOld = 1s;
constexpr double waitingMs = 40;
constexpr std::size_t ranksAsked = 3;
}  // namespace

int ProxyRouter::busyOf(const WorkerView& worker, TimePoint now) const {
  auto local = locals.find(worker.name);
  auto heard = newsAt.find(worker.zone);
  if (heard == newsAt.end() || now - heard->second > newsOld) return local == locals.end() ? 0 : local->second.open;
  if (local == locals.end()) return worker.running;
  return std::max(local->second.open, worker.running + local->second.sentSinceNews);
}

double ProxyRouter::loadOf(const std::string& worker, TimePoint now) const {
  auto found = locals.find(worker);
  if (found == locals.end()) return 0;
  const auto& local = found->second;
  bool told = now - local.loadAt < loadOld;
  return std::max(local.unread / settings.tokensPerMs, told ? local.waiting * waitingMs : 0) +
         std::max(local.open, told ? local.running : 0) * runningMs;
}

bool ProxyRouter::savesTo(const std::string& store, const BlockHash& prefix, TimePoint now) {
  const auto* keeper = workerView(store);
  if (!keeper || static_cast<int>(prefix.high % 1000) >= keeper->savedPermille) return false;
  auto row = savedAt.find(prefix);
  return row == savedAt.end() || now - row->second >= savedSure;
}

void ProxyRouter::noteDelay(const Order& order, TimePoint now) {
  double readMs = order.plan.unread / settings.tokensPerMs;
  double late = std::max(0.0, std::chrono::duration<double, std::milli>(now - order.sentAt).count() - readMs);
  delayMs += (late - delayMs) * delayShare;
  meanUnread += (order.plan.unread - meanUnread) * delayShare;
  delayAt = now;
}

bool ProxyRouter::sheds(Effects& effects, const Order& order) {
  if (settings.maxShedRatio <= 0 || order.route.targetLatency <= Duration(0) || effects.now - delayAt > delayOld)
    return false;
  double aimMs = std::chrono::duration<double, std::milli>(order.route.targetLatency).count();
  double over = delayMs / aimMs - 1;
  if (over <= 0) return false;
  double size = std::clamp(order.plan.unread / std::max(1.0, meanUnread), 0.2, 2.0);
  return static_cast<double>(effects.randomBelow(1000)) < 1000 * std::min(settings.maxShedRatio, over * 0.5) * size;
}

bool ProxyRouter::drawByPrefix(Effects& effects, Order& order) {
  struct Choice {
    const WorkerView* worker;
    std::uint64_t rank;
  };
  std::size_t shared = order.ask.parts.size() > 1 ? order.ask.parts.size() - 1 : order.ask.parts.size();
  std::string domain = order.tenant.empty() ? "shared" : view.cacheDomainOf(order.tenant);
  std::string key = domain + "/" + order.ask.model;
  key += "/" + (shared > 0 ? order.ask.parts[shared - 1] : order.ask.orderId);
  std::vector<Choice> ranked;
  bool anyAlive = false;
  for (const auto& [zone, news] : cells)
    for (const auto& worker : news.workers) {
      if (worker.service != order.service || worker.kind == "store" || !worker.alive || !mayBeDrawn(worker)) continue;
      if (!order.ask.model.empty() && worker.model != order.ask.model) continue;
      if (!worker.model.empty() && worker.weights.empty()) continue;
      ranked.push_back(Choice{&worker, rendezvousHash(key, worker.name)});
    }
  std::sort(ranked.begin(), ranked.end(), [](const Choice& one, const Choice& other) { return one.rank > other.rank; });
  const WorkerView* best = nullptr;
  double bestCost = 0, sharedMs = 0;
  for (std::size_t at = 0; at + 1 < order.ask.partTokens.size(); ++at)
    sharedMs += order.ask.partTokens[at] / settings.tokensPerMs;
  std::vector<std::size_t> drawable;
  std::size_t bestAt = 0;
  for (std::size_t at = 0; at < ranked.size(); ++at) {
    const auto& worker = *ranked[at].worker;
    if (worker.held || !mayBegin(worker.model, worker.weights, effects.now)) continue;
    anyAlive = true;
    if (order.tried.count(worker.name)) continue;
    if (auto local = locals.find(worker.name); local != locals.end() && effects.now < local->second.shunUntil) continue;
    double cost = loadOf(worker.name, effects.now) + (drawable.empty() ? 0 : otherMs + sharedMs * readAgainX);
    drawable.push_back(at);
    if (!best || cost < bestCost) {
      best = &worker;
      bestAt = drawable.size() - 1;
      bestCost = cost;
    }
  }
  order.lastCode = anyAlive ? Code::pendingFull : Code::noWorker;
  if (!best) return false;
  order.lastCode = Code::noWorker;
  Plan plan;
  plan.worker = best->name;
  plan.address = best->address;
  plan.zone = best->zone;
  plan.model = best->model;
  plan.weights = best->weights;
  if (!order.ask.model.empty()) {
    plan.salt = cacheSalt(plan.model, settings.defences.isEnabled(Defence::saltWeights) ? plan.weights : "any",
                          settings.defences.isEnabled(Defence::saltTenant) ? domain : "shared");
    for (const auto& part : order.ask.parts) plan.hashes.push_back(hashPromptPart(plan.salt, part));
    plan.tokens = order.ask.partTokens;
    for (int tokens : plan.tokens) plan.unread += tokens;
    std::size_t others = 0;
    for (std::size_t at = 0; at < drawable.size(); ++at) {
      const auto& worker = *ranked[drawable[at]].worker;
      if (worker.weights != plan.weights || (at != bestAt && ++others > ranksAsked)) continue;
      plan.candidates.push_back(Plan::Candidate{worker.name, worker.address, worker.zone});
      plan.candidates.back().rank = static_cast<int>(at);
      plan.candidates.back().service = worker.service;
    }
  }
  order.plan = std::move(plan);
  countOpen(order);
  return true;
}

void ProxyRouter::countOpen(Order& order) {
  auto& local = locals[order.plan.worker];
  ++local.open;
  ++local.sentSinceNews;
  ++openByTenant[order.tenant];
  order.counted = true;
}

bool ProxyRouter::mayBeDrawn(const WorkerView& worker) const {
  return staying.count(worker.name) || !settings.defences.isEnabled(Defence::marksAtDraw);
}

bool ProxyRouter::isPlain(const std::string& service) const {
  for (const auto& [zone, news] : cells)
    for (const auto& worker : news.workers)
      if (worker.service == service) return worker.kind == "app";
  return false;
}

PlainCandidate ProxyRouter::plainCandidate(const WorkerView& worker, TimePoint now) const {
  PlainCandidate candidate;
  candidate.slots = worker.slots;
  candidate.sameZone = worker.zone == settings.zone;
  auto found = locals.find(worker.name);
  if (found == locals.end()) return candidate;
  const auto& local = found->second;
  candidate.open = local.open;
  candidate.ejected = now < local.shunUntil;
  if (now - local.loadAt >= loadOld) return candidate;
  candidate.running = local.running;
  candidate.waiting = local.waiting;
  return candidate;
}

bool ProxyRouter::drawPlain(Effects& effects, Order& order) {
  std::vector<const WorkerView*> workers;
  std::vector<PlainCandidate> candidates;
  bool anyAlive = false;
  for (const auto& [zone, news] : cells)
    for (const auto& worker : news.workers) {
      if (worker.service != order.service || !worker.alive || !mayBeDrawn(worker)) continue;
      anyAlive = true;
      if (order.tried.count(worker.name)) continue;
      workers.push_back(&worker);
      candidates.push_back(plainCandidate(worker, effects.now));
    }
  order.lastCode = anyAlive ? Code::pendingFull : Code::noWorker;
  auto chosen = choosePlain(candidates, effects.randomSource);
  if (!chosen) return false;
  order.lastCode = Code::noWorker;
  order.plan = Plan{};
  order.plan.worker = workers[*chosen]->name;
  order.plan.address = workers[*chosen]->address;
  order.plan.zone = workers[*chosen]->zone;
  countOpen(order);
  return true;
}

bool ProxyRouter::drawWorker(Effects& effects, Order& order) {
  if (order.route.matchesPath() && isPlain(order.service)) return drawPlain(effects, order);
  if (order.route.matchesPath()) return drawByPrefix(effects, order);
  struct Choice {
    const WorkerView* worker;
    std::size_t hits;
    double cost;
    Hashes hashes;
    std::string salt;
  };
  std::vector<const WorkerView*> able;
  std::string kind = order.route.app ? "app" : "language";
  bool anyAlive = false;
  for (const auto& [zone, news] : cells)
    for (const auto& worker : news.workers) {
      if (worker.kind != kind || !worker.alive || worker.held || !mayBeDrawn(worker)) continue;
      if (kind == "language" && (worker.model != order.ask.model || worker.weights.empty() ||
                                 !mayBegin(worker.model, worker.weights, effects.now)))
        continue;
      anyAlive = true;
      if (order.tried.count(worker.name)) continue;
      if (auto local = locals.find(worker.name); local != locals.end() && effects.now < local->second.shunUntil)
        continue;
      if (busyOf(worker, effects.now) >= worker.slots) continue;
      able.push_back(&worker);
    }
  order.lastCode = anyAlive ? Code::pendingFull : Code::noWorker;
  if (able.empty()) return false;
  std::shuffle(able.begin(), able.end(), effects.randomSource);
  if (able.size() > 4) able.resize((able.size() + 1) / 2);
  std::map<std::string, std::pair<std::string, Hashes>> byWeights;
  std::string domain = view.cacheDomainOf(order.tenant);
  std::optional<Choice> best;
  for (const auto* worker : able) {
    Choice choice{worker, 0, 0, {}, {}};
    if (!order.route.app) {
      auto& hashed = byWeights[worker->weights];
      if (hashed.first.empty()) {
        hashed.first =
            cacheSalt(order.ask.model, settings.defences.isEnabled(Defence::saltWeights) ? worker->weights : "any",
                      settings.defences.isEnabled(Defence::saltTenant) ? domain : "shared");
        hashed.second = hashPrompt(order.ask.parts, hashed.first);
      }
      if (worker->confirmed)
        while (choice.hits < hashed.second.size() &&
               BloomFilter::mayContain(worker->summary, hashed.second[choice.hits]))
          ++choice.hits;
      choice.cost = static_cast<double>(hashed.second.size() - choice.hits) * settings.blockMs;
    }
    double busyness = worker->slots > 0 ? static_cast<double>(busyOf(*worker, effects.now)) / worker->slots : 1;
    choice.cost += busyness * busyness * 800 + busyness * 100 + static_cast<double>(effects.randomBelow(20));
    if (worker->zone != settings.zone) choice.cost += 5;
    if (!best || choice.cost < best->cost) best = std::move(choice);
  }
  Plan plan;
  plan.worker = best->worker->name;
  plan.address = best->worker->address;
  plan.zone = best->worker->zone;
  plan.model = order.ask.model;
  plan.localHits = best->hits;
  if (!order.route.app) {
    plan.weights = best->worker->weights;
    plan.salt = byWeights[plan.weights].first;
    plan.hashes = byWeights[plan.weights].second;
  }
  order.plan = std::move(plan);
  countOpen(order);
  return true;
}

}  // namespace tt
