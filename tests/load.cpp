#include <algorithm>

#include "cell_bench.hpp"
#include "core.hpp"
#include "routing_bench.hpp"

using namespace tt;

namespace {
WorkerView viewOf(const std::string& name, int waiting = 0) {
  WorkerView view = languageWorker(name);
  view.waiting = waiting;
  return view;
}

CellNews newsOf(Uint64 term, Uint64 sequence, Uint64 base, const std::vector<WorkerView>& workers,
                const Strings& gone = {}) {
  CellNews news;
  news.zone = "north-a";
  news.term = term;
  news.sequence = sequence;
  news.base = base;
  news.holder = "holder:1";
  news.workers = workers;
  news.gone = gone;
  return news;
}

std::map<std::string, int> waitingOf(const CellNews& news) {
  std::map<std::string, int> rows;
  for (const auto& worker : news.workers) rows[worker.name] = worker.waiting;
  return rows;
}
using Waiting = std::map<std::string, int>;
}  // namespace

Test(load, news_with_a_base_change_only_the_rows_they_name) {
  CellNews kept;
  cr_assert(applyCellNews(kept, newsOf(2, 4, 0, {viewOf("w1", 1), viewOf("w2", 2), viewOf("w3", 3)})));
  cr_expect(applyCellNews(kept, newsOf(2, 5, 4, {viewOf("w2", 7), viewOf("w4", 4)}, {"w1"})));
  cr_expect(waitingOf(kept) == (Waiting{{"w2", 7}, {"w3", 3}, {"w4", 4}}));
  cr_expect_eq(kept.sequence, 5u);
  cr_expect_eq(kept.base, 0u, "what is kept is whole and can be passed on as such");
  cr_expect(kept.gone.empty());
  cr_expect(applyCellNews(kept, newsOf(2, 6, 5, {})));
  cr_expect(waitingOf(kept) == (Waiting{{"w2", 7}, {"w3", 3}, {"w4", 4}}));
  cr_expect_eq(kept.sequence, 6u);
  CellNews other;
  cr_expect(applyCellNews(other, kept), "a third may take what was merged");
  cr_expect(waitingOf(other) == waitingOf(kept));
}

Test(load, news_with_another_base_or_term_are_not_taken_and_a_whole_one_after_them_is) {
  CellNews kept;
  cr_expect_not(applyCellNews(kept, newsOf(2, 5, 4, {viewOf("w1")})), "there is nothing to merge with");
  cr_expect(kept.workers.empty());
  cr_assert(applyCellNews(kept, newsOf(2, 4, 0, {viewOf("w1", 1), viewOf("w2", 2)})));
  auto before = waitingOf(kept);
  for (const auto& news : {newsOf(2, 6, 5, {viewOf("w1", 9)}, {"w2"}), newsOf(3, 5, 4, {viewOf("w1", 9)}, {"w2"}),
                           newsOf(1, 5, 4, {viewOf("w1", 9)}, {"w2"}), newsOf(2, 4, 3, {viewOf("w1", 9)}, {"w2"}),
                           newsOf(2, 5, 3, {viewOf("w1", 9)}, {"w2"})}) {
    cr_expect_not(applyCellNews(kept, news));
    cr_expect(waitingOf(kept) == before);
    cr_expect_eq(kept.term, 2u);
    cr_expect_eq(kept.sequence, 4u);
  }
  cr_expect(applyCellNews(kept, newsOf(2, 7, 0, {viewOf("w3", 5)})));
  cr_expect(waitingOf(kept) == (Waiting{{"w3", 5}}));
  cr_expect(applyCellNews(kept, newsOf(3, 1, 0, {viewOf("w4", 6)})), "another holder begins anew");
  cr_expect(waitingOf(kept) == (Waiting{{"w4", 6}}));
}

namespace {
/// A cell of its own, whose workers and stores answer at once.
struct KeeperBench {
  struct TestKeeper {
    bool store{false};
    std::set<BlockHash> kept;
    std::vector<CacheEvent> events;
    Uint64 sequence{0};
    int running{0}, waiting{0};
  };
  TimePoint now{std::chrono::hours(9)};
  std::mt19937_64 randomSource{3};
  Journal journal;
  Configuration configuration;
  std::unique_ptr<Cell> cell;
  std::map<std::string, TestKeeper> cacheNodes;
  std::vector<CellNews> news;
  std::vector<TimePoint> newsAt;
  CellNews follower;
  std::size_t missed{0};
  std::vector<Message> replies;

