/// Handles a proxy's messages and ticks, and drives its requests through the state chart "order".
#include "proxy_router.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long a worker is not selected after its connection broke, and after it denied a request.
constexpr Duration ejectionPeriod = 2s, denialHoldoff = 200ms;
/// How long a proxy may be stale before it ends its open requests.
constexpr Duration maxStaleTime = 2500ms;
/// How many saved prefixes are remembered. If there are more, all are forgotten; at worst, some prefixes are saved
/// again.
constexpr std::size_t maxRememberedSaves = 20000;
/// A worker ends a request at its deadline by itself; the proxy waits this much longer for its final status.
constexpr Duration deadlineGrace = 300ms;
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

ProxyRouter::ProxyRouter(ProxyRouterSettings routerSettings) : settings(std::move(routerSettings)) {
  if (auto policy = Policy::read(settings.routePolicy)) routePolicy = policy.value();
}

bool ProxyRouter::fresh(TimePoint now) const { return now < freshUntil && config.index() >= requiredIndex; }

/// Workers of plain services count only where no cell knows an engine worker.
bool ProxyRouter::ready(TimePoint now) const {
  if (!fresh(now) || config.revision() == 0) return false;
  bool anyEngine = false, engineAlive = false, plainAlive = false;
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers) {
      if (worker.kind == "store") continue;
      bool engine = worker.kind == "language";
      anyEngine = anyEngine || engine;
      engineAlive = engineAlive || (engine && worker.alive);
      plainAlive = plainAlive || (!engine && worker.alive);
    }
  return anyEngine ? engineAlive : plainAlive;
}

const WorkerView* ProxyRouter::findWorker(const std::string& name) const {
  for (const auto& [zone, cell] : cells)
    for (const auto& worker : cell.workers)
      if (worker.name == name) return &worker;
  return nullptr;
}

void ProxyRouter::dispatch(Effects& effects, const std::string& requestId, const std::string& event) {
  auto found = requests.find(requestId);
  if (found == requests.end()) return;
  auto& request = *found->second;
  request.stateMachine->dispatch(*this, event, effects, request);
  if (request.stateMachine->isIn("again"))
    request.stateMachine->dispatch(*this, request.retryRequested ? "retry" : "giveUp", effects, request);
  if (!request.stateMachine->isIn("ended")) return;
  freeWorker(effects, request);
  requestIdByAttempt.erase(request.attemptId);
  requests.erase(requestId);
}

bool ProxyRouter::isPlanValid(const Request& request, TimePoint now) const {
  if (!settings.defences.isEnabled(Defence::drawnAgain)) return true;
  const auto* worker = findWorker(request.plan.worker);
  if (!worker || !worker->alive || worker->withheld || !schedulable.count(worker->name)) return false;
  if (request.route.app) return true;
  if (!request.plan.cacheDomain.empty() && request.plan.cacheDomain != cacheDomainNameFor(request)) return false;
  return worker->weights == request.plan.weights && mayStartOn(request.plan.model, request.plan.weights, now);
}

void ProxyRouter::sendOrReselect(Effects& effects, const std::string& requestId, const std::string& event) {
  auto found = requests.find(requestId);
  if (found == requests.end()) return;
  if (!fresh(effects.now)) {
    endNotRunOrUnknown(effects, *found->second, Code::staleEdge);
    return dispatch(effects, requestId, "callerGone");
  }
  bool valid = isPlanValid(*found->second, effects.now);
  if (!valid) effects.note("drawn again", requestId + " " + found->second->plan.worker);
  dispatch(effects, requestId, valid ? event : "outdated");
  if (!valid) servePending(effects);
}

