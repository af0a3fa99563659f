#include "standin.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr std::size_t eventsMost = 512;
constexpr std::size_t recordsMost = 20000;
constexpr Duration pullWait = 2s;
Duration spanOf(double ms) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}
std::string originOf(const std::string& weights, const std::string& tenant) { return weights + "/" + tenant; }
}  // namespace

StandInBackend::StandInBackend(StandInSettings keeperSettings, std::string incarnationMark)
    : given(std::move(keeperSettings)), incarnation(std::move(incarnationMark)), currentWeights(given.weights) {}

RunRecord* StandInBackend::recordOf(const Run& run) {
  return run.record >= recordBase && run.record - recordBase < records.size() ? &records[run.record - recordBase]
                                                                              : nullptr;
}

void StandInBackend::tell(Effects& effects, CacheEventKind kind, const Hashes& hashes) {
  if (hashes.empty() && kind != CacheEventKind::cleared) return;
  if (faults.forgetEvents && static_cast<int>(effects.randomBelow(100)) < faults.forgetEvents) return;
  Told told{CacheEvent{++sequence, static_cast<int>(kind), hashes}, effects.now, false};
  told.lost = faults.loseEvents && static_cast<int>(effects.randomBelow(100)) < faults.loseEvents;
  events.push_back(std::move(told));
  if (events.size() > eventsMost) events.pop_front();
}

void StandInBackend::keep(Effects& effects, const Hashes& hashes, const Strings& origins) {
  Hashes fresh;
  for (std::size_t at = 0; at < hashes.size(); ++at) {
    auto found = cachedBlocks.find(hashes[at]);
    if (found != cachedBlocks.end()) {
      byUse.splice(byUse.end(), byUse, found->second.place);
      continue;
    }
    byUse.push_back(hashes[at]);
    cachedBlocks[hashes[at]] = Kept{at < origins.size() ? origins[at] : std::string(), std::prev(byUse.end())};
    fresh.push_back(hashes[at]);
  }
  tell(effects, CacheEventKind::stored, fresh);
  Hashes gone;
  while (cachedBlocks.size() > given.maxCachedBlocks) {
    gone.push_back(byUse.front());
    cachedBlocks.erase(byUse.front());
    byUse.pop_front();
  }
  tell(effects, CacheEventKind::removed, gone);
}

void StandInBackend::drop(Effects& effects, const Hashes& hashes) {
  Hashes gone;
  for (const auto& hash : hashes) {
    auto found = cachedBlocks.find(hash);
    if (found == cachedBlocks.end()) continue;
    byUse.erase(found->second.place);
    cachedBlocks.erase(found);
    gone.push_back(hash);
  }
  tell(effects, CacheEventKind::removed, gone);
}

void StandInBackend::clearCache(Effects& effects, bool saying) {
  cachedBlocks.clear();
  byUse.clear();
  if (saying) tell(effects, CacheEventKind::cleared, {});
}

void StandInBackend::end(Effects& effects, const std::string& requestId, AttemptOutcome outcome, Code code,
                         const char* word) {
  auto found = running.find(requestId);
  if (found == running.end()) return;
  WorkerEnd said{requestId, static_cast<int>(outcome), static_cast<int>(code), 0, 0, 0};
  if (auto* record = recordOf(found->second)) {
    record->outcome = word;
    said.local = record->local;
    said.fetched = record->fetched;
    said.computed = record->computed;
  }
  effects.send(found->second.from, said);
  running.erase(found);
}

void StandInBackend::onOrder(Effects& effects, const std::string& from, const WorkerOrder& ask) {
  auto deny = [&](Code code) {
    effects.note("worker denied", ask.requestId, static_cast<int>(code));
    effects.send(from,
                 WorkerEnd{ask.requestId, static_cast<int>(AttemptOutcome::denied), static_cast<int>(code), 0, 0, 0});
  };
  if (drains || loadDue != TimePoint{}) return deny(Code::workerDraining);
  if (given.kind == "language" &&
      (ask.app || ask.model != given.model || (ask.weights != currentWeights && !faults.anyWeights)))
    return deny(Code::weightsMismatch);
  if (given.kind == "app" && !ask.app) return deny(Code::weightsMismatch);
  if (static_cast<int>(running.size()) >= given.slots) return deny(Code::workerFull);
  Run run;
  run.ask = ask;
  run.from = from;
  run.record = recordBase + records.size();
  RunRecord record;
  record.requestId = ask.requestId;
  record.weights = currentWeights;
  record.tenant = ask.tenant;
  record.source = ask.sourceAddress;
  record.move = ask.transferOnly;
  records.push_back(record);
  if (records.size() > recordsMost) {
    records.pop_front();
    ++recordBase;
  }
  effects.note(ask.transferOnly ? "move ran" : "ran", ask.requestId, static_cast<std::int64_t>(ask.hashes.size()));
  if (!ask.transferOnly) {
    std::string mark = ask.parts.empty() ? std::string() : ask.parts.back().substr(0, ask.parts.back().find(' '));
    if (mark.rfind("mark-", 0) != 0 || mark.size() > 64) mark = "-";
    auto worded = [](const std::string& text) { return text.empty() ? std::string("-") : text; };
    effects.note("ran for", ask.requestId + " " + worded(currentWeights) + " " + worded(ask.tenant) + " " + mark);
  }
  auto& placed = running[ask.requestId] = std::move(run);
  if (faults.queueMs > 0) {
    placed.phase = Run::Phase::queued;
    placed.due = effects.now + std::chrono::milliseconds(faults.queueMs);
    return;
  }
  leaveQueue(effects, placed);
}