  KeeperBench() {
    CellSettings settings = cellSettings();
    settings.reportInterval = 50ms;
    settings.statusInterval = 100ms;
    auto patch = configuration.preparePatch(
        R"({"weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}}})", ChangeFormat::patch);
    cr_assert(bool(patch));
    configuration.apply(LogEntry{1, 1, static_cast<int>(EntryKind::change), patch.value(), {}, 0});
    Member self{"core-1", "core-1", "core-1:1", "north-a", true};
    cell = std::make_unique<Cell>("north-a", self, true, Defences{}, settings);
    cell->election.restore(Vote{}, now);
    cell->election.setVoters({self});
    cell->publish = [this](Effects&, const CellNews& told) {
      news.push_back(told);
      newsAt.push_back(now);
      missed += !applyCellNews(follower, told);
    };
  }
  void list(const Strings& workers, const Strings& stores = {}) {
    std::vector<Machine> machines;
    auto add = [&](const std::string& name, bool store) {
      cacheNodes[name].store = store;
      Machine machine;
      machine.name = name;
      machine.address = name + ":80";
      machine.zone = "north-a";
      machine.kind = store ? "store" : "language";
      machine.service = store ? "barn" : "mill";
      if (!store) {
        machine.model = "moss";
        machine.weights = "moss/3";
        machine.slots = 8;
      }
      machines.push_back(machine);
    };
    for (const auto& name : workers) add(name, false);
    for (const auto& name : stores) add(name, true);
    cell->setMachines(machines);
  }
  void drop(const std::string& keeper, const std::string& id) {
    auto& row = cacheNodes.at(keeper);
    row.kept.erase(hashPromptPart("salt", id));
    row.events.push_back(
        CacheEvent{++row.sequence, static_cast<int>(CacheEventKind::removed), {hashPromptPart("salt", id)}});
  }
  void with(const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, journal, {}, {}};
    action(effects);
    std::vector<std::pair<std::string, Message>> sends = std::move(effects.sends);
    for (auto saves = std::move(effects.saves); !saves.empty();) {
      Effects later{now, randomSource, journal, {}, {}};
      for (auto& save : saves)
        if (save.then) save.then(later);
      for (auto& send : later.sends) sends.push_back(std::move(send));
      saves = std::move(later.saves);
    }
    for (const auto& [to, message] : sends) {
      if (auto* ask = std::get_if<ReportAsk>(&message))
        answer(*ask);
      else
        replies.push_back(message);
    }
  }
  void answer(const ReportAsk& ask) {
    auto found = cacheNodes.find(ask.worker);
    if (found == cacheNodes.end()) return;
    const auto& keeper = found->second;
    Report report;
    report.worker = ask.worker;
    report.scope = ask.scope;
    if (ask.scope == static_cast<int>(ReportScope::condition)) {
      report.weights = "moss/3";
      report.model = "moss";
      report.slots = 8;
      report.running = keeper.running;
      report.waiting = keeper.waiting;
    } else {
      report.gaps = true;
      report.incarnation = "1";
      report.sequence = keeper.sequence;
      report.whole = ask.whole;
      report.lost = ask.incarnation != "1";
      if (ask.whole) report.kept.assign(keeper.kept.begin(), keeper.kept.end());
      for (const auto& event : keeper.events)
        if (!ask.whole && event.sequence > ask.after) report.events.push_back(event);
    }
    with([&](Effects& effects) { cell->handle(effects, ask.worker + ":80", report); });
  }
  void run(Duration span) {
    for (TimePoint until = now + span; now < until;) {
      now += 10ms;
      with([&](Effects& effects) { cell->tick(effects, configuration); });
    }
  }
  void runToNews() {
    std::size_t before = news.size();
    for (TimePoint until = now + 15s; now < until && news.size() == before;) run(10ms);
    cr_assert_gt(news.size(), before);
  }
  std::vector<int> lookup(const std::string& keeper, const std::string& id) {
    replies.clear();
    with([&](Effects& effects) {
      cell->handle(effects, "agent",
                   LookupMsg{"l",
                             "north-a",
                             keeper,
                             "moss/3",
                             {hashPromptPart("salt", "system"), hashPromptPart("salt", id)},
                             "asker"});
    });
    for (const auto& message : replies)
      if (auto* reply = std::get_if<LookupReply>(&message)) return reply->hits;
    return {};
  }
  int shareOf(const std::string& keeper) const { return cell->cacheNodes().at(keeper).savedPermille; }
  int toldShare(const std::string& keeper) const {
    for (const auto& worker : follower.workers)
      if (worker.name == keeper) return worker.savedPermille;
    return -1;
  }
};

