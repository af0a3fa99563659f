#include <algorithm>

#include "cell_harness.hpp"
#include "core.hpp"
#include "proxy_router_harness.hpp"

using namespace tt;

namespace {
WorkerView workerView(const std::string& name, int waiting = 0) {
  WorkerView view = languageWorker(name);
  view.waiting = waiting;
  return view;
}

CellNews cellUpdate(Uint64 term, Uint64 sequence, Uint64 base, const std::vector<WorkerView>& workers,
                    const Strings& removedWorkers = {}) {
  CellNews update;
  update.zone = "north-a";
  update.term = term;
  update.sequence = sequence;
  update.base = base;
  update.holder = "holder:1";
  update.workers = workers;
  update.removedWorkers = removedWorkers;
  return update;
}

std::map<std::string, int> waitingByWorker(const CellNews& update) {
  std::map<std::string, int> rows;
  for (const auto& worker : update.workers) rows[worker.name] = worker.waiting;
  return rows;
}
using Waiting = std::map<std::string, int>;
}  // namespace

Test(load, a_delta_update_changes_only_the_rows_it_names) {
  CellNews merged;
  cr_assert(
      applyCellUpdate(merged, cellUpdate(2, 4, 0, {workerView("w1", 1), workerView("w2", 2), workerView("w3", 3)})));
  cr_expect(applyCellUpdate(merged, cellUpdate(2, 5, 4, {workerView("w2", 7), workerView("w4", 4)}, {"w1"})));
  cr_expect(waitingByWorker(merged) == (Waiting{{"w2", 7}, {"w3", 3}, {"w4", 4}}));
  cr_expect_eq(merged.sequence, 5u);
  cr_expect_eq(merged.base, 0u, "the merged state is full and can be passed on as such");
  cr_expect(merged.removedWorkers.empty());
  cr_expect(applyCellUpdate(merged, cellUpdate(2, 6, 5, {})));
  cr_expect(waitingByWorker(merged) == (Waiting{{"w2", 7}, {"w3", 3}, {"w4", 4}}));
  cr_expect_eq(merged.sequence, 6u);
  CellNews other;
  cr_expect(applyCellUpdate(other, merged), "a third reader may apply the merged state");
  cr_expect(waitingByWorker(other) == waitingByWorker(merged));
}

Test(load, a_delta_with_another_base_or_term_is_rejected_and_a_full_update_after_it_is_applied) {
  CellNews merged;
  cr_expect_not(applyCellUpdate(merged, cellUpdate(2, 5, 4, {workerView("w1")})), "there is nothing to merge with");
  cr_expect(merged.workers.empty());
  cr_assert(applyCellUpdate(merged, cellUpdate(2, 4, 0, {workerView("w1", 1), workerView("w2", 2)})));
  auto before = waitingByWorker(merged);
  for (const auto& update :
       {cellUpdate(2, 6, 5, {workerView("w1", 9)}, {"w2"}), cellUpdate(3, 5, 4, {workerView("w1", 9)}, {"w2"}),
        cellUpdate(1, 5, 4, {workerView("w1", 9)}, {"w2"}), cellUpdate(2, 4, 3, {workerView("w1", 9)}, {"w2"}),
        cellUpdate(2, 5, 3, {workerView("w1", 9)}, {"w2"})}) {
    cr_expect_not(applyCellUpdate(merged, update));
    cr_expect(waitingByWorker(merged) == before);
    cr_expect_eq(merged.term, 2u);
    cr_expect_eq(merged.sequence, 4u);
  }
  cr_expect(applyCellUpdate(merged, cellUpdate(2, 7, 0, {workerView("w3", 5)})));
  cr_expect(waitingByWorker(merged) == (Waiting{{"w3", 5}}));
  cr_expect(applyCellUpdate(merged, cellUpdate(3, 1, 0, {workerView("w4", 6)})),
            "another lease holder begins with a full update");
  cr_expect(waitingByWorker(merged) == (Waiting{{"w4", 6}}));
}

