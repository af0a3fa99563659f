#pragma once
#include <criterion/criterion.h>

#include "edge.hpp"
#include "timing_kept.hpp"

namespace tt {

inline const std::string agentAddress = "agent:1";

/// A configuration that tests change as operators do.
class Declared {
 public:
  Configuration view;
  Result<std::string> prepare(const std::string& text, ChangeFormat changeFormat = ChangeFormat::patch) const {
    return view.preparePatch(text, changeFormat);
  }
  LogEntry change(const std::string& text, ChangeFormat changeFormat = ChangeFormat::patch, std::uint64_t revision = 0,
                  const std::string& changeId = {}) {
    auto patch = prepare(text, changeFormat);
    cr_assert(bool(patch), "%s: %s", patch.error().subject.c_str(), patch.error().text.c_str());
    LogEntry entry{view.index() + 1, 1, static_cast<int>(EntryKind::change), patch.value(), changeId, revision};
    view.apply(entry);
    return entry;
  }
  std::string routeOf(const std::string& host, const std::string& path) const {
    const auto* route = view.routeFor(host, path);
    return route ? route->name : "none";
  }
  std::string tenantOf(const std::string& secret) const {
    auto key = view.findKey(sha256Hex(secret));
    return key ? key->tenant : "none";
  }
  std::string deniedAt(const std::string& text, ChangeFormat changeFormat = ChangeFormat::patch) const {
    auto patch = prepare(text, changeFormat);
    return patch ? "taken" : patch.error().subject;
  }
};

inline const std::string proxyConfiguration = R"({"services":{"mill":{},"weir":{}},
  "weights":{"moss/3":{"model":"moss"},"moss/4":{"model":"moss"}},"models":{"moss":{"weights":"moss/3"}},
  "tenants":{"asp":{"secrets":["key-a"]},"olm":{"secrets":["key-b"]},"own":{"secrets":["key-c"],"isolated":true}},
  "routes":{"once":{"host":"h","prefix":"/once/","service":"mill","repeat":"once","tries":1,"timeoutMs":4000},
    "two":{"host":"h","prefix":"/two/","service":"mill","repeat":"once","tries":2,"timeoutMs":4000},
    "safe":{"host":"h","prefix":"/safe/","service":"mill","repeat":"safe","tries":3,"timeoutMs":4000},
    "stream":{"host":"h","prefix":"/stream/","service":"mill","repeat":"stream","resumable":true,"tries":3,"timeoutMs":8000},
    "aim":{"host":"h","prefix":"/aim/","service":"mill","aimMs":1000,"tries":1,"timeoutMs":4000},
    "split":{"host":"h","prefix":"/split/","split":[{"service":"mill","weight":3},{"service":"weir","weight":1}],"timeoutMs":4000},
    "open":{"host":"h","prefix":"/open/","service":"mill","open":true,"tries":1,"timeoutMs":4000}}})";

/// A worker that is alive and confirmed, as a cell's news tell of it.
inline WorkerView languageWorker(const std::string& name, const std::string& zone = "north-a",
                                 const std::string& weights = "moss/3", const std::string& service = "mill") {
  WorkerView view;
  view.name = name;
  view.address = name + ":80";
  view.zone = zone;
  view.kind = "language";
  view.weights = weights;
  view.model = "moss";
  view.slots = 64;
  view.alive = view.confirmed = true;
  view.service = service;
  return view;
}

/// A proxy's logic driven by hand: its agent, its workers and its clock are the test's.
struct ProxyBench {
  struct Sent {
    TimePoint at;
    std::string to;
    Message message;
  };
  TimePoint now{std::chrono::hours(5)};
  std::mt19937_64 randomSource{11};
  Declared declared;
  std::unique_ptr<ProxyRouter> edge;
  std::vector<Sent> sent;
  std::map<std::string, std::vector<WorkerOrder>> sends;
  std::map<std::string, std::vector<CallerVerdict>> verdicts;
  std::vector<LookupMsg> lookups;
  std::size_t drops{0};
  std::map<std::string, CellNews> cells;
  bool feeds{true};
  int orderCount{0};

