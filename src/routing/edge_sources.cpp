/// Whether a part of a prompt is fetched, and from which single source: lookups, rides and moves.
#include "edge.hpp"
#include "placement_cost.hpp"
#include "urgency.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr double unmeasuredSpeed = 1000;
constexpr Span indexRest = 500ms;
constexpr int leastTokens = 64;
constexpr int leastSaved = 256;
constexpr std::size_t leastGain = 4;
}  // namespace

Result<void> checkModes(const Strings& modes) {
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

double Edge::linkSpeed(const std::string& source, const std::string& target) const {
  for (const auto& [locality, news] : cells)
    for (const auto& link : news.links)
      if (link.source == source && link.target == target) return link.blocksPerSecond;
  return unmeasuredSpeed;
}

void Edge::drawRideSources(Order& order, Moment now) {
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
  for (const auto& [locality, news] : cells)
    for (const auto& keeper : news.workers)
      if (std::uint64_t rank = rendezvous(plan.hashes.back().hex(), keeper.name);
          keeper.kind == "store" && keeper.alive && (!store || rank > storeRank)) {
        store = &keeper;
        storeRank = rank;
      }
  if (store) plan.candidates.push_back(Plan::Candidate{store->name, store->address, store->locality, true, 0, 0, 0, 0});
  auto silent = [&](const Plan::Candidate& candidate) {
    auto found = indexSilent.find(candidate.locality);
    return found != indexSilent.end() && now < found->second;
  };
  plan.candidates.erase(std::remove_if(plan.candidates.begin(), plan.candidates.end(), silent), plan.candidates.end());
}

int Edge::tokensOf(const Plan& plan, std::size_t parts) {
  int tokens = 0;
  for (std::size_t at = 0; at < parts && at < plan.tokens.size(); ++at) tokens += plan.tokens[at];
  return tokens;
}

double Edge::linkMbpsOf(const std::string& service) const {
  const auto* declared = view.findService(service);
  return declared ? declared->linkMbps : 0;
}

double Edge::tokenBytesOf(const std::string& service) const {
  const auto* declared = view.findService(service);
  return declared ? declared->tokenBytes : 0;
}

double Edge::transferMsBetween(const Order& order, const Plan::Candidate& source, const Plan::Candidate& target,
                               int tokens) const {
  const auto* keeper = workerView(source.name);
  return transferMs(tokens, tokenBytesOf(order.service), linkMbpsOf(keeper ? keeper->service : order.service),
                    linkMbpsOf(order.service), source.locality == target.locality);
}

bool Edge::settleRide(Effects& effects, Order& order) {
  auto& plan = order.plan;
  auto hitsOf = [&](const Plan::Candidate& candidate) {
    auto reply = order.replies.find(candidate.name);
    return reply == order.replies.end() ? std::size_t(0) : prefixHits(reply->second.hits);
  };
  auto keptBy = [&](const Plan::Candidate& candidate) { return tokensOf(plan, hitsOf(candidate)); };
  auto soonKeptBy = [&](const Plan::Candidate& candidate) {
    auto reply = order.replies.find(candidate.name);
    if (reply == order.replies.end()) return 0;
    auto pending = static_cast<std::size_t>(std::max(0, reply->second.pendingHits));
    return tokensOf(plan, std::max(hitsOf(candidate), pending));
  };
  int shared = tokensOf(plan, plan.hashes.size());
  int whole = tokensOf(plan, plan.tokens.size());
  int heldAnywhere = 0;
  const Plan::Candidate* store = nullptr;
  for (const auto& candidate : plan.candidates) {
    if (!order.replies.count(candidate.name)) indexSilent[candidate.locality] = effects.now + indexRest;
    if (candidate.store) store = &candidate;
    heldAnywhere = std::max(heldAnywhere, soonKeptBy(candidate));
  }
  auto sourceFor = [&](const Plan::Candidate& target, int own) {
    const Plan::Candidate* best = nullptr;
    int most = 0;
    for (const auto& candidate : plan.candidates) {
      if (candidate.name == target.name) continue;
      int tokens = keptBy(candidate);
      if (auto local = locals.find(candidate.name); local != locals.end() && effects.now < local->second.shunUntil)
        continue;
      FetchFacts facts{candidate.store, static_cast<double>(tokens), unmeasuredSpeed, 0};
      if (tokens < own + leastTokens || !order.policy.fetches(facts)) continue;
      bool nearer = best && candidate.locality == target.locality && best->locality != target.locality;
      if (tokens < most || (tokens == most && (candidate.store || !(nearer || (best && best->store))))) continue;
      most = tokens;
      best = &candidate;
    }
    return std::make_pair(best, most);
  };
  const Plan::Candidate* target = nullptr;
  double leastCost = 0, msPerToken = 1 / settings.tokensPerMs;
  for (const auto& candidate : plan.candidates) {
    if (candidate.store) continue;
    PlacementFacts facts;
    facts.promptTokens = whole;
    facts.sharedTokens = shared;
    facts.ownTokens = soonKeptBy(candidate);
    facts.heldAnywhereTokens = heldAnywhere;
    facts.rank = candidate.rank;
    auto [source, fetched] = sourceFor(candidate, facts.ownTokens);
    facts.fetches = source != nullptr;
    facts.fetchedTokens = fetched;
    if (source) facts.transferMs = transferMsBetween(order, *source, candidate, fetched);
    auto reply = order.replies.find(candidate.name);
    bool known = reply != order.replies.end() && reply->second.tokensPerMs > 0;
    facts.msPerToken = 1 / (known ? reply->second.tokensPerMs : settings.tokensPerMs);
    facts.waitMs = loadOf(candidate.name, effects.now);
    if (known) facts.waitMs = std::max(facts.waitMs, reply->second.waitingTokens * facts.msPerToken);
    double cost = placementCostMs(facts);
    if (target && cost >= leastCost) continue;
    target = &candidate;
    leastCost = cost;
    msPerToken = facts.msPerToken;
  }
  if (target && target->name != plan.worker) {
    freeWorker(effects, order);
    plan.worker = target->name;
    plan.address = target->address;
    plan.locality = target->locality;
    countOpen(order);
  }
  int own = target ? keptBy(*target) : 0, most = 0;
  if (target) {
    auto [source, fetched] = sourceFor(*target, soonKeptBy(*target));
    most = fetched;
    if (source) plan.source = *source;
  }
  if (store && order.replies.count(store->name) && keptBy(*store) < shared && shared >= leastSaved &&
      savesTo(store->name, plan.hashes.back(), effects.now))
    plan.sinkAddress = store->address;
  plan.unread -= std::max(target ? soonKeptBy(*target) : 0, most);
  order.urgency = urgencyOf(order.priority, priorities, plan.unread * msPerToken, tightestAimMs);
  if (order.tries == 0 && sheds(effects, order)) {
    order.lastCode = Code::pendingFull;
    effects.note("shed", order.ask.orderId);
    return false;
  }
  effects.note("prefix tokens", plan.worker, shared);
  effects.note("prefix kept", plan.worker, own);
  if (plan.source) effects.note("prefix fetched", plan.source->name, most - own);
  return plan.source.has_value();
}

void Edge::drawSources(Order& order, Moment now) {
  if (order.route.byPath()) return drawRideSources(order, now);
  auto& plan = order.plan;
  plan.candidates.clear();
  bool namesSource = false;
  for (const auto& mode : order.ask.modes)
    namesSource = namesSource || mode == "remote_kv_source" || mode == "remote_prefiller";
  if (!settings.fetching || order.route.app || namesSource || order.tries > 0) return;
  std::optional<Plan::Candidate> bestPeer, bestStore;
  for (const auto& [locality, news] : cells)
    for (const auto& keeper : news.workers) {
      bool store = keeper.kind == "store";
      if (keeper.name == plan.worker || !keeper.alive || !keeper.confirmed || keeper.held ||
          (!staying.count(keeper.name) && settings.defences.stands(Defence::marksAtDraw)))
        continue;
      if (!store && (keeper.kind != "language" || keeper.weights != plan.weights)) continue;
      Plan::Candidate candidate{
          keeper.name, keeper.address, keeper.locality, store, 0, 0, linkSpeed(keeper.name, plan.worker)};
      while (candidate.guessedHits < plan.hashes.size() &&
             Summary::mayHold(keeper.summary, plan.hashes[candidate.guessedHits]))
        ++candidate.guessedHits;
      if (candidate.guessedHits < plan.localHits + leastGain) continue;
      candidate.busyness = keeper.slots > 0 ? static_cast<double>(busyOf(keeper, now)) / keeper.slots : 0;
      FetchFacts facts{store, static_cast<double>(candidate.guessedHits), candidate.speed, candidate.busyness};
      if (!order.policy.fetches(facts)) continue;
      auto& best = store ? bestStore : bestPeer;
      if (!best || candidate.guessedHits > best->guessedHits ||
          (candidate.guessedHits == best->guessedHits && candidate.busyness < best->busyness))
        best = candidate;
    }
  if (bestPeer) plan.candidates.push_back(*bestPeer);
  if (bestStore) plan.candidates.push_back(*bestStore);
}

void Edge::sendLookup(Effects& effects, Order& order) {
  order.lookupAt = effects.now;
  order.replies.clear();
  for (const auto& candidate : order.plan.candidates) {
    std::string lookupId = settings.name + "/l" + std::to_string(++idCount);
    orderByLookup[lookupId] = order.ask.orderId;
    effects.send(settings.agentAddress,
                 LookupMsg{lookupId, candidate.locality, candidate.name, order.plan.weights, order.plan.hashes, {}});
  }
  effects.note("lookup asked", order.ask.orderId, static_cast<std::int64_t>(order.plan.candidates.size()));
}

void Edge::settleLookup(Effects& effects, Order& order) {
  auto& plan = order.plan;
  effects.note("lookup settled", order.ask.orderId, inMs(effects.now - order.lookupAt));
  plan.source.reset();
  plan.wantedHits = plan.confirmedHits = 0;
  if (order.route.byPath()) {
    bool rides = settleRide(effects, order);
    bool shed = order.lastCode == Code::pendingFull && order.tries == 0;
    for (auto row = orderByLookup.begin(); row != orderByLookup.end();)
      row = row->second == order.ask.orderId ? orderByLookup.erase(row) : std::next(row);
    if (shed) return happen(effects, order.ask.orderId, "shed");
    return sendOrRedraw(effects, order.ask.orderId, rides ? "rides" : "misses");
  }
  for (const auto& candidate : plan.candidates) {
    auto reply = order.replies.find(candidate.name);
    std::size_t confirmed = reply == order.replies.end() ? 0 : prefixHits(reply->second.hits);
    std::size_t hits = settings.defences.stands(Defence::hitsConfirmed) ? confirmed : candidate.guessedHits;
    FetchFacts facts{candidate.store, static_cast<double>(hits), candidate.speed, candidate.busyness};
    if (hits < plan.localHits + leastGain || hits <= plan.wantedHits || !order.policy.fetches(facts)) continue;
    plan.source = candidate;
    plan.wantedHits = hits;
    plan.confirmedHits = confirmed;
  }
  for (auto row = orderByLookup.begin(); row != orderByLookup.end();)
    row = row->second == order.ask.orderId ? orderByLookup.erase(row) : std::next(row);
  sendOrRedraw(effects, order.ask.orderId, plan.source ? "hits" : "misses");
}

void Edge::sendMove(Effects& effects, Order& order) {
  auto& plan = order.plan;
  std::size_t blocks = settings.defences.stands(Defence::moveCut) ? plan.wantedHits : plan.hashes.size();
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
               WatchMsg{move.sendId, plan.locality, plan.source->name, plan.worker, prefix, inMs(wait), {}});
  effects.send(plan.address, WorkerOrder{move.sendId,
                                         plan.model,
                                         plan.weights,
                                         plan.salt,
                                         cutPrompt(order.ask.parts, blocks),
                                         prefix,
                                         0,
                                         true,
                                         move.sendId,
                                         plan.source->address,
                                         order.tenant,
                                         false,
                                         {}});
}

void Edge::dropMove(Effects&, Order& order) {
  auto move = moves.find(order.moveId);
  if (move != moves.end()) move->second.orderIds.erase(order.ask.orderId);
}

void Edge::settleMove(Effects& effects, const std::string& moveId, bool success) {
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