namespace {
/// A single cell whose workers and stores reply to report requests without delay.
struct SingleCellHarness {
  struct TestCacheNode {
    bool store{false};
    std::set<BlockHash> cachedBlocks;
    std::vector<CacheEvent> events;
    Uint64 sequence{0};
    int running{0}, waiting{0};
  };
  TimePoint now{std::chrono::hours(9)};
  std::mt19937_64 randomSource{3};
  Journal journal;
  Configuration configuration;
  std::unique_ptr<Cell> cell;
  std::map<std::string, TestCacheNode> cacheNodes;
  std::vector<CellNews> updates;
  std::vector<TimePoint> updatedAt;
  CellNews follower;
  std::size_t rejectedUpdates{0};
  std::vector<Message> replies;

  SingleCellHarness() {
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
    cell->publish = [this](Effects&, const CellNews& update) {
      updates.push_back(update);
      updatedAt.push_back(now);
      rejectedUpdates += !applyCellUpdate(follower, update);
    };
  }
  void setMachineList(const Strings& workers, const Strings& stores = {}) {
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
  void evict(const std::string& cacheNode, const std::string& id) {
    auto& row = cacheNodes.at(cacheNode);
    row.cachedBlocks.erase(hashPromptPart("salt", id));
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
        if (save.onSynced) save.onSynced(later);
      for (auto& send : later.sends) sends.push_back(std::move(send));
      saves = std::move(later.saves);
    }
    for (const auto& [to, message] : sends) {
      if (auto* request = std::get_if<ReportAsk>(&message))
        replyTo(*request);
      else
        replies.push_back(message);
    }
  }
  void replyTo(const ReportAsk& request) {
    auto found = cacheNodes.find(request.worker);
    if (found == cacheNodes.end()) return;
    const auto& cacheNode = found->second;
    Report report;
    report.worker = request.worker;
    report.scope = request.scope;
    if (request.scope == static_cast<int>(ReportScope::condition)) {
      report.weights = "moss/3";
      report.model = "moss";
      report.slots = 8;
      report.running = cacheNode.running;
      report.waiting = cacheNode.waiting;
    } else {
      report.gaps = true;
      report.incarnation = "1";
      report.sequence = cacheNode.sequence;
      report.complete = request.complete;
      report.lost = request.incarnation != "1";
      if (request.complete) report.cachedBlocks.assign(cacheNode.cachedBlocks.begin(), cacheNode.cachedBlocks.end());
      for (const auto& event : cacheNode.events)
        if (!request.complete && event.sequence > request.after) report.events.push_back(event);
    }
    with([&](Effects& effects) { cell->handle(effects, request.worker + ":80", report); });
  }
  void run(Duration duration) {
    for (TimePoint until = now + duration; now < until;) {
      now += 10ms;
      with([&](Effects& effects) { cell->tick(effects, configuration); });
    }
  }
  void runToNextUpdate() {
    std::size_t before = updates.size();
    for (TimePoint until = now + 15s; now < until && updates.size() == before;) run(10ms);
    cr_assert_gt(updates.size(), before);
  }
  std::vector<int> lookup(const std::string& cacheNode, const std::string& id) {
    replies.clear();
    with([&](Effects& effects) {
      cell->handle(effects, "agent",
                   LookupMsg{"l",
                             "north-a",
                             cacheNode,
                             "moss/3",
                             {hashPromptPart("salt", "system"), hashPromptPart("salt", id)},
                             "asker"});
    });
    for (const auto& message : replies)
      if (auto* reply = std::get_if<LookupReply>(&message)) return reply->hits;
    return {};
  }
  int savedPermilleOf(const std::string& cacheNode) const { return cell->cacheNodes().at(cacheNode).savedPermille; }
  int publishedPermille(const std::string& cacheNode) const {
    for (const auto& worker : follower.workers)
      if (worker.name == cacheNode) return worker.savedPermille;
    return -1;
  }
};

Strings namesOf(const CellNews& update) {
  Strings names;
  for (const auto& worker : update.workers) names.push_back(worker.name);
  std::sort(names.begin(), names.end());
  return names;
}
}  // namespace

