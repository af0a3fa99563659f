#include <algorithm>

#include "routing_bench.hpp"

using namespace tt;

namespace {
/// How long a proxy may use a version that is no longer the newest, and within how long an order that has not begun at
/// a worker of that version must have been dropped there.
constexpr Duration useMost = 4s;
constexpr Duration dropMost = 4500ms;
constexpr Duration tickLength = 10ms;

/// A proxy whose model is given newer weights while workers still have older ones.
struct VersionBench : ProxyBench {
  struct Naming {
    std::string weights;
    TimePoint at;
  };
  TimingGuard kept;
  std::vector<Naming> namings;
  int prompts{0};

  VersionBench() : VersionBench(pathSettings("proxy-1"), proxyConfiguration) {}
  VersionBench(const ProxyRouterSettings& settings, const std::string& configuration)
      : ProxyBench(settings, configuration) {
    timing.oldWeightsOrderTimeout = useMost;
    timing.unstartedOrderTimeout = dropMost;
    timing.oldWeightsTimeout = dropMost + 500ms;
    namings.push_back(Naming{"moss/3", now});
  }
  static std::string patchNaming(const std::string& weights) {
    return R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})";
  }
  void name(const std::string& weights) {
    namings.push_back(Naming{weights, now});
    change(patchNaming(weights));
  }
  void name(const Strings& versions, Duration apart) {
    for (const auto& weights : versions) {
      if (weights != versions.front()) run(apart);
      name(weights);
    }
  }
  /// One worker for each of these versions: w3 has moss/3.
  void workersWith(const Strings& versions) {
    for (const auto& weights : versions) worker("w" + weights.substr(weights.rfind('/') + 1), "north-a", weights);
    tell();
  }
  /// When the first version newer than this one was named; Moment::max() if it is the newest.
  TimePoint supersededAt(const std::string& weights, TimePoint asOf) const {
    TimePoint successorAt = TimePoint::max();
    for (auto naming = namings.rbegin(); naming != namings.rend(); ++naming) {
      if (naming->at > asOf) continue;
      if (naming->weights == weights) return successorAt;
      successorAt = naming->at;
    }
    return successorAt;
  }
  TimePoint endOf(const std::string& weights) const { return supersededAt(weights, now) + useMost; }
  std::string placeNext(const std::string& path = "/once/x", const std::vector<int>& tokens = {}) {
    return place(path, "key-a", promptOf(++prompts), tokens);
  }
  /// Places orders that end at once if they are sent, so that every worker that may be drawn is.
  void serve(Duration span) {
    for (TimePoint until = now + span; now < until;) {
      run(50ms);
      for (int number = 0; number < 4; ++number) {
        auto orderId = placeNext();
        for (const auto& made : sendsOf(orderId)) end(made.orderId, OrderOutcome::done);
      }
    }
  }
  std::vector<Sent> sendsSince(TimePoint since) const {
    std::vector<Sent> rows;
    for (const auto& row : sent)
      if (row.at >= since && std::holds_alternative<WorkerOrder>(row.message)) rows.push_back(row);
    return rows;
  }
  std::set<std::string> weightsSentSince(TimePoint since) const {
    std::set<std::string> weights;
    for (const auto& row : sendsSince(since)) weights.insert(std::get<WorkerOrder>(row.message).weights);
    return weights;
  }
  TimePoint lastSentWith(const std::string& weights) const {
    TimePoint last{};
    for (const auto& row : sendsSince(TimePoint{}))
      if (std::get<WorkerOrder>(row.message).weights == weights) last = row.at;
    return last;
  }
  /// No order may have been sent to weights whose use had ended.
  void expectEndsKept() const {
    int late = 0, latestMs = 0;
    for (const auto& row : sendsSince(TimePoint{})) {
      TimePoint successorAt = supersededAt(std::get<WorkerOrder>(row.message).weights, row.at);
      if (successorAt == TimePoint::max() || row.at - successorAt <= useMost) continue;
      ++late;
      latestMs = std::max(latestMs, static_cast<int>(toMilliseconds(row.at - successorAt - useMost)));
    }
    cr_expect_eq(late, 0, "%d orders were sent to weights whose use had ended, up to %d ms after the end", late,
                 latestMs);
  }
  /// Orders with lookups under way for workers that have these weights.
  Strings heldInLookup(const std::string& weights, const std::string& path = "/once/x") {
    Strings held;
    for (int number = 0; number < 12; ++number) {
      std::size_t before = lookups.size();
      auto orderId = placeNext(path, promptTokens);
      if (lookups.size() > before && lookups.back().weights == weights) held.push_back(orderId);
    }
    cr_assert_not(held.empty());
    return held;
  }
  /// An order that is at a worker that has these weights.
  WorkerOrder sentTo(const std::string& weights, const std::string& path) {
    for (int number = 0; number < 60; ++number) {
      auto orderId = placeNext(path);
      auto made = onlySend(orderId);
      if (made.weights == weights) return made;
      end(made.orderId, OrderOutcome::done);
    }
    cr_assert_fail("no order went to %s", weights.c_str());
    return {};
  }
  /// The clock goes on without a tick and without news.
  void freeze(Duration span) {
    feeds = false;
    now += span;
  }
};

