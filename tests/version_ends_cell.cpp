#include <algorithm>

#include "cell_harness.hpp"

using namespace tt;

namespace {
/// How long a version may be used after a newer one was announced. Workers must be commanded to load the newer one
/// before that.
constexpr Duration maxUse = 10s;

/// A cell for whose model newer weights are announced repeatedly.
struct RolloutHarness : CellHarness {
  struct Announcement {
    std::string weights;
    TimePoint at;
  };
  std::vector<Announcement> announcements;
  /// The longest time that a worker served a version after its use had ended.
  std::map<std::string, Duration> maxOverdueByWorker;
  std::map<std::string, int> loadsByWorker;
  std::map<std::string, std::string> loadingBefore;
  std::size_t maxLoading{0};

  explicit RolloutHarness(int workerCount, int coreCount = 1, CellSettings settings = cellSettings())
      : CellHarness(coreCount, settings) {
    timing.oldWeightsSendTimeout = maxUse;
    announcements.push_back(Announcement{"moss/3", now});
    listWorkers(workerCount);
  }
  void start(Duration settleTime = 4s) {
    runUntilLeaseHeld();
    run(settleTime);
    cr_assert(sentMessages<ControlAsk>().empty(), "without a change no command is sent");
  }
  void announceNext() {
    std::string weights = "moss/" + std::to_string(announcements.size() + 3);
    announcements.push_back(Announcement{weights, now});
    announce(weights);
  }
  void announceEvery(Duration interval, int times) {
    for (int number = 0; number < times; ++number) {
      announceNext();
      runAndCheck(interval);
    }
  }
  const std::string& newest() const { return announcements.back().weights; }
  /// When the first version newer than this one was announced; TimePoint::max() if it is the newest.
  TimePoint supersededAt(const std::string& weights) const {
    TimePoint successorAt = TimePoint::max();
    for (auto announcement = announcements.rbegin(); announcement != announcements.rend(); ++announcement) {
      if (announcement->weights == weights) return successorAt;
      successorAt = announcement->at;
    }
    return successorAt;
  }
  std::size_t loadingCount() const {
    return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(),
                                                  [](const auto& row) { return !row.second.loadingWeights.empty(); }));
  }
  /// Lets time pass and records workers that still serve a version whose use has ended.
  void runAndCheck(Duration span) {
    run(span, [this] {
      maxLoading = std::max(maxLoading, loadingCount());
      for (const auto& [name, worker] : workers) {
        if (worker.loadingWeights != loadingBefore[name] && !worker.loadingWeights.empty()) ++loadsByWorker[name];
        loadingBefore[name] = worker.loadingWeights;
        TimePoint successorAt = supersededAt(worker.weights);
        if (!worker.loadingWeights.empty() || successorAt == TimePoint::max() || now - successorAt <= maxUse) continue;
        maxOverdueByWorker[name] = std::max(maxOverdueByWorker[name], now - successorAt - maxUse);
      }
    });
  }
  void expectNoVersionOverused() const {
    for (const auto& [name, span] : maxOverdueByWorker)
      cr_expect(false, "%s served a version for %d ms after its use had ended", name.c_str(),
                static_cast<int>(toMilliseconds(span)));
  }
  void expectAllNewest() const {
    for (const auto& [name, worker] : workers)
      cr_expect_eq(worker.weights, newest(), "%s has %s", name.c_str(), worker.weights.c_str());
  }
  /// Draws each worker's load duration between two bounds.
  void drawLoadDurations(Duration min, Duration max) {
    std::uniform_int_distribution<std::int64_t> drawn(toMilliseconds(min), toMilliseconds(max));
    for (auto& [name, worker] : workers) worker.loadDuration = std::chrono::milliseconds(drawn(randomSource));
  }
  TimePoint firstCommandTo(const std::string& worker, const std::string& weights) const {
    for (const auto& row : commandsTo(worker))
      if (std::get<ControlAsk>(row.message).weights == weights) return row.at;
    return TimePoint::max();
  }
};

CellSettings pollingSettings() {
  CellSettings settings = cellSettings();
  settings.statusInterval = 500ms;
  return settings;
}
}  // namespace