  explicit ProxyBench(const std::string& name = "proxy-1") : ProxyBench(pathSettings(name), proxyConfiguration) {}
  ProxyBench(const ProxyRouterSettings& settings, const std::string& configuration) {
    edge = std::make_unique<ProxyRouter>(settings);
    declared.change(configuration);
    adoptSnapshot();
    tick();
  }
  static ProxyRouterSettings pathSettings(const std::string& name) {
    ProxyRouterSettings settings;
    settings.name = name;
    settings.address = name + ":1";
    settings.zone = "north-a";
    settings.agentAddress = agentAddress;
    settings.maxPending = 256;
    settings.fetchWithinRequest = settings.letOpenRequestsFinish = true;
    settings.routePolicy = "fetch peer when hits >= 1\nfetch store when hits >= 1";
    settings.retryBudgetRatio = 0.15;
    settings.minRetriesPerWindow = 2.9;
    settings.retryBudgetWindow = 10s;
    settings.retryBurstWindow = 2s;
    return settings;
  }

  void adoptSnapshot() {
    NewsMsg news;
    news.commit = declared.view.index();
    news.snapshots.push_back(declared.view.snapshot());
    give(agentAddress, news);
  }
  void give(const std::string& from, const Message& message) {
    Effects effects{now, randomSource, edge->journal, {}, {}};
    edge->handle(effects, from, message);
    keep(effects);
  }
  void tick() {
    Effects effects{now, randomSource, edge->journal, {}, {}};
    edge->tick(effects);
    keep(effects);
  }
  void keep(Effects& effects) {
    std::vector<FeedAsk> asks;
    for (auto& [to, message] : effects.sends) {
      if (auto* ask = std::get_if<FeedAsk>(&message)) asks.push_back(*ask);
      if (auto* order = std::get_if<WorkerOrder>(&message)) sends[order->callerOrderId].push_back(*order);
      if (auto* verdict = std::get_if<CallerVerdict>(&message)) verdicts[verdict->orderId].push_back(*verdict);
      if (auto* lookup = std::get_if<LookupMsg>(&message)) lookups.push_back(*lookup);
      drops += std::holds_alternative<WorkerDrop>(message);
      sent.push_back(Sent{now, to, std::move(message)});
    }
    if (feeds)
      for (const auto& ask : asks) give(agentAddress, FeedReply{ask.sentAt, 0, declared.view.index(), true});
  }
  void run(Duration span, Duration step = 10ms) {
    for (TimePoint until = now + span; now < until;) {
      now += step;
      tick();
    }
  }
  void change(const std::string& text, ChangeFormat changeFormat = ChangeFormat::patch) {
    LogEntry entry = declared.change(text, changeFormat);
    NewsMsg news;
    news.commit = entry.index;
    news.entries.push_back(entry);
    give(agentAddress, news);
    tick();
  }
  WorkerView& worker(const std::string& name, const std::string& zone = "north-a",
                     const std::string& weights = "moss/3", const std::string& service = "mill") {
    auto& news = cells[zone];
    news.zone = zone;
    news.term = 1;
    for (auto& row : news.workers)
      if (row.name == name) return row;
    news.workers.push_back(languageWorker(name, zone, weights, service));
    return news.workers.back();
  }
  WorkerView& store(const std::string& name, const std::string& zone) {
    auto& row = worker(name, zone, "", "barn");
    row.kind = "store";
    row.model.clear();
    return row;
  }
  void tell() {
    std::vector<Machine> machines;
    for (auto& [zone, news] : cells) {
      ++news.sequence;
      for (const auto& row : news.workers)
        if (row.kind == "language") machines.push_back(machineOf(row.name, zone));
      give(agentAddress, news);
    }
    list(machines);
  }
  static Machine machineOf(const std::string& name, const std::string& zone = "north-a") {
    Machine machine;
    machine.name = name;
    machine.address = name + ":80";
    machine.zone = zone;
    machine.kind = "language";
    machine.service = "mill";
    return machine;
  }
  void list(const std::vector<Machine>& machines) { give(agentAddress, MarksMsg{0, machines}); }
  void workers(int number) {
    for (int at = 1; at <= number; ++at) worker("w" + std::to_string(at));
    tell();
  }
  CallerOrder order(const std::string& path, const std::string& key = "key-a", const Strings& parts = {},
                    const std::vector<int>& tokens = {}) {
    CallerOrder ask;
    ask.orderId = "o/" + std::to_string(++orderCount);
    ask.host = "h";
    ask.path = path;
    ask.key = key;
    ask.model = "moss";
    ask.parts = parts;
    ask.partTokens = tokens;
    return ask;
  }
  std::string place(const CallerOrder& ask) {
    give("caller", ask);
    return ask.orderId;
  }
  std::string place(const std::string& path, const std::string& key = "key-a", const Strings& parts = {},
                    const std::vector<int>& tokens = {}) {
    return place(order(path, key, parts, tokens));
  }
  template <class T>
  std::vector<T> all() const {
    std::vector<T> rows;
    for (const auto& row : sent)
      if (auto* found = std::get_if<T>(&row.message)) rows.push_back(*found);
    return rows;
  }
  std::vector<WorkerOrder> sendsOf(const std::string& orderId) const {
    auto found = sends.find(orderId);
    return found == sends.end() ? std::vector<WorkerOrder>() : found->second;
  }
  std::vector<CallerVerdict> verdictsOf(const std::string& orderId) const {
    auto found = verdicts.find(orderId);
    return found == verdicts.end() ? std::vector<CallerVerdict>() : found->second;
  }
  CallerVerdict verdictOf(const std::string& orderId) const {
    auto rows = verdictsOf(orderId);
    cr_assert_eq(rows.size(), 1u, "%s has %zu verdicts", orderId.c_str(), rows.size());
    return rows[0];
  }
  WorkerOrder onlySend(const std::string& orderId) const {
    auto rows = sendsOf(orderId);
    cr_assert_eq(rows.size(), 1u, "%s was sent %zu times", orderId.c_str(), rows.size());
    return rows[0];
  }
  void end(const std::string& sendId, OrderOutcome outcome) {
    give("worker", WorkerEnd{sendId, static_cast<int>(outcome), static_cast<int>(Code::workerFull), 0, 0, 0});
  }
  std::string placeAndEnd(const CallerOrder& ask) {
    auto orderId = place(ask);
    answerLookups({});
    auto made = onlySend(orderId);
    end(made.orderId, OrderOutcome::done);
    return made.worker;
  }
  std::size_t answered{0};
  std::vector<LookupMsg> openLookups() {
    std::vector<LookupMsg> open(lookups.begin() + static_cast<std::ptrdiff_t>(answered), lookups.end());
    answered = lookups.size();
    return open;
  }
  /// Answers a lookup as the keeper's cell would: what it has, and the prompt tokens that wait there.
  void answer(const LookupMsg& ask, std::vector<int> hits, double waitingTokens = 0, double tokensPerMs = 30,
              int pendingHits = 0) {
    hits.resize(ask.hashes.size());
    give(agentAddress, LookupReply{ask.lookupId, ask.keeper, hits, waitingTokens, tokensPerMs, pendingHits});
  }
  void answerLookups(const std::map<std::string, std::vector<int>>& hits) {
    for (const auto& ask : openLookups()) {
      auto found = hits.find(ask.keeper);
      answer(ask, found == hits.end() ? std::vector<int>() : found->second);
    }
  }
};

inline Strings promptOf(int number, const std::string& question = "question") {
  return {"system", "document " + std::to_string(number), question};
}
inline const std::vector<int> promptTokens{300, 400, 50};

}  // namespace tt
