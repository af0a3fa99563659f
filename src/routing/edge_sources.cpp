/// Whether a part of a prompt is fetched, and from which single source: lookups, rides and moves.
#include "edge.hpp"
#include "urgency.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr double unmeasuredSpeed = 1000;
constexpr Duration indexRest = 500ms;
constexpr int leastTokens = 64;
constexpr int leastSaved = 256;
constexpr std::size_t leastGain = 4;
}  // namespace

Result<void> checkTransferModes(const Strings& modes) {
  std::set<std::string> given(modes.begin(), modes.end());
  for (const auto& mode : given)
    if (mode != "remote_decoder" && mode != "remote_prefiller" && mode != "remote_kv_source")
      return fault(Code::unknownField, "kv_transfer_params." + mode);
  if (given.count("remote_prefiller") && given.size() > 1)
    return fault(Code::badMode, "kv_transfer_params",
                 given.count("remote_kv_source") ? "two fetch sources for one order"
                                                 : "a prefill source together with a decode target");
  return boost::outcome_v2::success();
}

std::size_t prefixHits(const std::vector<int>& hits) {
  std::size_t count = 0;
  while (count < hits.size() && hits[count] == 1) ++count;
  return count;
}

double ProxyRouter::linkSpeed(const std::string& source, const std::string& target) const {
  for (const auto& [zone, news] : cells)
    for (const auto& link : news.links)
      if (link.source == source && link.target == target) return link.blocksPerSecond;
  return unmeasuredSpeed;
}

void ProxyRouter::drawRideSources(Order& order, TimePoint now) {
  auto& plan = order.plan;
  bool namesSource = false;
  for (const auto& mode : order.ask.modes)
    namesSource = namesSource || mode == "remote_kv_source" || mode == "remote_prefiller";
  int shared = 0;
  for (std::size_t at = 0; at + 1 < plan.tokens.size(); ++at) shared += plan.tokens[at];
  if (!settings.fetching || namesSource || plan.hashes.size() < 2 || shared < leastTokens)
    return plan.candidates.clear();
  plan.hashes.pop_back();
  const WorkerView* store = nullptr;
  std::uint64_t storeRank = 0;
  for (const auto& [zone, news] : cells)
    for (const auto& keeper : news.workers)
      if (std::uint64_t rank = rendezvousHash(plan.hashes.back().hex(), keeper.name);
          keeper.kind == "store" && keeper.alive && (!store || rank > storeRank)) {
        store = &keeper;
        storeRank = rank;
      }
  if (store) {
    plan.candidates.push_back(Plan::Candidate{store->name, store->address, store->zone, true});
    plan.candidates.back().service = store->service;
  }
  auto silent = [&](const Plan::Candidate& candidate) {
    auto found = indexSilent.find(candidate.zone);
    return found != indexSilent.end() && now < found->second;
  };
  plan.candidates.erase(std::remove_if(plan.candidates.begin(), plan.candidates.end(), silent), plan.candidates.end());
}

int ProxyRouter::tokensOf(const Plan& plan, std::size_t parts) {
  int tokens = 0;
  for (std::size_t at = 0; at < parts && at < plan.tokens.size(); ++at) tokens += plan.tokens[at];
  return tokens;
}

int ProxyRouter::keptTokens(const Order& order, const Plan::Candidate& candidate) {
  auto reply = order.replies.find(candidate.name);
  return reply == order.replies.end() ? 0 : tokensOf(order.plan, prefixHits(reply->second.hits));
}

int ProxyRouter::soonKeptTokens(const Order& order, const Plan::Candidate& candidate) {
  auto reply = order.replies.find(candidate.name);
  if (reply == order.replies.end()) return 0;
  auto pending = static_cast<std::size_t>(std::max(0, reply->second.pendingHits));
  return tokensOf(order.plan, std::max(prefixHits(reply->second.hits), pending));
}

