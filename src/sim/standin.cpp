#include "standin.hpp"

#include <algorithm>

namespace tt {
namespace {
/// Numbers of cache events and of records that are retained.
constexpr std::size_t maxEvents = 512;
constexpr std::size_t maxRecords = 20000;
/// How long a request waits for blocks from another worker or store before it computes them itself.
constexpr Duration fetchTimeout = 2s;
/// Fixed part of the time that a request takes to compute.
constexpr double baseComputeMs = 5;
/// A load generator marks its requests by the first word of the last part of the prompt. Longer marks are not noted in
/// the journal.
constexpr std::size_t maxMarkLength = 64;

Duration fromMilliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}
std::string originOf(const std::string& weights, const std::string& tenant) { return weights + "/" + tenant; }
}  // namespace

StandInBackend::StandInBackend(StandInSettings initialSettings, std::string ownIncarnation)
    : config(std::move(initialSettings)), incarnation(std::move(ownIncarnation)), currentWeights(config.weights) {}

RunRecord* StandInBackend::recordOf(const Run& run) {
  return run.record >= recordBase && run.record - recordBase < records.size() ? &records[run.record - recordBase]
                                                                              : nullptr;
}

void StandInBackend::addCacheEvent(Effects& effects, CacheEventKind kind, const Hashes& hashes) {
  if (hashes.empty() && kind != CacheEventKind::cleared) return;
  if (faults.forgetEvents && static_cast<int>(effects.randomBelow(100)) < faults.forgetEvents) return;
  PendingEvent pendingEvent{CacheEvent{++sequence, static_cast<int>(kind), hashes}, effects.now, false};
  pendingEvent.lost = faults.loseEvents && static_cast<int>(effects.randomBelow(100)) < faults.loseEvents;
  events.push_back(std::move(pendingEvent));
  if (events.size() > maxEvents) events.pop_front();
}

void StandInBackend::cacheBlocks(Effects& effects, const Hashes& hashes, const Strings& origins) {
  Hashes addedBlocks;
  for (std::size_t index = 0; index < hashes.size(); ++index) {
    auto found = cachedBlocks.find(hashes[index]);
    if (found != cachedBlocks.end()) {
      blocksByUse.splice(blocksByUse.end(), blocksByUse, found->second.place);
      continue;
    }
    blocksByUse.push_back(hashes[index]);
    cachedBlocks[hashes[index]] =
        CachedBlock{index < origins.size() ? origins[index] : std::string(), std::prev(blocksByUse.end())};
    addedBlocks.push_back(hashes[index]);
  }
  addCacheEvent(effects, CacheEventKind::stored, addedBlocks);
  Hashes removedBlocks;
  while (cachedBlocks.size() > config.maxCachedBlocks) {
    removedBlocks.push_back(blocksByUse.front());
    cachedBlocks.erase(blocksByUse.front());
    blocksByUse.pop_front();
  }
  addCacheEvent(effects, CacheEventKind::removed, removedBlocks);
}

void StandInBackend::removeBlocks(Effects& effects, const Hashes& hashes) {
  Hashes removedBlocks;
  for (const auto& hash : hashes) {
    auto found = cachedBlocks.find(hash);
    if (found == cachedBlocks.end()) continue;
    blocksByUse.erase(found->second.place);
    cachedBlocks.erase(found);
    removedBlocks.push_back(hash);
  }
  addCacheEvent(effects, CacheEventKind::removed, removedBlocks);
}

void StandInBackend::clearCache(Effects& effects, bool announce) {
  cachedBlocks.clear();
  blocksByUse.clear();
  if (announce) addCacheEvent(effects, CacheEventKind::cleared, {});
}

void StandInBackend::finish(Effects& effects, const std::string& requestId, AttemptOutcome outcome, Code code,
                            const char* outcomeText) {
  auto found = running.find(requestId);
  if (found == running.end()) return;
  WorkerEnd response{requestId, static_cast<int>(outcome), static_cast<int>(code), 0, 0, 0};
  if (auto* record = recordOf(found->second)) {
    record->outcome = outcomeText;
    response.local = record->local;
    response.fetched = record->fetched;
    response.computed = record->computed;
  }
  effects.send(found->second.from, response);
  running.erase(found);
}