/// Whether one naming or a second one soon after it supersedes the first version.
const std::vector<Strings> oneNamingAndTwo{{"moss/4"}, {"moss/4", "moss/5"}};

const std::string moveConfiguration =
    R"({"weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},
  "policies":{"peers":"fetch peer when hits >= 1"},
  "tenants":{"asp":{"secrets":["key-a"]}},"routes":{"talk":{"model":"moss","policy":"peers"}}})";

ProxyRouterSettings moveSettings() {
  ProxyRouterSettings settings;
  settings.name = "proxy-1";
  settings.address = "proxy-1:1";
  settings.zone = "north-a";
  settings.agentAddress = agentAddress;
  return settings;
}

CallerOrder moveOrder(int number) {
  CallerOrder ask;
  ask.orderId = "move/" + std::to_string(number);
  ask.key = "key-a";
  ask.route = "talk";
  ask.model = "moss";
  ask.parts = {std::string(4000, static_cast<char>('a' + number))};
  return ask;
}
}  // namespace

Test(version_ends_proxy, further_namings_do_not_prolong_the_use_of_a_version) {
  VersionBench bench;
  bench.workersWith({"moss/3", "moss/4", "moss/5", "moss/6", "moss/7"});
  bench.serve(1s);
  for (const char* weights : {"moss/4", "moss/5", "moss/6", "moss/7"}) {
    bench.name(weights);
    bench.serve(2500ms);
  }
  bench.serve(5s);
  bench.expectEndsKept();
  for (const char* weights : {"moss/3", "moss/4", "moss/5", "moss/6"}) {
    TimePoint last = bench.lastSentWith(weights);
    cr_expect(bench.endOf(weights) - last < 1s, "%s was last used %d ms before its end", weights,
              static_cast<int>(toMilliseconds(bench.endOf(weights) - last)));
  }
  cr_expect(bench.weightsSentSince(bench.now - 500ms) == std::set<std::string>{"moss/7"});
}

Test(version_ends_proxy, seven_namings_in_a_row_end_each_version_in_its_own_time) {
  VersionBench bench;
  Strings versions{"moss/4", "moss/5", "moss/6", "moss/7", "moss/8", "moss/9", "moss/10"};
  bench.workersWith({"moss/3", "moss/5", "moss/8", "moss/10"});
  bench.serve(500ms);
  for (const auto& weights : versions) {
    bench.name(weights);
    bench.serve(1500ms);
  }
  bench.serve(5s);
  bench.expectEndsKept();
}

Test(version_ends_proxy, naming_back_makes_the_old_version_the_newest_again) {
  VersionBench bench;
  bench.workersWith({"moss/3", "moss/4"});
  bench.serve(500ms);
  bench.name("moss/4");
  bench.serve(2s);
  bench.name("moss/3");
  bench.serve(8s);
  bench.expectEndsKept();
  cr_expect(bench.weightsSentSince(bench.now - 500ms) == std::set<std::string>{"moss/3"});
  cr_expect(bench.endOf("moss/4") - bench.lastSentWith("moss/4") < 1s, "it ends a span after it was named back");
  bench.name("moss/4");
  bench.serve(2s);
  bench.name("moss/5");
  bench.serve(4s);
  bench.expectEndsKept();
  cr_expect(bench.weightsSentSince(bench.now - 500ms) == std::set<std::string>{"moss/4"});
}