double ProxyRouter::transferMsBetween(const Order& order, const Plan::Candidate& source, const Plan::Candidate& target,
                                      int tokens) const {
  const auto* targetService = view.findService(order.service);
  const auto* sourceService = view.findService(source.service);
  return transferMs(tokens, targetService ? targetService->tokenBytes : 0, sourceService ? sourceService->linkMbps : 0,
                    targetService ? targetService->linkMbps : 0, source.zone == target.zone);
}

ProxyRouter::Source ProxyRouter::sourceFor(const Order& order, const Plan::Candidate& target, int own,
                                           TimePoint now) const {
  Source best;
  for (const auto& candidate : order.plan.candidates) {
    if (candidate.name == target.name) continue;
    int tokens = keptTokens(order, candidate);
    if (auto local = locals.find(candidate.name); local != locals.end() && now < local->second.shunUntil) continue;
    FetchCandidate facts{candidate.store, static_cast<double>(tokens), unmeasuredSpeed, 0};
    if (tokens < own + leastTokens || !order.policy.fetches(facts)) continue;
    const auto* other = best.candidate;
    bool nearer = other && candidate.zone == target.zone && other->zone != target.zone;
    if (tokens < best.tokens || (tokens == best.tokens && (candidate.store || !(nearer || (other && other->store)))))
      continue;
    best = Source{&candidate, tokens};
  }
  return best;
}

ProxyRouter::Placement ProxyRouter::placementAt(const Order& order, const Plan::Candidate& target, int heldAnywhere,
                                                TimePoint now) const {
  Placement placement;
  placement.target = &target;
  auto& facts = placement.facts;
  facts.promptTokens = tokensOf(order.plan, order.plan.tokens.size());
  facts.sharedTokens = tokensOf(order.plan, order.plan.hashes.size());
  facts.ownTokens = soonKeptTokens(order, target);
  facts.heldAnywhereTokens = heldAnywhere;
  facts.rank = target.rank;
  placement.source = sourceFor(order, target, facts.ownTokens, now);
  if (const auto* source = placement.source.candidate) {
    facts.fetches = true;
    facts.fetchedTokens = placement.source.tokens;
    facts.transferMs = transferMsBetween(order, *source, target, placement.source.tokens);
  }
  auto reply = order.replies.find(target.name);
  bool known = reply != order.replies.end() && reply->second.tokensPerMs > 0;
  facts.msPerToken = 1 / (known ? reply->second.tokensPerMs : settings.tokensPerMs);
  facts.waitMs = loadOf(target.name, now);
  if (known) facts.waitMs = std::max(facts.waitMs, reply->second.waitingTokens * facts.msPerToken);
  return placement;
}

std::optional<ProxyRouter::Placement> ProxyRouter::cheapestPlacement(const Order& order, TimePoint now) const {
  int heldAnywhere = 0;
  for (const auto& candidate : order.plan.candidates)
    heldAnywhere = std::max(heldAnywhere, soonKeptTokens(order, candidate));
  std::optional<Placement> best;
  double leastCost = 0;
  for (const auto& candidate : order.plan.candidates) {
    if (candidate.store) continue;
    auto placement = placementAt(order, candidate, heldAnywhere, now);
    double cost = placementCostMs(placement.facts);
    if (best && cost >= leastCost) continue;
    best = placement;
    leastCost = cost;
  }
  return best;
}

void ProxyRouter::placeAt(Effects& effects, Order& order, const Placement& placement) {
  auto& plan = order.plan;
  if (placement.target->name != plan.worker) {
    freeWorker(effects, order);
    plan.worker = placement.target->name;
    plan.address = placement.target->address;
    plan.zone = placement.target->zone;
    countOpen(order);
  }
  const auto& facts = placement.facts;
  if (placement.source.candidate) plan.source = *placement.source.candidate;
  plan.unread -= std::max(facts.ownTokens, facts.fetchedTokens);
}

