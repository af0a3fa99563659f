#include <cstdio>

#include "log_fleet.hpp"

using namespace tt;

namespace {

struct CatchUp {
  bool reached{false};
  double seconds{0};
  std::size_t linkBytes{0}, mostQueued{0}, mostWaiting{0}, ringBytes{0}, snapshots{0}, twice{0}, mostLog{0};
  int begunAgain{0};
};

struct Case {
  bool empty;
  std::uint64_t changes;
  Duration syncSpan;
  double linkRate;
  std::size_t maxRecordBytes{1 << 20};
  double stormPerSecond{20};
  std::size_t changeBytes{300};
};

int begunAgain(const LogFleet& fleet) {
  int times = 0;
  for (const auto& [id, machine] : fleet.machines) {
    auto found = machine.journal.counts().find("snapshot begun again");
    if (found != machine.journal.counts().end()) times += static_cast<int>(found->second);
  }
  return times;
}

/// Lets one replica miss changes, then measures how it catches up while changes go on.
CatchUp catchUp(const Case& given) {
  LogFleet fleet(5, given.maxRecordBytes);
  fleet.changeBytes = given.changeBytes;
  fleet.formed();
  fleet.makeChanges(10);
  fleet.run(500ms);
  std::string away = fleet.leader() == "c" ? "b" : "c";
  fleet.stop(away);
  fleet.makeChanges(given.changes);
  if (given.empty) fleet.machines[away].disk = RecoveredState();
  for (auto& [id, machine] : fleet.machines) machine.syncSpan = given.syncSpan;
  std::string leader = fleet.leader();
  fleet.links[{leader, away}].bytesPerSecond = given.linkRate;
  fleet.links[{leader, away}].total = fleet.links[{leader, away}].mostQueued = 0;
  auto& machine = fleet.machines[away];
  machine.entryWrites.clear();
  machine.snapshotWrites = machine.ringBytes = machine.mostWaitingBytes = machine.mostLogBytes = 0;
  int before = begunAgain(fleet);
  fleet.start(away);
  TimePoint startedAt = fleet.now, nextChange = fleet.now;
  std::deque<std::pair<TimePoint, std::uint64_t>> commits;
  CatchUp result;
  while (fleet.now - startedAt < 120s && !result.reached) {
    if (fleet.now >= nextChange) {
      fleet.change();
      nextChange += std::chrono::microseconds(static_cast<std::int64_t>(1e6 / given.stormPerSecond));
    }
    fleet.step();
    if (auto id = fleet.leader(); !id.empty()) commits.emplace_back(fleet.now, fleet.machines[id].log->commit());
    while (commits.size() > 1 && commits[1].first <= fleet.now - 500ms) commits.pop_front();
    result.reached =
        commits.front().first <= fleet.now - 500ms && machine.log->lastSyncedIndex() >= commits.front().second;
  }
  result.seconds = static_cast<double>(toMilliseconds(fleet.now - startedAt)) / 1000;
  result.linkBytes = fleet.links[{leader, away}].total;
  result.mostQueued = fleet.links[{leader, away}].mostQueued;
  result.mostWaiting = machine.mostWaitingBytes;
  result.ringBytes = machine.ringBytes;
  result.snapshots = machine.snapshotWrites;
  result.twice = fleet.entriesWrittenTwice(away);
  for (const auto& [id, row] : fleet.machines) result.mostLog = std::max(result.mostLog, row.mostLogBytes);
  result.begunAgain = begunAgain(fleet) - before;
  return result;
}

void print(const Case& given, const CatchUp& result) {
  std::printf("| %s | %d | %d ms | %.0f | %s%.2f | %zu | %zu | %zu | %zu | %zu | %d |\n", given.empty ? "empty" : "old",
              static_cast<int>(given.changes), static_cast<int>(toMilliseconds(given.syncSpan)), given.linkRate / 1000,
              result.reached ? "" : "not in ", result.seconds, result.linkBytes / 1000, result.mostQueued / 1000,
              result.ringBytes / 1000, result.mostLog / 1000, result.twice, result.begunAgain);
}

}  // namespace

Test(catch_up, an_empty_and_an_old_replica_catch_up_under_a_storm_with_bounded_bytes) {
  std::printf(
      "| replica | changes | sync | link kB/s | seconds | sent kB | most under way kB | written kB | log kB |"
      " written twice | begun again |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (double rate : {10e6, 100e3})
    for (Duration syncSpan : {Duration(2ms), Duration(120ms)})
      for (bool empty : {true, false})
        for (std::uint64_t changes : {50, 500, 5000}) {
          Case given{empty, changes, syncSpan, rate};
          CatchUp result = catchUp(given);
          print(given, result);
          cr_expect(result.reached);
          cr_expect_eq(result.twice, 0u);
          cr_expect_eq(result.begunAgain, 0);
          cr_expect_lt(result.mostQueued, 600000u, "more than one window was under way");
        }
}

Test(catch_up, a_snapshot_that_the_leader_replaces_meanwhile_is_still_taken) {
  Case given{true, 600, 2ms, 60e3, 1 << 19, 50, 600};
  CatchUp result = catchUp(given);
  print(given, result);
  cr_expect(result.reached, "the follower is behind for ever");
  cr_expect_eq(result.begunAgain, 0);
}