Test(version_ends_proxy, an_order_whose_index_is_asked_past_the_end_goes_to_newer_weights) {
  for (const auto& versions : oneNamingAndTwo)
    for (bool answered : {true, false}) {
      VersionBench bench;
      bench.workersWith({"moss/3", versions.back()});
      bench.run(300ms);
      bench.name(versions, 1s);
      bench.run(bench.endOf("moss/3") - 100ms - bench.now);
      auto held = bench.heldInLookup("moss/3");
      bench.run(150ms);
      if (answered) bench.answerLookups({});
      bench.run(700ms);
      bench.answerLookups({});
      bench.run(700ms);
      for (const auto& orderId : held) cr_expect_eq(bench.onlySend(orderId).weights, versions.back());
      bench.expectEndsKept();
    }
}

Test(version_ends_proxy, an_order_held_pending_past_the_end_is_not_sent_to_the_old_version) {
  for (const auto& versions : oneNamingAndTwo) {
    VersionBench bench;
    bench.worker("w3").held = true;
    bench.worker("w4", "north-a", versions.back()).held = true;
    bench.tell();
    bench.run(300ms);
    bench.name(versions, 1s);
    bench.run(bench.endOf("moss/3") - 200ms - bench.now);
    auto orderId = bench.placeNext();
    cr_expect(bench.sendsOf(orderId).empty());
    bench.run(300ms);
    bench.worker("w3").held = false;
    bench.tell();
    bench.run(100ms);
    cr_expect(bench.sendsOf(orderId).empty());
    bench.worker("w4").held = false;
    bench.tell();
    if (bench.verdictsOf(orderId).empty()) cr_expect_eq(bench.onlySend(orderId).weights, versions.back());
    bench.expectEndsKept();
  }
}

Test(version_ends_proxy, an_order_whose_blocks_are_moved_past_the_end_is_not_sent_to_the_old_version) {
  for (const auto& versions : oneNamingAndTwo)
    for (bool moved : {true, false}) {
      VersionBench bench(moveSettings(), moveConfiguration);
      bench.worker("w3");
      auto& source = bench.worker("w33");
      source.summary = std::string(16, '\xff');
      source.slots = 0;
      bench.tell();
      bench.run(300ms);
      bench.name(versions, 1s);
      bench.run(bench.endOf("moss/3") - 250ms - bench.now);
      std::string moveId, orderId;
      for (int number = 0; number < 20 && moveId.empty(); ++number) {
        orderId = bench.place(moveOrder(number));
        bench.answerLookups({{"w33", std::vector<int>(64, 1)}});
        for (const auto& watch : bench.all<WatchMsg>()) moveId = watch.moveId;
      }
      cr_assert_not(moveId.empty(), "no order is worth a move");
      cr_expect(bench.sendsOf(orderId).empty());
      bench.run(350ms);
      bench.worker("w4", "north-a", versions.back());
      bench.tell();
      bench.give(agentAddress, TransferDone{moveId, moved});
      bench.run(100ms);
      cr_expect_eq(bench.onlySend(orderId).weights, versions.back());
      bench.expectEndsKept();
    }
}

Test(version_ends_proxy, a_retry_after_the_end_goes_to_newer_weights) {
  for (const auto& versions : oneNamingAndTwo)
    for (auto outcome : {OrderOutcome::denied, OrderOutcome::broken}) {
      VersionBench bench;
      for (const char* name : {"w3", "w33", "w333", "w3333"}) bench.worker(name);
      bench.worker("w4", "north-a", versions.back());
      bench.tell();
      bench.run(300ms);
      bench.name(versions, 1s);
      bench.run(bench.endOf("moss/3") - 20ms - bench.now);
      auto made = bench.sentTo("moss/3", "/safe/x");
      bench.run(30ms);
      bench.end(made.orderId, outcome);
      bench.run(100ms);
      auto sends = bench.sendsOf(made.callerOrderId);
      cr_assert_eq(sends.size(), 2u);
      cr_expect_eq(sends[1].weights, versions.back());
      bench.expectEndsKept();
    }
}

