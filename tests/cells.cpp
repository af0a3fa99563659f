#include <algorithm>
#include <cmath>

#include "cell_bench.hpp"

using namespace tt;

namespace {
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
  TimePoint since = bench.now;
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
    TimePoint since = bench.now;
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
  overtaken.scope = static_cast<int>(ReportScope::index);
  overtaken.incarnation = "1";
  overtaken.gaps = true;
  overtaken.sequence = 105;
  overtaken.events = {CacheEvent{105, static_cast<int>(CacheEventKind::stored), {part("b")}}};
  bench.with(bench.holder(), [&](Effects& effects, Cell& cell) { cell.handle(effects, "w1:80", overtaken); });
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
  TimePoint since = bench.now;
  worker.answers = true;
  bench.run(1200ms);
  cr_expect(bench.lookup("w1", {"a", "b"}) == bothHeld);
  cr_expect_geq(bench.wholeAsks("w1", since - 1s), 1u, "after a silence the whole list is read");
}

Test(cells, commands_wait_for_the_rest_after_a_win) {
  CellBench bench;
  bench.list(3);
  bench.name("moss/4");
  TimePoint wonAt = bench.runToHolder();
  bench.run(3200ms);
  cr_expect(bench.all<ControlAsk>().empty());
  bench.run(2s);
  auto commands = bench.all<ControlAsk>();
  cr_assert_not(commands.empty());
  cr_expect(commands[0].at - wonAt >= timing.commandHoldoff);
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
  TimePoint namedAt = bench.now;
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
              static_cast<int>(toMilliseconds(commands[at].at - namedAt)));
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
  std::map<std::string, TimePoint> heldAt;
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
  auto late = [&](Uint64 term, Uint64 number) {
    return ControlReply{"w1", term, static_cast<int>(Code::done), number};
  };
  bench.run(100ms);
  for (const auto& reply : {late(first.term, first.number), late(last.term - 1, last.number)})
    bench.with(bench.holder(), [&](Effects& effects, Cell& cell) { cell.handle(effects, "w1:80", reply); });
  bench.run(600ms);
  cr_assert_gt(bench.commandsTo("w1").size(), sent, "the last command is still unanswered and is sent again");
  last = std::get<ControlAsk>(bench.commandsTo("w1").back().message);
  cr_expect_eq(last.weights, "moss/5");
  sent = bench.commandsTo("w1").size();
  bench.with(bench.holder(),
             [&](Effects& effects, Cell& cell) { cell.handle(effects, "w1:80", late(last.term, last.number)); });
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
  Uint64 firstTerm = bench.cores.at(first).cell->election.term();
  bench.name("moss/4");
  auto looks = [&] {
    int holders = 0;
    for (const auto& [address, core] : bench.cores) holders += core.cell->election.holdsLease(bench.now);
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
  TimePoint lostAt = bench.now;
  bench.runToHolder();
  std::string second = bench.holder();
  TimePoint wonAt = bench.now;
  bench.run(14s, looks);
  auto after = bench.all<ControlAsk>(lostAt);
  cr_assert_not(after.empty());
  cr_expect(after[0].at - wonAt >= timing.commandHoldoff - 10ms);
  cr_expect(after[0].at - before.back().at >= timing.commandHoldoff);
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
  TimePoint wokenAt = bench.now;
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
  TimePoint lostAt = bench.now;
  bench.runToHolder();
  TimePoint mayAt = bench.now + timing.commandHoldoff;
  bench.run(14s);
  auto after = bench.all<ControlAsk>(lostAt);
  cr_assert_eq(after.size(), 2u);
  cr_expect(after[0].at - mayAt < 1500ms, "the next worker waited %d ms more",
            static_cast<int>(toMilliseconds(after[0].at - mayAt)));
  cr_expect(after[1].at - mayAt < 1500ms + 7800ms / 6, "the last worker waited %d ms more",
            static_cast<int>(toMilliseconds(after[1].at - mayAt)));
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
