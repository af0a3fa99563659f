#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>

#include "cell.hpp"

using namespace tt;

namespace {
struct TimingKept {
  Timing old = timing;
  ~TimingKept() { timing = old; }
};

CellSettings cellSettings() {
  CellSettings settings;
  settings.apart = settings.loadsWhole = settings.seedsForm = true;
  settings.summaries = false;
  settings.askEvery = 100ms;
  settings.sweepEvery = 8s;
  settings.lateAfter = 1500ms;
  settings.goneAfter = 2s;
  settings.publishEvery = 100ms;
  settings.markWait = 400ms;
  settings.rolloutSpan = 7800ms;
  return settings;
}

BlockHash part(const std::string& id, const std::string& salt = "salt") { return hashPart(salt, id); }

struct TestWorker {
  std::string name, weights{"moss/3"}, incarnation{"1"};
  Count sequence{100}, fence{0}, orders{0};
  bool countsOrders{false};
  std::set<BlockHash> kept;
  std::vector<KeptEvent> events;
  bool answers{true}, answersCommands{true}, obeys{true}, lost{false};
  Span loadSpan{700ms};
  std::string loading;
  Moment loadedAt{};
  std::vector<Moment> commandsAt;

  void store(const std::string& id, Count skip = 1) {
    sequence += skip;
    kept.insert(part(id));
    events.push_back(KeptEvent{sequence, static_cast<int>(KeptKind::stored), {part(id)}});
  }
  void remove(const std::string& id, Count skip = 1) {
    sequence += skip;
    kept.erase(part(id));
    events.push_back(KeptEvent{sequence, static_cast<int>(KeptKind::removed), {part(id)}});
  }
};

struct CellBench {
  struct Sent {
    Moment at;
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
  TimingKept kept;
  Moment now{std::chrono::hours(9)};
  std::mt19937_64 randomSource{3};
  Configuration configuration;
  std::map<std::string, CellCore> cores;
  std::map<std::string, TestWorker> workers;
  std::multimap<Moment, Sent> due;
  std::vector<Sent> sent;
  Span transit{4ms};

  explicit CellBench(int coreNumber = 1, CellSettings settings = cellSettings()) {
    timing.commandRest = 3300ms;
    name("moss/3");
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
      core.cell->publish = [&core](Effects&, const CellNews& news) { core.news.push_back(news); };
    }
  }
  void name(const std::string& weights) {
    auto patch = configuration.preparePatch(
        R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})",
        Manner::patch);
    cr_assert(bool(patch));
    configuration.apply(Entry{configuration.index() + 1, 1, static_cast<int>(EntryKind::change), patch.value(), {}, 0});
  }
  void list(int number) {
    std::vector<Machine> machines;
    for (int at = 1; at <= number; ++at) {
      std::string name = "w" + std::to_string(at);
      workers[name].name = name;
      Machine machine;
      machine.name = name;
      machine.address = name + ":80";
      machine.locality = "north-a";
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
      if (ask->scope == static_cast<int>(Scope::condition)) {
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
          with(row.to, [&](Effects& effects, Cell& cell) { cell.take(effects, row.from, row.message); });
      } else if (auto worker = workers.find(row.to.substr(0, row.to.find(':'))); worker != workers.end()) {
        hear(worker->second, row.from, row.message);
      }
    }
    for (auto& [address, core] : cores)
      if (core.alive) with(address, [&](Effects& effects, Cell& cell) { cell.tick(effects, configuration); });
  }
  void run(Span span, const std::function<void()>& look = {}) {
    for (Moment until = now + span; now < until;) {
      step();
      if (look) look();
    }
  }
  std::string holder() const {
    for (const auto& [address, core] : cores)
      if (core.alive && core.cell->election.holds(now)) return address;
    return {};
  }
  Moment runToHolder(Span most = 6s) {
    for (Moment until = now + most; now < until && holder().empty();) step();
    cr_assert_not(holder().empty());
    return now;
  }
  template <class T>
  std::vector<Sent> all(Moment since = {}) const {
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
    with(to.empty() ? holder() : to, [&](Effects& effects, Cell& cell) { cell.take(effects, "agent", ask); });
    for (std::size_t at = before; at < sent.size(); ++at)
      if (auto* reply = std::get_if<LookupReply>(&sent[at].message)) return reply->hits;
    return {-1};
  }
  bool confirmed(const std::string& worker) const { return cores.at(holder()).cell->keepers().at(worker).confirmed; }
  std::size_t wholeAsks(const std::string& worker, Moment since) const {
    std::size_t count = 0;
    for (const auto& row : all<ReportAsk>(since)) {
      const auto& ask = std::get<ReportAsk>(row.message);
      count += ask.worker == worker && ask.whole;
    }
    return count;
  }
};
const std::vector<int> bothHeld{1, 1};
const std::vector<int> noneHeld{0, 0};
}  // namespace

