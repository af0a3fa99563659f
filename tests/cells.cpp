#include <algorithm>
#include <cmath>

#include "cell_harness.hpp"

using namespace tt;

namespace {
const std::vector<int> bothCached{1, 1};
const std::vector<int> noneCached{0, 0};
}  // namespace

/// With `gaps` set, event numbers may skip values; only `lost` means that events were missed.
Test(cells, gaps_in_event_numbers_do_not_unconfirm_a_worker) {
  CellHarness harness;
  harness.listWorkers(1);
  auto& worker = harness.workers["w1"];
  worker.cachedBlocks = {blockHash("a")};
  harness.runUntilLeaseHeld();
  harness.run(500ms);
  cr_assert(harness.confirmed("w1"));
  TimePoint since = harness.now;
  worker.store("b", 7);
  worker.store("c", 100);
  harness.run(300ms);
  cr_expect(harness.confirmed("w1"));
  cr_expect(harness.lookup("w1", {"a", "b", "c"}) == (std::vector<int>{1, 1, 1}));
  worker.remove("b", 30);
  worker.sequence += 50;
  harness.run(300ms);
  cr_expect(harness.confirmed("w1"));
  cr_expect(harness.lookup("w1", {"a", "b", "c"}) == (std::vector<int>{1, 0, 1}));
  cr_expect_eq(harness.fullReportRequests("w1", since), 0u);
}

/// After lost events or a restart the index no longer matches the worker, so no block may count before a full report.
Test(cells, lost_events_and_new_incarnations_lead_to_a_full_report) {
  for (bool restarts : {false, true}) {
    CellHarness harness;
    harness.listWorkers(1);
    auto& worker = harness.workers["w1"];
    worker.cachedBlocks = {blockHash("a"), blockHash("b")};
    harness.runUntilLeaseHeld();
    harness.run(500ms);
    cr_expect(harness.lookup("w1", {"a", "b"}) == bothCached);
    TimePoint since = harness.now;
    worker.cachedBlocks = {blockHash("b"), blockHash("c")};
    if (restarts) {
      worker.incarnation = "2";
      worker.sequence = 5;
    } else {
      worker.losesEvents = true;
    }
    bool unconfirmed = false;
    for (int round = 0; round < 40 && !unconfirmed; ++round) {
      harness.step();
      unconfirmed = !harness.confirmed("w1");
    }
    cr_expect(unconfirmed);
    cr_expect(harness.lookup("w1", {"a", "b"}) == noneCached, "no block counts until the full report arrives");
    worker.losesEvents = false;
    harness.run(400ms);
    cr_expect_eq(harness.fullReportRequests("w1", since), 1u);
    cr_expect(harness.lookup("w1", {"a", "b", "c"}) == (std::vector<int>{0, 1, 1}));
    worker.store("d");
    harness.run(300ms);
    cr_expect(harness.lookup("w1", {"d"}) == std::vector<int>{1},
              "events continue from the sequence number of the full report");
  }
}

/// Reports can overtake each other. An older one must not bring back a block that was removed since.
Test(cells, a_report_that_arrives_after_a_newer_one_changes_nothing) {
  CellHarness harness;
  harness.listWorkers(1);
  auto& worker = harness.workers["w1"];
  worker.cachedBlocks = {blockHash("a")};
  harness.runUntilLeaseHeld();
  harness.run(500ms);
  worker.store("b", 5);
  worker.remove("b", 5);
  harness.run(300ms);
  cr_expect(harness.lookup("w1", {"a", "b"}) == (std::vector<int>{1, 0}));
  Report outdated;
  outdated.worker = "w1";
  outdated.scope = static_cast<int>(ReportScope::index);
  outdated.incarnation = "1";
  outdated.gaps = true;
  outdated.sequence = 105;
  outdated.events = {CacheEvent{105, static_cast<int>(CacheEventKind::stored), {blockHash("b")}}};
  harness.runOn(harness.leaseHolder(), [&](Effects& effects, Cell& cell) { cell.handle(effects, "w1:80", outdated); });
  cr_expect(harness.lookup("w1", {"a", "b"}) == (std::vector<int>{1, 0}), "b was removed after that report was made");
}