/// A plan that counts from the newest announcement would postpone the last workers with each further one.
Test(version_ends_cell, four_announcements_in_a_row_do_not_keep_workers_on_the_first_version) {
  for (int number : {6, 7, 9, 12, 15, 18})
    for (std::uint64_t seed : {1, 2, 3}) {
      RolloutHarness harness(number);
      harness.randomSource.seed(seed);
      harness.drawLoadDurations(1s, 2s);
      harness.start();
      harness.announceEvery(4s, 4);
      harness.runAndCheck(14s);
      for (const auto& [name, span] : harness.maxOverdueByWorker)
        cr_expect(false, "%d workers, seed %d: %s served a version for %d ms after its use had ended", number,
                  static_cast<int>(seed), name.c_str(), static_cast<int>(toMilliseconds(span)));
      harness.expectAllNewest();
    }
}

Test(version_ends_cell, seven_announcements_in_a_row_do_not_keep_workers_on_the_first_version) {
  for (int number : {6, 11, 18}) {
    RolloutHarness harness(number);
    harness.drawLoadDurations(1s, 2s);
    harness.start();
    harness.announceEvery(3s, 7);
    harness.runAndCheck(14s);
    harness.expectNoVersionOverused();
    harness.expectAllNewest();
  }
}

Test(version_ends_cell, announcements_at_random_times_do_not_keep_workers_on_any_version) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 drawn(seed);
    RolloutHarness harness(static_cast<int>(6 + drawn() % 13));
    harness.randomSource.seed(seed);
    harness.drawLoadDurations(1s, 2s);
    harness.start();
    for (std::uint64_t left = 2 + drawn() % 5; left > 0; --left)
      harness.announceEvery(std::chrono::milliseconds(200 + drawn() % 5800), 1);
    harness.runAndCheck(16s);
    for (const auto& [name, span] : harness.maxOverdueByWorker)
      cr_expect(false, "seed %d: %s served a version for %d ms after its use had ended", static_cast<int>(seed),
                name.c_str(), static_cast<int>(toMilliseconds(span)));
    harness.expectAllNewest();
  }
}

Test(version_ends_cell, workers_on_the_oldest_version_are_commanded_first) {
  RolloutHarness harness(6);
  harness.start();
  harness.announceNext();
  auto onNewest = [&] {
    return std::count_if(harness.workers.begin(), harness.workers.end(),
                         [&](const auto& row) { return row.second.weights == harness.newest(); });
  };
  auto allServe = [&] {
    return std::all_of(harness.workers.begin(), harness.workers.end(), [&](const auto& row) {
      return harness.cores.begin()->second.cell->rolloutState(row.first) == "serving";
    });
  };
  while (onNewest() < 3 || !allServe()) harness.runAndCheck(10ms);
  Strings behind, ahead;
  for (const auto& [name, worker] : harness.workers) (worker.weights == "moss/3" ? behind : ahead).push_back(name);
  cr_assert_not(behind.empty());
  harness.announceNext();
  harness.runAndCheck(20s);
  TimePoint lastBehind{}, firstAhead = TimePoint::max();
  for (const auto& name : behind) lastBehind = std::max(lastBehind, harness.firstCommandTo(name, harness.newest()));
  for (const auto& name : ahead) firstAhead = std::min(firstAhead, harness.firstCommandTo(name, harness.newest()));
  cr_expect(lastBehind <= firstAhead, "a worker on the newer version was commanded %d ms before one on the oldest",
            static_cast<int>(toMilliseconds(lastBehind - firstAhead)));
  harness.expectNoVersionOverused();
  harness.expectAllNewest();
}

Test(version_ends_cell, no_worker_loads_a_version_that_was_superseded_before_its_command) {
  for (int number : {1, 6, 12}) {
    RolloutHarness harness(number);
    harness.start();
    harness.announceEvery(100ms, 3);
    harness.runAndCheck(16s);
    for (const auto& row : harness.sentMessages<ControlAsk>()) {
      const auto& command = std::get<ControlAsk>(row.message);
      TimePoint successorAt = harness.supersededAt(command.weights);
      cr_expect(row.at <= successorAt || row.at - successorAt <= 20ms,
                "%s was commanded to load %s, which had been superseded", command.worker.c_str(),
                command.weights.c_str());
    }
    harness.expectAllNewest();
  }
}