void ProxyRouter::sendOrder(Effects& effects, Request& request) {
  ++request.attempts;
  request.attemptId = request.submitted.requestId + "." + std::to_string(request.attempts);
  request.lastActivityAt = effects.now;
  requestIdByAttempt[request.attemptId] = request.submitted.requestId;
  effects.note("order sent", request.attemptId + " " + request.plan.worker);
  WorkerOrder sent{request.attemptId,
                   request.plan.model,
                   request.plan.weights,
                   request.plan.salt,
                   request.submitted.parts,
                   request.plan.hashes,
                   request.submitted.maxTokens,
                   false,
                   {},
                   {},
                   request.tenant,
                   request.route.app,
                   request.submitted.params,
                   request.submitted.requestId,
                   request.plan.worker,
                   request.plan.sinkAddress,
                   request.urgency,
                   0,
                   request.lastEventId,
                   !request.submitted.repeatable};
  if (TimePoint end = weightsUseEndsAt(request.plan.model, request.plan.weights, timing.oldWeightsSendTimeout);
      end != TimePoint::max())
    sent.sendDeadline = toNanoseconds(end);
  if (request.route.matchesPath()) {
    sent.deadlineMs = std::max<std::int64_t>(1, toMilliseconds(request.deadline - effects.now));
    if (request.plan.source) sent.sourceAddress = request.plan.source->address;
    request.sentAt = effects.now;
    if (!request.plan.sinkAddress.empty()) {
      if (prefixSavedAt.size() > maxRememberedSaves) prefixSavedAt.clear();
      prefixSavedAt[request.plan.hashes.back()] = effects.now;
    }
    workerStats[request.plan.worker].tokensToPrefill += request.plan.tokensToPrefill;
    request.prefillCounted = true;
    if (!request.plan.model.empty())
      effects.send(settings.agentAddress, PrefillStarted{request.attemptId, request.plan.zone, request.plan.worker,
                                                         request.plan.hashes, request.plan.tokensToPrefill});
  }
  effects.send(request.plan.address, std::move(sent));
}

std::optional<Code> ProxyRouter::endReasonForAll(TimePoint now) const {
  if (isCutOff(now)) return Code::staleEdge;
  if (drainPlan && now >= drainPlan->endsAt && settings.defences.isEnabled(Defence::drainAnswers))
    return Code::stopping;
  return std::nullopt;
}

bool ProxyRouter::isCutOff(TimePoint now) const {
  return !settings.letOpenRequestsFinish && freshUntil != TimePoint{} && now - freshUntil > maxStaleTime &&
         settings.defences.isEnabled(Defence::staleEndsStreams);
}

void ProxyRouter::revokeOpenRequests(Effects& effects) {
  if (!settings.defences.isEnabled(Defence::revokeEndsStreams) || settings.letOpenRequestsFinish) return;
  std::vector<std::string> revoked;
  for (const auto& [requestId, request] : requests)
    if (!config.findKey(request->keyHash)) revoked.push_back(requestId);
  for (const auto& requestId : revoked) dispatch(effects, requestId, "revoked");
}

/// Until `completeAsOf` the configuration was known to be complete, so weights first seen now were announced later.
void ProxyRouter::recordCurrentWeights() {
  const auto* models = config.findSection("models");
  if (!models) return;
  std::optional<TimePoint> completeAsOf;
  if (freshUntil != TimePoint{}) completeAsOf = freshUntil - timing.maxStaleness;
  for (const auto& [model, item] : *models)
    weightsTimeline.observe(model, stringOr(item, "weights"), completeAsOf, config.index());
}

TimePoint ProxyRouter::weightsUseEndsAt(const std::string& model, const std::string& weights, Duration period) const {
  if (model.empty() || weights.empty() || !settings.defences.isEnabled(Defence::oldWeightsEnd)) return TimePoint::max();
  if (settings.defences.isEnabled(Defence::endFromFirstNewer))
    return endOfUse(weightsTimeline.supersededAt(model, weights), period);
  return weightsTimeline.isNewest(model, weights) ? TimePoint::max()
                                                  : endOfUse(weightsTimeline.newestAt(model), period);
}

