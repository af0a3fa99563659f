#include "cell.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How long the cell waits for a requested report, or for a first status, before it requests it again.
constexpr Duration reportRetryTimeout = 700ms;
/// How long a store's evictions are remembered, and at most how many of them.
constexpr Duration evictedRetention = 30s;
constexpr std::size_t maxEvictedEntries = 50000;
/// How often the share of prefixes that are saved in a store is adjusted.
constexpr Duration shareAdjustInterval = 500ms;
/// How often a worker's status is requested while a roll-out changes it.
constexpr Duration rolloutStatusInterval = 250ms;
/// How often a cell update is published when nothing has changed.
constexpr Duration idlePublishInterval = 500ms;
/// How often a cell update includes the Bloom filters.
constexpr Duration summaryInterval = 250ms;
/// How long the speed of a transfer is published.
constexpr Duration transferSpeedRetention = 30s;
/// The largest Bloom filter of one node.
constexpr std::size_t maxFilterBytes = 8192;
/// How much later cores in other zones stand for election.
constexpr Duration remoteCampaignDelay = 600ms;
/// The most transfers that are watched at the same time, and the longest time for which one is watched.
constexpr std::size_t maxTransfers = 4096;
constexpr std::int64_t maxTransferMs = 10000;
/// Bounds of the share of prefixes that are saved in a store, in thousandths.
constexpr int minSavedPermille = 20, maxSavedPermille = 1000;
}  // namespace

std::string BloomFilter::make(const std::unordered_set<BlockHash, BlockHashHasher>& blocks) {
  if (blocks.empty()) return {};
  std::size_t bytes = 16;
  while (bytes < blocks.size() + blocks.size() / 4 && bytes < maxFilterBytes) bytes *= 2;
  std::string bits(bytes, '\0');
  for (const auto& hash : blocks)
    for (std::uint64_t probe : {hash.high, hash.low, hash.high >> 32 ^ hash.low >> 16}) {
      std::size_t bit = probe % (bytes * 8);
      bits[bit / 8] = static_cast<char>(bits[bit / 8] | (1 << bit % 8));
    }
  return bits;
}

bool BloomFilter::mayContain(const std::string& bits, const BlockHash& hash) {
  if (bits.empty()) return false;
  for (std::uint64_t probe : {hash.high, hash.low, hash.high >> 32 ^ hash.low >> 16}) {
    std::size_t bit = probe % (bits.size() * 8);
    if (!(bits[bit / 8] >> bit % 8 & 1)) return false;
  }
  return true;
}

const Cell::TransferActions& Cell::transferActions() {
  static const TransferActions table{{"tellDone", &Cell::reportTransferDone},
                                     {"tellFailed", &Cell::reportTransferFailed}};
  return table;
}

Cell::Cell(std::string zone, const Member& self, bool local, Defences initialDefences, CellSettings cellSettings)
    : election("cell/" + zone, self.id, local ? Duration(0) : remoteCampaignDelay, initialDefences),
      zoneName(std::move(zone)),
      selfId(self.id),
      selfAddress(self.address),
      defences(initialDefences),
      settings(cellSettings) {
  election.onHolderChanged = [this](Effects& effects, bool won) { onLeaseChange(effects, won); };
}

void Cell::onLeaseChange(Effects& effects, bool) {
  leaseWonAt = effects.now;
  for (auto& [name, node] : nodes) {
    node.confirmed = false;
    node.reportPending = false;
    node.cachedBlocks.clear();
    node.summaryStale = true;
    node.lastReportAt = effects.now;
    node.known = false;
    node.lastReport.reportsCommandCount = false;
    node.statusAt = node.statusRequestedAt = TimePoint{};
  }
  rollouts.clear();
  transfers.clear();
  agentVersions.clear();
  prefills.clear();
  sequence = 0;
  lastPublished.clear();
  updatePending = true;
}

void Cell::setMachines(const std::vector<Machine>& machines) {
  std::set<std::string> listed;
  for (const auto& machine : machines) {
    if (machine.zone != zoneName) continue;
    listed.insert(machine.name);
    auto& node = nodes[machine.name];
    if (node.machine.address != machine.address) node = CacheNode{};
    if (node.machine.leaving != machine.leaving || node.machine.name.empty()) updatePending = true;
    if (settings.separateStatus && node.statusAt == TimePoint{}) {
      node.lastReport.weights = machine.weights;
      node.lastReport.model = machine.model;
      node.lastReport.slots = machine.slots;
    }
    node.machine = machine;
  }
  prefills.keepOnly(listed);
  for (auto node = nodes.begin(); node != nodes.end();) {
    if (listed.count(node->first)) {
      ++node;
      continue;
    }
    rollouts.erase(node->first);
    node = nodes.erase(node);
    updatePending = true;
  }
}