/// A worker that starts on the first of several announcements has to load a second time; no other worker may.
Test(version_ends_cell, announcements_in_quick_succession_load_only_the_first_started_worker_twice) {
  for (int number : {1, 6, 12, 18}) {
    RolloutHarness harness(number);
    harness.start();
    harness.announceEvery(100ms, 3);
    harness.runAndCheck(16s);
    int loads = 0;
    for (const auto& [name, times] : harness.loadsByWorker) {
      loads += times;
      cr_expect_leq(times, 2, "%s of %d was loaded %d times", name.c_str(), number, times);
    }
    cr_expect_leq(loads, number + 1, "%d workers were loaded %d times", number, loads);
    harness.expectAllNewest();
    harness.expectNoVersionOverused();
  }
}

/// A new lease holder does not know the progress of the roll-out and must observe the command hold-off. All workers
/// must still be commanded in time.
Test(version_ends_cell, losing_the_lease_holder_does_not_prolong_the_use_of_a_version) {
  for (bool returns : {false, true})
    for (Duration lostAfter : {500ms, 2000ms, 4000ms}) {
      RolloutHarness harness(6, 3);
      harness.drawLoadDurations(1s, 2s);
      harness.start();
      std::string first = harness.leaseHolder();
      harness.announceNext();
      harness.runAndCheck(lostAfter);
      harness.cores.at(first).alive = false;
      if (returns) {
        harness.runAndCheck(1500ms);
        harness.cores.at(first).alive = true;
      }
      harness.runAndCheck(18s);
      for (const auto& [name, span] : harness.maxOverdueByWorker)
        cr_expect(false, "holder lost after %d ms%s: %s served a version for %d ms after its use had ended",
                  static_cast<int>(toMilliseconds(lostAfter)), returns ? " for a while" : "", name.c_str(),
                  static_cast<int>(toMilliseconds(span)));
      harness.expectAllNewest();
      cr_expect_neq(harness.leaseHolder(), "");
    }
}

Test(version_ends_cell, losing_the_lease_holder_between_two_announcements_does_not_prolong_the_first_version) {
  for (int number : {6, 9}) {
    RolloutHarness harness(number, 3);
    harness.drawLoadDurations(1s, 2s);
    harness.start();
    std::string first = harness.leaseHolder();
    harness.announceEvery(2500ms, 1);
    harness.cores.at(first).alive = false;
    harness.runAndCheck(500ms);
    harness.announceEvery(5s, 2);
    harness.runAndCheck(14s);
    harness.expectNoVersionOverused();
    harness.expectAllNewest();
  }
}

/// Workers that are still loading count against the limit of workers that may change at once.
Test(version_ends_cell, slow_or_failing_workers_do_not_delay_commands_to_the_others) {
  enum class Trouble { loadsSlowly, neverLoads, ignoresCommands, isSilent };
  for (auto trouble : {Trouble::loadsSlowly, Trouble::neverLoads, Trouble::ignoresCommands, Trouble::isSilent})
    for (int number : {6, 12}) {
      RolloutHarness harness(number);
      Strings affected;
      for (int at = 1; at <= number / 3; ++at) affected.push_back("w" + std::to_string(at));
      for (const auto& name : affected) {
        auto& worker = harness.workers.at(name);
        if (trouble == Trouble::loadsSlowly) worker.loadDuration = 9s;
        if (trouble == Trouble::neverLoads) worker.loadDuration = 1h;
        worker.executesCommands = trouble != Trouble::ignoresCommands && trouble != Trouble::isSilent;
        worker.repliesToCommands = trouble != Trouble::isSilent;
      }
      harness.start();
      harness.announceNext();
      TimePoint announcedAt = harness.now;
      harness.runAndCheck(maxUse);
      for (const auto& [name, worker] : harness.workers)
        cr_expect(harness.firstCommandTo(name, harness.newest()) <= announcedAt + maxUse,
                  "trouble %d: %s of %d was not commanded before the end", static_cast<int>(trouble), name.c_str(),
                  number);
    }
}