Strings namesOf(const CellNews& news) {
  Strings names;
  for (const auto& worker : news.workers) names.push_back(worker.name);
  std::sort(names.begin(), names.end());
  return names;
}
}  // namespace

Test(load, a_cell_tells_all_at_first_and_then_only_what_has_changed) {
  KeeperBench bench;
  bench.list({"w1", "w2", "w3", "w4"});
  bench.runToNews();
  cr_expect_eq(bench.news[0].base, 0u);
  cr_expect(namesOf(bench.news[0]) == (Strings{"w1", "w2", "w3", "w4"}));
  bench.run(3s);
  std::size_t before = bench.news.size();
  bench.run(3s);
  cr_expect_geq(bench.news.size(), before + 4, "an idle cell is still heard");
  for (std::size_t at = before; at < bench.news.size(); ++at) {
    cr_expect_eq(bench.news[at].base, bench.news[at].sequence - 1);
    cr_expect(bench.news[at].workers.empty());
    cr_expect(bench.news[at].gone.empty());
  }
  before = bench.news.size();
  bench.cacheNodes["w3"].waiting = 12;
  bench.run(1s);
  std::size_t told = 0;
  for (std::size_t at = before; at < bench.news.size(); ++at) {
    told += bench.news[at].workers.size();
    for (const auto& worker : bench.news[at].workers) cr_expect_eq(worker.name, "w3");
  }
  cr_expect_eq(told, 1u, "said once");
  cr_expect(waitingOf(bench.follower) == (Waiting{{"w1", 0}, {"w2", 0}, {"w3", 12}, {"w4", 0}}));
  cr_expect_eq(bench.missed, 0u);
}

Test(load, a_worker_that_leaves_the_list_is_told_as_gone) {
  KeeperBench bench;
  bench.list({"w1", "w2", "w3"});
  bench.runToNews();
  bench.run(2s);
  std::size_t before = bench.news.size();
  bench.list({"w1", "w3", "w5"});
  bench.run(1s);
  Strings gone;
  for (std::size_t at = before; at < bench.news.size(); ++at) {
    cr_expect_gt(bench.news[at].base, 0u);
    for (const auto& name : bench.news[at].gone) gone.push_back(name);
    for (const auto& worker : bench.news[at].workers) cr_expect_eq(worker.name, "w5");
  }
  cr_expect(gone == Strings{"w2"});
  cr_expect(namesOf(bench.follower) == (Strings{"w1", "w3", "w5"}));
  bench.list({"w1", "w2", "w3", "w5"});
  bench.run(1s);
  cr_expect(namesOf(bench.follower) == (Strings{"w1", "w2", "w3", "w5"}), "one that comes back is told again");
  cr_expect_eq(bench.missed, 0u);
}

Test(load, after_another_win_the_first_news_is_whole) {
  KeeperBench bench;
  bench.list({"w1", "w2"});
  bench.runToNews();
  bench.run(2s);
  std::size_t before = bench.news.size();
  Uint64 term = bench.news.back().term;
  cr_expect_gt(bench.news.back().base, 0u);
  bench.with([&](Effects& effects) { bench.cell->election.resign(effects); });
  cr_expect_not(bench.cell->election.holdsLease(bench.now));
  bench.runToNews();
  cr_expect_gt(bench.news[before].term, term);
  cr_expect_eq(bench.news[before].base, 0u);
  cr_expect_eq(bench.news[before].sequence, 1u);
  cr_expect(namesOf(bench.news[before]) == (Strings{"w1", "w2"}));
  bench.run(2s);
  cr_expect_gt(bench.news.back().base, 0u);
  cr_expect_eq(bench.missed, 0u);
}