Test(version_ends_proxy, a_stream_cut_after_the_end_goes_on_with_newer_weights) {
  for (const auto& versions : oneNamingAndTwo) {
    VersionBench bench;
    for (const char* name : {"w3", "w33", "w333", "w3333"}) bench.worker(name);
    bench.worker("w4", "north-a", versions.back());
    bench.tell();
    bench.run(300ms);
    bench.name(versions, 1s);
    bench.run(bench.endOf("moss/3") - 500ms - bench.now);
    auto made = bench.sentTo("moss/3", "/stream/x");
    bench.give("worker", WorkerChunk{made.orderId, "one ", "p1"});
    bench.run(600ms);
    bench.end(made.orderId, OrderOutcome::broken);
    bench.run(100ms);
    auto sends = bench.sendsOf(made.callerOrderId);
    cr_assert_eq(sends.size(), 2u);
    cr_expect_eq(sends[1].weights, versions.back());
    bench.expectEndsKept();
  }
}

namespace {
/// A proxy that froze over the end with orders held in a lookup, pending and at a worker of the old version.
struct FrozenBench : VersionBench {
  Strings inLookup;
  std::vector<LookupMsg> asked;
  std::string isPending;
  WorkerOrder atWorker;
  TimePoint wokenAt{};

  FrozenBench() {
    for (const char* name : {"w3", "w33", "w333"}) worker(name);
    worker("w4", "north-a", "moss/4");
    worker("v3", "north-a", "moss/3", "weir").held = true;
    tell();
    run(300ms);
    name("moss/4");
    run(endOf("moss/3") - 100ms - now);
    atWorker = sentTo("moss/3", "/safe/x");
    answered = lookups.size();
    inLookup = heldInLookup("moss/3", "/safe/x");
    asked = openLookups();
    isPending = placePending();
    freeze(2s);
    wokenAt = now;
  }
  /// An order that only a held worker of the other service could take.
  std::string placePending() {
    std::string orderId;
    for (int number = 0; number < 40; ++number) {
      orderId = placeNext("/split/x");
      if (sendsOf(orderId).empty()) return orderId;
      end(onlySend(orderId).orderId, OrderOutcome::done);
    }
    cr_assert_fail("all orders went to the first service");
    return orderId;
  }
  CellNews releasing() {
    worker("v3").held = false;
    auto& news = cells["north-a"];
    ++news.sequence;
    return news;
  }
  /// Nothing may leave before the view is known to be complete again, and nothing to the old version after that.
  void expectNothingLate() {
    cr_expect(sendsSince(wokenAt).empty(), "%zu orders were sent on a stale view", sendsSince(wokenAt).size());
    run(300ms);
    cr_expect(sendsSince(wokenAt).empty(), "%zu orders were sent on a stale view", sendsSince(wokenAt).size());
    feeds = true;
    run(300ms);
    answerLookups({});
    serve(500ms);
    expectEndsKept();
    cr_expect(weightsSentSince(now - 400ms) == std::set<std::string>{"moss/4"});
  }
};
}  // namespace

Test(version_ends_proxy, after_a_freeze_over_the_end_a_tick_sends_nothing_to_the_old_version) {
  FrozenBench bench;
  bench.tick();
  bench.expectNothingLate();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_lookup_replies_send_nothing_to_the_old_version) {
  FrozenBench bench;
  for (const auto& ask : bench.asked) bench.answer(ask, {1, 1});
  bench.expectNothingLate();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_cell_news_send_nothing_to_the_old_version) {
  FrozenBench bench;
  bench.give(agentAddress, bench.releasing());
  bench.expectNothingLate();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_change_sends_nothing_to_the_old_version) {
  FrozenBench bench;
  bench.change(R"({"services":{"barn":{}}})");
  bench.expectNothingLate();
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_turned_away_order_is_not_sent_to_the_old_version) {
  for (auto outcome : {OrderOutcome::denied, OrderOutcome::brokenBeforeSend, OrderOutcome::broken}) {
    FrozenBench bench;
    bench.end(bench.atWorker.orderId, outcome);
    bench.expectNothingLate();
    cr_expect_leq(bench.verdictsOf(bench.atWorker.callerOrderId).size(), 1u);
  }
}

Test(version_ends_proxy, after_a_freeze_over_the_end_a_new_order_is_not_sent_to_the_old_version) {
  FrozenBench bench;
  auto verdict = bench.verdictOf(bench.placeNext());
  cr_expect_eq(verdict.verdict, "not run");
  cr_expect_gt(verdict.retryAfterMs, 0);
  bench.expectNothingLate();
}