Test(version_ends_cell, a_worker_that_restarts_with_an_ended_version_is_commanded_at_once) {
  for (bool announcedAgain : {false, true}) {
    RolloutHarness harness(6, 1, pollingSettings());
    harness.start();
    harness.announceNext();
    harness.runAndCheck(14s);
    harness.expectAllNewest();
    if (announcedAgain) {
      harness.announceNext();
      harness.runAndCheck(300ms);
    }
    auto& worker = harness.workers.at("w6");
    worker.incarnation = "2";
    worker.weights = "moss/3";
    worker.loadingWeights.clear();
    TimePoint restartedAt = harness.now;
    std::size_t before = worker.commandsAt.size();
    harness.runAndCheck(2s);
    cr_assert_gt(worker.commandsAt.size(), before, "it was not commanded; announced again: %d", announcedAgain);
    cr_expect(worker.commandsAt[before] - restartedAt <= 1500ms, "it was commanded after %d ms",
              static_cast<int>(toMilliseconds(worker.commandsAt[before] - restartedAt)));
    harness.runAndCheck(14s);
    harness.expectAllNewest();
  }
}

Test(version_ends_cell, at_most_a_third_of_the_workers_load_at_once_before_any_is_overdue) {
  for (int number : {6, 7, 9, 12, 18})
    for (int announcementCount : {1, 2}) {
      RolloutHarness harness(number);
      harness.drawLoadDurations(1s, 3s);
      harness.start();
      harness.announceEvery(2s, announcementCount);
      harness.runAndCheck(maxUse / 2 - 2s * announcementCount);
      cr_expect_leq(harness.maxLoading, static_cast<std::size_t>((number + 2) / 3), "%zu of %d load at once",
                    harness.maxLoading, number);
      cr_expect_geq(harness.maxLoading, 1u);
    }
}

namespace {
/// Updates of the cells of three preceding zones. Each of them has a single worker that never finishes its roll-out.
std::map<std::string, CellNews> zonesBefore() {
  std::map<std::string, CellNews> cellUpdatesByZone;
  for (const char* zone : {"east-a", "east-b", "east-c"}) {
    WorkerView worker;
    worker.name = std::string("sole-") + zone;
    worker.zone = zone;
    worker.kind = "language";
    worker.model = "moss";
    worker.weights = "moss/3";
    worker.alive = true;
    CellNews update;
    update.zone = zone;
    update.term = update.sequence = 1;
    update.workers.push_back(worker);
    cellUpdatesByZone[zone] = update;
  }
  return cellUpdatesByZone;
}
}  // namespace

Test(version_ends_cell, a_sole_worker_that_waits_for_other_zones_is_commanded_before_the_end) {
  auto cellUpdatesByZone = zonesBefore();
  for (int announcementCount : {1, 4}) {
    RolloutHarness harness(1);
    for (auto& [address, core] : harness.cores) core.cell->latestUpdates = &cellUpdatesByZone;
    harness.start();
    harness.announceEvery(4s, announcementCount);
    harness.runAndCheck(14s);
    for (const auto& [name, span] : harness.maxOverdueByWorker)
      cr_expect(false, "%d announcements: %s served a version for %d ms after its use had ended", announcementCount,
                name.c_str(), static_cast<int>(toMilliseconds(span)));
    harness.expectAllNewest();
  }
}

Test(version_ends_cell, a_worker_loads_once_for_announcements_in_quick_succession) {
  for (int number : {1, 6, 12}) {
    RolloutHarness harness(number);
    harness.start();
    harness.announceEvery(100ms, 3);
    harness.runAndCheck(16s);
    for (const auto& [name, worker] : harness.workers)
      cr_expect_eq(harness.loadsByWorker[name], 1, "%s of %d was loaded %d times", name.c_str(), number,
                   harness.loadsByWorker[name]);
    harness.expectAllNewest();
    harness.expectNoVersionOverused();
  }
}