void Cell::markUnconfirmed(Effects& effects, CacheNode& node, const char* why) {
  if (!node.confirmed) return;
  node.confirmed = false;
  node.cachedBlocks.clear();
  node.summaryStale = true;
  updatePending = true;
  effects.note("keeper unconfirmed", node.machine.name + " " + why);
}

bool Cell::sendsReports(const CacheNode& node) const { return !settings.separateStatus || node.machine.kind != "app"; }

void Cell::requestReports(Effects& effects) {
  for (auto& [name, node] : nodes) {
    if (!sendsReports(node)) continue;
    if (node.known && effects.now - node.lastReportAt > settings.reportTimeout) markUnconfirmed(effects, node, "late");
    if (settings.separateStatus) requestStatus(effects, node);
    if (node.reportPending ? effects.now - node.reportRequestedAt < reportRetryTimeout
                           : effects.now - node.reportRequestedAt < settings.reportInterval)
      continue;
    bool requestsFull = false;
    if (node.confirmed && settings.fullReportInterval > Duration(0) &&
        effects.now - fullReportRequestedAt > settings.fullReportInterval && name > lastFullReportNode) {
      requestsFull = true;
      fullReportRequestedAt = effects.now;
      lastFullReportNode = name;
    }
    node.reportPending = true;
    node.reportRequestedAt = effects.now;
    effects.send(node.machine.address,
                 ReportAsk{node.appliedSequence, node.lastReport.incarnation, requestsFull || !node.confirmed,
                           static_cast<int>(settings.separateStatus ? ReportScope::index : ReportScope::all), name});
  }
  if (effects.now - fullReportRequestedAt > 2 * settings.fullReportInterval) lastFullReportNode.clear();
}

void Cell::requestStatus(Effects& effects, CacheNode& node) {
  if (node.machine.kind != "language" || node.machine.leaving) return;
  auto rollout = rollouts.find(node.machine.name);
  bool changing = rollout != rollouts.end() && !rollout->second.stateMachine->isIn("serving") &&
                  !rollout->second.stateMachine->isIn("marking");
  if (node.statusAt != TimePoint{} && !changing && settings.statusInterval == Duration(0)) return;
  Duration interval = changing                       ? rolloutStatusInterval
                      : node.statusAt == TimePoint{} ? reportRetryTimeout
                                                     : settings.statusInterval;
  if (effects.now - node.statusRequestedAt < interval) return;
  node.statusRequestedAt = effects.now;
  effects.send(node.machine.address,
               ReportAsk{0, {}, false, static_cast<int>(ReportScope::condition), node.machine.name});
}

void Cell::onStatus(Effects& effects, CacheNode& node, const Report& report) {
  bool changed = node.lastReport.weights != report.weights || node.lastReport.draining != report.draining ||
                 node.statusAt == TimePoint{} || node.lastReport.waiting != report.waiting ||
                 node.lastReport.running / 4 != report.running / 4;
  node.statusAt = effects.now;
  node.lastReport.weights = report.weights;
  node.lastReport.model = report.model;
  node.lastReport.running = report.running;
  node.lastReport.waiting = report.waiting;
  node.lastReport.kvUsedPercent = report.kvUsedPercent;
  node.lastReport.slots = report.slots;
  node.lastReport.draining = report.draining;
  node.lastReport.reportsCommandCount = report.reportsCommandCount;
  node.lastReport.commandCount = report.commandCount;
  updatePending = updatePending || changed;
  updateRollouts(effects, *lastConfiguration);
}