Test(load, a_store_that_lets_go_what_is_then_asked_for_is_given_less) {
  KeeperBench bench;
  auto& barn = bench.cacheNodes["barn"];
  for (int at = 0; at < 400; ++at) barn.kept.insert(hashPromptPart("salt", "p" + std::to_string(at)));
  barn.kept.insert(hashPromptPart("salt", "system"));
  bench.list({"w1"}, {"barn"});
  bench.runToNews();
  bench.run(1s);
  cr_assert(bench.cell->cacheNodes().at("barn").confirmed);
  cr_expect_eq(bench.shareOf("barn"), 1000);
  for (int at = 0; at < 200; ++at) bench.drop("barn", "p" + std::to_string(at));
  bench.run(200ms);
  cr_expect(bench.lookup("barn", "p0") == (std::vector<int>{1, 0}));
  int share = bench.shareOf("barn");
  cr_expect_eq(share, 900);
  bench.run(300ms);
  cr_expect_eq(bench.toldShare("barn"), 900, "told in the news");
  for (int at = 1; at < 50; ++at) {
    int steps = 0;
    for (int times = 0; times < 4; ++times) {
      bench.lookup("barn", "p" + std::to_string(at));
      steps += bench.shareOf("barn") < share;
      cr_expect_geq(bench.shareOf("barn"), std::max(20, share * 9 / 10));
      if (times < 3) bench.run(10ms);
      share = bench.shareOf("barn");
    }
    cr_expect_leq(steps, 1, "one step in half a second");
    cr_expect_geq(share, 20);
    bench.run(500ms);
  }
  cr_expect_eq(share, 20, "it stays at %d", share);
  cr_expect_eq(bench.toldShare("barn"), 20);
  for (int round = 0; round < 400; ++round) {
    bench.lookup("barn", "p" + std::to_string(200 + round % 200));
    cr_expect_geq(bench.shareOf("barn"), share);
    share = bench.shareOf("barn");
    cr_expect_leq(share, 1000);
    bench.run(510ms);
  }
  cr_expect_eq(share, 1000, "what it has is asked for: %d", share);
  cr_expect_eq(bench.toldShare("barn"), 1000);
}

Test(load, what_a_store_never_had_or_let_go_long_ago_does_not_count_against_it) {
  KeeperBench bench;
  auto& barn = bench.cacheNodes["barn"];
  barn.kept = {hashPromptPart("salt", "system"), hashPromptPart("salt", "old")};
  bench.list({"w1"}, {"barn"});
  bench.runToNews();
  bench.run(1s);
  bench.drop("barn", "old");
  bench.run(200ms);
  for (int round = 0; round < 5; ++round) {
    bench.lookup("barn", "never");
    cr_expect_eq(bench.shareOf("barn"), 1000);
    bench.run(600ms);
  }
  bench.run(30s);
  bench.lookup("barn", "old");
  cr_expect_eq(bench.shareOf("barn"), 1000);
}

namespace {
struct LoneCore {
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource{5};
  Core core;
  std::string address;
  static CoreSettings settingsOf(const std::string& name) {
    CoreSettings settings;
    settings.name = name;
    settings.address = name + ":1";
    settings.zone = "north-a";
    settings.zones = {"north-a"};
    settings.cell.publishSummaries = false;
    return settings;
  }
  explicit LoneCore(const std::string& name)
      : core(settingsOf(name), RecoveredState{}, randomSource, now), address(name + ":1") {}
  std::vector<std::pair<std::string, Message>> give(const std::string& from, const Message& message) {
    Effects effects{now, randomSource, core.journal, {}, {}};
    core.handle(effects, from, message);
    return std::move(effects.sends);
  }
  std::vector<NewsAsk> asksAt(const CellNews& news) {
    std::vector<NewsAsk> asks;
    for (const auto& [to, message] : give("holder:1", news))
      if (auto* ask = std::get_if<NewsAsk>(&message)) {
        cr_expect_eq(to, "holder:1");
        asks.push_back(*ask);
      }
    return asks;
  }
};
}  // namespace