void StandInBackend::leaveQueue(Effects& effects, Run& run) {
  Hashes wanted;
  for (const auto& hash : run.ask.hashes)
    if (!cachedBlocks.count(hash)) wanted.push_back(hash);
  if (run.ask.sourceAddress.empty() || wanted.empty()) return begin(effects, run);
  run.phase = Run::Phase::pulling;
  run.due = effects.now + pullWait;
  effects.send(run.ask.sourceAddress, PullAsk{run.ask.requestId, wanted});
}

void StandInBackend::begin(Effects& effects, Run& run) {
  auto* record = recordOf(run);
  std::size_t local = 0;
  std::string mine = originOf(currentWeights, run.ask.tenant);
  while (local < run.ask.hashes.size()) {
    auto found = cachedBlocks.find(run.ask.hashes[local]);
    if (found == cachedBlocks.end()) break;
    auto slash = found->second.origin.rfind('/');
    std::string originWeights = found->second.origin.substr(0, slash);
    std::string originTenant = found->second.origin.substr(slash + 1);
    if (originWeights != currentWeights) {
      ++crossWeights;
      effects.note("cross weights", run.ask.requestId + " " + originWeights + " " + currentWeights);
    }
    if (originTenant != run.ask.tenant && !run.ask.transferOnly) {
      ++crossTenants[originTenant + ">" + run.ask.tenant];
      effects.note("cross tenant", originTenant + ">" + run.ask.tenant);
    }
    ++local;
  }
  std::size_t computed = run.ask.hashes.size() - local;
  if (record) {
    record->local = static_cast<int>(local) - record->fetched;
    record->computed = static_cast<int>(computed);
  }
  run.phase = Run::Phase::computing;
  run.due = effects.now + spanOf(given.kind == "app" ? 5 : 5 + static_cast<double>(computed) * given.blockMs);
}

void StandInBackend::onReport(Effects& effects, const std::string& from, const ReportAsk& ask) {
  if (faults.silentReports) return;
  Report report;
  report.worker = given.name;
  report.incarnation = incarnation;
  report.weights = currentWeights;
  report.model = given.model;
  report.running = static_cast<int>(running.size());
  report.slots = given.slots;
  report.draining = drains;
  report.term = highestTerm;
  TimePoint horizon = effects.now - std::chrono::milliseconds(faults.lagMs);
  report.sequence = sequence;
  while (report.sequence > 0 && !events.empty() && report.sequence >= events.front().event.sequence &&
         events[report.sequence - events.front().event.sequence].at > horizon)
    --report.sequence;
  bool reaches = ask.incarnation == incarnation &&
                 (events.empty() ? ask.after == sequence : ask.after + 1 >= events.front().event.sequence);
  if (ask.complete || !reaches) {
    report.complete = true;
    report.sequence = sequence;
    for (const auto& [hash, row] : cachedBlocks) report.cachedBlocks.push_back(hash);
    std::sort(report.cachedBlocks.begin(), report.cachedBlocks.end());
  } else {
    for (const auto& told : events)
      if (told.event.sequence > ask.after && told.event.sequence <= report.sequence && !told.lost)
        report.events.push_back(told.event);
  }
  effects.send(from, report);
}

void StandInBackend::onControl(Effects& effects, const std::string& from, const ControlAsk& ask) {
  if (ask.incarnation != incarnation && given.defences.isEnabled(Defence::incarnationFence)) {
    effects.note("command denied", given.name + " " + ask.holder + " incarnation", static_cast<std::int64_t>(ask.term));
    effects.send(from, ControlReply{given.name, highestTerm, static_cast<int>(Code::incarnationOld), ask.number});
    return;
  }
  if (ask.term < highestTerm && given.defences.isEnabled(Defence::termFence)) {
    effects.note("command denied", given.name + " " + ask.holder + " term", static_cast<std::int64_t>(ask.term));
    effects.send(from, ControlReply{given.name, highestTerm, static_cast<int>(Code::termOld), ask.number});
    return;
  }
  highestTerm = std::max(highestTerm, ask.term);
  effects.note("command taken", given.name + " " + ask.holder + " " + ask.action, static_cast<std::int64_t>(ask.term));
  if (ask.action == "drain") {
    drains = true;
  } else if (ask.action == "load") {
    drains = true;
    if (loadDue == TimePoint{} || loadingWeights != ask.weights) {
      if (currentWeights != ask.weights) {
        Strings open;
        for (const auto& [requestId, run] : running) open.push_back(requestId);
        for (const auto& requestId : open)
          end(effects, requestId, AttemptOutcome::broken, Code::workerDraining, "cut by load");
        loadingWeights = ask.weights;
        loadDue = effects.now + std::chrono::milliseconds(faults.loadMs > 0 ? faults.loadMs : given.loadMs);
      }
    }
  } else if (ask.action == "admit") {
    if (loadDue == TimePoint{} && currentWeights == ask.weights) drains = false;
  }
  effects.send(from, ControlReply{given.name, highestTerm, static_cast<int>(Code::done), ask.number});
}

