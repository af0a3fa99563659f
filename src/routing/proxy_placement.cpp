/// Selects the worker for a request by load and cached prefixes, and sheds requests under overload.
#include "initial_selection_costs.hpp"
#include "proxy_router.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long a cell's counts of running requests, and the load that a worker has reported, are used.
constexpr Duration maxCellUpdateAge = 1500ms;
constexpr Duration maxLoadAge = 1s;
/// How long it may take until a prefix sent to a store appears in the store's index.
constexpr Duration savedVisibleAfter = 3s;
/// The weight of a new sample in the moving averages of queueing delay and tokens to prefill.
constexpr double delaySmoothing = 0.1;
/// Requests are shed only while the newest sample of the queueing delay is not older than this.
constexpr Duration maxDelayAge = 1s;
/// By how many milliseconds each request that waits at a worker delays a new one.
constexpr double waitingRequestMs = 40;
/// For how many workers besides the selected one lookups are sent.
constexpr std::size_t maxOtherCandidates = 3;
/// Costs of a worker on a route that names a model, in milliseconds: by the share of its slots in use, linear and
/// squared; for being in another zone; and a random cost below `randomMs` that breaks ties.
constexpr double occupancyMs = 100, squaredOccupancyMs = 800;
constexpr double otherZoneMs = 5;
constexpr std::uint64_t randomMs = 20;
/// If there are more eligible workers than this, only a random half of them is compared.
constexpr std::size_t maxComparedInFull = 4;
}  // namespace

int ProxyRouter::estimateRunning(const WorkerView& worker, TimePoint now) const {
  auto stats = workerStats.find(worker.name);
  auto updatedAt = cellUpdateAt.find(worker.zone);
  if (updatedAt == cellUpdateAt.end() || now - updatedAt->second > maxCellUpdateAge)
    return stats == workerStats.end() ? 0 : stats->second.open;
  if (stats == workerStats.end()) return worker.running;
  return std::max(stats->second.open, worker.running + stats->second.sentSinceUpdate);
}

double ProxyRouter::estimateLoadMs(const std::string& worker, TimePoint now) const {
  auto found = workerStats.find(worker);
  if (found == workerStats.end()) return 0;
  const auto& stats = found->second;
  bool loadKnown = now - stats.loadReportedAt < maxLoadAge;
  return std::max(stats.tokensToPrefill / settings.tokensPerMs, loadKnown ? stats.waiting * waitingRequestMs : 0) +
         std::max(stats.open, loadKnown ? stats.running : 0) * runningRequestMs;
}

/// The store's share of prefixes is compared with the prefix's hash, so that all proxies save the same prefixes.
bool ProxyRouter::shouldSaveTo(const std::string& store, const BlockHash& prefix, TimePoint now) {
  const auto* cacheNode = findWorker(store);
  if (!cacheNode || static_cast<int>(prefix.high % 1000) >= cacheNode->savedPermille) return false;
  auto row = prefixSavedAt.find(prefix);
  return row == prefixSavedAt.end() || now - row->second >= savedVisibleAfter;
}

void ProxyRouter::recordQueueingDelay(const Request& request, TimePoint now) {
  double prefillMs = request.plan.tokensToPrefill / settings.tokensPerMs;
  double delay = std::max(0.0, std::chrono::duration<double, std::milli>(now - request.sentAt).count() - prefillMs);
  queueingDelayMs += (delay - queueingDelayMs) * delaySmoothing;
  meanTokensToPrefill += (request.plan.tokensToPrefill - meanTokensToPrefill) * delaySmoothing;
  queueingDelayAt = now;
}

/// The probability of shedding grows with the excess of the queueing delay over the route's target latency, and with
/// the request's size relative to the mean.
bool ProxyRouter::shouldShed(Effects& effects, const Request& request) {
  if (settings.maxShedRatio <= 0 || request.route.targetLatency <= Duration(0) ||
      effects.now - queueingDelayAt > maxDelayAge)
    return false;
  double targetLatencyMs = std::chrono::duration<double, std::milli>(request.route.targetLatency).count();
  double excess = queueingDelayMs / targetLatencyMs - 1;
  if (excess <= 0) return false;
  double sizeFactor = std::clamp(request.plan.tokensToPrefill / std::max(1.0, meanTokensToPrefill), 0.2, 2.0);
  return static_cast<double>(effects.randomBelow(1000)) <
         1000 * std::min(settings.maxShedRatio, excess * 0.5) * sizeFactor;
}

std::string ProxyRouter::cacheDomainNameFor(const Request& request) const {
  if (!settings.defences.isEnabled(Defence::saltTenant)) return CacheDomain().name();
  CacheDomain domain = config.cacheDomainOf(request.tenant);
  if (!settings.defences.isEnabled(Defence::domainsEnd)) domain.since = 0;
  return domain.name();
}