Test(cells, lookups_use_only_confirmed_recent_reports_of_the_same_weights) {
  CellHarness harness(3);
  harness.listWorkers(2);
  auto& worker = harness.workers["w1"];
  worker.cachedBlocks = {blockHash("a"), blockHash("b")};
  harness.workers["w2"].reachable = false;
  auto leaseHolder = (harness.runUntilLeaseHeld(), harness.leaseHolder());
  cr_expect(harness.lookup("w1", {"a", "b"}) == noneCached, "the full report has not arrived");
  harness.run(500ms);
  cr_expect(harness.lookup("w1", {"a", "b"}) == bothCached);
  cr_expect(harness.lookup("w1", {"a", "z"}) == (std::vector<int>{1, 0}));
  cr_expect(harness.lookup("w1", {"a", "b"}, "moss/4") == noneCached);
  cr_expect(harness.lookup("w2", {"a", "b"}) == noneCached);
  cr_expect(harness.lookup("w9", {"a", "b"}).empty());
  for (const auto& [address, core] : harness.cores)
    if (address != leaseHolder)
      cr_expect(harness.lookup("w1", {"a"}, "moss/3", address) == std::vector<int>{-1},
                "only the lease holder answers");
  worker.reachable = false;
  harness.run(1400ms);
  cr_expect(harness.lookup("w1", {"a", "b"}) == bothCached);
  harness.run(300ms);
  cr_expect(harness.lookup("w1", {"a", "b"}) == noneCached);
  TimePoint since = harness.now;
  worker.reachable = true;
  harness.run(1200ms);
  cr_expect(harness.lookup("w1", {"a", "b"}) == bothCached);
  cr_expect_geq(harness.fullReportRequests("w1", since - 1s), 1u,
                "a worker that was silent is asked for a full report");
}

/// A command of the previous lease holder may still be in transit when a new one is elected.
Test(cells, no_command_is_sent_during_the_hold_off_after_an_election) {
  CellHarness harness;
  harness.listWorkers(3);
  harness.announce("moss/4");
  TimePoint wonAt = harness.runUntilLeaseHeld();
  harness.run(3200ms);
  cr_expect(harness.sentMessages<ControlAsk>().empty());
  harness.run(2s);
  auto commands = harness.sentMessages<ControlAsk>();
  cr_assert_not(commands.empty());
  cr_expect(commands[0].at - wonAt >= timing.commandHoldoff);
  const auto& first = std::get<ControlAsk>(commands[0].message);
  cr_expect_eq(first.term, harness.cores.begin()->second.cell->election.term());
  cr_expect_eq(first.weights, "moss/4");
  cr_expect_eq(first.model, "moss");
  cr_expect_eq(first.action, "load");
}

Test(cells, a_roll_out_is_staggered_and_changes_at_most_a_third_at_once) {
  CellHarness harness;
  harness.listWorkers(7);
  for (auto& [name, worker] : harness.workers) worker.loadDuration = 2500ms;
  harness.runUntilLeaseHeld();
  harness.run(4s);
  cr_expect(harness.sentMessages<ControlAsk>().empty(), "without a change no command is sent");
  harness.announce("moss/4");
  TimePoint announcedAt = harness.now;
  std::size_t maxLoadingCount = 0, maxWithheld = 0;
  harness.run(14s, [&] {
    maxLoadingCount = std::max<std::size_t>(
        maxLoadingCount,
        static_cast<std::size_t>(std::count_if(harness.workers.begin(), harness.workers.end(),
                                               [](const auto& row) { return !row.second.loadingWeights.empty(); })));
    const auto& update = harness.cores.begin()->second.updates.back();
    maxWithheld = std::max<std::size_t>(
        maxWithheld, static_cast<std::size_t>(std::count_if(update.workers.begin(), update.workers.end(),
                                                            [](const auto& row) { return row.withheld; })));
  });
  auto commands = harness.sentMessages<ControlAsk>();
  cr_expect_eq(commands.size(), 7u, "one command for each worker");
  for (std::size_t at = 0; at < commands.size(); ++at) {
    cr_expect(commands[at].at - announcedAt >= 7800ms * static_cast<int>(at) / 7, "command %zu was sent after %d ms",
              at, static_cast<int>(toMilliseconds(commands[at].at - announcedAt)));
    cr_expect_eq(std::get<ControlAsk>(commands[at].message).term, std::get<ControlAsk>(commands[0].message).term);
  }
  cr_expect_leq(maxLoadingCount, 3u);
  cr_expect_leq(maxWithheld, 3u);
  cr_expect_geq(maxLoadingCount, 2u);
  for (const auto& [name, worker] : harness.workers) cr_expect_eq(worker.weights, "moss/4");
  for (const auto& view : harness.cores.begin()->second.updates.back().workers) {
    cr_expect_eq(view.weights, "moss/4");
    cr_expect_not(view.withheld, "%s is released", view.name.c_str());
  }
}