void StandInBackend::tick(Effects& effects) {
  if (loadDue != TimePoint{} && effects.now >= loadDue && !faults.loadFails) {
    currentWeights = loadingWeights;
    loadDue = TimePoint{};
    clearCache(effects, true);
    effects.note("weights loaded", given.name + " " + currentWeights);
  }
  if (faults.stalled) return;
  Strings ids;
  for (const auto& [requestId, run] : running) ids.push_back(requestId);
  for (const auto& requestId : ids) {
    auto found = running.find(requestId);
    if (found == running.end()) continue;
    auto& run = found->second;
    if (run.phase == Run::Phase::computing && !run.began) {
      run.began = true;
      if (!run.ask.transferOnly) effects.note("order began", run.ask.requestId + " " + currentWeights);
    }
    if (effects.now < run.due) continue;
    if (run.phase == Run::Phase::queued) {
      leaveQueue(effects, run);
    } else if (run.phase == Run::Phase::pulling) {
      begin(effects, run);
    } else if (run.phase == Run::Phase::waiting) {
      keep(effects, run.pulled, run.origins);
      if (auto* record = recordOf(run)) record->fetched = static_cast<int>(run.pulled.size());
      pulledBlocks += static_cast<std::int64_t>(run.pulled.size());
      begin(effects, run);
    } else if (run.phase == Run::Phase::computing) {
      Strings origins(run.ask.hashes.size(), originOf(currentWeights, run.ask.tenant));
      keep(effects, run.ask.hashes, origins);
      if (!given.storeAddress.empty() && !run.ask.hashes.empty())
        effects.send(given.storeAddress, StoreMsg{run.ask.hashes, origins});
      run.phase = Run::Phase::talking;
      run.due = effects.now;
    }
    if (run.phase == Run::Phase::talking) {
      while (run.said < run.ask.maxTokens && effects.now >= run.due) {
        if (++run.said == 1) effects.note("first piece", run.ask.requestId + " " + currentWeights);
        if (auto* record = recordOf(run)) record->tokens = run.said;
        effects.send(run.from, WorkerChunk{requestId, given.name + ":" + std::to_string(run.said) + " "});
        run.due += spanOf(given.tokenMs);
      }
      if (run.said >= run.ask.maxTokens) end(effects, requestId, AttemptOutcome::done, Code::done, "done");
    }
  }
}

void StandInBackend::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* order = std::get_if<WorkerOrder>(&message)) {
    onOrder(effects, from, *order);
  } else if (auto* gone = std::get_if<WorkerDrop>(&message)) {
    auto found = running.find(gone->requestId);
    if (found == running.end()) return;
    if (auto* record = recordOf(found->second)) record->outcome = "dropped";
    effects.note("worker freed", gone->requestId);
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
    if (found == running.end() || found->second.phase != Run::Phase::pulling) return;
    auto& run = found->second;
    run.pulled = reply->hashes;
    run.origins = reply->origins;
    run.phase = Run::Phase::waiting;
    double linkMs = faults.linkMs > 0 ? faults.linkMs : given.linkMs;
    run.due = effects.now + spanOf(static_cast<double>(run.pulled.size()) * linkMs);
    effects.note("pulled", reply->pullId, static_cast<std::int64_t>(run.pulled.size()));
  } else if (auto* stored = std::get_if<StoreMsg>(&message)) {
    keep(effects, stored->hashes, stored->origins);
  }
}

void StandInPlatform::handle(Effects& effects, const std::string& from, const Message& message) {
  auto* ask = std::get_if<MachinesAsk>(&message);
  if (!ask) return;
  MachinesReply reply{ask->askedAt, {}};
  for (const auto& [name, machine] : rows) reply.machines.push_back(machine);
  effects.send(from, reply);
}
void StandInPlatform::set(const Machine& machine) { rows[machine.name] = machine; }
void StandInPlatform::mark(const std::string& name, bool leaving) {
  if (auto found = rows.find(name); found != rows.end()) found->second.leaving = leaving;
}
void StandInPlatform::remove(const std::string& name) { rows.erase(name); }

}  // namespace tt