bool ProxyRouter::settleRide(Effects& effects, Order& order) {
  auto& plan = order.plan;
  int shared = tokensOf(plan, plan.hashes.size());
  const Plan::Candidate* store = nullptr;
  for (const auto& candidate : plan.candidates) {
    if (!order.replies.count(candidate.name)) indexSilent[candidate.zone] = effects.now + indexRest;
    if (candidate.store) store = &candidate;
  }
  auto placement = cheapestPlacement(order, effects.now);
  if (placement) placeAt(effects, order, *placement);
  double msPerToken = placement ? placement->facts.msPerToken : 1 / settings.tokensPerMs;
  order.urgency = urgencyOf(order.priority, priorities, plan.unread * msPerToken, tightestAimMs);
  if (store && order.replies.count(store->name) && keptTokens(order, *store) < shared && shared >= leastSaved &&
      savesTo(store->name, plan.hashes.back(), effects.now))
    plan.sinkAddress = store->address;
  if (order.tries == 0 && sheds(effects, order)) {
    order.lastCode = Code::pendingFull;
    effects.note("shed", order.ask.orderId);
    return false;
  }
  int own = placement ? keptTokens(order, *placement->target) : 0;
  effects.note("prefix tokens", plan.worker, shared);
  effects.note("prefix kept", plan.worker, own);
  if (plan.source) effects.note("prefix fetched", plan.source->name, placement->source.tokens - own);
  return plan.source.has_value();
}

void ProxyRouter::drawSources(Order& order, TimePoint now) {
  if (order.route.matchesPath()) return drawRideSources(order, now);
  auto& plan = order.plan;
  plan.candidates.clear();
  bool namesSource = false;
  for (const auto& mode : order.ask.modes)
    namesSource = namesSource || mode == "remote_kv_source" || mode == "remote_prefiller";
  if (!settings.fetching || order.route.app || namesSource || order.tries > 0) return;
  std::optional<Plan::Candidate> bestPeer, bestStore;
  for (const auto& [zone, news] : cells)
    for (const auto& keeper : news.workers) {
      bool store = keeper.kind == "store";
      if (keeper.name == plan.worker || !keeper.alive || !keeper.confirmed || keeper.held || !mayBeDrawn(keeper))
        continue;
      if (!store && (keeper.kind != "language" || keeper.weights != plan.weights)) continue;
      Plan::Candidate candidate{
          keeper.name, keeper.address, keeper.zone, store, 0, 0, linkSpeed(keeper.name, plan.worker)};
      while (candidate.guessedHits < plan.hashes.size() &&
             BloomFilter::mayContain(keeper.summary, plan.hashes[candidate.guessedHits]))
        ++candidate.guessedHits;
      if (candidate.guessedHits < plan.localHits + leastGain) continue;
      candidate.busyness = keeper.slots > 0 ? static_cast<double>(busyOf(keeper, now)) / keeper.slots : 0;
      FetchCandidate facts{store, static_cast<double>(candidate.guessedHits), candidate.speed, candidate.busyness};
      if (!order.policy.fetches(facts)) continue;
      auto& best = store ? bestStore : bestPeer;
      if (!best || candidate.guessedHits > best->guessedHits ||
          (candidate.guessedHits == best->guessedHits && candidate.busyness < best->busyness))
        best = candidate;
    }
  if (bestPeer) plan.candidates.push_back(*bestPeer);
  if (bestStore) plan.candidates.push_back(*bestStore);
}

void ProxyRouter::sendLookup(Effects& effects, Order& order) {
  order.lookupAt = effects.now;
  order.replies.clear();
  for (const auto& candidate : order.plan.candidates) {
    std::string lookupId = settings.name + "/l" + std::to_string(++idCount);
    orderByLookup[lookupId] = order.ask.orderId;
    effects.send(settings.agentAddress,
                 LookupMsg{lookupId, candidate.zone, candidate.name, order.plan.weights, order.plan.hashes, {}});
  }
  effects.note("lookup asked", order.ask.orderId, static_cast<std::int64_t>(order.plan.candidates.size()));
}