void Cell::onReport(Effects& effects, const Report& report) {
  auto found = nodes.find(report.worker);
  if (found == nodes.end()) {
    effects.note("report denied", report.worker);
    return;
  }
  auto& node = found->second;
  if (report.scope == static_cast<int>(ReportScope::condition)) return onStatus(effects, node, report);
  node.reportPending = false;
  if (effects.now - node.reportRequestedAt > settings.reportTimeout) {
    effects.note("report late", report.worker);
    return;
  }
  bool indexOnly = report.scope == static_cast<int>(ReportScope::index);
  bool changed = !node.known || (!indexOnly && (node.lastReport.running != report.running ||
                                                node.lastReport.weights != report.weights ||
                                                node.lastReport.draining != report.draining));
  if (node.known && node.lastReport.incarnation != report.incarnation) {
    markUnconfirmed(effects, node, "new incarnation");
    node.appliedSequence = 0;
  }
  if (node.confirmed && !indexOnly && node.lastReport.weights != report.weights)
    markUnconfirmed(effects, node, "other weights");
  node.lastReportAt = effects.now;
  node.known = true;
  if (indexOnly) {
    node.lastReport.incarnation = report.incarnation;
    node.lastReport.sequence = report.sequence;
    if (report.lost) markUnconfirmed(effects, node, "gap");
    if (node.confirmed && !report.complete && report.sequence < node.appliedSequence)
      return effects.note("report late", report.worker);
  } else {
    node.lastReport = report;
    node.lastReport.cachedBlocks.clear();
    node.lastReport.events.clear();
  }
  updatePending = updatePending || changed;
  if (report.complete) {
    std::unordered_set<BlockHash, BlockHashHasher> cachedBlocks(report.cachedBlocks.begin(), report.cachedBlocks.end());
    if (node.confirmed) {
      std::int64_t corrected = 0;
      for (const auto& hash : cachedBlocks) corrected += !node.cachedBlocks.count(hash);
      for (const auto& hash : node.cachedBlocks) corrected += !cachedBlocks.count(hash);
      effects.note("swept", report.worker, corrected);
      if (corrected) effects.note("sweep mended", report.worker, corrected);
    } else {
      effects.note("keeper confirmed", report.worker, static_cast<std::int64_t>(cachedBlocks.size()));
    }
    node.cachedBlocks = std::move(cachedBlocks);
    node.appliedSequence = report.sequence;
    node.confirmed = true;
    node.summaryStale = true;
    updatePending = true;
    return;
  }
  if (!node.confirmed) return;
  for (const auto& event : report.events) {
    if (event.sequence <= node.appliedSequence && !report.gaps) continue;
    if (event.sequence != node.appliedSequence + 1 && !report.gaps) {
      markUnconfirmed(effects, node, "gap");
      return;
    }
    node.appliedSequence = event.sequence;
    switch (static_cast<CacheEventKind>(event.kind)) {
      case CacheEventKind::stored:
        node.cachedBlocks.insert(event.hashes.begin(), event.hashes.end());
        break;
      case CacheEventKind::removed:
        for (const auto& hash : event.hashes) {
          if (!node.cachedBlocks.erase(hash) || node.machine.kind != "store") continue;
          if (node.recentlyEvicted.size() > maxEvictedEntries) node.recentlyEvicted.clear();
          node.recentlyEvicted[hash] = effects.now;
        }
        break;
      case CacheEventKind::cleared:
        node.cachedBlocks.clear();
        break;
    }
    node.summaryStale = true;
    updatePending = updatePending || settings.publishSummaries;
  }
  if (report.gaps) node.appliedSequence = report.sequence;
  if (report.sequence != node.appliedSequence) markUnconfirmed(effects, node, "gap");
}

void Cell::adjustStoreShare(CacheNode& store, const BlockHash& prefix, TimePoint now) {
  if (store.cachedBlocks.count(prefix))
    ++store.lookupHits;
  else if (auto evicted = store.recentlyEvicted.find(prefix);
           evicted != store.recentlyEvicted.end() && now - evicted->second < evictedRetention)
    ++store.evictedLookups;
  if (now - store.shareAdjustedAt < shareAdjustInterval) return;
  store.shareAdjustedAt = now;
  if (store.evictedLookups * 10 > store.lookupHits + store.evictedLookups)
    store.savedPermille = std::max(minSavedPermille, store.savedPermille * 9 / 10);
  else
    store.savedPermille = std::min(maxSavedPermille, store.savedPermille + store.savedPermille / 50 + 1);
  store.lookupHits = store.evictedLookups = 0;
  updatePending = true;
}

void Cell::onLookup(Effects& effects, const LookupMsg& request) {
  if (!election.holdsLease(effects.now)) return;
  auto found = nodes.find(request.cacheNode);
  LookupReply reply{request.lookupId, request.cacheNode, {}, 0, 0, 0};
  if (found != nodes.end()) {
    auto& node = found->second;
    if (node.machine.kind == "store" && node.confirmed && !request.hashes.empty())
      adjustStoreShare(node, request.hashes.back(), effects.now);
    bool usable = node.confirmed && effects.now - node.lastReportAt < settings.reportTimeout &&
                  (!node.lastReport.draining || settings.separateStatus) && !node.machine.leaving &&
                  (node.machine.kind == "store" || node.lastReport.weights == request.weights);
    for (const auto& hash : request.hashes) reply.hits.push_back(usable && node.cachedBlocks.count(hash) ? 1 : 0);
    auto load = prefills.loadOf(request.cacheNode, effects.now);
    reply.waitingTokens = load.tokens;
    reply.tokensPerMs = load.tokensPerMs;
    reply.pendingHits = prefills.pendingHits(request.cacheNode, request.hashes, effects.now);
  }
  effects.note("lookup", request.cacheNode, static_cast<std::int64_t>(request.hashes.size()));
  effects.send(request.replyTo, reply);
}

