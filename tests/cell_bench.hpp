#pragma once
#include <criterion/criterion.h>

#include "cell.hpp"
#include "timing_kept.hpp"

namespace tt {

/// Settings of a cell whose workers tell kept blocks and condition apart, as the users' platform has them.
inline CellSettings cellSettings() {
  CellSettings settings;
  settings.separateStatus = settings.singleLoadCommand = settings.onlySeedsBootstrap = true;
  settings.publishSummaries = false;
  settings.reportInterval = 100ms;
  settings.fullReportInterval = 8s;
  settings.reportTimeout = 1500ms;
  settings.workerTimeout = 2s;
  settings.publishInterval = 100ms;
  settings.markTimeout = 400ms;
  settings.rolloutSettleDelay = 400ms;
  settings.rolloutSpan = 7800ms;
  return settings;
}

inline BlockHash part(const std::string& id, const std::string& salt = "salt") { return hashPromptPart(salt, id); }

/// A worker played by hand: it loads weights when it is commanded, and tells what it keeps when it is asked.
struct TestWorker {
  std::string name, weights{"moss/3"}, incarnation{"1"};
  Uint64 sequence{100}, fence{0}, orders{0};
  bool countsOrders{false};
  std::set<BlockHash> kept;
  std::vector<CacheEvent> events;
  bool answers{true}, answersCommands{true}, obeys{true}, lost{false};
  Duration loadSpan{700ms};
  std::string loading;
  TimePoint loadedAt{};
  std::vector<TimePoint> commandsAt;

  void store(const std::string& id, Uint64 skip = 1) {
    sequence += skip;
    kept.insert(part(id));
    events.push_back(CacheEvent{sequence, static_cast<int>(CacheEventKind::stored), {part(id)}});
  }
  void remove(const std::string& id, Uint64 skip = 1) {
    sequence += skip;
    kept.erase(part(id));
    events.push_back(CacheEvent{sequence, static_cast<int>(CacheEventKind::removed), {part(id)}});
  }
};

/// Cores that hold one cell, and its workers, all under one clock that the test moves.
struct CellBench {
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
    std::vector<CellNews> news;
  };
  TimingGuard kept;
  TimePoint now{std::chrono::hours(9)};
  std::mt19937_64 randomSource{3};
  Configuration configuration;
  VersionTimeline versions;
  std::map<std::string, CellCore> cores;
  std::map<std::string, TestWorker> workers;
  std::multimap<TimePoint, Sent> due;
  std::vector<Sent> sent;
  Duration transit{4ms};

