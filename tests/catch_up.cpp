#include <cstdio>

#include "log_fleet.hpp"

using namespace tt;

namespace {

/// What one run measured; sizes in bytes.
struct CatchUp {
  bool reached{false};
  double seconds{0};
  std::size_t linkBytes{0}, maxQueued{0}, maxWaiting{0}, ringBytes{0}, snapshots{0}, writtenTwice{0}, maxLog{0};
  int transferRestarts{0};
};

struct Case {
  bool empty;
  std::uint64_t changes;
  Duration syncDuration;
  double linkRate;
  std::size_t maxRecordBytes{1 << 20};
  double changesPerSecond{20};
  std::size_t changeBytes{300};
};

int transferRestarts(const LogFleet& fleet) {
  int times = 0;
  for (const auto& [id, machine] : fleet.machines) {
    auto found = machine.journal.counts().find("snapshot begun again");
    if (found != machine.journal.counts().end()) times += static_cast<int>(found->second);
  }
  return times;
}

/// Lets one replica miss changes, then measures how it catches up while more changes are made.
CatchUp catchUp(const Case& parameters) {
  LogFleet fleet(5, parameters.maxRecordBytes);
  fleet.changeBytes = parameters.changeBytes;
  fleet.startAll();
  fleet.makeChanges(10);
  fleet.run(500ms);
  std::string absent = fleet.leader() == "c" ? "b" : "c";
  fleet.stop(absent);
  fleet.makeChanges(parameters.changes);
  if (parameters.empty) fleet.machines[absent].disk = RecoveredState();
  for (auto& [id, machine] : fleet.machines) machine.syncDuration = parameters.syncDuration;
  std::string leader = fleet.leader();
  fleet.links[{leader, absent}].bytesPerSecond = parameters.linkRate;
  fleet.links[{leader, absent}].total = fleet.links[{leader, absent}].maxQueued = 0;
  auto& machine = fleet.machines[absent];
  machine.entryWrites.clear();
  machine.snapshotWrites = machine.ringBytes = machine.maxWaitingBytes = machine.maxLogBytes = 0;
  int before = transferRestarts(fleet);
  fleet.start(absent);
  TimePoint startedAt = fleet.now, nextChange = fleet.now;
  std::deque<std::pair<TimePoint, std::uint64_t>> commits;
  CatchUp result;
  while (fleet.now - startedAt < 120s && !result.reached) {
    if (fleet.now >= nextChange) {
      fleet.change();
      nextChange += std::chrono::microseconds(static_cast<std::int64_t>(1e6 / parameters.changesPerSecond));
    }
    fleet.step();
    if (auto id = fleet.leader(); !id.empty()) commits.emplace_back(fleet.now, fleet.machines[id].log->commit());
    while (commits.size() > 1 && commits[1].first <= fleet.now - 500ms) commits.pop_front();
    result.reached =
        commits.front().first <= fleet.now - 500ms && machine.log->lastSyncedIndex() >= commits.front().second;
  }
  result.seconds = static_cast<double>(toMilliseconds(fleet.now - startedAt)) / 1000;
  result.linkBytes = fleet.links[{leader, absent}].total;
  result.maxQueued = fleet.links[{leader, absent}].maxQueued;
  result.maxWaiting = machine.maxWaitingBytes;
  result.ringBytes = machine.ringBytes;
  result.snapshots = machine.snapshotWrites;
  result.writtenTwice = fleet.entriesWrittenTwice(absent);
  for (const auto& [id, row] : fleet.machines) result.maxLog = std::max(result.maxLog, row.maxLogBytes);
  result.transferRestarts = transferRestarts(fleet) - before;
  return result;
}

void print(const Case& parameters, const CatchUp& result) {
  std::printf("| %s | %d | %d ms | %.0f | %s%.2f | %zu | %zu | %zu | %zu | %zu | %d |\n",
              parameters.empty ? "empty" : "old", static_cast<int>(parameters.changes),
              static_cast<int>(toMilliseconds(parameters.syncDuration)), parameters.linkRate / 1000,
              result.reached ? "" : "not in ", result.seconds, result.linkBytes / 1000, result.maxQueued / 1000,
              result.ringBytes / 1000, result.maxLog / 1000, result.writtenTwice, result.transferRestarts);
}

}  // namespace

Test(catch_up, an_empty_and_an_old_replica_catch_up_under_load_with_bounded_bytes) {
  std::printf(
      "| replica | changes | sync | link kB/s | seconds | sent kB | max in flight kB | written kB | log kB |"
      " written twice | restarts |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (double rate : {10e6, 100e3})
    for (Duration syncDuration : {Duration(2ms), Duration(120ms)})
      for (bool empty : {true, false})
        for (std::uint64_t changes : {50, 500, 5000}) {
          Case parameters{empty, changes, syncDuration, rate};
          CatchUp result = catchUp(parameters);
          print(parameters, result);
          cr_expect(result.reached);
          cr_expect_eq(result.writtenTwice, 0u);
          cr_expect_eq(result.transferRestarts, 0);
          cr_expect_lt(result.maxQueued, 600000u, "more than one window was in flight");
        }
}

Test(catch_up, a_snapshot_that_the_leader_replaces_during_the_transfer_is_still_installed) {
  Case parameters{true, 600, 2ms, 60e3, 1 << 19, 50, 600};
  CatchUp result = catchUp(parameters);
  print(parameters, result);
  cr_expect(result.reached, "the follower never catches up");
  cr_expect_eq(result.transferRestarts, 0);
}
