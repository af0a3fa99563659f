/// A proxy's messages and ticks, and the way of its orders through the chart.
#include "edge.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long a worker is avoided after it broke off, or turned an order away.
constexpr Duration shunFor = 2s, deniedShunFor = 200ms;
constexpr Duration staleMost = 2500ms;
constexpr std::size_t savedMost = 20000;
/// A worker ends an order at its deadline itself; its word is waited for a little longer.
constexpr Duration deadlineSlack = 300ms;
}  // namespace

const ProxyRouter::Actions& ProxyRouter::actions() {
  static const Actions table{{"sendOrder", &ProxyRouter::sendOrder},     {"sendLookup", &ProxyRouter::sendLookup},
                             {"sendMove", &ProxyRouter::sendMove},       {"dropMove", &ProxyRouter::dropMove},
                             {"freeWorker", &ProxyRouter::freeWorker},   {"passChunk", &ProxyRouter::passChunk},
                             {"endDone", &ProxyRouter::endDone},         {"endFailed", &ProxyRouter::endFailed},
                             {"endBroken", &ProxyRouter::endBroken},     {"endSilent", &ProxyRouter::endSilent},
                             {"endRevoked", &ProxyRouter::endRevoked},   {"denyLate", &ProxyRouter::denyLate},
                             {"denyKey", &ProxyRouter::denyKey},         {"dropOrder", &ProxyRouter::dropOrder},
                             {"weighUnsent", &ProxyRouter::weighUnsent}, {"weighBroken", &ProxyRouter::weighBroken},
                             {"redraw", &ProxyRouter::redraw},           {"drawAgain", &ProxyRouter::drawAgain},
                             {"weighResume", &ProxyRouter::weighResume}};
  return table;
}

ProxyRouter::ProxyRouter(ProxyRouterSettings edgeSettings) : settings(std::move(edgeSettings)) {
  if (auto policy = Policy::read(settings.routePolicy)) routePolicy = policy.value();
}

bool ProxyRouter::fresh(TimePoint now) const { return now < freshUntil && view.index() >= needed; }

bool ProxyRouter::ready(TimePoint now) const {
  if (!fresh(now) || view.revision() == 0) return false;
  bool anyEngine = false, engineAlive = false, plainAlive = false;
  for (const auto& [zone, news] : cells)
    for (const auto& worker : news.workers) {
      if (worker.kind == "store") continue;
      bool engine = worker.kind == "language";
      anyEngine = anyEngine || engine;
      engineAlive = engineAlive || (engine && worker.alive);
      plainAlive = plainAlive || (!engine && worker.alive);
    }
  return anyEngine ? engineAlive : plainAlive;
}

const WorkerView* ProxyRouter::workerView(const std::string& name) const {
  for (const auto& [zone, news] : cells)
    for (const auto& worker : news.workers)
      if (worker.name == name) return &worker;
  return nullptr;
}

void ProxyRouter::dispatch(Effects& effects, const std::string& orderId, const std::string& event) {
  auto found = orders.find(orderId);
  if (found == orders.end()) return;
  auto& order = *found->second;
  order.walk->dispatch(*this, event, effects, order);
  if (order.walk->in("again")) order.walk->dispatch(*this, order.retryAsked ? "retry" : "giveUp", effects, order);
  if (!order.walk->in("ended")) return;
  freeWorker(effects, order);
  orderBySend.erase(order.sendId);
  orders.erase(orderId);
}

bool ProxyRouter::stillGood(const Order& order, TimePoint now) const {
  if (!settings.defences.isEnabled(Defence::drawnAgain)) return true;
  const auto* worker = workerView(order.plan.worker);
  if (!worker || !worker->alive || worker->held || !staying.count(worker->name)) return false;
  if (order.route.app) return true;
  return worker->weights == order.plan.weights && mayBegin(order.plan.model, order.plan.weights, now);
}

void ProxyRouter::sendOrRedraw(Effects& effects, const std::string& orderId, const std::string& event) {
  auto found = orders.find(orderId);
  if (found == orders.end()) return;
  if (!fresh(effects.now)) {
    denyOrUnknown(effects, *found->second, Code::staleEdge);
    return dispatch(effects, orderId, "callerGone");
  }
  bool good = stillGood(*found->second, effects.now);
  if (!good) effects.note("drawn again", orderId + " " + found->second->plan.worker);
  dispatch(effects, orderId, good ? event : "outdated");
  if (!good) servePending(effects);
}