Test(load, a_cell_publishes_everything_first_and_then_only_changes) {
  SingleCellHarness harness;
  harness.setMachineList({"w1", "w2", "w3", "w4"});
  harness.runToNextUpdate();
  cr_expect_eq(harness.updates[0].base, 0u);
  cr_expect(namesOf(harness.updates[0]) == (Strings{"w1", "w2", "w3", "w4"}));
  harness.run(3s);
  std::size_t before = harness.updates.size();
  harness.run(3s);
  cr_expect_geq(harness.updates.size(), before + 4, "an idle cell still sends heartbeats");
  for (std::size_t at = before; at < harness.updates.size(); ++at) {
    cr_expect_eq(harness.updates[at].base, harness.updates[at].sequence - 1);
    cr_expect(harness.updates[at].workers.empty());
    cr_expect(harness.updates[at].removedWorkers.empty());
  }
  before = harness.updates.size();
  harness.cacheNodes["w3"].waiting = 12;
  harness.run(1s);
  std::size_t publishedRows = 0;
  for (std::size_t at = before; at < harness.updates.size(); ++at) {
    publishedRows += harness.updates[at].workers.size();
    for (const auto& worker : harness.updates[at].workers) cr_expect_eq(worker.name, "w3");
  }
  cr_expect_eq(publishedRows, 1u, "published once");
  cr_expect(waitingByWorker(harness.follower) == (Waiting{{"w1", 0}, {"w2", 0}, {"w3", 12}, {"w4", 0}}));
  cr_expect_eq(harness.rejectedUpdates, 0u);
}

Test(load, a_worker_that_leaves_the_machine_list_is_published_as_gone) {
  SingleCellHarness harness;
  harness.setMachineList({"w1", "w2", "w3"});
  harness.runToNextUpdate();
  harness.run(2s);
  std::size_t before = harness.updates.size();
  harness.setMachineList({"w1", "w3", "w5"});
  harness.run(1s);
  Strings removedWorkers;
  for (std::size_t at = before; at < harness.updates.size(); ++at) {
    cr_expect_gt(harness.updates[at].base, 0u);
    for (const auto& name : harness.updates[at].removedWorkers) removedWorkers.push_back(name);
    for (const auto& worker : harness.updates[at].workers) cr_expect_eq(worker.name, "w5");
  }
  cr_expect(removedWorkers == Strings{"w2"});
  cr_expect(namesOf(harness.follower) == (Strings{"w1", "w3", "w5"}));
  harness.setMachineList({"w1", "w2", "w3", "w5"});
  harness.run(1s);
  cr_expect(namesOf(harness.follower) == (Strings{"w1", "w2", "w3", "w5"}), "one that comes back is published again");
  cr_expect_eq(harness.rejectedUpdates, 0u);
}

Test(load, the_first_update_after_another_election_is_full) {
  SingleCellHarness harness;
  harness.setMachineList({"w1", "w2"});
  harness.runToNextUpdate();
  harness.run(2s);
  std::size_t before = harness.updates.size();
  Uint64 term = harness.updates.back().term;
  cr_expect_gt(harness.updates.back().base, 0u);
  harness.with([&](Effects& effects) { harness.cell->election.resign(effects); });
  cr_expect_not(harness.cell->election.holdsLease(harness.now));
  harness.runToNextUpdate();
  cr_expect_gt(harness.updates[before].term, term);
  cr_expect_eq(harness.updates[before].base, 0u);
  cr_expect_eq(harness.updates[before].sequence, 1u);
  cr_expect(namesOf(harness.updates[before]) == (Strings{"w1", "w2"}));
  harness.run(2s);
  cr_expect_gt(harness.updates.back().base, 0u);
  cr_expect_eq(harness.rejectedUpdates, 0u);
}