Test(version_ends_proxy, a_short_freeze_over_the_end_does_not_prolong_it) {
  for (const auto& versions : oneNamingAndTwo) {
    VersionBench bench;
    bench.workersWith({"moss/3", versions.back()});
    bench.run(300ms);
    bench.name(versions, 1s);
    bench.run(bench.endOf("moss/3") - 100ms - bench.now);
    auto held = bench.heldInLookup("moss/3");
    bench.now += 180ms;
    bench.answerLookups({});
    bench.run(500ms);
    bench.answerLookups({});
    bench.serve(500ms);
    bench.expectEndsKept();
    cr_expect(bench.weightsSentSince(bench.now - 400ms) == std::set<std::string>{versions.back()});
  }
}

Test(version_ends_proxy, one_that_begins_after_the_naming_uses_no_older_version) {
  for (bool newOnes : {true, false}) {
    VersionBench bench;
    bench.name("moss/4");
    VersionBench restarted;
    restarted.edge = std::make_unique<ProxyRouter>(ProxyBench::pathSettings("proxy-1"));
    restarted.declared = bench.declared;
    restarted.namings = bench.namings;
    restarted.adoptSnapshot();
    restarted.tick();
    restarted.workersWith(newOnes ? Strings{"moss/3", "moss/4"} : Strings{"moss/3"});
    TimePoint since = restarted.now;
    restarted.serve(2s);
    std::set<std::string> used;
    if (newOnes) used.insert("moss/4");
    cr_expect(restarted.weightsSentSince(since) == used);
    if (newOnes) continue;
    auto orderId = restarted.placeNext();
    restarted.run(2s);
    auto verdict = restarted.verdictOf(orderId);
    cr_expect_eq(verdict.verdict, "not run");
    cr_expect_gt(verdict.retryAfterMs, 0);
  }
}

Test(version_ends_proxy, a_naming_that_it_sees_does_not_open_versions_that_ended_before_it_began) {
  VersionBench bench;
  bench.name("moss/4");
  bench.edge = std::make_unique<ProxyRouter>(ProxyBench::pathSettings("proxy-1"));
  bench.adoptSnapshot();
  bench.tick();
  bench.workersWith({"moss/3", "moss/4", "moss/5"});
  TimePoint since = bench.now;
  bench.serve(1s);
  bench.name("moss/5");
  bench.serve(1s);
  cr_expect(bench.weightsSentSince(since) == (std::set<std::string>{"moss/4", "moss/5"}),
            "moss/3 is older than what was named at its start");
  bench.serve(4s);
  bench.expectEndsKept();
}

Test(version_ends_proxy, an_order_that_no_worker_may_take_is_not_run_and_told_when_to_come_back) {
  for (const auto& versions : oneNamingAndTwo) {
    VersionBench bench;
    bench.workersWith({"moss/3"});
    bench.run(300ms);
    bench.name(versions, 1s);
    bench.tell();
    bench.serve(bench.endOf("moss/3") - 500ms - bench.now);
    cr_expect(bench.weightsSentSince(bench.now - 200ms) == std::set<std::string>{"moss/3"}, "still within its use");
    bench.run(600ms);
    for (const char* path : {"/once/x", "/safe/x", "/stream/x"}) {
      auto orderId = bench.placeNext(path);
      bench.run(2s);
      cr_expect(bench.sendsOf(orderId).empty());
      auto verdict = bench.verdictOf(orderId);
      cr_expect_eq(verdict.verdict, "not run");
      cr_expect_gt(verdict.retryAfterMs, 0);
      cr_expect_eq(codeStatus(static_cast<Code>(verdict.code)), 503);
    }
    bench.expectEndsKept();
  }
}

Test(version_ends_proxy, an_order_without_a_model_keeps_to_the_ends_and_bears_its_workers_weights) {
  for (const auto& versions : oneNamingAndTwo) {
    VersionBench bench;
    bench.worker("w3");
    bench.worker("w4", "north-a", versions.back());
    bench.tell();
    bench.run(300ms);
    bench.name(versions, 1s);
    auto placed = [&] {
      std::map<std::string, std::string> weightsByWorker;
      for (int number = 0; number < 30; ++number) {
        auto ask = bench.order("/once/x", "key-a", promptOf(number));
        ask.model.clear();
        auto made = bench.onlySend(bench.place(ask));
        weightsByWorker[made.worker] = made.weights;
        bench.end(made.orderId, OrderOutcome::done);
      }
      return weightsByWorker;
    };
    bench.run(bench.endOf("moss/3") - 300ms - bench.now);
    cr_expect(placed() == (std::map<std::string, std::string>{{"w3", "moss/3"}, {"w4", versions.back()}}));
    bench.run(400ms);
    cr_expect(placed() == (std::map<std::string, std::string>{{"w4", versions.back()}}));
  }
}

