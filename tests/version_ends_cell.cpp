#include <algorithm>

#include "cell_bench.hpp"

using namespace tt;

namespace {
/// How long a version may be used once a newer one is named; workers are to be commanded before that.
constexpr Duration useMost = 10s;

/// A cell whose workers are given newer weights again and again.
struct RollOutBench : CellBench {
  struct Naming {
    std::string weights;
    TimePoint at;
  };
  std::vector<Naming> namings;
  /// How long after its version's end a worker stood uncommanded, at the most.
  std::map<std::string, Duration> overdueByWorker;
  std::map<std::string, int> loadsByWorker;
  std::map<std::string, std::string> loadingBefore;
  std::size_t mostLoading{0};

  explicit RollOutBench(int workerNumber, int coreNumber = 1, CellSettings settings = cellSettings())
      : CellBench(coreNumber, settings) {
    timing.oldWeightsOrderTimeout = useMost;
    namings.push_back(Naming{"moss/3", now});
    list(workerNumber);
  }
  void start(Duration settled = 4s) {
    runToHolder();
    run(settled);
    cr_assert(all<ControlAsk>().empty(), "nothing to do, nothing to command");
  }
  void nameNext() {
    std::string weights = "moss/" + std::to_string(namings.size() + 3);
    namings.push_back(Naming{weights, now});
    name(weights);
  }
  void nameEvery(Duration apart, int times) {
    for (int number = 0; number < times; ++number) {
      nameNext();
      watch(apart);
    }
  }
  const std::string& newest() const { return namings.back().weights; }
  /// When the first version newer than this one was named; Moment::max() if it is the newest.
  TimePoint supersededAt(const std::string& weights) const {
    TimePoint successorAt = TimePoint::max();
    for (auto naming = namings.rbegin(); naming != namings.rend(); ++naming) {
      if (naming->weights == weights) return successorAt;
      successorAt = naming->at;
    }
    return successorAt;
  }
  std::size_t loadingNumber() const {
    return static_cast<std::size_t>(
        std::count_if(workers.begin(), workers.end(), [](const auto& row) { return !row.second.loading.empty(); }));
  }
  /// Lets time pass and takes note of workers that still serve a version whose use has ended.
  void watch(Duration span) {
    run(span, [this] {
      mostLoading = std::max(mostLoading, loadingNumber());
      for (const auto& [name, worker] : workers) {
        if (worker.loading != loadingBefore[name] && !worker.loading.empty()) ++loadsByWorker[name];
        loadingBefore[name] = worker.loading;
        TimePoint successorAt = supersededAt(worker.weights);
        if (!worker.loading.empty() || successorAt == TimePoint::max() || now - successorAt <= useMost) continue;
        overdueByWorker[name] = std::max(overdueByWorker[name], now - successorAt - useMost);
      }
    });
  }
  void expectNoneOverdue() const {
    for (const auto& [name, span] : overdueByWorker)
      cr_expect(false, "%s served a version for %d ms after its use had ended", name.c_str(),
                static_cast<int>(toMilliseconds(span)));
  }
  void expectAllNewest() const {
    for (const auto& [name, worker] : workers)
      cr_expect_eq(worker.weights, newest(), "%s has %s", name.c_str(), worker.weights.c_str());
  }
  void loadWithin(Duration least, Duration most) {
    std::uniform_int_distribution<std::int64_t> drawn(toMilliseconds(least), toMilliseconds(most));
    for (auto& [name, worker] : workers) worker.loadSpan = std::chrono::milliseconds(drawn(randomSource));
  }
  TimePoint firstCommandTo(const std::string& worker, const std::string& weights) const {
    for (const auto& row : commandsTo(worker))
      if (std::get<ControlAsk>(row.message).weights == weights) return row.at;
    return TimePoint::max();
  }
};

CellSettings askingSettings() {
  CellSettings settings = cellSettings();
  settings.statusInterval = 500ms;
  return settings;
}
}  // namespace

Test(version_ends_cell, four_namings_in_a_row_do_not_keep_workers_on_the_first_version) {
  for (int number : {6, 7, 9, 12, 15, 18})
    for (std::uint64_t seed : {1, 2, 3}) {
      RollOutBench bench(number);
      bench.randomSource.seed(seed);
      bench.loadWithin(1s, 2s);
      bench.start();
      bench.nameEvery(4s, 4);
      bench.watch(14s);
      for (const auto& [name, span] : bench.overdueByWorker)
        cr_expect(false, "%d workers, seed %d: %s served a version for %d ms after its use had ended", number,
                  static_cast<int>(seed), name.c_str(), static_cast<int>(toMilliseconds(span)));
      bench.expectAllNewest();
    }
}

Test(version_ends_cell, seven_namings_in_a_row_do_not_keep_workers_on_the_first_version) {
  for (int number : {6, 11, 18}) {
    RollOutBench bench(number);
    bench.loadWithin(1s, 2s);
    bench.start();
    bench.nameEvery(3s, 7);
    bench.watch(14s);
    bench.expectNoneOverdue();
    bench.expectAllNewest();
  }
}

