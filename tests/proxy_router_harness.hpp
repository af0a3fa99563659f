#pragma once
#include <criterion/criterion.h>

#include "proxy_router.hpp"
#include "timing_guard.hpp"

/// A harness that drives a ProxyRouter step by step, for the tests of routing.
namespace tt {

inline const std::string agentAddress = "agent:1";

/// A configuration that tests change with patches, as operators do.
class TestConfiguration {
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
  /// The field for which a patch is rejected, or "taken".
  std::string rejectedField(const std::string& text, ChangeFormat changeFormat = ChangeFormat::patch) const {
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

/// An alive and confirmed engine worker, as a cell update describes it.
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

/// A ProxyRouter whose agent, workers, clients and clock are played by the test.
struct ProxyHarness {
  struct SentMessage {
    TimePoint at;
    std::string to;
    Message message;
  };
  TimePoint now{std::chrono::hours(5)};
  std::mt19937_64 randomSource{11};
  TestConfiguration configuration;
  std::unique_ptr<ProxyRouter> router;
  std::vector<SentMessage> sent;
  /// The attempts of each request and the final statuses sent to its client, by the request's id.
  std::map<std::string, std::vector<WorkerOrder>> attempts;
  std::map<std::string, std::vector<CallerVerdict>> finalStatuses;
  std::vector<LookupMsg> lookups;
  std::size_t dropCount{0};
  std::map<std::string, CellNews> cells;
  bool answersFeedPolls{true};
  int requestCount{0};

  explicit ProxyHarness(const std::string& name = "proxy-1") : ProxyHarness(pathSettings(name), proxyConfiguration) {}
  ProxyHarness(const ProxyRouterSettings& settings, const std::string& configurationText) {
    router = std::make_unique<ProxyRouter>(settings);
    configuration.change(configurationText);
    sendSnapshot();
    tick();
  }
  /// Settings for routes that lead to a model, without host and path.
  static ProxyRouterSettings modelSettings(const std::string& name) {
    ProxyRouterSettings settings;
    settings.name = name;
    settings.address = name + ":1";
    settings.zone = "north-a";
    settings.agentAddress = agentAddress;
    return settings;
  }
  static ProxyRouterSettings pathSettings(const std::string& name) {
    ProxyRouterSettings settings = modelSettings(name);
    settings.maxPending = 256;
    settings.fetchWithinRequest = settings.letOpenRequestsFinish = true;
    settings.routePolicy = "fetch peer when hits >= 1\nfetch store when hits >= 1";
    settings.retryBudgetRatio = 0.15;
    settings.minRetriesPerWindow = 2.9;
    settings.retryBudgetWindow = 10s;
    settings.retryBurstWindow = 2s;
    return settings;
  }

  void sendSnapshot() {
    NewsMsg update;
    update.commit = configuration.view.index();
    update.snapshots.push_back(configuration.view.snapshot());
    deliver(agentAddress, update);
  }
  void deliver(const std::string& from, const Message& message) {
    Effects effects{now, randomSource, router->journal, {}, {}};
    router->handle(effects, from, message);
    collect(effects);
  }
  void tick() {
    Effects effects{now, randomSource, router->journal, {}, {}};
    router->tick(effects);
    collect(effects);
  }
  void collect(Effects& effects) {
    std::vector<FeedAsk> polls;
    for (auto& [to, message] : effects.sends) {
      if (auto* poll = std::get_if<FeedAsk>(&message)) polls.push_back(*poll);
      if (auto* attempt = std::get_if<WorkerOrder>(&message)) attempts[attempt->clientRequestId].push_back(*attempt);
      if (auto* status = std::get_if<CallerVerdict>(&message)) finalStatuses[status->requestId].push_back(*status);
      if (auto* lookup = std::get_if<LookupMsg>(&message)) lookups.push_back(*lookup);
      dropCount += std::holds_alternative<WorkerDrop>(message);
      sent.push_back(SentMessage{now, to, std::move(message)});
    }
    if (answersFeedPolls)
      for (const auto& poll : polls) deliver(agentAddress, FeedReply{poll.sentAt, 0, configuration.view.index(), true});
  }
  void run(Duration duration, Duration step = 10ms) {
    for (TimePoint until = now + duration; now < until;) {
      now += step;
      tick();
    }
  }
  void change(const std::string& text, ChangeFormat changeFormat = ChangeFormat::patch) {
    LogEntry entry = configuration.change(text, changeFormat);
    NewsMsg update;
    update.commit = entry.index;
    update.entries.push_back(entry);
    deliver(agentAddress, update);
    tick();
  }
  WorkerView& worker(const std::string& name, const std::string& zone = "north-a",
                     const std::string& weights = "moss/3", const std::string& service = "mill") {
    auto& cell = cells[zone];
    cell.zone = zone;
    cell.term = 1;
    for (auto& row : cell.workers)
      if (row.name == name) return row;
    cell.workers.push_back(languageWorker(name, zone, weights, service));
    return cell.workers.back();
  }
  WorkerView& store(const std::string& name, const std::string& zone) {
    auto& row = worker(name, zone, "", "barn");
    row.kind = "store";
    row.model.clear();
    return row;
  }
  /// Delivers the state of all cells, and a machine list with their engine workers.
  void publishCells() {
    std::vector<Machine> machines;
    for (auto& [zone, cell] : cells) {
      ++cell.sequence;
      for (const auto& row : cell.workers)
        if (row.kind == "language") machines.push_back(machineOf(row.name, zone));
      deliver(agentAddress, cell);
    }
    setMachineList(machines);
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
  void setMachineList(const std::vector<Machine>& machines) { deliver(agentAddress, MarksMsg{0, machines}); }
  void addWorkers(int number) {
    for (int at = 1; at <= number; ++at) worker("w" + std::to_string(at));
    publishCells();
  }
  CallerOrder clientRequest(const std::string& path, const std::string& key = "key-a", const Strings& parts = {},
                            const std::vector<int>& tokens = {}) {
    CallerOrder request;
    request.requestId = "o/" + std::to_string(++requestCount);
    request.host = "h";
    request.path = path;
    request.key = key;
    request.model = "moss";
    request.parts = parts;
    request.partTokens = tokens;
    return request;
  }
  /// A request on a route that leads to a model.
  CallerOrder modelRequest(const std::string& route, const std::string& key) {
    CallerOrder request = clientRequest("", key, {"system", "document", "question"});
    request.host.clear();
    request.route = route;
    return request;
  }
  std::string submit(const CallerOrder& request) {
    deliver("caller", request);
    return request.requestId;
  }
  std::string submit(const std::string& path, const std::string& key = "key-a", const Strings& parts = {},
                     const std::vector<int>& tokens = {}) {
    return submit(clientRequest(path, key, parts, tokens));
  }
  template <class T>
  std::vector<T> all() const {
    std::vector<T> rows;
    for (const auto& row : sent)
      if (auto* found = std::get_if<T>(&row.message)) rows.push_back(*found);
    return rows;
  }
  std::vector<WorkerOrder> attemptsOf(const std::string& requestId) const {
    auto found = attempts.find(requestId);
    return found == attempts.end() ? std::vector<WorkerOrder>() : found->second;
  }
  std::vector<CallerVerdict> finalStatusesOf(const std::string& requestId) const {
    auto found = finalStatuses.find(requestId);
    return found == finalStatuses.end() ? std::vector<CallerVerdict>() : found->second;
  }
  CallerVerdict finalStatusOf(const std::string& requestId) const {
    auto rows = finalStatusesOf(requestId);
    cr_assert_eq(rows.size(), 1u, "%s has %zu final statuses", requestId.c_str(), rows.size());
    return rows[0];
  }
  WorkerOrder onlyAttempt(const std::string& requestId) const {
    auto rows = attemptsOf(requestId);
    cr_assert_eq(rows.size(), 1u, "%s was sent %zu times", requestId.c_str(), rows.size());
    return rows[0];
  }
  void endAttempt(const std::string& attemptId, AttemptOutcome outcome) {
    deliver("worker", WorkerEnd{attemptId, static_cast<int>(outcome), static_cast<int>(Code::workerFull), 0, 0, 0});
  }
  std::string submitAndFinish(const CallerOrder& request) {
    auto requestId = submit(request);
    replyToLookups({});
    auto attempt = onlyAttempt(requestId);
    endAttempt(attempt.requestId, AttemptOutcome::done);
    return attempt.worker;
  }
  std::size_t repliedLookups{0};
  /// The lookups sent since the last call.
  std::vector<LookupMsg> newLookups() {
    std::vector<LookupMsg> open(lookups.begin() + static_cast<std::ptrdiff_t>(repliedLookups), lookups.end());
    repliedLookups = lookups.size();
    return open;
  }
  /// Replies to a lookup as the candidate's cell would: with the parts that the candidate has cached, and the prompt
  /// tokens that wait for their prefill there.
  void replyTo(const LookupMsg& lookup, std::vector<int> hits, double waitingTokens = 0, double tokensPerMs = 30,
               int pendingHits = 0) {
    hits.resize(lookup.hashes.size());
    deliver(agentAddress,
            LookupReply{lookup.lookupId, lookup.cacheNode, hits, waitingTokens, tokensPerMs, pendingHits});
  }
  void replyToLookups(const std::map<std::string, std::vector<int>>& hits) {
    for (const auto& lookup : newLookups()) {
      auto found = hits.find(lookup.cacheNode);
      replyTo(lookup, found == hits.end() ? std::vector<int>() : found->second);
    }
  }
};

inline Strings promptOf(int number, const std::string& question = "question") {
  return {"system", "document " + std::to_string(number), question};
}
inline const std::vector<int> promptTokens{300, 400, 50};

}  // namespace tt