void ProxyRouter::sendOrder(Effects& effects, Order& order) {
  ++order.tries;
  order.sendId = order.ask.orderId + "." + std::to_string(order.tries);
  order.heardAt = effects.now;
  orderBySend[order.sendId] = order.ask.orderId;
  effects.note("order sent", order.sendId + " " + order.plan.worker);
  WorkerOrder sent{order.sendId,
                   order.plan.model,
                   order.plan.weights,
                   order.plan.salt,
                   order.ask.parts,
                   order.plan.hashes,
                   order.ask.maxTokens,
                   false,
                   {},
                   {},
                   order.tenant,
                   order.route.app,
                   order.ask.params,
                   order.ask.orderId,
                   order.plan.worker,
                   order.plan.sinkAddress,
                   order.urgency,
                   0,
                   order.lastPiece,
                   !order.ask.repeatable};
  if (TimePoint end = endOfWeights(order.plan.model, order.plan.weights, timing.oldWeightsOrderTimeout);
      end != TimePoint::max())
    sent.sendDeadline = toNanoseconds(end);
  if (order.route.matchesPath()) {
    sent.deadlineMs = std::max<std::int64_t>(1, toMilliseconds(order.deadline - effects.now));
    if (order.plan.source) sent.sourceAddress = order.plan.source->address;
    order.sentAt = effects.now;
    if (!order.plan.sinkAddress.empty()) {
      if (savedAt.size() > savedMost) savedAt.clear();
      savedAt[order.plan.hashes.back()] = effects.now;
    }
    locals[order.plan.worker].unread += order.plan.unread;
    order.unreadCounted = true;
    if (!order.plan.model.empty())
      effects.send(settings.agentAddress, PrefillStarted{order.sendId, order.plan.zone, order.plan.worker,
                                                         order.plan.hashes, order.plan.unread});
  }
  effects.send(order.plan.address, std::move(sent));
}

std::optional<Code> ProxyRouter::endOfAll(TimePoint now) const {
  if (cutOff(now)) return Code::staleEdge;
  if (drainPlan && now >= drainPlan->endsAt && settings.defences.isEnabled(Defence::drainAnswers))
    return Code::stopping;
  return std::nullopt;
}

bool ProxyRouter::cutOff(TimePoint now) const {
  return !settings.letOpenRequestsFinish && freshUntil != TimePoint{} && now - freshUntil > staleMost &&
         settings.defences.isEnabled(Defence::staleEndsStreams);
}

void ProxyRouter::revokeOpen(Effects& effects) {
  if (!settings.defences.isEnabled(Defence::revokeEndsStreams) || settings.letOpenRequestsFinish) return;
  std::vector<std::string> revoked;
  for (const auto& [orderId, order] : orders)
    if (!view.findKey(order->keyHash)) revoked.push_back(orderId);
  for (const auto& orderId : revoked) dispatch(effects, orderId, "revoked");
}

void ProxyRouter::noteVersions() {
  const auto* models = view.findSection("models");
  if (!models) return;
  std::optional<TimePoint> complete;
  if (freshUntil != TimePoint{}) complete = freshUntil - timing.maxStaleness;
  for (const auto& [model, item] : *models) versions.observe(model, stringOr(item, "weights"), complete, view.index());
}

TimePoint ProxyRouter::endOfWeights(const std::string& model, const std::string& weights, Duration span) const {
  if (model.empty() || weights.empty() || !settings.defences.isEnabled(Defence::oldWeightsEnd)) return TimePoint::max();
  if (settings.defences.isEnabled(Defence::endFromFirstNewer))
    return endOfUse(versions.supersededAt(model, weights), span);
  return versions.isNewest(model, weights) ? TimePoint::max() : endOfUse(versions.newestAt(model), span);
}

bool ProxyRouter::mayBegin(const std::string& model, const std::string& weights, TimePoint now) const {
  return now < endOfWeights(model, weights, timing.oldWeightsOrderTimeout);
}

bool ProxyRouter::beginsTooLate(const Order& order, TimePoint now) const {
  return order.walk->in("sent") && settings.defences.isEnabled(Defence::unbegunDropped) &&
         now >= endOfWeights(order.plan.model, order.plan.weights, timing.unstartedOrderTimeout);
}

void ProxyRouter::setNews(Effects& effects) {
  effects.note("edge applied", settings.name, static_cast<std::int64_t>(view.index()));
  feedAt = TimePoint{};
  revokeOpen(effects);
  servePending(effects);
}