Test(cells, each_worker_is_withheld_before_it_is_commanded) {
  CellHarness harness;
  harness.listWorkers(3);
  harness.runUntilLeaseHeld();
  harness.run(4s);
  harness.announce("moss/4");
  std::map<std::string, TimePoint> withheldAt;
  harness.run(12s, [&] {
    for (const auto& view : harness.cores.begin()->second.updates.back().workers)
      if (view.withheld) withheldAt.emplace(view.name, harness.now);
  });
  for (const auto& [name, worker] : harness.workers) {
    cr_assert_eq(harness.commandsTo(name).size(), 1u);
    cr_assert(withheldAt.count(name));
    cr_expect(harness.commandsTo(name)[0].at >= withheldAt[name], "%s", name.c_str());
  }
}

/// w1 is slow but loads, w2 neither executes nor replies, w3 replies but does not execute.
Test(cells, a_command_is_resent_only_if_unanswered_or_if_the_worker_is_idle_again) {
  CellHarness harness;
  harness.listWorkers(3);
  auto& slow = harness.workers["w1"];
  auto& silent = harness.workers["w2"];
  auto& ignoring = harness.workers["w3"];
  slow.loadDuration = 5s;
  silent.repliesToCommands = silent.executesCommands = false;
  ignoring.executesCommands = false;
  harness.runUntilLeaseHeld();
  harness.run(4s);
  harness.announce("moss/4");
  harness.run(7s);
  cr_expect_eq(harness.commandsTo("w1").size(), 1u, "it accepted the command and is loading");
  auto unanswered = harness.commandsTo("w2");
  cr_assert_geq(unanswered.size(), 2u);
  cr_expect(unanswered[1].at - unanswered[0].at >= 500ms);
  silent.repliesToCommands = silent.executesCommands = true;
  harness.run(8s);
  auto idleAgain = harness.commandsTo("w3");
  cr_assert_geq(idleAgain.size(), 2u);
  cr_expect(idleAgain[1].at - idleAgain[0].at >= 800ms, "its status may be late");
  ignoring.executesCommands = true;
  harness.run(8s);
  for (const auto& [name, worker] : harness.workers) cr_expect_eq(worker.weights, "moss/4", "%s", name.c_str());
  std::size_t total = harness.sentMessages<ControlAsk>().size();
  harness.run(5s);
  cr_expect_eq(harness.sentMessages<ControlAsk>().size(), total, "no command is sent once all have loaded");
}