Test(cells, gaps_between_the_numbers_of_events_are_no_doubt) {
  CellBench bench;
  bench.list(1);
  auto& worker = bench.workers["w1"];
  worker.kept = {part("a")};
  bench.runToHolder();
  bench.run(500ms);
  cr_assert(bench.confirmed("w1"));
  Moment since = bench.now;
  worker.store("b", 7);
  worker.store("c", 100);
  bench.run(300ms);
  cr_expect(bench.confirmed("w1"));
  cr_expect(bench.lookup("w1", {"a", "b", "c"}) == (std::vector<int>{1, 1, 1}));
  worker.remove("b", 30);
  worker.sequence += 50;
  bench.run(300ms);
  cr_expect(bench.confirmed("w1"));
  cr_expect(bench.lookup("w1", {"a", "b", "c"}) == (std::vector<int>{1, 0, 1}));
  cr_expect_eq(bench.wholeAsks("w1", since), 0u);
}

Test(cells, lost_events_and_other_incarnations_lead_to_a_whole_list) {
  for (bool restarts : {false, true}) {
    CellBench bench;
    bench.list(1);
    auto& worker = bench.workers["w1"];
    worker.kept = {part("a"), part("b")};
    bench.runToHolder();
    bench.run(500ms);
    cr_expect(bench.lookup("w1", {"a", "b"}) == bothHeld);
    Moment since = bench.now;
    worker.kept = {part("b"), part("c")};
    if (restarts) {
      worker.incarnation = "2";
      worker.sequence = 5;
    } else {
      worker.lost = true;
    }
    bool doubted = false;
    for (int round = 0; round < 40 && !doubted; ++round) {
      bench.step();
      doubted = !bench.confirmed("w1");
    }
    cr_expect(doubted);
    cr_expect(bench.lookup("w1", {"a", "b"}) == noneHeld, "nothing counts until the whole list is read");
    worker.lost = false;
    bench.run(400ms);
    cr_expect_eq(bench.wholeAsks("w1", since), 1u);
    cr_expect(bench.lookup("w1", {"a", "b", "c"}) == (std::vector<int>{0, 1, 1}));
    worker.store("d");
    bench.run(300ms);
    cr_expect(bench.lookup("w1", {"d"}) == std::vector<int>{1}, "events go on from the list's own number");
  }
}

Test(cells, a_report_that_comes_after_a_newer_one_changes_nothing) {
  CellBench bench;
  bench.list(1);
  auto& worker = bench.workers["w1"];
  worker.kept = {part("a")};
  bench.runToHolder();
  bench.run(500ms);
  worker.store("b", 5);
  worker.remove("b", 5);
  bench.run(300ms);
  cr_expect(bench.lookup("w1", {"a", "b"}) == (std::vector<int>{1, 0}));
  Report overtaken;
  overtaken.worker = "w1";
  overtaken.scope = static_cast<int>(Scope::index);
  overtaken.incarnation = "1";
  overtaken.gaps = true;
  overtaken.sequence = 105;
  overtaken.events = {KeptEvent{105, static_cast<int>(KeptKind::stored), {part("b")}}};
  bench.with(bench.holder(), [&](Effects& effects, Cell& cell) { cell.take(effects, "w1:80", overtaken); });
  cr_expect(bench.lookup("w1", {"a", "b"}) == (std::vector<int>{1, 0}), "b was removed after that report was made");
}