Test(load, a_core_that_missed_news_asks_their_holder_at_most_five_times_a_second) {
  LoneCore core("core-2");
  cr_expect(core.asksAt(newsOf(1, 1, 0, {viewOf("w1"), viewOf("w2")})).empty());
  core.now += 100ms;
  cr_expect(core.asksAt(newsOf(1, 2, 1, {viewOf("w1", 3)})).empty());
  core.now += 100ms;
  auto asks = core.asksAt(newsOf(1, 4, 3, {viewOf("w2", 5)}));
  cr_assert_eq(asks.size(), 1u);
  cr_assert_eq(asks[0].cells.size(), 1u);
  cr_expect_eq(asks[0].cells[0].zone, "north-a");
  cr_expect_eq(asks[0].cells[0].term, 1u);
  cr_expect_eq(asks[0].cells[0].sequence, 2u);
  TimePoint askedAt = core.now;
  std::vector<TimePoint> asked;
  for (Uint64 sequence = 5; sequence < 30; ++sequence) {
    core.now += 30ms;
    for (std::size_t at = core.asksAt(newsOf(1, sequence, sequence - 1, {})).size(); at > 0; --at)
      asked.push_back(core.now);
  }
  cr_expect_geq(asked.size(), 3u, "it asks on while it lacks them");
  for (TimePoint at : asked) {
    cr_expect_geq(toMilliseconds(at - askedAt), 200);
    askedAt = at;
  }
  core.now += 1s;
  cr_expect(core.asksAt(newsOf(1, 2, 1, {})).empty(), "old news are no reason to ask");
  cr_expect(core.asksAt(newsOf(1, 29, 0, {viewOf("w1"), viewOf("w2", 5)})).empty());
  cr_expect(core.asksAt(newsOf(1, 30, 29, {})).empty(), "after a whole one it follows again");
}

Test(load, a_core_that_is_asked_gives_the_whole_of_what_it_has_merged) {
  LoneCore holder("core-1"), other("core-2");
  for (auto* core : {&holder, &other})
    core->give("holder:1", newsOf(1, 1, 0, {viewOf("w1"), viewOf("w2"), viewOf("w3")}));
  holder.give("holder:1", newsOf(1, 2, 1, {viewOf("w1", 3)}, {"w3"}));
  holder.give("holder:1", newsOf(1, 3, 2, {viewOf("w2", 5)}));
  auto asks = other.asksAt(newsOf(1, 3, 2, {viewOf("w2", 5)}));
  cr_assert_eq(asks.size(), 1u);
  std::vector<CellNews> given;
  for (const auto& [to, message] : holder.give("core-2:1", asks[0]))
    if (auto* news = std::get_if<CellNews>(&message)) {
      cr_expect_eq(to, "core-2:1");
      given.push_back(*news);
    }
  cr_assert_eq(given.size(), 1u);
  cr_expect_eq(given[0].base, 0u);
  cr_expect_eq(given[0].sequence, 3u);
  cr_expect(waitingOf(given[0]) == (Waiting{{"w1", 3}, {"w2", 5}}));
  other.now += 1s;
  cr_expect(other.asksAt(given[0]).empty());
  cr_expect(other.asksAt(newsOf(1, 4, 3, {})).empty());
}

namespace {
const std::string loadConfiguration =
    R"({"services":{"mill":{},"barn":{}},"weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},
  "tenants":{"asp":{"secrets":["key-a"]}},
  "routes":{"aim":{"host":"h","prefix":"/aim/","service":"mill","repeat":"safe","aimMs":1000,"tries":3,"timeoutMs":60000},
    "free":{"host":"h","prefix":"/free/","service":"mill","repeat":"safe","tries":3,"timeoutMs":60000}}})";
using Hits = std::map<std::string, std::vector<int>>;