bool ProxyRouter::mayStartOn(const std::string& model, const std::string& weights, TimePoint now) const {
  return now < weightsUseEndsAt(model, weights, timing.oldWeightsSendTimeout);
}

bool ProxyRouter::isUnstartedPastWeightsEnd(const Request& request, TimePoint now) const {
  return request.stateMachine->isIn("sent") && settings.defences.isEnabled(Defence::unbegunDropped) &&
         now >= weightsUseEndsAt(request.plan.model, request.plan.weights, timing.unstartedRequestTimeout);
}

void ProxyRouter::onConfigurationChanged(Effects& effects) {
  effects.note("edge applied", settings.name, static_cast<std::int64_t>(config.index()));
  /// The next tick polls at once, so that the agent learns without delay what is applied here.
  lastFeedPollAt = TimePoint{};
  revokeOpenRequests(effects);
  servePending(effects);
}

void ProxyRouter::tick(Effects& effects) {
  if (effects.now - lastFeedPollAt >= timing.feedPollInterval) {
    lastFeedPollAt = effects.now;
    weightsTimeline.pruneExpired(effects.now, timing.oldWeightsTimeout);
    std::vector<CellVersion> rows;
    for (const auto& [zone, cell] : cells) rows.push_back(CellVersion{zone, cell.term, cell.sequence});
    effects.send(settings.agentAddress, FeedAsk{toNanoseconds(effects.now), config.index(), rows, machineListDigest});
    for (auto* times : {&admissionTimes, &retryTimes, &completionTimes})
      while (!times->empty() && effects.now - times->front() > settings.retryBudgetWindow) times->pop_front();
  }
  std::vector<std::string> ids;
  for (const auto& [requestId, request] : requests) ids.push_back(requestId);
  if (fresh(effects.now) != wasFresh) {
    wasFresh = !wasFresh;
    effects.note(wasFresh ? "fresh" : "stale", settings.name);
  }
  auto endCode = endReasonForAll(effects.now);
  for (const auto& requestId : ids) {
    auto found = requests.find(requestId);
    if (found == requests.end()) continue;
    auto& request = *found->second;
    if (endCode) {
      if (*endCode == Code::stopping)
        effects.note("given up on leaving", requestId + " " + request.stateMachine->state());
      request.lastCode = *endCode;
      dispatch(effects, requestId, "revoked");
      continue;
    }
    if (request.stateMachine->isIn("lookup") && effects.now - request.lookupStartedAt >= settings.lookupTimeout &&
        settings.defences.isEnabled(Defence::lookupExpires))
      finishLookup(effects, request);
    else if (isUnstartedPastWeightsEnd(request, effects.now)) {
      effects.note("unbegun dropped", requestId + " " + request.plan.worker);
      dispatch(effects, requestId, "silent");
    } else if (request.route.matchesPath() && !request.stateMachine->isIn("pending")) {
      if (effects.now >= request.deadline + deadlineGrace) dispatch(effects, requestId, "silent");
    } else if (request.stateMachine->isIn("sent") && effects.now - request.lastActivityAt >= settings.firstByteTimeout)
      dispatch(effects, requestId, "silent");
    else if (request.stateMachine->isIn("streaming") && effects.now - request.lastActivityAt >= settings.chunkTimeout)
      dispatch(effects, requestId, "silent");
  }
  std::vector<std::string> expired;
  for (const auto& [transferId, transfer] : transfers)
    if (effects.now >= transfer.deadline) expired.push_back(transferId);
  for (const auto& transferId : expired) finishTransfer(effects, transferId, false);
  servePending(effects);
}

ProxyRouter::Request* ProxyRouter::requestOfAttempt(const std::string& attemptId) {
  auto sent = requestIdByAttempt.find(attemptId);
  return sent == requestIdByAttempt.end() ? nullptr : requests.at(sent->second).get();
}

