#pragma once
/// A test harness for cells: cores with one cell, simulated workers and a clock that the test moves.
#include <criterion/criterion.h>

#include "cell.hpp"
#include "timing_guard.hpp"

namespace tt {

/// Settings of a cell whose workers report block index and status separately, as on the target platform.
inline CellSettings cellSettings() {
  CellSettings settings;
  settings.separateStatus = settings.singleLoadCommand = settings.onlySeedsBootstrap = true;
  settings.publishSummaries = false;
  settings.reportInterval = 100ms;
  settings.fullReportInterval = 8s;
  settings.reportTimeout = 1500ms;
  settings.workerTimeout = 2s;
  settings.publishInterval = 100ms;
  settings.withholdTimeout = 400ms;
  settings.rolloutSettleDelay = 400ms;
  settings.rolloutSpread = 7800ms;
  return settings;
}

inline BlockHash blockHash(const std::string& id, const std::string& salt = "salt") { return hashPromptPart(salt, id); }

/// A simulated worker: it loads weights on command and reports its cached blocks on request.
struct TestWorker {
  std::string name, weights{"moss/3"}, incarnation{"1"};
  Uint64 sequence{100}, highestTerm{0}, commandCount{0};
  bool reportsCommandCount{false};
  std::set<BlockHash> cachedBlocks;
  std::vector<CacheEvent> events;
  bool reachable{true}, repliesToCommands{true}, executesCommands{true}, losesEvents{false};
  Duration loadDuration{700ms};
  std::string loadingWeights;
  TimePoint loadedAt{};
  std::vector<TimePoint> commandsAt;

  /// Caches a block and records an event for it, whose sequence number is `skip` above the last one.
  void store(const std::string& id, Uint64 skip = 1) {
    sequence += skip;
    cachedBlocks.insert(blockHash(id));
    events.push_back(CacheEvent{sequence, static_cast<int>(CacheEventKind::stored), {blockHash(id)}});
  }
  void remove(const std::string& id, Uint64 skip = 1) {
    sequence += skip;
    cachedBlocks.erase(blockHash(id));
    events.push_back(CacheEvent{sequence, static_cast<int>(CacheEventKind::removed), {blockHash(id)}});
  }
};

/// Cores that have a cell for one zone, and its workers, on one simulated clock.
struct CellHarness {
  struct Sent {
    TimePoint at;
    std::string from, to;
    Message message;
  };
  struct CellCore {
    Member member;
    std::unique_ptr<Cell> cell;
    Journal journal;
    bool alive{true};
    std::vector<CellNews> updates;
  };
  TimingGuard timingGuard;
  TimePoint now{std::chrono::hours(9)};
  std::mt19937_64 randomSource{3};
  Configuration configuration;
  VersionTimeline versions;
  std::map<std::string, CellCore> cores;
  std::map<std::string, TestWorker> workers;
  std::multimap<TimePoint, Sent> inTransit;
  std::vector<Sent> sent;
  Duration transitDelay{4ms};