void ProxyRouter::tick(Effects& effects) {
  if (effects.now - feedAt >= timing.feedPollInterval) {
    feedAt = effects.now;
    versions.pruneExpired(effects.now, timing.oldWeightsTimeout);
    std::vector<CellVersion> rows;
    for (const auto& [zone, news] : cells) rows.push_back(CellVersion{zone, news.term, news.sequence});
    effects.send(settings.agentAddress, FeedAsk{toNanoseconds(effects.now), view.index(), rows, machineListDigest});
    for (auto* moments : {&admittedAt, &retriedAt, &doneAt})
      while (!moments->empty() && effects.now - moments->front() > settings.retryBudgetWindow) moments->pop_front();
  }
  std::vector<std::string> ids;
  for (const auto& [orderId, order] : orders) ids.push_back(orderId);
  if (fresh(effects.now) != wasFresh) {
    wasFresh = !wasFresh;
    effects.note(wasFresh ? "fresh" : "stale", settings.name);
  }
  auto endReason = endOfAll(effects.now);
  for (const auto& orderId : ids) {
    auto found = orders.find(orderId);
    if (found == orders.end()) continue;
    auto& order = *found->second;
    if (endReason) {
      if (*endReason == Code::stopping) effects.note("given up on leaving", orderId + " " + order.walk->state());
      order.lastCode = *endReason;
      dispatch(effects, orderId, "revoked");
      continue;
    }
    if (order.walk->in("lookup") && effects.now - order.lookupAt >= settings.lookupTimeout &&
        settings.defences.isEnabled(Defence::lookupExpires))
      settleLookup(effects, order);
    else if (beginsTooLate(order, effects.now)) {
      effects.note("unbegun dropped", orderId + " " + order.plan.worker);
      dispatch(effects, orderId, "silent");
    } else if (order.route.matchesPath() && !order.walk->in("pending")) {
      if (effects.now >= order.deadline + deadlineSlack) dispatch(effects, orderId, "silent");
    } else if (order.walk->in("sent") && effects.now - order.heardAt >= settings.firstByteTimeout)
      dispatch(effects, orderId, "silent");
    else if (order.walk->in("streaming") && effects.now - order.heardAt >= settings.chunkTimeout)
      dispatch(effects, orderId, "silent");
  }
  std::vector<std::string> overdue;
  for (const auto& [moveId, move] : moves)
    if (effects.now >= move.deadline) overdue.push_back(moveId);
  for (const auto& moveId : overdue) settleMove(effects, moveId, false);
  servePending(effects);
}

ProxyRouter::Order* ProxyRouter::orderSentAs(const std::string& sendId) {
  auto sent = orderBySend.find(sendId);
  return sent == orderBySend.end() ? nullptr : orders.at(sent->second).get();
}

void ProxyRouter::onWorkerChunk(Effects& effects, const WorkerChunk& chunk) {
  auto* order = orderSentAs(chunk.orderId);
  if (!order) return;
  order->chunk = chunk.text;
  if (!chunk.piece.empty()) order->lastPiece = chunk.piece;
  bool late = cutOff(effects.now);
  if (late) order->lastCode = Code::staleEdge;
  std::string orderId = order->ask.orderId;
  dispatch(effects, orderId, late ? "revoked" : "chunk");
}

const char* ProxyRouter::eventOf(const Order& order, OrderOutcome outcome) const {
  bool goesOn = order.walk->in("streaming") && order.route.resumable;
  bool brokeOff =
      outcome == OrderOutcome::broken || outcome == OrderOutcome::denied || outcome == OrderOutcome::brokenBeforeSend;
  if (outcome == OrderOutcome::broken && order.walk->in("streaming") &&
      !settings.defences.isEnabled(Defence::retryBeforeBytes))
    return "brokenAnew";
  if (goesOn && brokeOff) return "cut";
  switch (outcome) {
    case OrderOutcome::done:
      return "finished";
    case OrderOutcome::denied:
      return "denied";
    case OrderOutcome::brokenBeforeSend:
      return "unsent";
    case OrderOutcome::failed:
      return "failed";
    case OrderOutcome::silent:
      return "silent";
    default:
      return "broken";
  }
}

void ProxyRouter::onWorkerEnd(Effects& effects, const WorkerEnd& end) {
  auto outcome = static_cast<OrderOutcome>(end.outcome);
  if (auto move = moveBySend.find(end.orderId); move != moveBySend.end()) {
    std::string moveId = move->second;
    if (outcome != OrderOutcome::done) settleMove(effects, moveId, false);
    return;
  }
  auto* order = orderSentAs(end.orderId);
  if (!order) return;
  order->end = end;
  eject(*order, outcome, effects.now);
  if (outcome == OrderOutcome::denied)
    effects.note(std::string("turned away ") + codeName(static_cast<Code>(end.code)), end.orderId);
  std::string orderId = order->ask.orderId;
  dispatch(effects, orderId, eventOf(*order, outcome));
  servePending(effects);
}

void ProxyRouter::eject(const Order& order, OrderOutcome outcome, TimePoint now) {
  auto& local = locals[order.plan.worker];
  if (outcome == OrderOutcome::denied) {
    local.shunUntil = now + deniedShunFor;
    return;
  }
  bool brokeOff = outcome == OrderOutcome::brokenBeforeSend || outcome == OrderOutcome::broken;
  bool plain = order.route.matchesPath() && order.plan.model.empty();
  int spans = brokeOff ? 1 : 0;
  if (plain) spans = local.outliers.note(brokeOff || outcome == OrderOutcome::failed);
  if (spans > 0) local.shunUntil = now + spans * shunFor;
}