void StandInBackend::onOrder(Effects& effects, const std::string& from, const WorkerOrder& request) {
  auto reject = [&](Code code) {
    effects.note("worker denied", request.requestId, static_cast<int>(code));
    effects.send(
        from, WorkerEnd{request.requestId, static_cast<int>(AttemptOutcome::denied), static_cast<int>(code), 0, 0, 0});
  };
  if (isDraining || loadDue != TimePoint{}) return reject(Code::workerDraining);
  if (config.kind == "language" &&
      (request.app || request.model != config.model || (request.weights != currentWeights && !faults.anyWeights)))
    return reject(Code::weightsMismatch);
  if (config.kind == "app" && !request.app) return reject(Code::weightsMismatch);
  if (static_cast<int>(running.size()) >= config.slots) return reject(Code::workerFull);
  Run run;
  run.request = request;
  run.from = from;
  run.record = recordBase + records.size();
  RunRecord record;
  record.requestId = request.requestId;
  record.weights = currentWeights;
  record.tenant = request.tenant;
  record.source = request.sourceAddress;
  record.move = request.transferOnly;
  records.push_back(record);
  if (records.size() > maxRecords) {
    records.pop_front();
    ++recordBase;
  }
  effects.note(request.transferOnly ? "move ran" : "ran", request.requestId,
               static_cast<std::int64_t>(request.hashes.size()));
  if (!request.transferOnly) {
    std::string clientMark =
        request.parts.empty() ? std::string() : request.parts.back().substr(0, request.parts.back().find(' '));
    if (clientMark.rfind("mark-", 0) != 0 || clientMark.size() > maxMarkLength) clientMark = "-";
    auto orDash = [](const std::string& text) { return text.empty() ? std::string("-") : text; };
    effects.note("ran for",
                 request.requestId + " " + orDash(currentWeights) + " " + orDash(request.tenant) + " " + clientMark);
  }
  auto& added = running[request.requestId] = std::move(run);
  if (faults.queueMs > 0) {
    added.phase = Run::Phase::queued;
    added.due = effects.now + std::chrono::milliseconds(faults.queueMs);
    return;
  }
  leaveQueue(effects, added);
}

void StandInBackend::leaveQueue(Effects& effects, Run& run) {
  Hashes missing;
  for (const auto& hash : run.request.hashes)
    if (!cachedBlocks.count(hash)) missing.push_back(hash);
  if (run.request.sourceAddress.empty() || missing.empty()) return startComputing(effects, run);
  run.phase = Run::Phase::fetching;
  run.due = effects.now + fetchTimeout;
  effects.send(run.request.sourceAddress, PullAsk{run.request.requestId, missing});
}

void StandInBackend::startComputing(Effects& effects, Run& run) {
  auto* record = recordOf(run);
  std::size_t local = 0;
  std::string mine = originOf(currentWeights, run.request.tenant);
  while (local < run.request.hashes.size()) {
    auto found = cachedBlocks.find(run.request.hashes[local]);
    if (found == cachedBlocks.end()) break;
    auto slash = found->second.origin.rfind('/');
    std::string originWeights = found->second.origin.substr(0, slash);
    std::string originTenant = found->second.origin.substr(slash + 1);
    if (originWeights != currentWeights) {
      ++crossWeights;
      effects.note("cross weights", run.request.requestId + " " + originWeights + " " + currentWeights);
    }
    if (originTenant != run.request.tenant && !run.request.transferOnly) {
      ++crossTenants[originTenant + ">" + run.request.tenant];
      effects.note("cross tenant", originTenant + ">" + run.request.tenant + " " + run.request.requestId);
    }
    ++local;
  }
  std::size_t computed = run.request.hashes.size() - local;
  if (record) {
    record->local = static_cast<int>(local) - record->fetched;
    record->computed = static_cast<int>(computed);
  }
  run.phase = Run::Phase::computing;
  run.due = effects.now + fromMilliseconds(config.kind == "app"
                                               ? baseComputeMs
                                               : baseComputeMs + static_cast<double>(computed) * config.blockMs);
}