/// A proxy whose workers' load is told and whose callers ask for numbered documents.
struct EdgeBench : ProxyBench {
  explicit EdgeBench(double maxShedRatio = 0) : ProxyBench(loadSettings(maxShedRatio), loadConfiguration) {}
  static ProxyRouterSettings loadSettings(double maxShedRatio) {
    ProxyRouterSettings settings;
    settings.name = "proxy-1";
    settings.address = "proxy-1:1";
    settings.zone = "north-a";
    settings.agentAddress = agentAddress;
    settings.maxPending = 4096;
    settings.fetchWithinRequest = settings.letOpenRequestsFinish = true;
    settings.routePolicy = "fetch peer when hits >= 1\nfetch store when hits >= 1";
    settings.minRetriesPerWindow = 10000;
    settings.maxShedRatio = maxShedRatio;
    return settings;
  }
  WorkerView& store() {
    auto& row = ProxyBench::store("barn", "north-b");
    row.savedPermille = 1000;
    return row;
  }
  std::string place(int number, const std::string& path = "/aim/x", const std::vector<int>& tokens = promptTokens) {
    return ProxyBench::place(path, "key-a", promptOf(number), tokens);
  }
  void answer(const Hits& hits = {}, const std::string& but = {}) {
    for (const auto& ask : openLookups()) {
      if (ask.keeper == but) continue;
      auto found = hits.find(ask.keeper);
      ProxyBench::answer(ask, found == hits.end() ? std::vector<int>() : found->second);
    }
  }
  std::string placeAndAnswer(int number, const std::string& path = "/aim/x",
                             const std::vector<int>& tokens = promptTokens, const Hits& hits = {}) {
    auto orderId = place(number, path, tokens);
    answer(hits);
    return orderId;
  }
  void chunk(const std::string& orderId) { give("worker", WorkerChunk{sends.at(orderId).back().orderId, "piece", ""}); }
  void end(const std::string& orderId, OrderOutcome outcome = OrderOutcome::done) {
    ProxyBench::end(sends.at(orderId).back().orderId, outcome);
  }
  std::string sinkOf(int number, const Hits& hits = {}, const std::vector<int>& tokens = promptTokens) {
    auto orderId = placeAndAnswer(number, "/free/x", tokens, hits);
    auto made = onlySend(orderId);
    end(orderId);
    return made.sinkAddress;
  }
  BlockHash prefixOf(int number) {
    auto orderId = place(number, "/free/x");
    auto asks = openLookups();
    cr_assert_not(asks.empty());
    auto prefix = asks[0].hashes.back();
    give("caller", CallerGone{orderId});
    return prefix;
  }
  void slow(int number, Duration late, const std::vector<int>& tokens = promptTokens) {
    Strings ids;
    for (int at = 0; at < number; ++at) {
      ids.push_back(placeAndAnswer(100000 + at, "/free/x", tokens));
      (void)onlySend(ids.back());
    }
    run(late);
    for (const auto& orderId : ids) {
      chunk(orderId);
      end(orderId);
    }
  }
  int shedOf(int number, const std::vector<int>& tokens = promptTokens, const std::string& path = "/aim/x") {
    int shed = 0;
    for (int at = 0; at < number; ++at) {
      auto orderId = placeAndAnswer(at, path, tokens);
      if (verdicts[orderId].empty()) {
        (void)onlySend(orderId);
        end(orderId);
        continue;
      }
      ++shed;
      const auto& verdict = verdicts[orderId][0];
      cr_expect_eq(verdicts[orderId].size(), 1u);
      cr_expect_eq(verdict.verdict, "not run");
      cr_expect_eq(verdict.code, static_cast<int>(Code::pendingFull));
      cr_expect_gt(verdict.retryAfterMs, 0);
      cr_expect(sends[orderId].empty());
    }
    return shed;
  }
};
}  // namespace