Test(cells, lookups_count_only_confirmed_and_recent_reports_of_the_same_weights) {
  CellBench bench(3);
  bench.list(2);
  auto& worker = bench.workers["w1"];
  worker.kept = {part("a"), part("b")};
  bench.workers["w2"].answers = false;
  auto holder = (bench.runToHolder(), bench.holder());
  cr_expect(bench.lookup("w1", {"a", "b"}) == noneHeld, "not read yet");
  bench.run(500ms);
  cr_expect(bench.lookup("w1", {"a", "b"}) == bothHeld);
  cr_expect(bench.lookup("w1", {"a", "z"}) == (std::vector<int>{1, 0}));
  cr_expect(bench.lookup("w1", {"a", "b"}, "moss/4") == noneHeld);
  cr_expect(bench.lookup("w2", {"a", "b"}) == noneHeld);
  cr_expect(bench.lookup("w9", {"a", "b"}).empty());
  for (const auto& [address, core] : bench.cores)
    if (address != holder)
      cr_expect(bench.lookup("w1", {"a"}, "moss/3", address) == std::vector<int>{-1}, "only the holder answers");
  worker.answers = false;
  bench.run(1400ms);
  cr_expect(bench.lookup("w1", {"a", "b"}) == bothHeld);
  bench.run(300ms);
  cr_expect(bench.lookup("w1", {"a", "b"}) == noneHeld);
  Moment since = bench.now;
  worker.answers = true;
  bench.run(1200ms);
  cr_expect(bench.lookup("w1", {"a", "b"}) == bothHeld);
  cr_expect_geq(bench.wholeAsks("w1", since - 1s), 1u, "after a silence the whole list is read");
}

Test(cells, commands_wait_for_the_rest_after_a_win) {
  CellBench bench;
  bench.list(3);
  bench.name("moss/4");
  Moment wonAt = bench.runToHolder();
  bench.run(3200ms);
  cr_expect(bench.all<ControlAsk>().empty());
  bench.run(2s);
  auto commands = bench.all<ControlAsk>();
  cr_assert_not(commands.empty());
  cr_expect(commands[0].at - wonAt >= timing.commandRest);
  const auto& first = std::get<ControlAsk>(commands[0].message);
  cr_expect_eq(first.term, bench.cores.begin()->second.cell->election.term());
  cr_expect_eq(first.weights, "moss/4");
  cr_expect_eq(first.model, "moss");
  cr_expect_eq(first.action, "load");
}

Test(cells, a_roll_out_is_staggered_and_takes_a_third_at_once) {
  CellBench bench;
  bench.list(7);
  for (auto& [name, worker] : bench.workers) worker.loadSpan = 2500ms;
  bench.runToHolder();
  bench.run(4s);
  cr_expect(bench.all<ControlAsk>().empty(), "nothing to do, nothing to command");
  bench.name("moss/4");
  Moment namedAt = bench.now;
  std::size_t most = 0, mostHeld = 0;
  bench.run(14s, [&] {
    most = std::max<std::size_t>(
        most, static_cast<std::size_t>(std::count_if(bench.workers.begin(), bench.workers.end(),
                                                     [](const auto& row) { return !row.second.loading.empty(); })));
    const auto& news = bench.cores.begin()->second.news.back();
    mostHeld = std::max<std::size_t>(mostHeld,
                                     static_cast<std::size_t>(std::count_if(news.workers.begin(), news.workers.end(),
                                                                            [](const auto& row) { return row.held; })));
  });
  auto commands = bench.all<ControlAsk>();
  cr_expect_eq(commands.size(), 7u, "one command for each worker");
  for (std::size_t at = 0; at < commands.size(); ++at) {
    cr_expect(commands[at].at - namedAt >= 7800ms * static_cast<int>(at) / 7, "command %zu came after %d ms", at,
              static_cast<int>(inMs(commands[at].at - namedAt)));
    cr_expect_eq(std::get<ControlAsk>(commands[at].message).term, std::get<ControlAsk>(commands[0].message).term);
  }
  cr_expect_leq(most, 3u);
  cr_expect_leq(mostHeld, 3u);
  cr_expect_geq(most, 2u);
  for (const auto& [name, worker] : bench.workers) cr_expect_eq(worker.weights, "moss/4");
  for (const auto& view : bench.cores.begin()->second.news.back().workers) {
    cr_expect_eq(view.weights, "moss/4");
    cr_expect_not(view.held, "%s is released", view.name.c_str());
  }
}

Test(cells, each_worker_is_marked_before_it_is_commanded) {
  CellBench bench;
  bench.list(3);
  bench.runToHolder();
  bench.run(4s);
  bench.name("moss/4");
  std::map<std::string, Moment> heldAt;
  bench.run(12s, [&] {
    for (const auto& view : bench.cores.begin()->second.news.back().workers)
      if (view.held) heldAt.emplace(view.name, bench.now);
  });
  for (const auto& [name, worker] : bench.workers) {
    cr_assert_eq(bench.commandsTo(name).size(), 1u);
    cr_assert(heldAt.count(name));
    cr_expect(bench.commandsTo(name)[0].at >= heldAt[name], "%s", name.c_str());
  }
}