bool Cell::mayCommand(const ControlAsk& command, TimePoint now) const {
  return nodes.count(command.worker) > 0 && command.term == election.term() && election.holdsLease(now);
}

std::int64_t Cell::unconfirmedCount() const {
  std::int64_t count = 0;
  for (const auto& [name, node] : nodes) count += node.machine.kind != "app" && !node.confirmed;
  return count;
}

void Cell::recordAgentVersion(const std::string& agent, const CellVersion& version, TimePoint now) {
  agentVersions[agent] = AgentVersion{version, now};
}

void Cell::reportTransferDone(Effects& effects, TransferWatch& transfer) {
  double seconds = std::chrono::duration<double>(effects.now - transfer.startedAt).count();
  transferSpeeds[{transfer.request.source, transfer.request.target}] =
      TransferSpeed{static_cast<double>(transfer.request.hashes.size()) / std::max(seconds, 0.001), effects.now};
  updatePending = true;
  effects.note("transfer done", transfer.request.moveId, toMilliseconds(effects.now - transfer.startedAt));
  effects.send(transfer.request.replyTo, TransferDone{transfer.request.moveId, true});
}

void Cell::reportTransferFailed(Effects& effects, TransferWatch& transfer) {
  double seconds = std::max(std::chrono::duration<double>(effects.now - transfer.startedAt).count(), 0.001);
  auto& speed = transferSpeeds[{transfer.request.source, transfer.request.target}];
  speed = TransferSpeed{static_cast<double>(transfer.request.hashes.size()) / seconds / 2, effects.now};
  updatePending = true;
  if (auto source = nodes.find(transfer.request.source); source != nodes.end() && !settings.separateStatus)
    markUnconfirmed(effects, source->second, "transfer incomplete");
  effects.note("transfer failed", transfer.request.moveId);
  effects.send(transfer.request.replyTo, TransferDone{transfer.request.moveId, false});
}

void Cell::updateTransfers(Effects& effects) {
  for (auto entry = transfers.begin(); entry != transfers.end();) {
    auto& transfer = entry->second;
    auto found = nodes.find(transfer.request.target);
    if (found == nodes.end()) {
      transfer.stateMachine->dispatch(*this, "denied", effects, transfer);
    } else {
      const auto& cachedBlocks = found->second.cachedBlocks;
      bool complete =
          found->second.confirmed && std::all_of(transfer.request.hashes.begin(), transfer.request.hashes.end(),
                                                 [&](const BlockHash& hash) { return cachedBlocks.count(hash) > 0; });
      if (complete)
        transfer.stateMachine->dispatch(*this, "done", effects, transfer);
      else if (effects.now >= transfer.deadline)
        transfer.stateMachine->dispatch(*this, "overdue", effects, transfer);
      else
        transfer.stateMachine->dispatch(*this, "accepted", effects, transfer);
    }
    entry = transfer.stateMachine->isIn("finished") || transfer.stateMachine->isIn("failed") ? transfers.erase(entry)
                                                                                             : std::next(entry);
  }
}

void Cell::reduceToChanges(CellNews& update) {
  std::map<std::string, WorkerView> current;
  for (auto& worker : update.workers) {
    worker.cachedBlocks = worker.reportSequence = 0;
    worker.running = std::min(worker.running, 8) + std::max(0, worker.running - 8) / 4 * 4;
    current[worker.name] = worker;
  }
  bool complete = sequence <= 1 || lastPublished.empty();
  auto publishedFields = [](const WorkerView& worker) {
    return std::tie(worker.address, worker.kind, worker.weights, worker.model, worker.running, worker.slots,
                    worker.withheld, worker.alive, worker.confirmed, worker.service, worker.waiting,
                    worker.savedPermille);
  };
  if (!complete) {
    update.base = update.sequence - 1;
    update.workers.clear();
    for (const auto& [name, worker] : current)
      if (auto previous = lastPublished.find(name);
          previous == lastPublished.end() || publishedFields(previous->second) != publishedFields(worker))
        update.workers.push_back(worker);
    for (const auto& [name, worker] : lastPublished)
      if (!current.count(name)) update.removedWorkers.push_back(name);
  }
  lastPublished = std::move(current);
}