Test(load, a_store_that_evicts_what_is_then_looked_up_is_given_less) {
  SingleCellHarness harness;
  auto& barn = harness.cacheNodes["barn"];
  for (int at = 0; at < 400; ++at) barn.cachedBlocks.insert(hashPromptPart("salt", "p" + std::to_string(at)));
  barn.cachedBlocks.insert(hashPromptPart("salt", "system"));
  harness.setMachineList({"w1"}, {"barn"});
  harness.runToNextUpdate();
  harness.run(1s);
  cr_assert(harness.cell->cacheNodes().at("barn").confirmed);
  cr_expect_eq(harness.savedPermilleOf("barn"), 1000);
  for (int at = 0; at < 200; ++at) harness.evict("barn", "p" + std::to_string(at));
  harness.run(200ms);
  cr_expect(harness.lookup("barn", "p0") == (std::vector<int>{1, 0}));
  int share = harness.savedPermilleOf("barn");
  cr_expect_eq(share, 900);
  harness.run(300ms);
  cr_expect_eq(harness.publishedPermille("barn"), 900, "published in an update");
  for (int at = 1; at < 50; ++at) {
    int steps = 0;
    for (int times = 0; times < 4; ++times) {
      harness.lookup("barn", "p" + std::to_string(at));
      steps += harness.savedPermilleOf("barn") < share;
      cr_expect_geq(harness.savedPermilleOf("barn"), std::max(20, share * 9 / 10));
      if (times < 3) harness.run(10ms);
      share = harness.savedPermilleOf("barn");
    }
    cr_expect_leq(steps, 1, "one step in half a second");
    cr_expect_geq(share, 20);
    harness.run(500ms);
  }
  cr_expect_eq(share, 20, "the share stays at %d", share);
  cr_expect_eq(harness.publishedPermille("barn"), 20);
  for (int round = 0; round < 400; ++round) {
    harness.lookup("barn", "p" + std::to_string(200 + round % 200));
    cr_expect_geq(harness.savedPermilleOf("barn"), share);
    share = harness.savedPermilleOf("barn");
    cr_expect_leq(share, 1000);
    harness.run(510ms);
  }
  cr_expect_eq(share, 1000, "the share rises again as lookups hit: %d", share);
  cr_expect_eq(harness.publishedPermille("barn"), 1000);
}

Test(load, prefixes_a_store_never_had_or_evicted_long_ago_do_not_reduce_its_share) {
  SingleCellHarness harness;
  auto& barn = harness.cacheNodes["barn"];
  barn.cachedBlocks = {hashPromptPart("salt", "system"), hashPromptPart("salt", "old")};
  harness.setMachineList({"w1"}, {"barn"});
  harness.runToNextUpdate();
  harness.run(1s);
  harness.evict("barn", "old");
  harness.run(200ms);
  for (int round = 0; round < 5; ++round) {
    harness.lookup("barn", "never");
    cr_expect_eq(harness.savedPermilleOf("barn"), 1000);
    harness.run(600ms);
  }
  harness.run(30s);
  harness.lookup("barn", "old");
  cr_expect_eq(harness.savedPermilleOf("barn"), 1000);
}

namespace {
/// A core that is not part of a cluster, to which updates are delivered by hand.
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
  std::vector<std::pair<std::string, Message>> deliver(const std::string& from, const Message& message) {
    Effects effects{now, randomSource, core.journal, {}, {}};
    core.handle(effects, from, message);
    return std::move(effects.sends);
  }
  std::vector<NewsAsk> requestsAfter(const CellNews& update) {
    std::vector<NewsAsk> requests;
    for (const auto& [to, message] : deliver("holder:1", update))
      if (auto* request = std::get_if<NewsAsk>(&message)) {
        cr_expect_eq(to, "holder:1");
        requests.push_back(*request);
      }
    return requests;
  }
};
}  // namespace