Test(version_ends_cell, namings_at_drawn_moments_do_not_keep_workers_on_any_version) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 drawn(seed);
    RollOutBench bench(static_cast<int>(6 + drawn() % 13));
    bench.randomSource.seed(seed);
    bench.loadWithin(1s, 2s);
    bench.start();
    for (std::uint64_t left = 2 + drawn() % 5; left > 0; --left)
      bench.nameEvery(std::chrono::milliseconds(200 + drawn() % 5800), 1);
    bench.watch(16s);
    for (const auto& [name, span] : bench.overdueByWorker)
      cr_expect(false, "seed %d: %s served a version for %d ms after its use had ended", static_cast<int>(seed),
                name.c_str(), static_cast<int>(toMilliseconds(span)));
    bench.expectAllNewest();
  }
}

Test(version_ends_cell, workers_on_the_oldest_version_are_commanded_first) {
  RollOutBench bench(6);
  bench.start();
  bench.nameNext();
  auto onNewest = [&] {
    return std::count_if(bench.workers.begin(), bench.workers.end(),
                         [&](const auto& row) { return row.second.weights == bench.newest(); });
  };
  auto allServe = [&] {
    return std::all_of(bench.workers.begin(), bench.workers.end(), [&](const auto& row) {
      return bench.cores.begin()->second.cell->rolloutState(row.first) == "serving";
    });
  };
  while (onNewest() < 3 || !allServe()) bench.watch(10ms);
  Strings behind, ahead;
  for (const auto& [name, worker] : bench.workers) (worker.weights == "moss/3" ? behind : ahead).push_back(name);
  cr_assert_not(behind.empty());
  bench.nameNext();
  bench.watch(20s);
  TimePoint lastBehind{}, firstAhead = TimePoint::max();
  for (const auto& name : behind) lastBehind = std::max(lastBehind, bench.firstCommandTo(name, bench.newest()));
  for (const auto& name : ahead) firstAhead = std::min(firstAhead, bench.firstCommandTo(name, bench.newest()));
  cr_expect(lastBehind <= firstAhead, "one on the newer version was commanded %d ms before one on the oldest",
            static_cast<int>(toMilliseconds(lastBehind - firstAhead)));
  bench.expectNoneOverdue();
  bench.expectAllNewest();
}

Test(version_ends_cell, no_worker_loads_a_version_that_was_superseded_before_its_command) {
  for (int number : {1, 6, 12}) {
    RollOutBench bench(number);
    bench.start();
    bench.nameEvery(100ms, 3);
    bench.watch(16s);
    for (const auto& row : bench.all<ControlAsk>()) {
      const auto& ask = std::get<ControlAsk>(row.message);
      TimePoint successorAt = bench.supersededAt(ask.weights);
      cr_expect(row.at <= successorAt || row.at - successorAt <= 20ms, "%s was commanded to %s, which was superseded",
                ask.worker.c_str(), ask.weights.c_str());
    }
    bench.expectAllNewest();
  }
}

Test(version_ends_cell, namings_that_follow_at_once_load_only_the_worker_twice_that_began_at_once) {
  for (int number : {1, 6, 12, 18}) {
    RollOutBench bench(number);
    bench.start();
    bench.nameEvery(100ms, 3);
    bench.watch(16s);
    int loads = 0;
    for (const auto& [name, times] : bench.loadsByWorker) {
      loads += times;
      cr_expect_leq(times, 2, "%s of %d was loaded %d times", name.c_str(), number, times);
    }
    cr_expect_leq(loads, number + 1, "%d workers were loaded %d times", number, loads);
    bench.expectAllNewest();
    bench.expectNoneOverdue();
  }
}

Test(version_ends_cell, a_holder_that_is_lost_does_not_prolong_the_use_of_a_version) {
  for (bool returns : {false, true})
    for (Duration lostAfter : {500ms, 2000ms, 4000ms}) {
      RollOutBench bench(6, 3);
      bench.loadWithin(1s, 2s);
      bench.start();
      std::string first = bench.holder();
      bench.nameNext();
      bench.watch(lostAfter);
      bench.cores.at(first).alive = false;
      if (returns) {
        bench.watch(1500ms);
        bench.cores.at(first).alive = true;
      }
      bench.watch(18s);
      for (const auto& [name, span] : bench.overdueByWorker)
        cr_expect(false, "holder lost after %d ms%s: %s served a version for %d ms after its use had ended",
                  static_cast<int>(toMilliseconds(lostAfter)), returns ? " for a while" : "", name.c_str(),
                  static_cast<int>(toMilliseconds(span)));
      bench.expectAllNewest();
      cr_expect_neq(bench.holder(), "");
    }
}