void Cell::publishUpdate(Effects& effects) {
  if (effects.now - publishedAt < (updatePending ? settings.publishInterval : idlePublishInterval)) return;
  if (!election.holdsLease(effects.now)) return;
  publishedAt = effects.now;
  bool omitsSummaries = sequence > 0 && effects.now - summariesPublishedAt < summaryInterval;
  if (!omitsSummaries) summariesPublishedAt = effects.now;
  updatePending = omitsSummaries;
  CellNews update{zoneName, election.term(), ++sequence, selfAddress, {}, {}, omitsSummaries};
  for (auto& [name, node] : nodes) {
    if (node.summaryStale && !omitsSummaries && settings.publishSummaries) {
      node.summary = BloomFilter::make(node.cachedBlocks);
      node.summaryStale = false;
    }
    auto rollout = rollouts.find(name);
    auto wanted = lastConfiguration ? lastConfiguration->weightsOf(node.lastReport.model) : std::nullopt;
    bool hasWanted = !wanted || node.lastReport.weights == *wanted;
    bool withheld = (node.lastReport.draining && (!settings.singleLoadCommand || !hasWanted)) ||
                    (rollout != rollouts.end() && !rollout->second.stateMachine->isIn("serving"));
    bool alive = !sendsReports(node) || (node.known && effects.now - node.lastReportAt < settings.workerTimeout);
    update.workers.push_back(WorkerView{
        name, node.machine.address, zoneName, node.machine.kind, node.lastReport.weights, node.lastReport.model,
        node.lastReport.running, node.lastReport.slots, withheld, alive, node.confirmed, node.cachedBlocks.size(),
        node.lastReport.sequence, omitsSummaries ? std::string() : node.summary, node.machine.service,
        node.lastReport.waiting, node.lastReport.kvUsedPercent, node.savedPermille});
  }
  if (!settings.publishSummaries) reduceToChanges(update);
  for (auto speed = transferSpeeds.begin(); speed != transferSpeeds.end();) {
    if (effects.now - speed->second.at > transferSpeedRetention) {
      speed = transferSpeeds.erase(speed);
      continue;
    }
    update.links.push_back(LinkSpeed{speed->first.first, speed->first.second, speed->second.blocksPerSecond});
    ++speed;
  }
  if (publish) publish(effects, update);
}

void Cell::tick(Effects& effects, const Configuration& configuration) {
  election.tick(effects);
  lastConfiguration = &configuration;
  if (!election.holdsLease(effects.now)) return;
  requestReports(effects);
  updateRollouts(effects, configuration);
  updateTransfers(effects);
  publishUpdate(effects);
}

void Cell::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* report = std::get_if<Report>(&message)) {
    if (election.holdsLease(effects.now)) {
      onReport(effects, *report);
      updateTransfers(effects);
    }
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    onLookup(effects, *lookup);
  } else if (auto* started = std::get_if<PrefillStarted>(&message)) {
    if (election.holdsLease(effects.now) && nodes.count(started->worker)) prefills.start(*started, effects.now);
  } else if (auto* ended = std::get_if<PrefillEnded>(&message)) {
    prefills.end(*ended, effects.now);
  } else if (auto* watch = std::get_if<WatchMsg>(&message)) {
    if (!election.holdsLease(effects.now)) return;
    TransferWatch transfer;
    transfer.request = *watch;
    transfer.startedAt = effects.now;
    transfer.deadline =
        effects.now + std::chrono::milliseconds(std::clamp<std::int64_t>(watch->deadlineMs, 1, maxTransferMs));
    transfer.stateMachine =
        std::make_unique<StateMachine<Cell, Effects&, TransferWatch&>>("transfer", transferActions(), "asked");
    if (transfers.size() < maxTransfers) transfers[watch->moveId] = std::move(transfer);
  } else if (auto* reply = std::get_if<ControlReply>(&message)) {
    if (reply->code == static_cast<int>(Code::termOld)) election.observeTerm(effects, reply->term);
    auto rollout = rollouts.find(reply->worker);
    if (reply->code != static_cast<int>(Code::done) || rollout == rollouts.end()) return;
    bool acknowledgesLast =
        reply->term == election.term() && (reply->number == 0 || reply->number == rollout->second.commandNumber);
    if (!acknowledgesLast) return effects.note("command answered late", reply->worker);
    rollout->second.acceptedAt = effects.now;
  } else {
    election.handle(effects, from, message);
  }
}

}  // namespace tt