Test(load, a_core_that_missed_an_update_asks_the_lease_holder_at_most_five_times_a_second) {
  LoneCore core("core-2");
  cr_expect(core.requestsAfter(cellUpdate(1, 1, 0, {workerView("w1"), workerView("w2")})).empty());
  core.now += 100ms;
  cr_expect(core.requestsAfter(cellUpdate(1, 2, 1, {workerView("w1", 3)})).empty());
  core.now += 100ms;
  auto requests = core.requestsAfter(cellUpdate(1, 4, 3, {workerView("w2", 5)}));
  cr_assert_eq(requests.size(), 1u);
  cr_assert_eq(requests[0].cells.size(), 1u);
  cr_expect_eq(requests[0].cells[0].zone, "north-a");
  cr_expect_eq(requests[0].cells[0].term, 1u);
  cr_expect_eq(requests[0].cells[0].sequence, 2u);
  TimePoint askedAt = core.now;
  std::vector<TimePoint> asked;
  for (Uint64 sequence = 5; sequence < 30; ++sequence) {
    core.now += 30ms;
    for (std::size_t at = core.requestsAfter(cellUpdate(1, sequence, sequence - 1, {})).size(); at > 0; --at)
      asked.push_back(core.now);
  }
  cr_expect_geq(asked.size(), 3u, "it repeats the request while updates are missing");
  for (TimePoint at : asked) {
    cr_expect_geq(toMilliseconds(at - askedAt), 200);
    askedAt = at;
  }
  core.now += 1s;
  cr_expect(core.requestsAfter(cellUpdate(1, 2, 1, {})).empty(), "an old update causes no request");
  cr_expect(core.requestsAfter(cellUpdate(1, 29, 0, {workerView("w1"), workerView("w2", 5)})).empty());
  cr_expect(core.requestsAfter(cellUpdate(1, 30, 29, {})).empty(), "after a full update it can apply deltas again");
}

Test(load, a_core_replies_with_the_full_merged_state) {
  LoneCore holder("core-1"), other("core-2");
  for (auto* core : {&holder, &other})
    core->deliver("holder:1", cellUpdate(1, 1, 0, {workerView("w1"), workerView("w2"), workerView("w3")}));
  holder.deliver("holder:1", cellUpdate(1, 2, 1, {workerView("w1", 3)}, {"w3"}));
  holder.deliver("holder:1", cellUpdate(1, 3, 2, {workerView("w2", 5)}));
  auto requests = other.requestsAfter(cellUpdate(1, 3, 2, {workerView("w2", 5)}));
  cr_assert_eq(requests.size(), 1u);
  std::vector<CellNews> received;
  for (const auto& [to, message] : holder.deliver("core-2:1", requests[0]))
    if (auto* update = std::get_if<CellNews>(&message)) {
      cr_expect_eq(to, "core-2:1");
      received.push_back(*update);
    }
  cr_assert_eq(received.size(), 1u);
  cr_expect_eq(received[0].base, 0u);
  cr_expect_eq(received[0].sequence, 3u);
  cr_expect(waitingByWorker(received[0]) == (Waiting{{"w1", 3}, {"w2", 5}}));
  other.now += 1s;
  cr_expect(other.requestsAfter(received[0]).empty());
  cr_expect(other.requestsAfter(cellUpdate(1, 4, 3, {})).empty());
}

namespace {
const std::string loadConfiguration =
    R"({"services":{"mill":{},"barn":{}},"weights":{"moss/3":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},
  "tenants":{"asp":{"secrets":["key-a"]}},
  "routes":{"aim":{"host":"h","prefix":"/aim/","service":"mill","repeat":"safe","aimMs":1000,"tries":3,"timeoutMs":60000},
    "free":{"host":"h","prefix":"/free/","service":"mill","repeat":"safe","tries":3,"timeoutMs":60000}}})";
using Hits = std::map<std::string, std::vector<int>>;