  explicit CellBench(int coreNumber = 1, CellSettings settings = cellSettings()) {
    timing.commandHoldoff = 3300ms;
    std::vector<Member> members;
    for (int at = 1; at <= coreNumber; ++at) {
      std::string id = "core-" + std::to_string(at);
      members.push_back(Member{id, id, id + ":1", "north-a", true});
    }
    for (const auto& member : members) {
      auto& core = cores[member.address];
      core.member = member;
      core.cell = std::make_unique<Cell>("north-a", member, member.id == "core-1", Defences{}, settings);
      core.cell->election.restore(Vote{}, now);
      core.cell->election.setVoters(members);
      core.cell->versions = &versions;
      core.cell->publish = [&core](Effects&, const CellNews& news) { core.news.push_back(news); };
    }
    name("moss/3");
  }
  /// Agrees on the weights that the model should have from now on: what is told of namings is told here.
  void name(const std::string& weights) {
    auto patch = configuration.preparePatch(
        R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})",
        ChangeFormat::patch);
    cr_assert(bool(patch));
    configuration.apply(
        LogEntry{configuration.index() + 1, 1, static_cast<int>(EntryKind::change), patch.value(), {}, 0});
    versions.observe("moss", weights, now, configuration.index());
  }
  void list(int number) {
    std::vector<Machine> machines;
    for (int at = 1; at <= number; ++at) {
      std::string name = "w" + std::to_string(at);
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
  void carry(const std::string& from, Effects& effects) {
    for (auto& [to, message] : effects.sends) {
      sent.push_back(Sent{now, from, to, message});
      due.emplace(now + transit, Sent{now, from, to, std::move(message)});
    }
    effects.sends.clear();
  }
  void with(const std::string& address, const std::function<void(Effects&, Cell&)>& action) {
    auto& core = cores.at(address);
    Effects effects{now, randomSource, core.journal, {}, {}};
    action(effects, *core.cell);
    carry(address, effects);
    for (auto saves = std::move(effects.saves); !saves.empty();) {
      Effects later{now, randomSource, core.journal, {}, {}};
      for (auto& save : saves)
        if (save.then) save.then(later);
      carry(address, later);
      saves = std::move(later.saves);
    }
  }
  void answer(const TestWorker& worker, const std::string& to, const Message& message) {
    due.emplace(now + transit, Sent{now, worker.name + ":80", to, message});
  }
  void hear(TestWorker& worker, const std::string& from, const Message& message) {
    if (!worker.answers) return;
    if (auto* ask = std::get_if<ReportAsk>(&message)) {
      Report report;
      report.worker = worker.name;
      report.scope = ask->scope;
      if (ask->scope == static_cast<int>(ReportScope::condition)) {
        report.weights = worker.weights;
        report.model = "moss";
        report.draining = !worker.loading.empty();
        report.countsOrders = worker.countsOrders;
        report.orders = worker.orders;
        return answer(worker, from, report);
      }
      report.gaps = true;
      report.incarnation = worker.incarnation;
      report.sequence = worker.sequence;
      report.whole = ask->whole;
      if (ask->whole) {
        report.kept.assign(worker.kept.begin(), worker.kept.end());
      } else {
        report.lost = worker.lost || ask->incarnation != worker.incarnation;
        for (const auto& event : worker.events)
          if (event.sequence > ask->after) report.events.push_back(event);
      }
      return answer(worker, from, report);
    }
    auto* control = std::get_if<ControlAsk>(&message);
    if (!control) return;
    worker.commandsAt.push_back(now);
    bool old = control->term < worker.fence;
    worker.fence = std::max(worker.fence, control->term);
    if (!old && worker.obeys && worker.loading.empty() && worker.weights != control->weights) {
      worker.loading = control->weights;
      worker.loadedAt = now + worker.loadSpan;
    }
    if (worker.answersCommands)
      answer(worker, from,
             ControlReply{worker.name, control->term, static_cast<int>(old ? Code::termOld : Code::done),
                          control->number});
  }
  void step() {
    now += 10ms;
    for (auto& [name, worker] : workers)
      if (!worker.loading.empty() && now >= worker.loadedAt) {
        worker.weights = worker.loading;
        worker.loading.clear();
      }
    while (!due.empty() && due.begin()->first <= now) {
      Sent row = std::move(due.begin()->second);
      due.erase(due.begin());
      if (auto core = cores.find(row.to); core != cores.end()) {
        if (core->second.alive)
          with(row.to, [&](Effects& effects, Cell& cell) { cell.handle(effects, row.from, row.message); });
      } else if (auto worker = workers.find(row.to.substr(0, row.to.find(':'))); worker != workers.end()) {
        hear(worker->second, row.from, row.message);
      }
    }
    for (auto& [address, core] : cores)
      if (core.alive) with(address, [&](Effects& effects, Cell& cell) { cell.tick(effects, configuration); });
  }
  void run(Duration span, const std::function<void()>& look = {}) {
    for (TimePoint until = now + span; now < until;) {
      step();
      if (look) look();
    }
  }
  std::string holder() const {
    for (const auto& [address, core] : cores)
      if (core.alive && core.cell->election.holdsLease(now)) return address;
    return {};
  }
  TimePoint runToHolder(Duration most = 6s) {
    for (TimePoint until = now + most; now < until && holder().empty();) step();
    cr_assert_not(holder().empty());
    return now;
  }
  template <class T>
  std::vector<Sent> all(TimePoint since = {}) const {
    std::vector<Sent> rows;
    for (const auto& row : sent)
      if (row.at >= since && std::holds_alternative<T>(row.message)) rows.push_back(row);
    return rows;
  }
  std::vector<Sent> commandsTo(const std::string& worker) const {
    std::vector<Sent> rows;
    for (const auto& row : all<ControlAsk>())
      if (row.to == worker + ":80") rows.push_back(row);
    return rows;
  }
  std::vector<int> lookup(const std::string& worker, const Strings& ids, const std::string& weights = "moss/3",
                          std::string to = {}) {
    LookupMsg ask{"l", "north-a", worker, weights, {}, "asker"};
    for (const auto& id : ids) ask.hashes.push_back(part(id));
    std::size_t before = sent.size();
    with(to.empty() ? holder() : to, [&](Effects& effects, Cell& cell) { cell.handle(effects, "agent", ask); });
    for (std::size_t at = before; at < sent.size(); ++at)
      if (auto* reply = std::get_if<LookupReply>(&sent[at].message)) return reply->hits;
    return {-1};
  }
  bool confirmed(const std::string& worker) const { return cores.at(holder()).cell->cacheNodes().at(worker).confirmed; }
  std::size_t wholeAsks(const std::string& worker, TimePoint since) const {
    std::size_t count = 0;
    for (const auto& row : all<ReportAsk>(since)) {
      const auto& ask = std::get<ReportAsk>(row.message);
      count += ask.worker == worker && ask.whole;
    }
    return count;
  }
};

}  // namespace tt