void ProxyRouter::onWorkerChunk(Effects& effects, const WorkerChunk& chunk) {
  auto* request = requestOfAttempt(chunk.requestId);
  if (!request) return;
  request->chunk = chunk.text;
  if (!chunk.eventId.empty()) request->lastEventId = chunk.eventId;
  bool late = isCutOff(effects.now);
  if (late) request->lastCode = Code::staleEdge;
  std::string requestId = request->submitted.requestId;
  dispatch(effects, requestId, late ? "revoked" : "chunk");
}

const char* ProxyRouter::chartEventFor(const Request& request, AttemptOutcome outcome) const {
  bool canResume = request.stateMachine->isIn("streaming") && request.route.resumable;
  bool connectionBroke = outcome == AttemptOutcome::broken || outcome == AttemptOutcome::denied ||
                         outcome == AttemptOutcome::brokenBeforeSend;
  if (outcome == AttemptOutcome::broken && request.stateMachine->isIn("streaming") &&
      !settings.defences.isEnabled(Defence::retryBeforeBytes))
    return "brokenAnew";
  if (canResume && connectionBroke) return "cut";
  switch (outcome) {
    case AttemptOutcome::done:
      return "finished";
    case AttemptOutcome::denied:
      return "denied";
    case AttemptOutcome::brokenBeforeSend:
      return "unsent";
    case AttemptOutcome::failed:
      return "failed";
    case AttemptOutcome::silent:
      return "silent";
    default:
      return "broken";
  }
}

void ProxyRouter::onWorkerEnd(Effects& effects, const WorkerEnd& end) {
  auto outcome = static_cast<AttemptOutcome>(end.outcome);
  if (auto transfer = transferIdByCommand.find(end.requestId); transfer != transferIdByCommand.end()) {
    std::string transferId = transfer->second;
    if (outcome != AttemptOutcome::done) finishTransfer(effects, transferId, false);
    return;
  }
  auto* request = requestOfAttempt(end.requestId);
  if (!request) return;
  request->attemptEnd = end;
  eject(*request, outcome, effects.now);
  if (outcome == AttemptOutcome::denied)
    effects.note(std::string("turned away ") + codeName(static_cast<Code>(end.code)), end.requestId);
  std::string requestId = request->submitted.requestId;
  dispatch(effects, requestId, chartEventFor(*request, outcome));
  servePending(effects);
}

void ProxyRouter::eject(const Request& request, AttemptOutcome outcome, TimePoint now) {
  auto& stats = workerStats[request.plan.worker];
  if (outcome == AttemptOutcome::denied) {
    stats.ejectedUntil = now + denialHoldoff;
    return;
  }
  bool connectionBroke = outcome == AttemptOutcome::brokenBeforeSend || outcome == AttemptOutcome::broken;
  bool plain = request.route.matchesPath() && request.plan.model.empty();
  int periods = connectionBroke ? 1 : 0;
  if (plain) periods = stats.outliers.recordResult(connectionBroke || outcome == AttemptOutcome::failed);
  if (periods > 0) stats.ejectedUntil = now + periods * ejectionPeriod;
}

void ProxyRouter::onWorkerLoad(const WorkerLoad& load, TimePoint now) {
  const auto* request = requestOfAttempt(load.requestId);
  if (!request) return;
  auto& stats = workerStats[request->plan.worker];
  stats.running = load.running;
  stats.waiting = load.waiting;
  stats.loadReportedAt = now;
}

void ProxyRouter::onFeedReply(const FeedReply& feed, TimePoint now) {
  lastFeedReplyAt = now;
  weightsTimeline.mergeFrom(feed.weightsAnnouncements, fromNanoseconds(feed.sentAt));
  if (!feed.known) return;
  TimePoint until = fromNanoseconds(feed.sentAt) - Duration(feed.age) + timing.maxStaleness;
  if (feed.age < 0 || until <= freshUntil) return;
  if (config.index() >= feed.requiredIndex) {
    freshUntil = until;
    requiredIndex = feed.requiredIndex;
  }
}