void ProxyRouter::settleLookup(Effects& effects, Order& order) {
  auto& plan = order.plan;
  effects.note("lookup settled", order.ask.orderId, toMilliseconds(effects.now - order.lookupAt));
  plan.source.reset();
  plan.wantedHits = plan.confirmedHits = 0;
  if (order.route.matchesPath()) {
    bool rides = settleRide(effects, order);
    bool shed = order.lastCode == Code::pendingFull && order.tries == 0;
    for (auto row = orderByLookup.begin(); row != orderByLookup.end();)
      row = row->second == order.ask.orderId ? orderByLookup.erase(row) : std::next(row);
    if (shed) return dispatch(effects, order.ask.orderId, "shed");
    return sendOrRedraw(effects, order.ask.orderId, rides ? "rides" : "misses");
  }
  for (const auto& candidate : plan.candidates) {
    auto reply = order.replies.find(candidate.name);
    std::size_t confirmed = reply == order.replies.end() ? 0 : prefixHits(reply->second.hits);
    std::size_t hits = settings.defences.isEnabled(Defence::hitsConfirmed) ? confirmed : candidate.guessedHits;
    FetchCandidate facts{candidate.store, static_cast<double>(hits), candidate.speed, candidate.busyness};
    if (hits < plan.localHits + leastGain || hits <= plan.wantedHits || !order.policy.fetches(facts)) continue;
    plan.source = candidate;
    plan.wantedHits = hits;
    plan.confirmedHits = confirmed;
  }
  for (auto row = orderByLookup.begin(); row != orderByLookup.end();)
    row = row->second == order.ask.orderId ? orderByLookup.erase(row) : std::next(row);
  sendOrRedraw(effects, order.ask.orderId, plan.source ? "hits" : "misses");
}

void ProxyRouter::sendMove(Effects& effects, Order& order) {
  auto& plan = order.plan;
  std::size_t blocks = settings.defences.isEnabled(Defence::moveCut) ? plan.wantedHits : plan.hashes.size();
  Hashes prefix(plan.hashes.begin(), plan.hashes.begin() + static_cast<std::ptrdiff_t>(blocks));
  std::string moveId = plan.worker + "/" + prefix.back().hex();
  order.moveId = moveId;
  auto [row, fresh] = moves.try_emplace(moveId);
  row->second.orderIds.insert(order.ask.orderId);
  if (!fresh) return;
  auto& move = row->second;
  move.target = plan.worker;
  move.sendId = settings.name + "/m" + std::to_string(++idCount);
  moveBySend[move.sendId] = moveId;
  double expectedMs = static_cast<double>(prefix.size()) / std::max(plan.source->speed, 1.0) * 1000;
  auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(expectedMs * 3 + 300, 400.0, 1200.0)));
  move.deadline = effects.now + wait + 50ms;
  effects.note("move sent", move.sendId + " " + plan.source->name + " " + plan.worker,
               static_cast<std::int64_t>(plan.confirmedHits));
  effects.send(settings.agentAddress,
               WatchMsg{move.sendId, plan.zone, plan.source->name, plan.worker, prefix, toMilliseconds(wait), {}});
  effects.send(plan.address, WorkerOrder{move.sendId,
                                         plan.model,
                                         plan.weights,
                                         plan.salt,
                                         truncatePrompt(order.ask.parts, blocks),
                                         prefix,
                                         0,
                                         true,
                                         move.sendId,
                                         plan.source->address,
                                         order.tenant,
                                         false,
                                         {}});
}

void ProxyRouter::dropMove(Effects&, Order& order) {
  auto move = moves.find(order.moveId);
  if (move != moves.end()) move->second.orderIds.erase(order.ask.orderId);
}

void ProxyRouter::settleMove(Effects& effects, const std::string& moveId, bool success) {
  auto found = moves.find(moveId);
  if (found == moves.end()) return;
  Move move = std::move(found->second);
  moveBySend.erase(move.sendId);
  moves.erase(found);
  effects.note(success ? "moved" : "not moved", move.sendId);
  for (const auto& orderId : move.orderIds) {
    auto order = orders.find(orderId);
    if (order == orders.end()) continue;
    auto& plan = order->second->plan;
    if (success) order->second->movedBlocks = static_cast<int>(plan.wantedHits - plan.localHits);
    sendOrRedraw(effects, orderId, success ? "moved" : "notMoved");
  }
}

}  // namespace tt