void StandInBackend::onReport(Effects& effects, const std::string& from, const ReportAsk& request) {
  if (faults.silentReports) return;
  Report report;
  report.worker = config.name;
  report.incarnation = incarnation;
  report.weights = currentWeights;
  report.model = config.model;
  report.running = static_cast<int>(running.size());
  report.slots = config.slots;
  report.draining = isDraining;
  report.term = highestTerm;
  TimePoint reportedUntil = effects.now - std::chrono::milliseconds(faults.lagMs);
  report.sequence = sequence;
  while (report.sequence > 0 && !events.empty() && report.sequence >= events.front().event.sequence &&
         events[report.sequence - events.front().event.sequence].at > reportedUntil)
    --report.sequence;
  /// Whether the retained events continue what the requester has. Otherwise it gets a complete list.
  bool eventsSuffice =
      request.incarnation == incarnation &&
      (events.empty() ? request.after == sequence : request.after + 1 >= events.front().event.sequence);
  if (request.complete || !eventsSuffice) {
    report.complete = true;
    report.sequence = sequence;
    for (const auto& [hash, row] : cachedBlocks) report.cachedBlocks.push_back(hash);
    std::sort(report.cachedBlocks.begin(), report.cachedBlocks.end());
  } else {
    for (const auto& pendingEvent : events)
      if (pendingEvent.event.sequence > request.after && pendingEvent.event.sequence <= report.sequence &&
          !pendingEvent.lost)
        report.events.push_back(pendingEvent.event);
  }
  effects.send(from, report);
}

void StandInBackend::onControl(Effects& effects, const std::string& from, const ControlAsk& request) {
  if (request.incarnation != incarnation && config.defences.isEnabled(Defence::incarnationFence)) {
    effects.note("command denied", config.name + " " + request.holder + " incarnation",
                 static_cast<std::int64_t>(request.term));
    effects.send(from, ControlReply{config.name, highestTerm, static_cast<int>(Code::incarnationOld), request.number});
    return;
  }
  if (request.term < highestTerm && config.defences.isEnabled(Defence::termFence)) {
    effects.note("command denied", config.name + " " + request.holder + " term",
                 static_cast<std::int64_t>(request.term));
    effects.send(from, ControlReply{config.name, highestTerm, static_cast<int>(Code::termOld), request.number});
    return;
  }
  highestTerm = std::max(highestTerm, request.term);
  effects.note("command taken", config.name + " " + request.holder + " " + request.action,
               static_cast<std::int64_t>(request.term));
  if (request.action == "drain") {
    isDraining = true;
  } else if (request.action == "load") {
    isDraining = true;
    if (loadDue == TimePoint{} || loadingWeights != request.weights) {
      if (currentWeights != request.weights) {
        Strings runningIds;
        for (const auto& [requestId, run] : running) runningIds.push_back(requestId);
        for (const auto& requestId : runningIds)
          finish(effects, requestId, AttemptOutcome::broken, Code::workerDraining, "cut by load");
        loadingWeights = request.weights;
        loadDue = effects.now + std::chrono::milliseconds(faults.loadMs > 0 ? faults.loadMs : config.loadMs);
      }
    }
  } else if (request.action == "admit") {
    if (loadDue == TimePoint{} && currentWeights == request.weights) isDraining = false;
  }
  effects.send(from, ControlReply{config.name, highestTerm, static_cast<int>(Code::done), request.number});
}