void ProxyRouter::onConfigurationUpdate(Effects& effects, const NewsMsg& update) {
  Uint64 before = config.index();
  for (const auto& snapshot : update.snapshots)
    if (snapshot.index > config.index() && config.installSnapshot(snapshot)) recordCurrentWeights();
  for (const auto& entry : update.entries) {
    if (entry.index != config.index() + 1) continue;
    config.apply(entry);
    recordCurrentWeights();
  }
  if (config.index() != before) onConfigurationChanged(effects);
}

void ProxyRouter::onCellUpdate(Effects& effects, const CellNews& update) {
  auto& cell = cells[update.zone];
  if (!applyCellUpdate(cell, update)) return;
  cellUpdateAt[cell.zone] = effects.now;
  for (const auto& worker : cell.workers) {
    auto& stats = workerStats[worker.name];
    stats.sentSinceUpdate = 0;
    if (worker.service.empty()) continue;
    stats.running = worker.running;
    stats.waiting = worker.waiting;
    stats.loadReportedAt = effects.now;
  }
  servePending(effects);
}

void ProxyRouter::onMachineList(const MarksMsg& list, TimePoint now) {
  TimePoint listedAt = now - Duration(list.age);
  bool older = machineListDigest && listedAt < machineListAt && settings.defences.isEnabled(Defence::listOrder);
  if (list.age < 0 || list.machines.empty() || older) return;
  machineListAt = listedAt;
  machineListDigest = digestOfMachineList(list.machines);
  schedulable.clear();
  for (const auto& machine : list.machines)
    if (!machine.leaving) schedulable.insert(machine.name);
}

void ProxyRouter::onLookupReply(Effects& effects, const LookupReply& reply) {
  auto row = requestIdByLookup.find(reply.lookupId);
  if (row == requestIdByLookup.end()) return;
  std::string requestId = row->second;
  requestIdByLookup.erase(row);
  auto found = requests.find(requestId);
  if (found == requests.end() || !found->second->stateMachine->isIn("lookup")) return;
  auto& request = *found->second;
  if (effects.now - request.lookupStartedAt < settings.lookupTimeout) request.replies[reply.cacheNode] = reply;
  if (request.replies.size() == request.plan.candidates.size()) finishLookup(effects, request);
}

void ProxyRouter::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* submitted = std::get_if<CallerOrder>(&message)) {
    admit(effects, *submitted);
  } else if (auto* gone = std::get_if<CallerGone>(&message)) {
    effects.note("caller gone", gone->requestId);
    dispatch(effects, gone->requestId, "callerGone");
  } else if (auto* chunk = std::get_if<WorkerChunk>(&message)) {
    onWorkerChunk(effects, *chunk);
  } else if (auto* end = std::get_if<WorkerEnd>(&message)) {
    onWorkerEnd(effects, *end);
  } else if (auto* load = std::get_if<WorkerLoad>(&message)) {
    onWorkerLoad(*load, effects.now);
  } else if (from == settings.agentAddress) {
    handleFromAgent(effects, message);
  }
}

void ProxyRouter::handleFromAgent(Effects& effects, const Message& message) {
  if (auto* feed = std::get_if<FeedReply>(&message)) {
    onFeedReply(*feed, effects.now);
  } else if (auto* update = std::get_if<NewsMsg>(&message)) {
    onConfigurationUpdate(effects, *update);
  } else if (auto* cellUpdate = std::get_if<CellNews>(&message)) {
    onCellUpdate(effects, *cellUpdate);
  } else if (auto* machineList = std::get_if<MarksMsg>(&message)) {
    onMachineList(*machineList, effects.now);
  } else if (auto* reply = std::get_if<LookupReply>(&message)) {
    onLookupReply(effects, *reply);
  } else if (auto* done = std::get_if<TransferDone>(&message)) {
    auto transfer = transferIdByCommand.find(done->moveId);
    if (transfer != transferIdByCommand.end()) finishTransfer(effects, std::string(transfer->second), done->success);
  }
}

}  // namespace tt