Test(load, a_prompt_the_store_lacks_is_saved_there_and_not_again_at_once) {
  EdgeBench bench;
  bench.store();
  bench.workers(3);
  cr_expect_eq(bench.sinkOf(1), "barn:80");
  cr_expect_eq(bench.sinkOf(1), "");
  cr_expect_eq(bench.sinkOf(2), "barn:80", "another prefix");
  bench.run(2900ms);
  cr_expect_eq(bench.sinkOf(1), "");
  bench.run(200ms);
  cr_expect_eq(bench.sinkOf(1), "barn:80");
  cr_expect_eq(bench.sinkOf(1), "");
  cr_expect_eq(bench.sinkOf(3, {{"barn", {1, 0}}}), "barn:80", "it has only a part");
  cr_expect_eq(bench.sinkOf(4, {{"barn", {1, 1}}}), "", "it has all");
  cr_expect_eq(bench.sinkOf(4), "barn:80");
  cr_expect_eq(bench.sinkOf(5, {}, {100, 100, 500}), "", "too little to be worth it");
}

Test(load, only_prefixes_within_the_stores_share_are_saved) {
  EdgeBench probe;
  probe.store();
  probe.workers(3);
  for (int number = 1; number <= 20; ++number) {
    int place = static_cast<int>(probe.prefixOf(number).high % 1000);
    EdgeBench bench;
    bench.store().savedPermille = place;
    bench.workers(3);
    cr_expect_eq(bench.sinkOf(number), "", "share %d", place);
    bench.store().savedPermille = place + 1;
    bench.tell();
    cr_expect_eq(bench.sinkOf(number), "barn:80", "share %d", place + 1);
  }
}

Test(load, a_store_that_does_not_answer_is_given_nothing) {
  EdgeBench bench;
  bench.store();
  bench.workers(3);
  auto orderId = bench.place(1, "/free/x");
  bench.answer({}, "barn");
  cr_expect(bench.sends[orderId].empty());
  bench.run(250ms);
  cr_expect_eq(bench.onlySend(orderId).sinkAddress, "");
  bench.end(orderId);
  bench.run(600ms);
  cr_expect_eq(bench.sinkOf(1), "barn:80", "nothing was saved before");
}

Test(load, a_prompt_that_no_worker_got_is_not_held_to_be_saved) {
  EdgeBench bench(0.6);
  bench.store();
  bench.workers(6);
  bench.slow(40, 4s);
  int shed = 0, lost = 0;
  for (int number = 0; number < 60; ++number) {
    auto orderId = bench.placeAndAnswer(number);
    if (bench.verdicts[orderId].empty()) {
      bench.end(orderId);
      continue;
    }
    ++shed;
    lost += bench.sinkOf(number) != "barn:80";
  }
  cr_expect_gt(shed, 10);
  cr_expect_eq(lost, 0, "%d of %d prefixes of shed orders are not saved by the next order", lost, shed);
}

Test(load, an_order_turned_away_is_saved_by_the_worker_that_takes_it) {
  EdgeBench bench;
  bench.store();
  bench.workers(4);
  auto orderId = bench.placeAndAnswer(1, "/free/x");
  cr_expect_eq(bench.onlySend(orderId).sinkAddress, "barn:80");
  bench.end(orderId, OrderOutcome::denied);
  bench.run(20ms);
  bench.answer();
  cr_assert_eq(bench.sends[orderId].size(), 2u);
  cr_expect_eq(bench.sends[orderId][1].sinkAddress, "barn:80", "the first worker has read nothing that it could save");
}

Test(load, orders_are_shed_while_first_pieces_come_later_than_the_aim) {
  EdgeBench bench(0.6);
  bench.workers(6);
  cr_expect_eq(bench.shedOf(200), 0, "nothing is known yet");
  bench.slow(60, 4s);
  int shed = bench.shedOf(400);
  cr_expect_geq(shed, 180, "%d", shed);
  cr_expect_leq(shed, 300, "%d", shed);
  cr_expect_eq(bench.edge->openOrders(), 0u);
  cr_expect_eq(bench.shedOf(200, promptTokens, "/free/x"), 0, "a route without an aim cannot miss it");
  bench.run(950ms);
  cr_expect_gt(bench.shedOf(50), 0);
  bench.run(100ms);
  cr_expect_eq(bench.shedOf(200), 0, "a second after the last late piece");
  cr_expect_eq(bench.drops, 0u);
}