Test(cells, a_command_is_sent_again_only_if_unanswered_or_idle_again) {
  CellBench bench;
  bench.list(3);
  auto& slow = bench.workers["w1"];
  auto& mute = bench.workers["w2"];
  auto& forgetful = bench.workers["w3"];
  slow.loadSpan = 5s;
  mute.answersCommands = mute.obeys = false;
  forgetful.obeys = false;
  bench.runToHolder();
  bench.run(4s);
  bench.name("moss/4");
  bench.run(7s);
  cr_expect_eq(bench.commandsTo("w1").size(), 1u, "it said that it took the command and is at it");
  auto unanswered = bench.commandsTo("w2");
  cr_assert_geq(unanswered.size(), 2u);
  cr_expect(unanswered[1].at - unanswered[0].at >= 500ms);
  mute.answersCommands = mute.obeys = true;
  bench.run(8s);
  auto idled = bench.commandsTo("w3");
  cr_assert_geq(idled.size(), 2u);
  cr_expect(idled[1].at - idled[0].at >= 800ms, "its condition may be late");
  forgetful.obeys = true;
  bench.run(8s);
  for (const auto& [name, worker] : bench.workers) cr_expect_eq(worker.weights, "moss/4", "%s", name.c_str());
  std::size_t total = bench.all<ControlAsk>().size();
  bench.run(5s);
  cr_expect_eq(bench.all<ControlAsk>().size(), total, "done is done");
}

Test(cells, an_answer_to_an_earlier_command_does_not_stand_for_the_last_one) {
  CellBench bench;
  bench.list(1);
  auto& mute = bench.workers["w1"];
  mute.answersCommands = mute.obeys = false;
  bench.runToHolder();
  bench.run(4s);
  bench.name("moss/4");
  while (bench.commandsTo("w1").empty()) bench.step();
  auto first = std::get<ControlAsk>(bench.commandsTo("w1")[0].message);
  bench.name("moss/5");
  while (std::get<ControlAsk>(bench.commandsTo("w1").back().message).weights != "moss/5") bench.step();
  auto last = std::get<ControlAsk>(bench.commandsTo("w1").back().message);
  std::size_t sent = bench.commandsTo("w1").size();
  auto late = [&](Count term, Count number) { return ControlReply{"w1", term, static_cast<int>(Code::done), number}; };
  bench.run(100ms);
  for (const auto& reply : {late(first.term, first.number), late(last.term - 1, last.number)})
    bench.with(bench.holder(), [&](Effects& effects, Cell& cell) { cell.take(effects, "w1:80", reply); });
  bench.run(600ms);
  cr_assert_gt(bench.commandsTo("w1").size(), sent, "the last command is still unanswered and is sent again");
  last = std::get<ControlAsk>(bench.commandsTo("w1").back().message);
  cr_expect_eq(last.weights, "moss/5");
  sent = bench.commandsTo("w1").size();
  bench.with(bench.holder(),
             [&](Effects& effects, Cell& cell) { cell.take(effects, "w1:80", late(last.term, last.number)); });
  bench.run(400ms);
  cr_expect_eq(bench.commandsTo("w1").size(), sent, "its own answer is taken");
}

Test(cells, a_command_expects_the_count_that_the_worker_last_told_of) {
  CellBench bench;
  bench.list(2);
  bench.workers["w2"].countsOrders = true;
  bench.workers["w2"].orders = 7;
  bench.runToHolder();
  bench.run(4s);
  bench.name("moss/4");
  bench.run(8s);
  cr_assert_not(bench.commandsTo("w1").empty());
  cr_assert_not(bench.commandsTo("w2").empty());
  cr_expect_not(std::get<ControlAsk>(bench.commandsTo("w1")[0].message).expects, "it never told");
  auto counted = std::get<ControlAsk>(bench.commandsTo("w2")[0].message);
  cr_expect(counted.expects);
  cr_expect_eq(counted.expected, 7u);
}

Test(cells, a_command_may_leave_only_under_its_own_term_and_while_the_lease_is_good) {
  CellBench bench(3);
  bench.list(1);
  bench.runToHolder();
  auto address = bench.holder();
  auto& cell = *bench.cores.at(address).cell;
  ControlAsk command{cell.election.term(), "holder", "load", "moss", "moss/4", "1", "w1"};
  cr_expect(cell.mayCommand(command, bench.now));
  auto older = command;
  --older.term;
  cr_expect_not(cell.mayCommand(older, bench.now));
  auto unlisted = command;
  unlisted.worker = "w9";
  cr_expect_not(cell.mayCommand(unlisted, bench.now));
  cr_expect_not(cell.mayCommand(command, bench.now + timing.lease), "this is asked after a freeze");
  for (auto& [other, core] : bench.cores)
    if (other != address) cr_expect_not(core.cell->mayCommand(command, bench.now));
}