Test(version_ends_proxy, an_order_without_a_model_for_workers_without_one_bears_no_weights) {
  VersionBench bench;
  for (const char* name : {"w1", "w2"}) {
    auto& row = bench.worker(name, "north-a", "");
    row.model.clear();
  }
  bench.tell();
  bench.run(300ms);
  bench.name("moss/4");
  bench.run(6s);
  auto ask = bench.order("/once/x");
  ask.model.clear();
  auto made = bench.onlySend(bench.place(ask));
  cr_expect_eq(made.weights, "");
  bench.run(3s);
  cr_expect_eq(bench.drops, 0u, "no version ends for it");
}

namespace {
/// An order that was sent to the old version just before its use ended.
struct SentBeforeEnd : VersionBench {
  WorkerOrder made;
  SentBeforeEnd(const Strings& versions, const std::string& path, Duration before = 300ms) {
    for (const char* name : {"w3", "w33", "w333"}) worker(name);
    worker("w4", "north-a", versions.back());
    tell();
    run(300ms);
    name(versions, 1s);
    run(endOf("moss/3") - before - now);
    made = sentTo("moss/3", path);
  }
  void runPastDrop() { run(supersededAt("moss/3", now) + dropMost + 2 * tickLength - now); }
  /// The old version's worker must have been told to drop the order, once, and not before its use ended.
  void expectDropped() const {
    std::vector<Sent> rows;
    for (const auto& row : sent)
      if (auto* drop = std::get_if<WorkerDrop>(&row.message); drop && drop->orderId == made.orderId)
        rows.push_back(row);
    cr_assert_eq(rows.size(), 1u);
    cr_expect_eq(rows[0].to, made.worker + ":80");
    cr_expect(rows[0].at >= endOf("moss/3"), "dropped before the end");
    cr_expect(rows[0].at <= supersededAt("moss/3", now) + dropMost + 2 * tickLength, "dropped too late");
  }
};
}  // namespace

Test(version_ends_proxy, a_repeatable_order_that_has_not_begun_at_the_end_goes_to_newer_weights) {
  for (const auto& versions : oneNamingAndTwo)
    for (const char* path : {"/safe/x", "/stream/x"}) {
      SentBeforeEnd bench(versions, path);
      bench.runPastDrop();
      bench.run(100ms);
      bench.expectDropped();
      auto sends = bench.sendsOf(bench.made.callerOrderId);
      cr_assert_eq(sends.size(), 2u, "%s was sent %zu times", path, sends.size());
      cr_expect_eq(sends[1].weights, versions.back());
      bench.give("worker", WorkerChunk{bench.made.orderId, "late ", "p9"});
      cr_expect(bench.all<CallerChunk>().empty(), "the dropped call's answer reaches nobody");
      bench.give("worker", WorkerChunk{sends[1].orderId, "one", "p1"});
      bench.end(sends[1].orderId, OrderOutcome::done);
      cr_expect_eq(bench.verdictOf(bench.made.callerOrderId).verdict, "done");
      bench.expectEndsKept();
    }
}

Test(version_ends_proxy, an_order_that_may_run_once_and_has_not_begun_at_the_end_is_unknown) {
  for (const auto& versions : oneNamingAndTwo)
    for (const char* path : {"/once/x", "/two/x"}) {
      SentBeforeEnd bench(versions, path);
      bench.runPastDrop();
      bench.expectDropped();
      cr_expect_eq(bench.verdictOf(bench.made.callerOrderId).verdict, "unknown", "it may have run");
      bench.run(1s);
      cr_expect_eq(bench.sendsOf(bench.made.callerOrderId).size(), 1u);
      cr_expect_eq(bench.verdictsOf(bench.made.callerOrderId).size(), 1u);
    }
}