/// A proxy whose workers report load and whose clients request numbered documents.
struct LoadHarness : ProxyHarness {
  explicit LoadHarness(double maxShedRatio = 0) : ProxyHarness(loadHarnessSettings(maxShedRatio), loadConfiguration) {}
  static ProxyRouterSettings loadHarnessSettings(double maxShedRatio) {
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
    auto& row = ProxyHarness::store("barn", "north-b");
    row.savedPermille = 1000;
    return row;
  }
  std::string submit(int number, const std::string& path = "/aim/x", const std::vector<int>& tokens = promptTokens) {
    return ProxyHarness::submit(path, "key-a", promptOf(number), tokens);
  }
  void replyToAllLookups(const Hits& hits = {}, const std::string& exceptNode = {}) {
    for (const auto& lookup : newLookups()) {
      if (lookup.cacheNode == exceptNode) continue;
      auto found = hits.find(lookup.cacheNode);
      ProxyHarness::replyTo(lookup, found == hits.end() ? std::vector<int>() : found->second);
    }
  }
  std::string submitAndReply(int number, const std::string& path = "/aim/x",
                             const std::vector<int>& tokens = promptTokens, const Hits& hits = {}) {
    auto requestId = submit(number, path, tokens);
    replyToAllLookups(hits);
    return requestId;
  }
  void sendChunk(const std::string& requestId) {
    deliver("worker", WorkerChunk{attempts.at(requestId).back().requestId, "piece", ""});
  }
  void endAttempt(const std::string& requestId, AttemptOutcome outcome = AttemptOutcome::done) {
    ProxyHarness::endAttempt(attempts.at(requestId).back().requestId, outcome);
  }
  /// The store to which a request's worker is told to save the prefix; empty if none.
  std::string storeSavedTo(int number, const Hits& hits = {}, const std::vector<int>& tokens = promptTokens) {
    auto requestId = submitAndReply(number, "/free/x", tokens, hits);
    auto attempt = onlyAttempt(requestId);
    endAttempt(requestId);
    return attempt.sinkAddress;
  }
  /// The hash of the prefix that a document's prompt shares with others.
  BlockHash prefixOf(int number) {
    auto requestId = submit(number, "/free/x");
    auto lookups = newLookups();
    cr_assert_not(lookups.empty());
    auto prefix = lookups[0].hashes.back();
    deliver("caller", CallerGone{requestId});
    return prefix;
  }
  /// Submits requests whose responses start after `delay`.
  void delayFirstChunks(int number, Duration delay, const std::vector<int>& tokens = promptTokens) {
    Strings ids;
    for (int at = 0; at < number; ++at) {
      ids.push_back(submitAndReply(100000 + at, "/free/x", tokens));
      (void)onlyAttempt(ids.back());
    }
    run(delay);
    for (const auto& requestId : ids) {
      sendChunk(requestId);
      endAttempt(requestId);
    }
  }
  /// Submits requests and returns how many of them were shed.
  int countShed(int number, const std::vector<int>& tokens = promptTokens, const std::string& path = "/aim/x") {
    int shed = 0;
    for (int at = 0; at < number; ++at) {
      auto requestId = submitAndReply(at, path, tokens);
      if (finalStatuses[requestId].empty()) {
        (void)onlyAttempt(requestId);
        endAttempt(requestId);
        continue;
      }
      ++shed;
      const auto& status = finalStatuses[requestId][0];
      cr_expect_eq(finalStatuses[requestId].size(), 1u);
      cr_expect_eq(status.verdict, "not run");
      cr_expect_eq(status.code, static_cast<int>(Code::pendingFull));
      cr_expect_gt(status.retryAfterMs, 0);
      cr_expect(attempts[requestId].empty());
    }
    return shed;
  }
};
}  // namespace

Test(load, a_prefix_that_the_store_lacks_is_saved_there_and_not_again_at_once) {
  LoadHarness harness;
  harness.store();
  harness.addWorkers(3);
  cr_expect_eq(harness.storeSavedTo(1), "barn:80");
  cr_expect_eq(harness.storeSavedTo(1), "");
  cr_expect_eq(harness.storeSavedTo(2), "barn:80", "another prefix");
  harness.run(2900ms);
  cr_expect_eq(harness.storeSavedTo(1), "");
  harness.run(200ms);
  cr_expect_eq(harness.storeSavedTo(1), "barn:80");
  cr_expect_eq(harness.storeSavedTo(1), "");
  cr_expect_eq(harness.storeSavedTo(3, {{"barn", {1, 0}}}), "barn:80", "it has only a part");
  cr_expect_eq(harness.storeSavedTo(4, {{"barn", {1, 1}}}), "", "it has all");
  cr_expect_eq(harness.storeSavedTo(4), "barn:80");
  cr_expect_eq(harness.storeSavedTo(5, {}, {100, 100, 500}), "", "too few tokens to be worth saving");
}