void StandInBackend::tick(Effects& effects) {
  if (loadDue != TimePoint{} && effects.now >= loadDue && !faults.loadFails) {
    currentWeights = loadingWeights;
    loadDue = TimePoint{};
    clearCache(effects, true);
    effects.note("weights loaded", config.name + " " + currentWeights);
  }
  if (faults.stalled) return;
  Strings ids;
  for (const auto& [requestId, run] : running) ids.push_back(requestId);
  for (const auto& requestId : ids) {
    auto found = running.find(requestId);
    if (found == running.end()) continue;
    auto& run = found->second;
    if (run.phase == Run::Phase::computing && !run.startNoted) {
      run.startNoted = true;
      if (!run.request.transferOnly) effects.note("order began", run.request.requestId + " " + currentWeights);
    }
    if (effects.now < run.due) continue;
    if (run.phase == Run::Phase::queued) {
      leaveQueue(effects, run);
    } else if (run.phase == Run::Phase::fetching) {
      startComputing(effects, run);
    } else if (run.phase == Run::Phase::transferring) {
      cacheBlocks(effects, run.fetchedBlocks, run.origins);
      if (auto* record = recordOf(run)) record->fetched = static_cast<int>(run.fetchedBlocks.size());
      fetchedBlockCount += static_cast<std::int64_t>(run.fetchedBlocks.size());
      startComputing(effects, run);
    } else if (run.phase == Run::Phase::computing) {
      Strings origins(run.request.hashes.size(), originOf(currentWeights, run.request.tenant));
      cacheBlocks(effects, run.request.hashes, origins);
      if (!config.storeAddress.empty() && !run.request.hashes.empty())
        effects.send(config.storeAddress, StoreMsg{run.request.hashes, origins});
      run.phase = Run::Phase::sendingTokens;
      run.due = effects.now;
    }
    if (run.phase == Run::Phase::sendingTokens) {
      while (run.tokensSent < run.request.maxTokens && effects.now >= run.due) {
        if (++run.tokensSent == 1) effects.note("first piece", run.request.requestId + " " + currentWeights);
        if (auto* record = recordOf(run)) record->tokens = run.tokensSent;
        effects.send(run.from, WorkerChunk{requestId, config.name + ":" + std::to_string(run.tokensSent) + " "});
        run.due += fromMilliseconds(config.tokenMs);
      }
      if (run.tokensSent >= run.request.maxTokens) finish(effects, requestId, AttemptOutcome::done, Code::done, "done");
    }
  }
}

void StandInBackend::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* order = std::get_if<WorkerOrder>(&message)) {
    onOrder(effects, from, *order);
  } else if (auto* withdrawal = std::get_if<WorkerDrop>(&message)) {
    auto found = running.find(withdrawal->requestId);
    if (found == running.end()) return;
    if (auto* record = recordOf(found->second)) record->outcome = "dropped";
    effects.note("worker freed", withdrawal->requestId);
    running.erase(found);
  } else if (auto* report = std::get_if<ReportAsk>(&message)) {
    onReport(effects, from, *report);
  } else if (auto* control = std::get_if<ControlAsk>(&message)) {
    onControl(effects, from, *control);
  } else if (auto* pull = std::get_if<PullAsk>(&message)) {
    PullReply reply{pull->pullId, {}, {}};
    for (const auto& hash : pull->hashes)
      if (auto found = cachedBlocks.find(hash); found != cachedBlocks.end()) {
        reply.hashes.push_back(hash);
        reply.origins.push_back(found->second.origin);
      }
    effects.send(from, reply);
  } else if (auto* reply = std::get_if<PullReply>(&message)) {
    auto found = running.find(reply->pullId);
    if (found == running.end() || found->second.phase != Run::Phase::fetching) return;
    auto& run = found->second;
    run.fetchedBlocks = reply->hashes;
    run.origins = reply->origins;
    run.phase = Run::Phase::transferring;
    double linkMs = faults.linkMs > 0 ? faults.linkMs : config.linkMs;
    run.due = effects.now + fromMilliseconds(static_cast<double>(run.fetchedBlocks.size()) * linkMs);
    effects.note("pulled", reply->pullId, static_cast<std::int64_t>(run.fetchedBlocks.size()));
  } else if (auto* stored = std::get_if<StoreMsg>(&message)) {
    cacheBlocks(effects, stored->hashes, stored->origins);
  }
}

void StandInPlatform::handle(Effects& effects, const std::string& from, const Message& message) {
  auto* request = std::get_if<MachinesAsk>(&message);
  if (!request) return;
  MachinesReply reply{request->askedAt, {}};
  for (const auto& [name, machine] : machinesByName) reply.machines.push_back(machine);
  effects.send(from, reply);
}
void StandInPlatform::set(const Machine& machine) { machinesByName[machine.name] = machine; }
void StandInPlatform::mark(const std::string& name, bool leaving) {
  if (auto found = machinesByName.find(name); found != machinesByName.end()) found->second.leaving = leaving;
}
void StandInPlatform::remove(const std::string& name) { machinesByName.erase(name); }

}  // namespace tt