void ProxyRouter::onWorkerLoad(const WorkerLoad& load, TimePoint now) {
  const auto* order = orderSentAs(load.orderId);
  if (!order) return;
  auto& local = locals[order->plan.worker];
  local.running = load.running;
  local.waiting = load.waiting;
  local.loadAt = now;
}

void ProxyRouter::onFeed(const FeedReply& feed, TimePoint now) {
  agentHeard = now;
  versions.mergeFrom(feed.namings, fromNanoseconds(feed.sentAt));
  if (!feed.known) return;
  TimePoint until = fromNanoseconds(feed.sentAt) - Duration(feed.age) + timing.maxStaleness;
  if (feed.age < 0 || until <= freshUntil) return;
  if (view.index() >= feed.needed) {
    freshUntil = until;
    needed = feed.needed;
  }
}

void ProxyRouter::onNews(Effects& effects, const NewsMsg& news) {
  Uint64 before = view.index();
  for (const auto& snapshot : news.snapshots)
    if (snapshot.index > view.index() && view.adopt(snapshot)) noteVersions();
  for (const auto& entry : news.entries) {
    if (entry.index != view.index() + 1) continue;
    view.apply(entry);
    noteVersions();
  }
  if (view.index() != before) setNews(effects);
}

void ProxyRouter::onCellNews(Effects& effects, const CellNews& news) {
  auto& kept = cells[news.zone];
  if (!applyCellNews(kept, news)) return;
  newsAt[kept.zone] = effects.now;
  for (const auto& worker : kept.workers) {
    auto& local = locals[worker.name];
    local.sentSinceNews = 0;
    if (worker.service.empty()) continue;
    local.running = worker.running;
    local.waiting = worker.waiting;
    local.loadAt = effects.now;
  }
  servePending(effects);
}

void ProxyRouter::onMarks(const MarksMsg& marks, TimePoint now) {
  TimePoint listedAt = now - Duration(marks.age);
  bool older = machineListDigest && listedAt < machineListAt && settings.defences.isEnabled(Defence::listOrder);
  if (marks.age < 0 || marks.machines.empty() || older) return;
  machineListAt = listedAt;
  machineListDigest = digestOfMachineList(marks.machines);
  staying.clear();
  for (const auto& machine : marks.machines)
    if (!machine.leaving) staying.insert(machine.name);
}

void ProxyRouter::onLookupReply(Effects& effects, const LookupReply& reply) {
  auto row = orderByLookup.find(reply.lookupId);
  if (row == orderByLookup.end()) return;
  std::string orderId = row->second;
  orderByLookup.erase(row);
  auto found = orders.find(orderId);
  if (found == orders.end() || !found->second->walk->in("lookup")) return;
  auto& order = *found->second;
  if (effects.now - order.lookupAt < settings.lookupTimeout) order.replies[reply.keeper] = reply;
  if (order.replies.size() == order.plan.candidates.size()) settleLookup(effects, order);
}

void ProxyRouter::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* ask = std::get_if<CallerOrder>(&message)) {
    admit(effects, *ask);
  } else if (auto* gone = std::get_if<CallerGone>(&message)) {
    effects.note("caller gone", gone->orderId);
    dispatch(effects, gone->orderId, "callerGone");
  } else if (auto* chunk = std::get_if<WorkerChunk>(&message)) {
    onWorkerChunk(effects, *chunk);
  } else if (auto* end = std::get_if<WorkerEnd>(&message)) {
    onWorkerEnd(effects, *end);
  } else if (auto* load = std::get_if<WorkerLoad>(&message)) {
    onWorkerLoad(*load, effects.now);
  } else if (from == settings.agentAddress) {
    takeFromAgent(effects, message);
  }
}

void ProxyRouter::takeFromAgent(Effects& effects, const Message& message) {
  if (auto* feed = std::get_if<FeedReply>(&message)) {
    onFeed(*feed, effects.now);
  } else if (auto* news = std::get_if<NewsMsg>(&message)) {
    onNews(effects, *news);
  } else if (auto* cellNews = std::get_if<CellNews>(&message)) {
    onCellNews(effects, *cellNews);
  } else if (auto* marks = std::get_if<MarksMsg>(&message)) {
    onMarks(*marks, effects.now);
  } else if (auto* reply = std::get_if<LookupReply>(&message)) {
    onLookupReply(effects, *reply);
  } else if (auto* done = std::get_if<TransferDone>(&message)) {
    auto move = moveBySend.find(done->moveId);
    if (move != moveBySend.end()) settleMove(effects, std::string(move->second), done->success);
  }
}

}  // namespace tt