Test(load, large_orders_are_shed_first_and_within_bounds) {
  EdgeBench bench(0.3);
  bench.workers(6);
  bench.slow(60, 4s);
  int largest = bench.shedOf(400, {6000, 8000, 50}), mean = bench.shedOf(400),
      smallest = bench.shedOf(400, {40, 40, 20});
  cr_expect_leq(largest, 290, "%d of 400", largest);
  cr_expect_geq(largest, 190, "%d of 400", largest);
  cr_expect_leq(mean, 160, "%d of 400", mean);
  cr_expect_geq(mean, 80, "%d of 400", mean);
  cr_expect_leq(smallest, 50, "%d of 400", smallest);
}

Test(load, none_is_shed_while_first_pieces_are_in_time) {
  EdgeBench bench(0.6);
  bench.workers(6);
  bench.slow(60, 900ms);
  cr_expect_eq(bench.shedOf(300), 0);
  bench.slow(60, 3500ms, {150000, 150000, 50});
  cr_expect_eq(bench.shedOf(300), 0, "their own reading takes three seconds of these");
  EdgeBench never(0);
  never.workers(6);
  never.slow(60, 4s);
  cr_expect_eq(never.shedOf(300), 0, "shedding is off");
}

Test(load, in_time_again_ends_the_shedding) {
  EdgeBench bench(0.6);
  bench.workers(6);
  bench.slow(60, 4s);
  cr_expect_gt(bench.shedOf(50), 0);
  bench.slow(60, 100ms);
  cr_expect_eq(bench.shedOf(200), 0);
}

Test(load, an_order_tried_once_is_not_shed) {
  EdgeBench bench(0.6);
  bench.workers(24);
  Strings ids;
  for (int number = 0; number < 20; ++number) {
    ids.push_back(bench.placeAndAnswer(number));
    (void)bench.onlySend(ids.back());
  }
  bench.slow(60, 4s);
  for (const auto& orderId : ids) {
    cr_expect_gt(bench.shedOf(20), 0, "others are shed meanwhile");
    bench.end(orderId, OrderOutcome::denied);
    bench.answer();
    bench.run(20ms);
    cr_expect(bench.verdicts[orderId].empty());
    cr_expect_eq(bench.sends[orderId].size(), 2u, "%s was sent %zu times", orderId.c_str(),
                 bench.sends[orderId].size());
  }
}

namespace {
Strings rankedFor(int number, int workers) {
  Strings names;
  for (int at = 1; at <= workers; ++at) names.push_back("w" + std::to_string(at));
  std::string key = "shared/moss/document " + std::to_string(number);
  std::sort(names.begin(), names.end(),
            [&](const auto& one, const auto& other) { return rendezvousHash(key, one) > rendezvousHash(key, other); });
  return names;
}
}  // namespace

Test(load, an_order_avoids_its_first_worker_when_news_say_that_many_wait_there) {
  for (int number = 1; number <= 20; ++number) {
    EdgeBench bench;
    bench.workers(4);
    auto ranked = rankedFor(number, 4);
    auto drawn = [&](const Hits& hits) {
      auto orderId = bench.placeAndAnswer(number, "/free/x", promptTokens, hits);
      auto worker = bench.onlySend(orderId).worker;
      bench.end(orderId);
      return worker;
    };
    Hits hits{{ranked[0], {1, 1}}, {ranked[1], {1, 1}}};
    cr_expect_eq(drawn(hits), ranked[0]);
    auto delta =
        newsOf(1, bench.cells["north-a"].sequence + 1, bench.cells["north-a"].sequence, {viewOf(ranked[0], 50)});
    bench.give("agent:1", delta);
    cr_expect_eq(drawn(hits), ranked[1], "prompt %d", number);
    cr_expect_neq(drawn({{ranked[2], {1, 1}}}), ranked[0]);
    bench.run(900ms);
    delta = newsOf(1, delta.sequence + 1, delta.sequence, {});
    bench.give("agent:1", delta);
    bench.run(900ms);
    cr_expect_eq(drawn(hits), ranked[1], "an empty heartbeat says that it is still so");
    bench.run(200ms);
    cr_expect_eq(drawn(hits), ranked[0], "nothing was heard for a second");
    delta = newsOf(1, delta.sequence + 1, delta.sequence, {viewOf(ranked[0], 0)});
    bench.give("agent:1", delta);
    cr_expect_eq(drawn(hits), ranked[0]);
  }
}