Test(version_ends_proxy, an_order_that_has_begun_goes_on_past_the_end) {
  for (const auto& versions : oneNamingAndTwo)
    for (const char* path : {"/once/x", "/safe/x", "/stream/x"}) {
      SentBeforeEnd bench(versions, path, 600ms);
      bench.give("worker", WorkerChunk{bench.made.orderId, "one ", "p1"});
      bench.runPastDrop();
      bench.run(500ms);
      cr_expect_eq(bench.drops, 0u);
      bench.give("worker", WorkerChunk{bench.made.orderId, "two", "p2"});
      bench.end(bench.made.orderId, OrderOutcome::done);
      cr_expect_eq(bench.verdictOf(bench.made.callerOrderId).verdict, "done");
      cr_expect_eq(bench.all<CallerChunk>().size(), 2u);
    }
}

Test(version_ends_proxy, an_order_at_the_newest_version_is_not_dropped) {
  VersionBench bench;
  bench.workersWith({"moss/3", "moss/4"});
  bench.run(300ms);
  bench.name("moss/4");
  bench.run(bench.endOf("moss/3") - 300ms - bench.now);
  auto made = bench.sentTo("moss/4", "/once/x");
  bench.run(1500ms);
  cr_expect_eq(bench.drops, 0u);
  cr_expect(bench.verdictsOf(made.callerOrderId).empty());
  bench.end(made.orderId, OrderOutcome::done);
  cr_expect_eq(bench.verdictOf(made.callerOrderId).verdict, "done");
}

Test(version_ends_proxy, a_naming_learned_after_a_gap_counts_from_the_gaps_beginning) {
  for (Duration gap : {1000ms, 1400ms, 3000ms}) {
    VersionBench bench;
    bench.workersWith({"moss/3", "moss/4"});
    bench.serve(500ms);
    TimePoint completeAt = bench.now;
    bench.feeds = false;
    bench.run(gap);
    bench.feeds = true;
    bench.name("moss/4");
    bench.serve(completeAt + useMost + 2s - bench.now);
    TimePoint last = bench.lastSentWith("moss/3");
    cr_expect(last <= completeAt + useMost, "after %d ms without news it was used %d ms too long",
              static_cast<int>(toMilliseconds(gap)), static_cast<int>(toMilliseconds(last - completeAt - useMost)));
    cr_expect(last > completeAt + useMost - 500ms, "after %d ms without news its use ended %d ms early",
              static_cast<int>(toMilliseconds(gap)), static_cast<int>(toMilliseconds(completeAt + useMost - last)));
  }
}

Test(version_ends_proxy, a_naming_learned_by_snapshot_after_a_gap_counts_from_the_gaps_beginning) {
  VersionBench bench;
  bench.workersWith({"moss/3", "moss/4", "moss/5"});
  bench.run(500ms);
  TimePoint completeAt = bench.now;
  bench.feeds = false;
  bench.run(1s);
  bench.declared.change(VersionBench::patchNaming("moss/4"));
  bench.declared.change(VersionBench::patchNaming("moss/5"));
  bench.feeds = true;
  bench.adoptSnapshot();
  bench.tick();
  bench.serve(completeAt + useMost + 500ms - bench.now);
  cr_expect(bench.lastSentWith("moss/3") <= completeAt + useMost);
  cr_expect(bench.weightsSentSince(bench.now - 400ms) == std::set<std::string>{"moss/5"});
}

Test(version_ends_proxy, orders_on_a_models_own_route_keep_to_the_ends) {
  for (const auto& versions : oneNamingAndTwo) {
    VersionBench bench(moveSettings(), moveConfiguration);
    bench.worker("w3");
    bench.worker("w4", "north-a", versions.back());
    bench.tell();
    bench.run(300ms);
    bench.name(versions, 1s);
    int placed = 0;
    auto used = [&] {
      std::set<std::string> weights;
      for (int number = 0; number < 30; ++number) {
        auto ask = moveOrder(0);
        ask.orderId = "talk/" + std::to_string(++placed);
        auto made = bench.onlySend(bench.place(ask));
        weights.insert(made.weights);
        bench.end(made.orderId, OrderOutcome::done);
      }
      return weights;
    };
    bench.run(bench.endOf("moss/3") - 300ms - bench.now);
    cr_expect(used() == (std::set<std::string>{"moss/3", versions.back()}));
    bench.run(310ms);
    cr_expect(used() == std::set<std::string>{versions.back()});
    bench.expectEndsKept();
    bench.worker("w4").alive = false;
    bench.tell();
    auto last = moveOrder(1);
    bench.place(last);
    bench.run(2s);
    cr_expect(bench.sendsOf(last.orderId).empty());
    cr_expect_eq(bench.verdictOf(last.orderId).verdict, "not run");
  }
}
