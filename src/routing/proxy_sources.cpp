/// Decides whether a cached prefix is fetched and from which single source: lookups, fetches within a request, and
/// separate transfers.
#include "proxy_router.hpp"
#include "urgency.hpp"

#include <algorithm>

namespace tt {
namespace {
/// The assumed speed of a link whose speed has not been measured.
constexpr double unmeasuredBlocksPerSecond = 1000;
/// How long no lookups are sent to a zone after its cell did not answer one in time.
constexpr Duration lookupHoldoff = 500ms;
/// A prefix is fetched only if the source has at least this many tokens more than the target, and saved to a store only
/// if it has at least this many tokens.
constexpr int minFetchTokens = 64;
constexpr int minSavedTokens = 256;
/// A separate transfer is made only if the source has at least this many blocks more than the target.
constexpr std::size_t minExtraHits = 4;
/// The timeout of a transfer, in milliseconds: a multiple of the expected duration plus a constant, within bounds.
constexpr double transferTimeoutFactor = 3, transferTimeoutBaseMs = 300;
constexpr double minTransferTimeoutMs = 400, maxTransferTimeoutMs = 1200;
/// How much longer the proxy waits for the cell to report the end of a transfer.
constexpr Duration transferReportGrace = 50ms;
}  // namespace

Result<void> checkTransferModes(const Strings& modes) {
  std::set<std::string> given(modes.begin(), modes.end());
  for (const auto& mode : given)
    if (mode != "remote_decoder" && mode != "remote_prefiller" && mode != "remote_kv_source")
      return makeError(Code::unknownField, "kv_transfer_params." + mode);
  if (given.count("remote_prefiller") && given.size() > 1)
    return makeError(Code::badMode, "kv_transfer_params",
                     given.count("remote_kv_source")
                         ? "a request may have only one fetch source: remote_prefiller or remote_kv_source"
                         : "remote_prefiller and remote_decoder may not be combined");
  return boost::outcome_v2::success();
}

std::size_t prefixHits(const std::vector<int>& hits) {
  std::size_t count = 0;
  while (count < hits.size() && hits[count] == 1) ++count;
  return count;
}

double ProxyRouter::linkSpeed(const std::string& source, const std::string& target) const {
  for (const auto& [zone, cell] : cells)
    for (const auto& link : cell.links)
      if (link.source == source && link.target == target) return link.blocksPerSecond;
  return unmeasuredBlocksPerSecond;
}

void ProxyRouter::selectFetchCandidates(Request& request, TimePoint now) {
  auto& plan = request.plan;
  bool hasExplicitSource = false;
  for (const auto& mode : request.submitted.modes)
    hasExplicitSource = hasExplicitSource || mode == "remote_kv_source" || mode == "remote_prefiller";
  int shared = 0;
  for (std::size_t index = 0; index + 1 < plan.tokens.size(); ++index) shared += plan.tokens[index];
  if (!settings.fetching || hasExplicitSource || plan.hashes.size() < 2 || shared < minFetchTokens)
    return plan.candidates.clear();
  plan.hashes.pop_back();
  const WorkerView* store = nullptr;
  std::uint64_t storeRank = 0;
  for (const auto& [zone, cell] : cells)
    for (const auto& cacheNode : cell.workers)
      if (std::uint64_t rank = rendezvousHash(plan.hashes.back().hex(), cacheNode.name);
          cacheNode.kind == "store" && cacheNode.alive && (!store || rank > storeRank)) {
        store = &cacheNode;
        storeRank = rank;
      }
  if (store) {
    plan.candidates.push_back(RoutingPlan::Candidate{store->name, store->address, store->zone, true});
    plan.candidates.back().service = store->service;
  }
  auto isHeldOff = [&](const RoutingPlan::Candidate& candidate) {
    auto found = lookupHoldoffUntil.find(candidate.zone);
    return found != lookupHoldoffUntil.end() && now < found->second;
  };
  plan.candidates.erase(std::remove_if(plan.candidates.begin(), plan.candidates.end(), isHeldOff),
                        plan.candidates.end());
}

int ProxyRouter::countTokens(const RoutingPlan& plan, std::size_t parts) {
  int tokens = 0;
  for (std::size_t index = 0; index < parts && index < plan.tokens.size(); ++index) tokens += plan.tokens[index];
  return tokens;
}

int ProxyRouter::cachedTokens(const Request& request, const RoutingPlan::Candidate& candidate) {
  auto reply = request.replies.find(candidate.name);
  return reply == request.replies.end() ? 0 : countTokens(request.plan, prefixHits(reply->second.hits));
}

int ProxyRouter::cachedOrPendingTokens(const Request& request, const RoutingPlan::Candidate& candidate) {
  auto reply = request.replies.find(candidate.name);
  if (reply == request.replies.end()) return 0;
  auto pending = static_cast<std::size_t>(std::max(0, reply->second.pendingHits));
  return countTokens(request.plan, std::max(prefixHits(reply->second.hits), pending));
}

double ProxyRouter::transferMsBetween(const Request& request, const RoutingPlan::Candidate& source,
                                      const RoutingPlan::Candidate& target, int tokens) const {
  const auto* targetService = config.findService(request.service);
  const auto* sourceService = config.findService(source.service);
  return transferMs(tokens, targetService ? targetService->tokenBytes : 0, sourceService ? sourceService->linkMbps : 0,
                    targetService ? targetService->linkMbps : 0, source.zone == target.zone);
}

/// Prefers the candidate with the most tokens; among equals, workers over stores and then the target's zone over
/// others.
ProxyRouter::Source ProxyRouter::bestSourceFor(const Request& request, const RoutingPlan::Candidate& target,
                                               int targetTokens, TimePoint now) const {
  Source best;
  for (const auto& candidate : request.plan.candidates) {
    if (candidate.name == target.name) continue;
    int tokens = cachedTokens(request, candidate);
    if (auto stats = workerStats.find(candidate.name); stats != workerStats.end() && now < stats->second.ejectedUntil)
      continue;
    FetchCandidate fetchCandidate{candidate.store, static_cast<double>(tokens), unmeasuredBlocksPerSecond, 0};
    if (tokens < targetTokens + minFetchTokens || !request.policy.fetches(fetchCandidate)) continue;
    const auto* other = best.candidate;
    bool isCloser = other && candidate.zone == target.zone && other->zone != target.zone;
    if (tokens < best.tokens || (tokens == best.tokens && (candidate.store || !(isCloser || (other && other->store)))))
      continue;
    best = Source{&candidate, tokens};
  }
  return best;
}

ProxyRouter::Placement ProxyRouter::evaluatePlacement(const Request& request, const RoutingPlan::Candidate& target,
                                                      int bestCachedTokens, TimePoint now) const {
  Placement placement;
  placement.target = &target;
  auto& inputs = placement.inputs;
  inputs.promptTokens = countTokens(request.plan, request.plan.tokens.size());
  inputs.sharedTokens = countTokens(request.plan, request.plan.hashes.size());
  inputs.cachedTokens = cachedOrPendingTokens(request, target);
  inputs.bestCachedTokens = bestCachedTokens;
  inputs.rank = target.rank;
  placement.source = bestSourceFor(request, target, inputs.cachedTokens, now);
  if (const auto* source = placement.source.candidate) {
    inputs.fetches = true;
    inputs.fetchedTokens = placement.source.tokens;
    inputs.transferMs = transferMsBetween(request, *source, target, placement.source.tokens);
  }
  auto reply = request.replies.find(target.name);
  bool known = reply != request.replies.end() && reply->second.tokensPerMs > 0;
  inputs.msPerToken = 1 / (known ? reply->second.tokensPerMs : settings.tokensPerMs);
  inputs.waitMs = estimateLoadMs(target.name, now);
  if (known) inputs.waitMs = std::max(inputs.waitMs, reply->second.waitingTokens * inputs.msPerToken);
  return placement;
}

std::optional<ProxyRouter::Placement> ProxyRouter::cheapestPlacement(const Request& request, TimePoint now) const {
  int bestCachedTokens = 0;
  for (const auto& candidate : request.plan.candidates)
    bestCachedTokens = std::max(bestCachedTokens, cachedOrPendingTokens(request, candidate));
  std::optional<Placement> best;
  double lowestCost = 0;
  for (const auto& candidate : request.plan.candidates) {
    if (candidate.store) continue;
    auto placement = evaluatePlacement(request, candidate, bestCachedTokens, now);
    double cost = placementCostMs(placement.inputs);
    if (best && cost >= lowestCost) continue;
    best = placement;
    lowestCost = cost;
  }
  return best;
}

void ProxyRouter::applyPlacement(Effects& effects, Request& request, const Placement& placement) {
  auto& plan = request.plan;
  if (placement.target->name != plan.worker) {
    freeWorker(effects, request);
    plan.worker = placement.target->name;
    plan.address = placement.target->address;
    plan.zone = placement.target->zone;
    countAsOpen(request);
  }
  const auto& inputs = placement.inputs;
  if (placement.source.candidate) plan.source = *placement.source.candidate;
  plan.tokensToPrefill -= std::max(inputs.cachedTokens, inputs.fetchedTokens);
}

bool ProxyRouter::finishFetchLookup(Effects& effects, Request& request) {
  auto& plan = request.plan;
  int shared = countTokens(plan, plan.hashes.size());
  const RoutingPlan::Candidate* store = nullptr;
  for (const auto& candidate : plan.candidates) {
    if (!request.replies.count(candidate.name)) lookupHoldoffUntil[candidate.zone] = effects.now + lookupHoldoff;
    if (candidate.store) store = &candidate;
  }
  auto placement = cheapestPlacement(request, effects.now);
  if (placement) applyPlacement(effects, request, *placement);
  double msPerToken = placement ? placement->inputs.msPerToken : 1 / settings.tokensPerMs;
  request.urgency = urgencyOf(request.priority, knownPriorities, plan.tokensToPrefill * msPerToken, minLatencyTargetMs);
  if (store && request.replies.count(store->name) && cachedTokens(request, *store) < shared &&
      shared >= minSavedTokens && shouldSaveTo(store->name, plan.hashes.back(), effects.now))
    plan.sinkAddress = store->address;
  if (request.attempts == 0 && shouldShed(effects, request)) {
    request.lastCode = Code::pendingFull;
    effects.note("shed", request.submitted.requestId);
    return false;
  }
  int targetTokens = placement ? cachedTokens(request, *placement->target) : 0;
  effects.note("prefix tokens", plan.worker, shared);
  effects.note("prefix kept", plan.worker, targetTokens);
  if (plan.source) effects.note("prefix fetched", plan.source->name, placement->source.tokens - targetTokens);
  return plan.source.has_value();
}

void ProxyRouter::selectSources(Request& request, TimePoint now) {
  if (request.route.matchesPath()) return selectFetchCandidates(request, now);
  auto& plan = request.plan;
  plan.candidates.clear();
  bool hasExplicitSource = false;
  for (const auto& mode : request.submitted.modes)
    hasExplicitSource = hasExplicitSource || mode == "remote_kv_source" || mode == "remote_prefiller";
  if (!settings.fetching || request.route.app || hasExplicitSource || request.attempts > 0) return;
  std::optional<RoutingPlan::Candidate> bestPeer, bestStore;
  for (const auto& [zone, cell] : cells)
    for (const auto& cacheNode : cell.workers) {
      bool store = cacheNode.kind == "store";
      if (cacheNode.name == plan.worker || !cacheNode.alive || !cacheNode.confirmed || cacheNode.withheld ||
          !isSchedulable(cacheNode))
        continue;
      if (!store && (cacheNode.kind != "language" || cacheNode.weights != plan.weights)) continue;
      RoutingPlan::Candidate candidate{
          cacheNode.name, cacheNode.address, cacheNode.zone, store, 0, 0, linkSpeed(cacheNode.name, plan.worker)};
      while (candidate.estimatedHits < plan.hashes.size() &&
             BloomFilter::mayContain(cacheNode.summary, plan.hashes[candidate.estimatedHits]))
        ++candidate.estimatedHits;
      if (candidate.estimatedHits < plan.localHits + minExtraHits) continue;
      candidate.busyness =
          cacheNode.slots > 0 ? static_cast<double>(estimateRunning(cacheNode, now)) / cacheNode.slots : 0;
      FetchCandidate fetchCandidate{store, static_cast<double>(candidate.estimatedHits), candidate.blocksPerSecond,
                                    candidate.busyness};
      if (!request.policy.fetches(fetchCandidate)) continue;
      auto& best = store ? bestStore : bestPeer;
      if (!best || candidate.estimatedHits > best->estimatedHits ||
          (candidate.estimatedHits == best->estimatedHits && candidate.busyness < best->busyness))
        best = candidate;
    }
  if (bestPeer) plan.candidates.push_back(*bestPeer);
  if (bestStore) plan.candidates.push_back(*bestStore);
}

void ProxyRouter::sendLookup(Effects& effects, Request& request) {
  request.lookupStartedAt = effects.now;
  request.replies.clear();
  for (const auto& candidate : request.plan.candidates) {
    std::string lookupId = settings.name + "/l" + std::to_string(++lastId);
    requestIdByLookup[lookupId] = request.submitted.requestId;
    effects.send(settings.agentAddress,
                 LookupMsg{lookupId, candidate.zone, candidate.name, request.plan.weights, request.plan.hashes, {}});
  }
  effects.note("lookup asked", request.submitted.requestId, static_cast<std::int64_t>(request.plan.candidates.size()));
}

void ProxyRouter::finishLookup(Effects& effects, Request& request) {
  auto& plan = request.plan;
  effects.note("lookup settled", request.submitted.requestId, toMilliseconds(effects.now - request.lookupStartedAt));
  plan.source.reset();
  plan.plannedHits = plan.confirmedHits = 0;
  if (request.route.matchesPath()) {
    bool hasSource = finishFetchLookup(effects, request);
    bool shed = request.lastCode == Code::pendingFull && request.attempts == 0;
    for (auto row = requestIdByLookup.begin(); row != requestIdByLookup.end();)
      row = row->second == request.submitted.requestId ? requestIdByLookup.erase(row) : std::next(row);
    if (shed) return dispatch(effects, request.submitted.requestId, "shed");
    return sendOrReselect(effects, request.submitted.requestId, hasSource ? "rides" : "misses");
  }
  for (const auto& candidate : plan.candidates) {
    auto reply = request.replies.find(candidate.name);
    std::size_t confirmed = reply == request.replies.end() ? 0 : prefixHits(reply->second.hits);
    std::size_t hits = settings.defences.isEnabled(Defence::hitsConfirmed) ? confirmed : candidate.estimatedHits;
    FetchCandidate fetchCandidate{candidate.store, static_cast<double>(hits), candidate.blocksPerSecond,
                                  candidate.busyness};
    if (hits < plan.localHits + minExtraHits || hits <= plan.plannedHits || !request.policy.fetches(fetchCandidate))
      continue;
    plan.source = candidate;
    plan.plannedHits = hits;
    plan.confirmedHits = confirmed;
  }
  for (auto row = requestIdByLookup.begin(); row != requestIdByLookup.end();)
    row = row->second == request.submitted.requestId ? requestIdByLookup.erase(row) : std::next(row);
  sendOrReselect(effects, request.submitted.requestId, plan.source ? "hits" : "misses");
}

/// Requests for the same prefix at the same worker share one transfer.
void ProxyRouter::sendMove(Effects& effects, Request& request) {
  auto& plan = request.plan;
  std::size_t blocks = settings.defences.isEnabled(Defence::moveCut) ? plan.plannedHits : plan.hashes.size();
  Hashes prefix(plan.hashes.begin(), plan.hashes.begin() + static_cast<std::ptrdiff_t>(blocks));
  std::string transferId = plan.worker + "/" + prefix.back().hex();
  request.transferId = transferId;
  auto [row, isNew] = transfers.try_emplace(transferId);
  row->second.requestIds.insert(request.submitted.requestId);
  if (!isNew) return;
  auto& transfer = row->second;
  transfer.target = plan.worker;
  transfer.commandId = settings.name + "/m" + std::to_string(++lastId);
  transferIdByCommand[transfer.commandId] = transferId;
  double expectedMs = static_cast<double>(prefix.size()) / std::max(plan.source->blocksPerSecond, 1.0) * 1000;
  auto timeout = std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(
      expectedMs * transferTimeoutFactor + transferTimeoutBaseMs, minTransferTimeoutMs, maxTransferTimeoutMs)));
  transfer.deadline = effects.now + timeout + transferReportGrace;
  effects.note("move sent", transfer.commandId + " " + plan.source->name + " " + plan.worker,
               static_cast<std::int64_t>(plan.confirmedHits));
  effects.send(
      settings.agentAddress,
      WatchMsg{transfer.commandId, plan.zone, plan.source->name, plan.worker, prefix, toMilliseconds(timeout), {}});
  effects.send(plan.address, WorkerOrder{transfer.commandId,
                                         plan.model,
                                         plan.weights,
                                         plan.salt,
                                         truncatePrompt(request.submitted.parts, blocks),
                                         prefix,
                                         0,
                                         true,
                                         transfer.commandId,
                                         plan.source->address,
                                         request.tenant,
                                         false,
                                         {}});
}

void ProxyRouter::dropMove(Effects&, Request& request) {
  auto transfer = transfers.find(request.transferId);
  if (transfer != transfers.end()) transfer->second.requestIds.erase(request.submitted.requestId);
}

void ProxyRouter::finishTransfer(Effects& effects, const std::string& transferId, bool success) {
  auto found = transfers.find(transferId);
  if (found == transfers.end()) return;
  Transfer transfer = std::move(found->second);
  transferIdByCommand.erase(transfer.commandId);
  transfers.erase(found);
  effects.note(success ? "moved" : "not moved", transfer.commandId);
  for (const auto& requestId : transfer.requestIds) {
    auto request = requests.find(requestId);
    if (request == requests.end()) continue;
    auto& plan = request->second->plan;
    if (success) request->second->transferredBlocks = static_cast<int>(plan.plannedHits - plan.localHits);
    sendOrReselect(effects, requestId, success ? "moved" : "notMoved");
  }
}

}  // namespace tt