/// If a late reply to an earlier command counted for the last one, a lost last command would not be resent.
Test(cells, a_reply_to_an_earlier_command_does_not_acknowledge_the_last_one) {
  CellHarness harness;
  harness.listWorkers(1);
  auto& silent = harness.workers["w1"];
  silent.repliesToCommands = silent.executesCommands = false;
  harness.runUntilLeaseHeld();
  harness.run(4s);
  harness.announce("moss/4");
  while (harness.commandsTo("w1").empty()) harness.step();
  auto first = std::get<ControlAsk>(harness.commandsTo("w1")[0].message);
  harness.announce("moss/5");
  while (std::get<ControlAsk>(harness.commandsTo("w1").back().message).weights != "moss/5") harness.step();
  auto last = std::get<ControlAsk>(harness.commandsTo("w1").back().message);
  std::size_t sent = harness.commandsTo("w1").size();
  auto late = [&](Uint64 term, Uint64 number) {
    return ControlReply{"w1", term, static_cast<int>(Code::done), number};
  };
  harness.run(100ms);
  for (const auto& reply : {late(first.term, first.number), late(last.term - 1, last.number)})
    harness.runOn(harness.leaseHolder(), [&](Effects& effects, Cell& cell) { cell.handle(effects, "w1:80", reply); });
  harness.run(600ms);
  cr_assert_gt(harness.commandsTo("w1").size(), sent, "the last command is still unanswered and must be resent");
  last = std::get<ControlAsk>(harness.commandsTo("w1").back().message);
  cr_expect_eq(last.weights, "moss/5");
  sent = harness.commandsTo("w1").size();
  harness.runOn(harness.leaseHolder(),
                [&](Effects& effects, Cell& cell) { cell.handle(effects, "w1:80", late(last.term, last.number)); });
  harness.run(400ms);
  cr_expect_eq(harness.commandsTo("w1").size(), sent, "its own reply is accepted");
}

Test(cells, a_command_expects_the_command_count_that_the_worker_last_reported) {
  CellHarness harness;
  harness.listWorkers(2);
  harness.workers["w2"].reportsCommandCount = true;
  harness.workers["w2"].commandCount = 7;
  harness.runUntilLeaseHeld();
  harness.run(4s);
  harness.announce("moss/4");
  harness.run(8s);
  cr_assert_not(harness.commandsTo("w1").empty());
  cr_assert_not(harness.commandsTo("w2").empty());
  cr_expect_not(std::get<ControlAsk>(harness.commandsTo("w1")[0].message).checksCommandCount, "it reported no count");
  auto counted = std::get<ControlAsk>(harness.commandsTo("w2")[0].message);
  cr_expect(counted.checksCommandCount);
  cr_expect_eq(counted.expectedCommandCount, 7u);
}

/// The lease can expire between the decision to send a command and its write, for example while the process is frozen.
Test(cells, a_command_may_be_sent_only_in_its_own_term_and_under_a_valid_lease) {
  CellHarness harness(3);
  harness.listWorkers(1);
  harness.runUntilLeaseHeld();
  auto address = harness.leaseHolder();
  auto& cell = *harness.cores.at(address).cell;
  ControlAsk command{cell.election.term(), "holder", "load", "moss", "moss/4", "1", "w1"};
  cr_expect(cell.mayCommand(command, harness.now));
  auto older = command;
  --older.term;
  cr_expect_not(cell.mayCommand(older, harness.now));
  auto unlisted = command;
  unlisted.worker = "w9";
  cr_expect_not(cell.mayCommand(unlisted, harness.now));
  cr_expect_not(cell.mayCommand(command, harness.now + timing.lease), "the lease has expired, as after a freeze");
  for (auto& [other, core] : harness.cores)
    if (other != address) cr_expect_not(core.cell->mayCommand(command, harness.now));
}