/// Workers are ranked by rendezvous hashing of the shared prefix. So requests with the same prefix go to the same
/// worker from every proxy, and the loss of a worker moves only its own prefixes.
bool ProxyRouter::selectByPrefix(Effects& effects, Request& request) {
  struct Choice {
    const WorkerView* worker;
    std::uint64_t rank;
  };
  std::size_t shared =
      request.submitted.parts.size() > 1 ? request.submitted.parts.size() - 1 : request.submitted.parts.size();
  std::string domain = cacheDomainNameFor(request);
  std::string key = domain + "/" + request.submitted.model;
  key += "/" + (shared > 0 ? request.submitted.parts[shared - 1] : request.submitted.requestId);
  std::vector<Choice> ranked;
  bool anyAlive = false;
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers) {
      if (worker.service != request.service || worker.kind == "store" || !worker.alive || !isSchedulable(worker))
        continue;
      if (!request.submitted.model.empty() && worker.model != request.submitted.model) continue;
      if (!worker.model.empty() && worker.weights.empty()) continue;
      ranked.push_back(Choice{&worker, rendezvousHash(key, worker.name)});
    }
  std::sort(ranked.begin(), ranked.end(), [](const Choice& one, const Choice& other) { return one.rank > other.rank; });
  const WorkerView* best = nullptr;
  double bestCost = 0, sharedMs = 0;
  for (std::size_t index = 0; index + 1 < request.submitted.partTokens.size(); ++index)
    sharedMs += request.submitted.partTokens[index] / settings.tokensPerMs;
  std::vector<std::size_t> eligible;
  std::size_t bestIndex = 0;
  for (std::size_t index = 0; index < ranked.size(); ++index) {
    const auto& worker = *ranked[index].worker;
    if (worker.withheld || !mayStartOn(worker.model, worker.weights, effects.now)) continue;
    anyAlive = true;
    if (request.triedWorkers.count(worker.name)) continue;
    if (auto stats = workerStats.find(worker.name);
        stats != workerStats.end() && effects.now < stats->second.ejectedUntil)
      continue;
    double cost = estimateLoadMs(worker.name, effects.now) +
                  (eligible.empty() ? 0 : nonPreferredWorkerMs + sharedMs * prefillAgainFactor);
    eligible.push_back(index);
    if (!best || cost < bestCost) {
      best = &worker;
      bestIndex = eligible.size() - 1;
      bestCost = cost;
    }
  }
  request.lastCode = anyAlive ? Code::pendingFull : Code::noWorker;
  if (!best) return false;
  request.lastCode = Code::noWorker;
  RoutingPlan plan;
  plan.worker = best->name;
  plan.address = best->address;
  plan.zone = best->zone;
  plan.model = best->model;
  plan.weights = best->weights;
  if (!request.submitted.model.empty()) {
    plan.cacheDomain = domain;
    plan.salt = cacheSalt(plan.model, settings.defences.isEnabled(Defence::saltWeights) ? plan.weights : "any", domain);
    for (const auto& part : request.submitted.parts) plan.hashes.push_back(hashPromptPart(plan.salt, part));
    plan.tokens = request.submitted.partTokens;
    for (int tokens : plan.tokens) plan.tokensToPrefill += tokens;
    std::size_t others = 0;
    for (std::size_t index = 0; index < eligible.size(); ++index) {
      const auto& worker = *ranked[eligible[index]].worker;
      if (worker.weights != plan.weights || (index != bestIndex && ++others > maxOtherCandidates)) continue;
      plan.candidates.push_back(RoutingPlan::Candidate{worker.name, worker.address, worker.zone});
      plan.candidates.back().rank = static_cast<int>(index);
      plan.candidates.back().service = worker.service;
    }
  }
  request.plan = std::move(plan);
  countAsOpen(request);
  return true;
}

void ProxyRouter::countAsOpen(Request& request) {
  auto& stats = workerStats[request.plan.worker];
  ++stats.open;
  ++stats.sentSinceUpdate;
  ++openByTenant[request.tenant];
  request.countedOpen = true;
}

bool ProxyRouter::isSchedulable(const WorkerView& worker) const {
  return schedulable.count(worker.name) || !settings.defences.isEnabled(Defence::marksAtDraw);
}

bool ProxyRouter::isPlainService(const std::string& service) const {
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers)
      if (worker.service == service) return worker.kind == "app";
  return false;
}