Test(version_ends_cell, a_holder_that_is_lost_between_two_namings_does_not_prolong_the_use_of_the_first_version) {
  for (int number : {6, 9}) {
    RollOutBench bench(number, 3);
    bench.loadWithin(1s, 2s);
    bench.start();
    std::string first = bench.holder();
    bench.nameEvery(2500ms, 1);
    bench.cores.at(first).alive = false;
    bench.watch(500ms);
    bench.nameEvery(5s, 2);
    bench.watch(14s);
    bench.expectNoneOverdue();
    bench.expectAllNewest();
  }
}

Test(version_ends_cell, workers_that_load_slowly_or_never_do_not_keep_others_from_their_commands) {
  enum class Trouble { loadsSlowly, loadsNever, obeysNever, isMute };
  for (auto trouble : {Trouble::loadsSlowly, Trouble::loadsNever, Trouble::obeysNever, Trouble::isMute})
    for (int number : {6, 12}) {
      RollOutBench bench(number);
      Strings troubled;
      for (int at = 1; at <= number / 3; ++at) troubled.push_back("w" + std::to_string(at));
      for (const auto& name : troubled) {
        auto& worker = bench.workers.at(name);
        if (trouble == Trouble::loadsSlowly) worker.loadSpan = 9s;
        if (trouble == Trouble::loadsNever) worker.loadSpan = 1h;
        worker.obeys = trouble != Trouble::obeysNever && trouble != Trouble::isMute;
        worker.answersCommands = trouble != Trouble::isMute;
      }
      bench.start();
      bench.nameNext();
      TimePoint namedAt = bench.now;
      bench.watch(useMost);
      for (const auto& [name, worker] : bench.workers)
        cr_expect(bench.firstCommandTo(name, bench.newest()) <= namedAt + useMost,
                  "trouble %d: %s of %d was not commanded before the end", static_cast<int>(trouble), name.c_str(),
                  number);
    }
}

Test(version_ends_cell, a_worker_that_comes_back_with_a_version_that_has_ended_is_commanded_at_once) {
  for (bool namedAgain : {false, true}) {
    RollOutBench bench(6, 1, askingSettings());
    bench.start();
    bench.nameNext();
    bench.watch(14s);
    bench.expectAllNewest();
    if (namedAgain) {
      bench.nameNext();
      bench.watch(300ms);
    }
    auto& worker = bench.workers.at("w6");
    worker.incarnation = "2";
    worker.weights = "moss/3";
    worker.loading.clear();
    TimePoint backAt = bench.now;
    std::size_t before = worker.commandsAt.size();
    bench.watch(2s);
    cr_assert_gt(worker.commandsAt.size(), before, "it is not commanded; named again: %d", namedAgain);
    cr_expect(worker.commandsAt[before] - backAt <= 1500ms, "it was commanded after %d ms",
              static_cast<int>(toMilliseconds(worker.commandsAt[before] - backAt)));
    bench.watch(14s);
    bench.expectAllNewest();
  }
}

Test(version_ends_cell, no_more_than_a_third_load_at_once_while_the_end_is_far) {
  for (int number : {6, 7, 9, 12, 18})
    for (int namingNumber : {1, 2}) {
      RollOutBench bench(number);
      bench.loadWithin(1s, 3s);
      bench.start();
      bench.nameEvery(2s, namingNumber);
      bench.watch(useMost / 2 - 2s * namingNumber);
      cr_expect_leq(bench.mostLoading, static_cast<std::size_t>((number + 2) / 3), "%zu of %d load at once",
                    bench.mostLoading, number);
      cr_expect_geq(bench.mostLoading, 1u);
    }
}

namespace {
/// Cells' news by which three localities that come before this one have a sole worker each that is never done.
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
    CellNews news;
    news.zone = zone;
    news.term = news.sequence = 1;
    news.workers.push_back(worker);
    cellUpdatesByZone[zone] = news;
  }
  return cellUpdatesByZone;
}
}  // namespace

Test(version_ends_cell, a_sole_worker_that_waits_for_other_localities_is_commanded_before_the_end) {
  auto cellUpdatesByZone = zonesBefore();
  for (int namingNumber : {1, 4}) {
    RollOutBench bench(1);
    for (auto& [address, core] : bench.cores) core.cell->allNews = &cellUpdatesByZone;
    bench.start();
    bench.nameEvery(4s, namingNumber);
    bench.watch(14s);
    for (const auto& [name, span] : bench.overdueByWorker)
      cr_expect(false, "%d namings: %s served a version for %d ms after its use had ended", namingNumber, name.c_str(),
                static_cast<int>(toMilliseconds(span)));
    bench.expectAllNewest();
  }
}
Test(version_ends_cell, a_worker_is_loaded_once_for_namings_that_follow_at_once) {
  for (int number : {1, 6, 12}) {
    RollOutBench bench(number);
    bench.start();
    bench.nameEvery(100ms, 3);
    bench.watch(16s);
    for (const auto& [name, worker] : bench.workers)
      cr_expect_eq(bench.loadsByWorker[name], 1, "%s of %d was loaded %d times", name.c_str(), number,
                   bench.loadsByWorker[name]);
    bench.expectAllNewest();
    bench.expectNoneOverdue();
  }
}