/// The first lease holder fails in the middle of a roll-out. Commands of two holders must not mix.
Test(cells, only_the_lease_holder_commands_and_holders_do_not_alternate) {
  CellHarness harness(3);
  harness.listWorkers(6);
  for (auto& [name, worker] : harness.workers) worker.loadDuration = 1500ms;
  harness.runUntilLeaseHeld();
  harness.run(4s);
  std::string first = harness.leaseHolder();
  Uint64 firstTerm = harness.cores.at(first).cell->election.term();
  harness.announce("moss/4");
  auto checkSingleHolder = [&] {
    int holders = 0;
    for (const auto& [address, core] : harness.cores) holders += core.cell->election.holdsLease(harness.now);
    cr_expect_leq(holders, 1);
  };
  harness.run(3s, checkSingleHolder);
  auto before = harness.sentMessages<ControlAsk>();
  cr_assert_not(before.empty());
  for (const auto& row : before) cr_expect_eq(row.from, first);
  std::size_t done = static_cast<std::size_t>(std::count_if(
      harness.workers.begin(), harness.workers.end(), [](const auto& row) { return row.second.weights == "moss/4"; }));
  cr_assert(done > 0 && done < 6);
  harness.cores.at(first).alive = false;
  TimePoint lostAt = harness.now;
  harness.runUntilLeaseHeld();
  std::string second = harness.leaseHolder();
  TimePoint wonAt = harness.now;
  harness.run(14s, checkSingleHolder);
  auto after = harness.sentMessages<ControlAsk>(lostAt);
  cr_assert_not(after.empty());
  cr_expect(after[0].at - wonAt >= timing.commandHoldoff - 10ms);
  cr_expect(after[0].at - before.back().at >= timing.commandHoldoff);
  for (const auto& row : after) {
    cr_expect_eq(row.from, second);
    cr_expect_gt(std::get<ControlAsk>(row.message).term, firstTerm);
  }
  for (const auto& [name, worker] : harness.workers) cr_expect_eq(worker.weights, "moss/4");
}

Test(cells, a_holder_that_resumes_after_its_lease_sends_no_command) {
  CellHarness harness(3);
  harness.listWorkers(4);
  harness.runUntilLeaseHeld();
  harness.run(4s);
  std::string first = harness.leaseHolder();
  harness.cores.at(first).alive = false;
  harness.run(200ms);
  harness.runUntilLeaseHeld();
  harness.announce("moss/4");
  harness.cores.at(first).alive = true;
  TimePoint resumedAt = harness.now;
  harness.run(20s);
  for (const auto& row : harness.sentMessages<ControlAsk>(resumedAt)) cr_expect_neq(row.from, first);
  for (const auto& [name, worker] : harness.workers) cr_expect_eq(worker.weights, "moss/4");
}

Test(cells, a_new_holder_continues_the_staggered_roll_out) {
  CellHarness harness(3);
  harness.listWorkers(6);
  harness.runUntilLeaseHeld();
  harness.run(4s);
  std::string first = harness.leaseHolder();
  harness.announce("moss/4");
  auto updatedCount = [&] {
    return std::count_if(harness.workers.begin(), harness.workers.end(),
                         [](const auto& row) { return row.second.weights == "moss/4"; });
  };
  while (updatedCount() < 4) harness.step();
  harness.cores.at(first).alive = false;
  TimePoint lostAt = harness.now;
  harness.runUntilLeaseHeld();
  TimePoint mayCommandAt = harness.now + timing.commandHoldoff;
  harness.run(14s);
  auto after = harness.sentMessages<ControlAsk>(lostAt);
  cr_assert_eq(after.size(), 2u);
  cr_expect(after[0].at - mayCommandAt < 1500ms, "the next worker waited %d ms more",
            static_cast<int>(toMilliseconds(after[0].at - mayCommandAt)));
  cr_expect(after[1].at - mayCommandAt < 1500ms + 7800ms / 6, "the last worker waited %d ms more",
            static_cast<int>(toMilliseconds(after[1].at - mayCommandAt)));
}

Test(cells, weights_announced_while_a_worker_loads_reach_it_too) {
  CellHarness harness;
  harness.listWorkers(3);
  for (auto& [name, worker] : harness.workers) worker.loadDuration = 1500ms;
  harness.runUntilLeaseHeld();
  harness.run(4s);
  harness.announce("moss/4");
  harness.run(1500ms);
  cr_assert_not(harness.sentMessages<ControlAsk>().empty());
  harness.announce("moss/5");
  harness.run(16s);
  for (const auto& [name, worker] : harness.workers)
    cr_expect_eq(worker.weights, "moss/5", "%s has %s", name.c_str(), worker.weights.c_str());
  for (const auto& view : harness.cores.begin()->second.updates.back().workers) cr_expect_not(view.withheld);
}