Test(load, only_prefixes_within_the_stores_share_are_saved) {
  LoadHarness probe;
  probe.store();
  probe.addWorkers(3);
  for (int number = 1; number <= 20; ++number) {
    int permille = static_cast<int>(probe.prefixOf(number).high % 1000);
    LoadHarness harness;
    harness.store().savedPermille = permille;
    harness.addWorkers(3);
    cr_expect_eq(harness.storeSavedTo(number), "", "share %d", permille);
    harness.store().savedPermille = permille + 1;
    harness.publishCells();
    cr_expect_eq(harness.storeSavedTo(number), "barn:80", "share %d", permille + 1);
  }
}

Test(load, nothing_is_saved_to_a_store_that_does_not_answer) {
  LoadHarness harness;
  harness.store();
  harness.addWorkers(3);
  auto requestId = harness.submit(1, "/free/x");
  harness.replyToAllLookups({}, "barn");
  cr_expect(harness.attempts[requestId].empty());
  harness.run(250ms);
  cr_expect_eq(harness.onlyAttempt(requestId).sinkAddress, "");
  harness.endAttempt(requestId);
  harness.run(600ms);
  cr_expect_eq(harness.storeSavedTo(1), "barn:80", "nothing was saved before");
}

Test(load, a_prefix_of_a_shed_request_does_not_count_as_saved) {
  LoadHarness harness(0.6);
  harness.store();
  harness.addWorkers(6);
  harness.delayFirstChunks(40, 4s);
  int shed = 0, lost = 0;
  for (int number = 0; number < 60; ++number) {
    auto requestId = harness.submitAndReply(number);
    if (harness.finalStatuses[requestId].empty()) {
      harness.endAttempt(requestId);
      continue;
    }
    ++shed;
    lost += harness.storeSavedTo(number) != "barn:80";
  }
  cr_expect_gt(shed, 10);
  cr_expect_eq(lost, 0, "%d of %d prefixes of shed requests are not saved by the next request", lost, shed);
}

Test(load, the_prefix_of_a_denied_request_is_saved_by_the_worker_that_takes_it) {
  LoadHarness harness;
  harness.store();
  harness.addWorkers(4);
  auto requestId = harness.submitAndReply(1, "/free/x");
  cr_expect_eq(harness.onlyAttempt(requestId).sinkAddress, "barn:80");
  harness.endAttempt(requestId, AttemptOutcome::denied);
  harness.run(20ms);
  harness.replyToAllLookups();
  cr_assert_eq(harness.attempts[requestId].size(), 2u);
  cr_expect_eq(harness.attempts[requestId][1].sinkAddress, "barn:80",
               "the first worker has prefilled nothing that it could save");
}

Test(load, requests_are_shed_while_responses_start_later_than_the_target_latency) {
  LoadHarness harness(0.6);
  harness.addWorkers(6);
  cr_expect_eq(harness.countShed(200), 0, "nothing is known yet");
  harness.delayFirstChunks(60, 4s);
  int shed = harness.countShed(400);
  cr_expect_geq(shed, 180, "%d", shed);
  cr_expect_leq(shed, 300, "%d", shed);
  cr_expect_eq(harness.router->openRequests(), 0u);
  cr_expect_eq(harness.countShed(200, promptTokens, "/free/x"), 0, "a route without a target latency sheds nothing");
  harness.run(950ms);
  cr_expect_gt(harness.countShed(50), 0);
  harness.run(100ms);
  cr_expect_eq(harness.countShed(200), 0, "a second after the last late response");
  cr_expect_eq(harness.dropCount, 0u);
}

Test(load, large_requests_are_shed_first_and_within_bounds) {
  LoadHarness harness(0.3);
  harness.addWorkers(6);
  harness.delayFirstChunks(60, 4s);
  int largest = harness.countShed(400, {6000, 8000, 50}), mean = harness.countShed(400),
      smallest = harness.countShed(400, {40, 40, 20});
  cr_expect_leq(largest, 290, "%d of 400", largest);
  cr_expect_geq(largest, 190, "%d of 400", largest);
  cr_expect_leq(mean, 160, "%d of 400", mean);
  cr_expect_geq(mean, 80, "%d of 400", mean);
  cr_expect_leq(smallest, 50, "%d of 400", smallest);
}