  explicit CellHarness(int coreCount = 1, CellSettings settings = cellSettings()) {
    timing.commandHoldoff = 3300ms;
    std::vector<Member> members;
    for (int number = 1; number <= coreCount; ++number) {
      std::string id = "core-" + std::to_string(number);
      members.push_back(Member{id, id, id + ":1", "north-a", true});
    }
    for (const auto& member : members) {
      auto& core = cores[member.address];
      core.member = member;
      core.cell = std::make_unique<Cell>("north-a", member, member.id == "core-1", Defences{}, settings);
      core.cell->election.restore(Vote{}, now);
      core.cell->election.setVoters(members);
      core.cell->versions = &versions;
      core.cell->publish = [&core](Effects&, const CellNews& updates) { core.updates.push_back(updates); };
    }
    announce("moss/3");
  }
  /// Applies a configuration change that makes these weights the model's newest, and records the announcement.
  void announce(const std::string& weights) {
    auto patch = configuration.preparePatch(
        R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})",
        ChangeFormat::patch);
    cr_assert(bool(patch));
    configuration.apply(
        LogEntry{configuration.index() + 1, 1, static_cast<int>(EntryKind::change), patch.value(), {}, 0});
    versions.observe("moss", weights, now, configuration.index());
  }
  void listWorkers(int count) {
    std::vector<Machine> machines;
    for (int number = 1; number <= count; ++number) {
      std::string name = "w" + std::to_string(number);
      workers[name].name = name;
      Machine machine;
      machine.name = name;
      machine.address = name + ":80";
      machine.zone = "north-a";
      machine.kind = "language";
      machine.service = "mill";
      machine.model = "moss";
      machine.weights = "moss/3";
      machine.slots = 8;
      machines.push_back(machine);
    }
    for (auto& [address, core] : cores) core.cell->setMachines(machines);
  }
  void sendEffects(const std::string& from, Effects& effects) {
    for (auto& [to, message] : effects.sends) {
      sent.push_back(Sent{now, from, to, message});
      inTransit.emplace(now + transitDelay, Sent{now, from, to, std::move(message)});
    }
    effects.sends.clear();
  }
  /// Runs an action on one core, sends its messages and completes its disk writes.
  void runOn(const std::string& address, const std::function<void(Effects&, Cell&)>& action) {
    auto& core = cores.at(address);
    Effects effects{now, randomSource, core.journal, {}, {}};
    action(effects, *core.cell);
    sendEffects(address, effects);
    for (auto saves = std::move(effects.saves); !saves.empty();) {
      Effects later{now, randomSource, core.journal, {}, {}};
      for (auto& save : saves)
        if (save.onSynced) save.onSynced(later);
      sendEffects(address, later);
      saves = std::move(later.saves);
    }
  }
  void sendReply(const TestWorker& worker, const std::string& to, const Message& message) {
    inTransit.emplace(now + transitDelay, Sent{now, worker.name + ":80", to, message});
  }
  void deliverToWorker(TestWorker& worker, const std::string& from, const Message& message) {
    if (!worker.reachable) return;
    if (auto* request = std::get_if<ReportAsk>(&message)) {
      Report report;
      report.worker = worker.name;
      report.scope = request->scope;
      if (request->scope == static_cast<int>(ReportScope::condition)) {
        report.weights = worker.weights;
        report.model = "moss";
        report.draining = !worker.loadingWeights.empty();
        report.reportsCommandCount = worker.reportsCommandCount;
        report.commandCount = worker.commandCount;
        return sendReply(worker, from, report);
      }
      report.gaps = true;
      report.incarnation = worker.incarnation;
      report.sequence = worker.sequence;
      report.complete = request->complete;
      if (request->complete) {
        report.cachedBlocks.assign(worker.cachedBlocks.begin(), worker.cachedBlocks.end());
      } else {
        report.lost = worker.losesEvents || request->incarnation != worker.incarnation;
        for (const auto& event : worker.events)
          if (event.sequence > request->after) report.events.push_back(event);
      }
      return sendReply(worker, from, report);
    }
    auto* command = std::get_if<ControlAsk>(&message);
    if (!command) return;
    worker.commandsAt.push_back(now);
    bool outdated = command->term < worker.highestTerm;
    worker.highestTerm = std::max(worker.highestTerm, command->term);
    if (!outdated && worker.executesCommands && worker.loadingWeights.empty() && worker.weights != command->weights) {
      worker.loadingWeights = command->weights;
      worker.loadedAt = now + worker.loadDuration;
    }
    if (worker.repliesToCommands)
      sendReply(worker, from,
                ControlReply{worker.name, command->term, static_cast<int>(outdated ? Code::termOld : Code::done),
                             command->number});
  }
  void step() {
    now += 10ms;
    for (auto& [name, worker] : workers)
      if (!worker.loadingWeights.empty() && now >= worker.loadedAt) {
        worker.weights = worker.loadingWeights;
        worker.loadingWeights.clear();
      }
    while (!inTransit.empty() && inTransit.begin()->first <= now) {
      Sent message = std::move(inTransit.begin()->second);
      inTransit.erase(inTransit.begin());
      if (auto core = cores.find(message.to); core != cores.end()) {
        if (core->second.alive)
          runOn(message.to, [&](Effects& effects, Cell& cell) { cell.handle(effects, message.from, message.message); });
      } else if (auto worker = workers.find(message.to.substr(0, message.to.find(':'))); worker != workers.end()) {
        deliverToWorker(worker->second, message.from, message.message);
      }
    }
    for (auto& [address, core] : cores)
      if (core.alive) runOn(address, [&](Effects& effects, Cell& cell) { cell.tick(effects, configuration); });
  }
  /// Advances the clock by `duration` and calls `check` after each step.
  void run(Duration duration, const std::function<void()>& check = {}) {
    for (TimePoint until = now + duration; now < until;) {
      step();
      if (check) check();
    }
  }
  std::string leaseHolder() const {
    for (const auto& [address, core] : cores)
      if (core.alive && core.cell->election.holdsLease(now)) return address;
    return {};
  }
  TimePoint runUntilLeaseHeld(Duration timeout = 6s) {
    for (TimePoint until = now + timeout; now < until && leaseHolder().empty();) step();
    cr_assert_not(leaseHolder().empty());
    return now;
  }
  /// The messages of a type that were sent since a time.
  template <class T>
  std::vector<Sent> sentMessages(TimePoint since = {}) const {
    std::vector<Sent> messages;
    for (const auto& row : sent)
      if (row.at >= since && std::holds_alternative<T>(row.message)) messages.push_back(row);
    return messages;
  }
  std::vector<Sent> commandsTo(const std::string& worker) const {
    std::vector<Sent> messages;
    for (const auto& row : sentMessages<ControlAsk>())
      if (row.to == worker + ":80") messages.push_back(row);
    return messages;
  }
  /// The hits in the reply to a lookup, one for each block; {-1} if the core does not reply.
  std::vector<int> lookup(const std::string& worker, const Strings& ids, const std::string& weights = "moss/3",
                          std::string to = {}) {
    LookupMsg request{"l", "north-a", worker, weights, {}, "asker"};
    for (const auto& id : ids) request.hashes.push_back(blockHash(id));
    std::size_t before = sent.size();
    runOn(to.empty() ? leaseHolder() : to,
          [&](Effects& effects, Cell& cell) { cell.handle(effects, "agent", request); });
    for (std::size_t at = before; at < sent.size(); ++at)
      if (auto* reply = std::get_if<LookupReply>(&sent[at].message)) return reply->hits;
    return {-1};
  }
  bool confirmed(const std::string& worker) const {
    return cores.at(leaseHolder()).cell->cacheNodes().at(worker).confirmed;
  }
  std::size_t fullReportRequests(const std::string& worker, TimePoint since) const {
    std::size_t count = 0;
    for (const auto& row : sentMessages<ReportAsk>(since)) {
      const auto& request = std::get<ReportAsk>(row.message);
      count += request.worker == worker && request.complete;
    }
    return count;
  }
};

}  // namespace tt