PlainCandidate ProxyRouter::plainCandidate(const WorkerView& worker, TimePoint now) const {
  PlainCandidate candidate;
  candidate.slots = worker.slots;
  candidate.sameZone = worker.zone == settings.zone;
  auto found = workerStats.find(worker.name);
  if (found == workerStats.end()) return candidate;
  const auto& stats = found->second;
  candidate.open = stats.open;
  candidate.ejected = now < stats.ejectedUntil;
  if (now - stats.loadReportedAt >= maxLoadAge) return candidate;
  candidate.running = stats.running;
  candidate.waiting = stats.waiting;
  return candidate;
}

bool ProxyRouter::selectPlainWorker(Effects& effects, Request& request) {
  std::vector<const WorkerView*> workers;
  std::vector<PlainCandidate> candidates;
  bool anyAlive = false;
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers) {
      if (worker.service != request.service || !worker.alive || !isSchedulable(worker)) continue;
      anyAlive = true;
      if (request.triedWorkers.count(worker.name)) continue;
      workers.push_back(&worker);
      candidates.push_back(plainCandidate(worker, effects.now));
    }
  request.lastCode = anyAlive ? Code::pendingFull : Code::noWorker;
  auto chosen = selectLeastOccupied(candidates, effects.randomSource);
  if (!chosen) return false;
  request.lastCode = Code::noWorker;
  request.plan = RoutingPlan{};
  request.plan.worker = workers[*chosen]->name;
  request.plan.address = workers[*chosen]->address;
  request.plan.zone = workers[*chosen]->zone;
  countAsOpen(request);
  return true;
}

bool ProxyRouter::selectWorker(Effects& effects, Request& request) {
  if (request.route.matchesPath() && isPlainService(request.service)) return selectPlainWorker(effects, request);
  if (request.route.matchesPath()) return selectByPrefix(effects, request);
  struct Choice {
    const WorkerView* worker;
    std::size_t hits;
    double cost;
    Hashes hashes;
    std::string salt;
  };
  std::vector<const WorkerView*> eligible;
  std::string kind = request.route.app ? "app" : "language";
  bool anyAlive = false;
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers) {
      if (worker.kind != kind || !worker.alive || worker.withheld || !isSchedulable(worker)) continue;
      if (kind == "language" && (worker.model != request.submitted.model || worker.weights.empty() ||
                                 !mayStartOn(worker.model, worker.weights, effects.now)))
        continue;
      anyAlive = true;
      if (request.triedWorkers.count(worker.name)) continue;
      if (auto stats = workerStats.find(worker.name);
          stats != workerStats.end() && effects.now < stats->second.ejectedUntil)
        continue;
      if (estimateRunning(worker, effects.now) >= worker.slots) continue;
      eligible.push_back(&worker);
    }
  request.lastCode = anyAlive ? Code::pendingFull : Code::noWorker;
  if (eligible.empty()) return false;
  std::shuffle(eligible.begin(), eligible.end(), effects.randomSource);
  if (eligible.size() > maxComparedInFull) eligible.resize((eligible.size() + 1) / 2);
  std::map<std::string, std::pair<std::string, Hashes>> byWeights;
  std::string domain = cacheDomainNameFor(request);
  std::optional<Choice> best;
  for (const auto* worker : eligible) {
    Choice choice{worker, 0, 0, {}, {}};
    if (!request.route.app) {
      auto& hashed = byWeights[worker->weights];
      if (hashed.first.empty()) {
        hashed.first = cacheSalt(request.submitted.model,
                                 settings.defences.isEnabled(Defence::saltWeights) ? worker->weights : "any", domain);
        hashed.second = hashPrompt(request.submitted.parts, hashed.first);
      }
      if (worker->confirmed)
        while (choice.hits < hashed.second.size() &&
               BloomFilter::mayContain(worker->summary, hashed.second[choice.hits]))
          ++choice.hits;
      choice.cost = static_cast<double>(hashed.second.size() - choice.hits) * settings.blockMs;
    }
    double occupancy =
        worker->slots > 0 ? static_cast<double>(estimateRunning(*worker, effects.now)) / worker->slots : 1;
    choice.cost += occupancy * occupancy * squaredOccupancyMs + occupancy * occupancyMs +
                   static_cast<double>(effects.randomBelow(randomMs));
    if (worker->zone != settings.zone) choice.cost += otherZoneMs;
    if (!best || choice.cost < best->cost) best = std::move(choice);
  }
  RoutingPlan plan;
  plan.worker = best->worker->name;
  plan.address = best->worker->address;
  plan.zone = best->worker->zone;
  plan.model = request.submitted.model;
  plan.localHits = best->hits;
  if (!request.route.app) {
    plan.weights = best->worker->weights;
    plan.cacheDomain = domain;
    plan.salt = byWeights[plan.weights].first;
    plan.hashes = byWeights[plan.weights].second;
  }
  request.plan = std::move(plan);
  countAsOpen(request);
  return true;
}

}  // namespace tt