Test(load, none_is_shed_while_responses_start_in_time) {
  LoadHarness harness(0.6);
  harness.addWorkers(6);
  harness.delayFirstChunks(60, 900ms);
  cr_expect_eq(harness.countShed(300), 0);
  harness.delayFirstChunks(60, 3500ms, {150000, 150000, 50});
  cr_expect_eq(harness.countShed(300), 0, "three seconds of it are their own prefill");
  LoadHarness never(0);
  never.addWorkers(6);
  never.delayFirstChunks(60, 4s);
  cr_expect_eq(never.countShed(300), 0, "shedding is off");
}

Test(load, shedding_ends_when_responses_start_in_time_again) {
  LoadHarness harness(0.6);
  harness.addWorkers(6);
  harness.delayFirstChunks(60, 4s);
  cr_expect_gt(harness.countShed(50), 0);
  harness.delayFirstChunks(60, 100ms);
  cr_expect_eq(harness.countShed(200), 0);
}

Test(load, a_request_attempted_once_is_not_shed) {
  LoadHarness harness(0.6);
  harness.addWorkers(24);
  Strings ids;
  for (int number = 0; number < 20; ++number) {
    ids.push_back(harness.submitAndReply(number));
    (void)harness.onlyAttempt(ids.back());
  }
  harness.delayFirstChunks(60, 4s);
  for (const auto& requestId : ids) {
    cr_expect_gt(harness.countShed(20), 0, "others are shed meanwhile");
    harness.endAttempt(requestId, AttemptOutcome::denied);
    harness.replyToAllLookups();
    harness.run(20ms);
    cr_expect(harness.finalStatuses[requestId].empty());
    cr_expect_eq(harness.attempts[requestId].size(), 2u, "%s was sent %zu times", requestId.c_str(),
                 harness.attempts[requestId].size());
  }
}

namespace {
Strings rankedWorkers(int number, int workers) {
  Strings names;
  for (int at = 1; at <= workers; ++at) names.push_back("w" + std::to_string(at));
  std::string key = "shared/moss/document " + std::to_string(number);
  std::sort(names.begin(), names.end(),
            [&](const auto& one, const auto& other) { return rendezvousHash(key, one) > rendezvousHash(key, other); });
  return names;
}
}  // namespace

Test(load, a_request_avoids_its_preferred_worker_when_updates_report_a_queue_there) {
  for (int number = 1; number <= 20; ++number) {
    LoadHarness harness;
    harness.addWorkers(4);
    auto ranked = rankedWorkers(number, 4);
    auto selected = [&](const Hits& hits) {
      auto requestId = harness.submitAndReply(number, "/free/x", promptTokens, hits);
      auto worker = harness.onlyAttempt(requestId).worker;
      harness.endAttempt(requestId);
      return worker;
    };
    Hits hits{{ranked[0], {1, 1}}, {ranked[1], {1, 1}}};
    cr_expect_eq(selected(hits), ranked[0]);
    auto delta = cellUpdate(1, harness.cells["north-a"].sequence + 1, harness.cells["north-a"].sequence,
                            {workerView(ranked[0], 50)});
    harness.deliver("agent:1", delta);
    cr_expect_eq(selected(hits), ranked[1], "prompt %d", number);
    cr_expect_neq(selected({{ranked[2], {1, 1}}}), ranked[0]);
    harness.run(900ms);
    delta = cellUpdate(1, delta.sequence + 1, delta.sequence, {});
    harness.deliver("agent:1", delta);
    harness.run(900ms);
    cr_expect_eq(selected(hits), ranked[1], "an empty heartbeat confirms the last load");
    harness.run(200ms);
    cr_expect_eq(selected(hits), ranked[0], "nothing was heard for a second");
    delta = cellUpdate(1, delta.sequence + 1, delta.sequence, {workerView(ranked[0], 0)});
    harness.deliver("agent:1", delta);
    cr_expect_eq(selected(hits), ranked[0]);
  }
}