Test(cells, only_the_holder_commands_and_holders_do_not_take_turns) {
  CellBench bench(3);
  bench.list(6);
  for (auto& [name, worker] : bench.workers) worker.loadSpan = 1500ms;
  bench.runToHolder();
  bench.run(4s);
  std::string first = bench.holder();
  Count firstTerm = bench.cores.at(first).cell->election.term();
  bench.name("moss/4");
  auto looks = [&] {
    int holders = 0;
    for (const auto& [address, core] : bench.cores) holders += core.cell->election.holds(bench.now);
    cr_expect_leq(holders, 1);
  };
  bench.run(3s, looks);
  auto before = bench.all<ControlAsk>();
  cr_assert_not(before.empty());
  for (const auto& row : before) cr_expect_eq(row.from, first);
  std::size_t done = static_cast<std::size_t>(std::count_if(
      bench.workers.begin(), bench.workers.end(), [](const auto& row) { return row.second.weights == "moss/4"; }));
  cr_assert(done > 0 && done < 6);
  bench.cores.at(first).alive = false;
  Moment lostAt = bench.now;
  bench.runToHolder();
  std::string second = bench.holder();
  Moment wonAt = bench.now;
  bench.run(14s, looks);
  auto after = bench.all<ControlAsk>(lostAt);
  cr_assert_not(after.empty());
  cr_expect(after[0].at - wonAt >= timing.commandRest - 10ms);
  cr_expect(after[0].at - before.back().at >= timing.commandRest);
  for (const auto& row : after) {
    cr_expect_eq(row.from, second);
    cr_expect_gt(std::get<ControlAsk>(row.message).term, firstTerm);
  }
  for (const auto& [name, worker] : bench.workers) cr_expect_eq(worker.weights, "moss/4");
}

Test(cells, a_holder_that_wakes_late_commands_nobody) {
  CellBench bench(3);
  bench.list(4);
  bench.runToHolder();
  bench.run(4s);
  std::string first = bench.holder();
  bench.cores.at(first).alive = false;
  bench.run(200ms);
  bench.runToHolder();
  bench.name("moss/4");
  bench.cores.at(first).alive = true;
  Moment wokenAt = bench.now;
  bench.run(20s);
  for (const auto& row : bench.all<ControlAsk>(wokenAt)) cr_expect_neq(row.from, first);
  for (const auto& [name, worker] : bench.workers) cr_expect_eq(worker.weights, "moss/4");
}

Test(cells, a_new_holder_goes_on_with_the_stagger_where_the_old_one_stopped) {
  CellBench bench(3);
  bench.list(6);
  bench.runToHolder();
  bench.run(4s);
  std::string first = bench.holder();
  bench.name("moss/4");
  auto doneCount = [&] {
    return std::count_if(bench.workers.begin(), bench.workers.end(),
                         [](const auto& row) { return row.second.weights == "moss/4"; });
  };
  while (doneCount() < 4) bench.step();
  bench.cores.at(first).alive = false;
  Moment lostAt = bench.now;
  bench.runToHolder();
  Moment mayAt = bench.now + timing.commandRest;
  bench.run(14s);
  auto after = bench.all<ControlAsk>(lostAt);
  cr_assert_eq(after.size(), 2u);
  cr_expect(after[0].at - mayAt < 1500ms, "the next worker waited %d ms more",
            static_cast<int>(inMs(after[0].at - mayAt)));
  cr_expect(after[1].at - mayAt < 1500ms + 7800ms / 6, "the last worker waited %d ms more",
            static_cast<int>(inMs(after[1].at - mayAt)));
}

Test(cells, weights_named_while_a_worker_loads_reach_it_too) {
  CellBench bench;
  bench.list(3);
  for (auto& [name, worker] : bench.workers) worker.loadSpan = 1500ms;
  bench.runToHolder();
  bench.run(4s);
  bench.name("moss/4");
  bench.run(1500ms);
  cr_assert_not(bench.all<ControlAsk>().empty());
  bench.name("moss/5");
  bench.run(16s);
  for (const auto& [name, worker] : bench.workers)
    cr_expect_eq(worker.weights, "moss/5", "%s has %s", name.c_str(), worker.weights.c_str());
  for (const auto& view : bench.cores.begin()->second.news.back().workers) cr_expect_not(view.held);
}
