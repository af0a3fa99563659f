#include "scale.hpp"

#include <fmt/format.h>
#include <algorithm>
#include <ctime>

namespace tt {

thread_local std::int64_t* heapAccount = nullptr;

std::int64_t threadCpuNs() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1000000000 + time.tv_nsec;
}

namespace {
constexpr Span tickEvery = 20ms;
constexpr Span syncSpan = 2ms;
constexpr Span pollWait = 400ms;
constexpr Span formMost = 60s;
constexpr Span settleSpan = 3s;
constexpr Span requestWarmth = 3s;
constexpr Span firstPieceAfter = 300ms;
constexpr Span answerSpan = 2s;
constexpr int answerPieces = 8;
constexpr std::size_t frameHead = 4;

/// What reading the thread's clock twice costs, taken off each measured span.
std::int64_t clockCostNs() {
  static const std::int64_t cost = [] {
    std::vector<double> costs;
    for (int turn = 0; turn < 2001; ++turn) {
      std::int64_t start = threadCpuNs();
      costs.push_back(static_cast<double>(threadCpuNs() - start));
    }
    return static_cast<std::int64_t>(spreadOf(costs).median);
  }();
  return cost;
}

class HeapScope {
 public:
  explicit HeapScope(std::int64_t* account) : before(heapAccount) { heapAccount = account; }
  ~HeapScope() { heapAccount = before; }

 private:
  std::int64_t* before;
};

class MemoryFiles : public RingFiles {
 public:
  MemoryFiles(int files, std::size_t bytes) : rows(static_cast<std::size_t>(files), std::string(bytes, '\0')) {}
  Result<std::string> readAll(int file) override { return rows[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    rows[static_cast<std::size_t>(file)].replace(offset, bytes.size(), bytes);
    written += static_cast<std::int64_t>(bytes.size());
    return boost::outcome_v2::success();
  }
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(rows.size()); }
  std::size_t size() const override { return rows[0].size(); }
  std::vector<std::string> rows;
  std::int64_t written{0};
};

std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}
BlockHash blockOf(std::uint64_t worker, std::uint64_t number) {
  return BlockHash{mix(worker << 40 ^ number), mix(number << 20 ^ worker)};
}

std::string zoneName(const FleetSize& size, int zone) {
  return fmt::format("region-{}-zone-{}", zone % size.regions + 1, zone / size.regions + 1);
}
std::string secretOf(int tenant) { return fmt::format("sk-{:040x}", mix(static_cast<std::uint64_t>(tenant))); }
std::string modelName(int model) { return fmt::format("model-{}", model + 1); }
std::string serviceName(int model) { return fmt::format("service-{}", model + 1); }

Json tenantItem(int tenant) {
  JsonObject item;
  item["secrets"] = Json(JsonArray{Json(secretOf(tenant))});
  item["priority"] = jsonNumber(tenant % 10);
  item["isolated"] = Json(tenant % 4 == 0);
  return Json(item);
}
Json routeItem(int tenant, int models) {
  JsonObject item;
  item["host"] = Json(fmt::format("tenant-{}.example", tenant));
  item["prefix"] = Json(std::string("/v1"));
  item["service"] = Json(serviceName(tenant % models));
  item["timeoutMs"] = jsonNumber(60000);
  item["aimMs"] = jsonNumber(1600);
  item["gapMs"] = jsonNumber(62);
  item["tries"] = jsonNumber(3);
  item["priority"] = jsonNumber(5);
  item["resumable"] = Json(true);
  return Json(item);
}
std::string firstSections(int tenants, int models) {
  JsonObject whole, tenantRows, routeRows, serviceRows;
  for (int tenant = 0; tenant < tenants; ++tenant) {
    tenantRows[fmt::format("tenant-{}", tenant)] = tenantItem(tenant);
    routeRows[fmt::format("route-{}", tenant)] = routeItem(tenant, models);
  }
  for (int model = 0; model < models; ++model) serviceRows[serviceName(model)] = Json(JsonObject());
  whole["tenants"] = Json(tenantRows);
  whole["routes"] = Json(routeRows);
  whole["services"] = Json(serviceRows);
  return Json(whole).serialize();
}
std::string modelSections(int models) {
  JsonObject whole, modelRows, weightRows;
  for (int model = 0; model < models; ++model) {
    JsonObject modelRow, weightRow;
    std::string weights = modelName(model) + "/1";
    modelRow["weights"] = Json(weights);
    weightRow["model"] = Json(modelName(model));
    modelRows[modelName(model)] = Json(modelRow);
    weightRows[weights] = Json(weightRow);
  }
  whole["models"] = Json(modelRows);
  whole["weights"] = Json(weightRows);
  return Json(whole).serialize();
}
std::string tenantChange(int tenant, int turn) {
  JsonObject whole, rows;
  Json item = tenantItem(tenant);
  item.get<JsonObject>()["priority"] = jsonNumber(turn % 10);
  item.get<JsonObject>()["at"] = Json(fmt::format("desk-{}", turn));
  rows[fmt::format("tenant-{}", tenant)] = item;
  whole["tenants"] = Json(rows);
  return Json(whole).serialize();
}

Machine machineOf(const FleetSize& size, int worker) {
  int zone = worker % size.zones, model = (worker + worker / size.zones) % size.models;
  return Machine{fmt::format("worker-{:04}", worker),
                 fmt::format("10.{}.{}.{}:8000", 100 + zone, worker / 250 % 250, worker % 250),
                 zoneName(size, zone),
                 "language",
                 false,
                 serviceName(model),
                 modelName(model),
                 modelName(model) + "/1",
                 4};
}

CellSettings platformCell() {
  CellSettings settings;
  settings.apart = settings.loadsWhole = settings.seedsForm = true;
  settings.summaries = false;
  settings.askEvery = 100ms;
  settings.sweepEvery = 8s;
  settings.lateAfter = 1500ms;
  settings.goneAfter = 2s;
  settings.publishEvery = 100ms;
  settings.markWait = 400ms;
  settings.rolloutSpan = 7800ms;
  return settings;
}
EdgeSettings platformEdge(const std::string& name, const std::string& address, const std::string& zone,
                          const std::string& agentAddress) {
  EdgeSettings settings;
  settings.name = name;
  settings.address = address;
  settings.locality = zone;
  settings.agentAddress = agentAddress;
  settings.pendingMost = 256;
  settings.sourceRides = settings.openGoOn = true;
  settings.routePolicy = "fetch peer when hits >= 1\nfetch store when hits >= 1";
  settings.retryShare = 0.15;
  settings.retryLeast = 2.9;
  settings.retrySpan = 10s;
  settings.retryAtOnce = 2s;
  return settings;
}
void setPlatformTiming() {
  static const bool done = [] {
    timing.freshFor = 4s;
    timing.readersWait = 666ms;
    timing.listEvery = 600ms;
    timing.listOld = 1500ms;
    timing.commandRest = 3300ms;
    timing.rolloutMost = 10500ms;
    timing.memberGone = 6s;
    timing.votersLeast = 3;
    timing.feedEvery = 200ms;
    return true;
  }();
  (void)done;
}

CallerOrder orderOf(const FleetSize& size, std::uint64_t number) {
  int tenant = static_cast<int>(mix(number) % static_cast<std::uint64_t>(std::max(1, size.tenants)));
  CallerOrder order;
  order.orderId = fmt::format("order-{}", number);
  order.key = secretOf(tenant);
  order.host = fmt::format("tenant-{}.example", tenant);
  order.path = "/v1/chat";
  order.model = modelName(tenant % size.models);
  order.parts = {fmt::format("system-{}", tenant), fmt::format("document-{}", number % 64),
                 fmt::format("turn-{}", number)};
  order.partTokens = {600, 1200, 200};
  order.maxTokens = 470;
  order.deadlineMs = 60000;
  return order;
}

class HollowFleet {
 public:
  HollowFleet(const FleetSize& fleetSize, std::uint64_t seed)
      : size(fleetSize), randomSource(seed), clock(Moment(std::chrono::hours(1))) {
    setPlatformTiming();
    clockCost = clockCostNs();
    for (int worker = 0; worker < size.workers; ++worker) {
      workers.push_back(HollowWorker{machineOf(size, worker), clock, 0});
      workerByAddress[workers.back().machine.address] = worker;
    }
  }
  Result<FleetCost> run();

 private:
  enum class What { frame, message, tick, sync };
  struct Due {
    Moment at;
    std::uint64_t number{0};
    What what{What::tick};
    std::size_t to{0};
    std::string from, frame;
    std::shared_ptr<Message> message;
  };
  struct Actor {
    std::string role, name, address;
    std::unique_ptr<Node> node;
    std::unique_ptr<MemoryFiles> files;
    std::unique_ptr<Ring> ring;
    std::vector<Effects::Save> saves;
    bool syncing{false};
    std::string beside;
    DaemonCost cost;
    std::int64_t heap{0}, writtenBefore{0};
  };
  struct HollowWorker {
    Machine machine;
    Moment since;
    std::int64_t offset{0};
  };
  FleetSize size;
  std::mt19937_64 randomSource;
  Moment clock;
  std::int64_t clockCost{0};
  std::uint64_t dueCount{0}, requestCount{0};
  std::vector<Due> dues;
  std::vector<std::unique_ptr<Actor>> actors;
  std::unordered_map<std::string, std::size_t> actorByAddress;
  std::vector<HollowWorker> workers;
  std::unordered_map<std::string, int> workerByAddress;
  std::vector<std::size_t> coreAt, agentAt, proxyAt;
  bool measuring{false};
  FleetCost outcome;
  struct Change {
    Moment askedAt, ackedAt{}, agentsAt{}, proxiesAt{};
    std::uint64_t index{0};
    int code{-1};
  };
  std::map<std::string, Change> changes;
  const std::string cloudAddress{"10.0.0.1:80"};

  static bool later(const Due& one, const Due& other) {
    return one.at != other.at ? one.at > other.at : one.number > other.number;
  }
  void push(Due due) {
    due.number = ++dueCount;
    dues.push_back(std::move(due));
    std::push_heap(dues.begin(), dues.end(), later);
  }
  std::size_t add(const std::string& role, const std::string& name, const std::string& address,
                  const std::function<void(Actor&)>& make);
  void startCores();
  void startDaemons();
  void drive(std::size_t at, const std::string& cause, std::int64_t bytesIn, bool local,
             const std::function<void(Effects&)>& action);
  void carry(std::size_t at, std::vector<std::pair<std::string, std::string>>& frames,
             std::vector<std::pair<std::string, Message>>& direct);
  void toWorker(std::size_t core, int worker, const Message& message);
  void fromPlatform(std::size_t core, std::int64_t askedAt);
  void toProxy(std::size_t proxy, const WorkerOrder& order);
  std::int64_t eventsOf(const HollowWorker& worker, Moment at) const;
  Report reportOf(int worker, std::int64_t after, bool whole) const;
  void step(Due due);
  void runUntil(Moment until);
  Core& core(std::size_t number) { return static_cast<Core&>(*actors[coreAt[number]]->node); }
  Agent& agent(std::size_t number) { return static_cast<Agent&>(*actors[agentAt[number]]->node); }
  Edge& proxy(std::size_t number) { return static_cast<Edge&>(*actors[proxyAt[number]]->node); }
  std::size_t leader();
  std::size_t countVoters();
  std::size_t countFresh();
  void ask(const std::string& changeId, const std::string& body, Manner manner, std::int64_t toRevision);
  void watchChanges();
};

std::size_t HollowFleet::add(const std::string& role, const std::string& name, const std::string& address,
                             const std::function<void(Actor&)>& make) {
  std::size_t at = actors.size();
  actors.push_back(std::make_unique<Actor>());
  auto& actor = *actors.back();
  actor.role = role;
  actor.name = name;
  actor.address = address;
  actorByAddress[address] = at;
  {
    HeapScope scope(&actor.heap);
    make(actor);
  }
  Span phase(static_cast<std::int64_t>(randomSource() % static_cast<std::uint64_t>(Span(tickEvery).count())));
  push(Due{clock + phase, 0, What::tick, at, {}, {}, {}});
  return at;
}

void HollowFleet::startCores() {
  Strings seeds, localities;
  for (int number = 0; number < std::min(3, size.cores); ++number)
    seeds.push_back(fmt::format("10.1.{}.1:7000", number));
  for (int zone = 0; zone < size.zones; ++zone) localities.push_back(zoneName(size, zone));
  for (int number = 0; number < size.cores; ++number) {
    std::string address = fmt::format("10.1.{}.1:7000", number);
    coreAt.push_back(add("core", fmt::format("core-{}", number), address, [&](Actor& actor) {
      {
        HeapScope none(nullptr);
        actor.files = std::make_unique<MemoryFiles>(4, 4u << 20);
      }
      auto ring = Ring::open(*actor.files);
      actor.ring = std::move(ring.value());
      CoreSettings settings;
      settings.name = actor.name;
      settings.address = address;
      settings.locality = zoneName(size, number * size.zones / size.cores);
      settings.platformAddress = cloudAddress;
      settings.seeds = seeds;
      settings.localities = localities;
      settings.cell = platformCell();
      actor.node = std::make_unique<Core>(settings, actor.ring->held(), randomSource, clock);
    }));
  }
}

void HollowFleet::startDaemons() {
  Strings seeds;
  for (int number = 0; number < std::min(3, size.cores); ++number)
    seeds.push_back(actors[coreAt[static_cast<std::size_t>(number)]]->address);
  for (int number = 0; number < size.daemons; ++number) {
    std::string zone = zoneName(size, number % size.zones),
                host = fmt::format("10.2.{}.{}", number / 250, number % 250);
    std::string name = fmt::format("edge-{:04}", number);
    agentAt.push_back(add("agent", name, host + ":7001", [&](Actor& actor) {
      AgentSettings settings;
      settings.name = name;
      settings.address = actor.address;
      settings.locality = zone;
      settings.seeds = seeds;
      actor.node = std::make_unique<Agent>(settings);
      actor.beside = host + ":7002";
    }));
    proxyAt.push_back(add("proxy", name, host + ":7002", [&](Actor& actor) {
      actor.node = std::make_unique<Edge>(platformEdge(name, actor.address, zone, host + ":7001"));
      actor.beside = host + ":7001";
    }));
    runUntil(clock + Span(2s) / size.daemons);
  }
}

void HollowFleet::drive(std::size_t at, const std::string& cause, std::int64_t bytesIn, bool local,
                        const std::function<void(Effects&)>& action) {
  auto& actor = *actors[at];
  std::vector<std::pair<std::string, std::string>> frames;
  std::vector<std::pair<std::string, Message>> direct;
  std::int64_t spent = 0;
  {
    HeapScope scope(&actor.heap);
    std::vector<std::pair<std::string, std::string>> ownFrames;
    std::int64_t start = threadCpuNs();
    Effects effects{clock, randomSource, actor.node->journal, {}, {}};
    action(effects);
    for (auto& [to, message] : effects.sends)
      if (to != actor.address && actorByAddress.count(to)) ownFrames.emplace_back(to, encodeMessage(message));
    spent = std::max<std::int64_t>(0, threadCpuNs() - start - clockCost);
    for (auto& save : effects.saves) actor.saves.push_back(std::move(save));
    HeapScope none(nullptr);
    frames = ownFrames;
    for (const auto& [to, message] : effects.sends)
      if (to == actor.address || !actorByAddress.count(to)) direct.emplace_back(to, message);
  }
  if (measuring) {
    auto& kind = actor.cost.byMessage[cause];
    ++kind.count;
    kind.cpuNs += spent;
    kind.bytesIn += bytesIn;
    ++actor.cost.fleet.count;
    actor.cost.fleet.cpuNs += spent;
    (local ? actor.cost.localBytes : actor.cost.fleet.bytesIn) += bytesIn;
  }
  carry(at, frames, direct);
  if (!actor.saves.empty() && !actor.syncing) {
    actor.syncing = true;
    push(Due{clock + syncSpan, 0, What::sync, at, {}, {}, {}});
  }
}

void HollowFleet::carry(std::size_t at, std::vector<std::pair<std::string, std::string>>& frames,
                        std::vector<std::pair<std::string, Message>>& direct) {
  auto& actor = *actors[at];
  for (auto& [to, frame] : frames) {
    if (measuring) {
      auto bytes = static_cast<std::int64_t>(frame.size() + frameHead);
      std::uint16_t number =
          static_cast<std::uint16_t>(static_cast<unsigned char>(frame[0]) | static_cast<unsigned char>(frame[1]) << 8);
      auto& kind = actor.cost.byMessage["sends " + std::to_string(number)];
      ++kind.count;
      kind.bytesOut += bytes;
      (to == actor.beside ? actor.cost.localBytes : actor.cost.fleet.bytesOut) += bytes;
    }
    push(Due{clock + (to == actor.beside ? Span(50us) : size.link),
             0,
             What::frame,
             actorByAddress[to],
             actor.address,
             std::move(frame),
             {}});
  }
  for (auto& [to, message] : direct) {
    if (to == actor.address) {
      push(Due{clock, 0, What::message, at, actor.address, {}, std::make_shared<Message>(std::move(message))});
    } else if (to == cloudAddress) {
      if (auto* list = std::get_if<MachinesAsk>(&message)) fromPlatform(at, list->askedAt);
    } else if (auto worker = workerByAddress.find(to); worker != workerByAddress.end()) {
      if (measuring) ++actor.cost.workerMessages;
      if (auto* order = std::get_if<WorkerOrder>(&message))
        toProxy(at, *order);
      else
        toWorker(at, worker->second, message);
    } else if (auto* reply = std::get_if<OperatorResponse>(&message)) {
      auto change = changes.find(to);
      if (change == changes.end()) continue;
      change->second.code = reply->code;
      change->second.ackedAt = clock;
    } else if (auto* verdict = std::get_if<CallerVerdict>(&message)) {
      if (measuring) outcome.requestsDone += verdict->verdict == "done";
    }
  }
}

std::int64_t HollowFleet::eventsOf(const HollowWorker& worker, Moment at) const {
  double rate = size.eventsPerSecond / size.workers;
  return static_cast<std::int64_t>(rate * std::chrono::duration<double>(at - worker.since).count());
}

Report HollowFleet::reportOf(int number, std::int64_t after, bool whole) const {
  const auto& worker = workers[static_cast<std::size_t>(number)];
  std::int64_t reach = eventsOf(worker, clock), kept = size.blocks / std::max(1, size.workers);
  Report report;
  report.worker = worker.machine.name;
  report.scope = static_cast<int>(Scope::index);
  report.incarnation = "1";
  report.gaps = true;
  report.whole = whole;
  report.sequence = static_cast<Count>(reach);
  auto own = static_cast<std::uint64_t>(number);
  if (whole) {
    for (std::int64_t block = reach / 2; block < kept + (reach + 1) / 2; ++block)
      report.kept.push_back(blockOf(own, static_cast<std::uint64_t>(block)));
    return report;
  }
  for (std::int64_t event = after + 1; event <= reach; ++event) {
    bool stored = event % 2 == 1;
    auto block = static_cast<std::uint64_t>(stored ? kept + (event - 1) / 2 : event / 2 - 1);
    report.events.push_back(KeptEvent{static_cast<Count>(event),
                                      static_cast<int>(stored ? KeptKind::stored : KeptKind::removed),
                                      {blockOf(own, block)}});
  }
  return report;
}

void HollowFleet::toWorker(std::size_t at, int number, const Message& message) {
  const auto& worker = workers[static_cast<std::size_t>(number)];
  auto* asked = std::get_if<ReportAsk>(&message);
  if (!asked) return;
  auto reply = std::make_shared<Message>();
  Moment when = clock + 2 * size.link;
  if (asked->scope == static_cast<int>(Scope::condition)) {
    Report report;
    report.worker = worker.machine.name;
    report.scope = static_cast<int>(Scope::condition);
    report.model = worker.machine.model;
    report.weights = worker.machine.weights;
    report.running = 2;
    report.slots = worker.machine.slots;
    *reply = report;
  } else if (asked->whole || eventsOf(worker, clock) > static_cast<std::int64_t>(asked->after)) {
    *reply = reportOf(number, static_cast<std::int64_t>(asked->after), asked->whole);
  } else {
    *reply = *asked;
    double rate = size.eventsPerSecond / size.workers;
    Span wait =
        rate > 0 ? std::min<Span>(pollWait, std::chrono::duration_cast<Span>(std::chrono::duration<double>(1 / rate)))
                 : Span(pollWait);
    when += wait;
  }
  push(Due{when, 0, What::message, at, worker.machine.address, {}, std::move(reply)});
}

void HollowFleet::fromPlatform(std::size_t at, std::int64_t askedAt) {
  MachinesReply reply;
  reply.askedAt = askedAt;
  for (const auto& worker : workers) reply.machines.push_back(worker.machine);
  push(
      Due{clock + 10 * size.link, 0, What::message, at, cloudAddress, {}, std::make_shared<Message>(std::move(reply))});
}

void HollowFleet::toProxy(std::size_t at, const WorkerOrder& order) {
  Moment when = clock + firstPieceAfter;
  auto give = [&](Message message) {
    push(Due{when, 0, What::message, at, order.worker, {}, std::make_shared<Message>(std::move(message))});
  };
  give(WorkerLoad{order.orderId, 2, 0, 4});
  for (int piece = 0; piece < answerPieces; ++piece) {
    give(WorkerChunk{order.orderId, std::string(200, 'x'), std::to_string(piece)});
    when += answerSpan / answerPieces;
  }
  give(WorkerEnd{order.orderId, static_cast<int>(Outcome::done), static_cast<int>(Code::done), 0, 0, 0});
}

void HollowFleet::step(Due due) {
  auto& actor = *actors[due.to];
  if (due.what == What::tick) {
    drive(due.to, "tick", 0, false, [&](Effects& effects) { actor.node->tick(effects); });
    push(Due{clock + tickEvery, 0, What::tick, due.to, {}, {}, {}});
  } else if (due.what == What::frame) {
    bool local = due.from == actor.beside;
    std::uint16_t number = static_cast<std::uint16_t>(static_cast<unsigned char>(due.frame[0]) |
                                                      static_cast<unsigned char>(due.frame[1]) << 8);
    drive(due.to, "takes " + std::to_string(number), static_cast<std::int64_t>(due.frame.size() + frameHead), local,
          [&](Effects& effects) {
            auto message = decodeMessage(due.frame);
            if (message) actor.node->take(effects, due.from, message.value());
          });
  } else if (due.what == What::message) {
    Message held = std::move(*due.message);
    if (auto* asked = std::get_if<ReportAsk>(&held))
      held = reportOf(workerByAddress[due.from], static_cast<std::int64_t>(asked->after), false);
    if (auto* report = std::get_if<Report>(&held); report && measuring)
      outcome.eventsTaken += static_cast<std::int64_t>(report->events.size());
    drive(due.to, std::string("takes ") + std::to_string(held.index()), 0, false,
          [&](Effects& effects) { actor.node->take(effects, due.from, held); });
  } else {
    std::vector<Effects::Save> batch;
    batch.swap(actor.saves);
    actor.syncing = false;
    drive(due.to, "sync", 0, false, [&](Effects& effects) {
      std::vector<Record> records;
      for (const auto& save : batch) records.push_back(save.record);
      if (actor.ring) (void)actor.ring->append(records);
      for (auto& save : batch)
        if (save.then) save.then(effects);
    });
    HeapScope scope(&actor.heap);
    batch.clear();
    batch.shrink_to_fit();
  }
}

void HollowFleet::runUntil(Moment until) {
  while (!dues.empty() && dues.front().at <= until) {
    std::pop_heap(dues.begin(), dues.end(), later);
    Due due = std::move(dues.back());
    dues.pop_back();
    clock = std::max(clock, due.at);
    step(std::move(due));
  }
  clock = until;
}

std::size_t HollowFleet::leader() {
  for (std::size_t number = 0; number < coreAt.size(); ++number)
    if (core(number).agreement().leads(clock)) return number;
  return 0;
}

std::size_t HollowFleet::countVoters() {
  std::size_t count = 0;
  for (const auto& member : core(leader()).agreement().members()) count += member.votes;
  return count;
}

std::size_t HollowFleet::countFresh() {
  std::size_t count = 0;
  for (std::size_t number = 0; number < agentAt.size(); ++number)
    count += agent(number).fresh(clock) && proxy(number).fresh(clock) && proxy(number).configuration().revision() > 0;
  return count;
}

void HollowFleet::ask(const std::string& changeId, const std::string& body, Manner manner, std::int64_t toRevision) {
  changes[changeId].askedAt = clock;
  OperatorRequest change;
  change.askId = changeId;
  change.body = body;
  change.ifRevision = -1;
  change.manner = static_cast<int>(manner);
  change.changeId = changeId;
  change.toRevision = toRevision;
  push(Due{clock,
           0,
           What::message,
           coreAt[(leader() + 1) % coreAt.size()],
           changeId,
           {},
           std::make_shared<Message>(std::move(change))});
}

void HollowFleet::watchChanges() {
  for (auto& [changeId, change] : changes) {
    if (change.proxiesAt != Moment{} && change.agentsAt != Moment{}) continue;
    if (change.index == 0) {
      for (const auto& entry : core(leader()).agreement().entries())
        if (entry.changeId == changeId) change.index = entry.index;
      if (change.index == 0) continue;
    }
    bool agents = true, proxies = true;
    for (std::size_t number = 0; number < agentAt.size(); ++number) {
      agents = agents && agent(number).configuration().index() >= change.index;
      proxies = proxies && proxy(number).configuration().index() >= change.index;
    }
    if (agents && change.agentsAt == Moment{}) change.agentsAt = clock;
    if (proxies && change.proxiesAt == Moment{}) change.proxiesAt = clock;
  }
}

Result<FleetCost> HollowFleet::run() {
  Moment startedAt = clock;
  startCores();
  while (countVoters() < static_cast<std::size_t>(size.cores) && clock - startedAt < formMost) runUntil(clock + 200ms);
  outcome.voters = static_cast<std::int64_t>(countVoters());
  if (outcome.voters != size.cores)
    return fault(Code::notLeading, "cores", fmt::format("{} of {} cores vote", outcome.voters, size.cores));
  ask("first", firstSections(size.tenants, size.models), Manner::sections, 1);
  runUntil(clock + 1s);
  ask("models", modelSections(size.models), Manner::items, -1);
  startDaemons();
  Moment waitedAt = clock;
  runUntil(clock + settleSpan);
  while (countFresh() < agentAt.size() && clock - waitedAt < formMost) runUntil(clock + 500ms);
  outcome.freshAgents = static_cast<std::int64_t>(countFresh());
  if (changes["first"].code != static_cast<int>(Code::changeTaken) ||
      changes["models"].code != static_cast<int>(Code::changeTaken))
    return fault(Code::blueprintBad, "blueprint",
                 fmt::format("first changes ended with {} and {}", changes["first"].code, changes["models"].code));
  if (outcome.freshAgents != size.daemons)
    return fault(Code::staleEdge, "daemons", fmt::format("{} of {} are fresh", outcome.freshAgents, size.daemons));
  changes.clear();
  Moment begin = clock + (size.requestsPerSecond > 0 ? requestWarmth : Span(0)), end = begin + size.measured;
  auto spanOf = [](double perSecond) {
    return perSecond > 0 ? std::chrono::duration_cast<Span>(std::chrono::duration<double>(1 / perSecond)) : Span::max();
  };
  Span changeEvery = spanOf(size.changesPerHour / 3600), requestEvery = spanOf(size.requestsPerSecond),
       markEvery = spanOf(size.markChangesPerHour / 3600);
  auto firstAt = [&](Span every) { return every == Span::max() ? Moment::max() : begin + every / 2; };
  Moment changeAt = firstAt(changeEvery), requestAt = requestEvery == Span::max() ? Moment::max() : clock,
         markAt = firstAt(markEvery);
  int changeCount = 0, markCount = 0;
  while (clock < end) {
    if (clock >= begin && !measuring) {
      measuring = true;
      for (std::size_t at : coreAt) actors[at]->writtenBefore = actors[at]->files->written;
    }
    Moment next = std::min({measuring ? end : begin, changeAt, requestAt, markAt});
    if (!changes.empty()) next = std::min(next, clock + 1ms);
    runUntil(next);
    if (clock >= changeAt) {
      ask(fmt::format("change-{}", changeCount), tenantChange(changeCount % std::max(1, size.tenants), changeCount),
          Manner::items, 2 + changeCount);
      ++changeCount;
      changeAt += changeEvery;
    }
    if (clock >= markAt) {
      auto& worker = workers[mix(static_cast<std::uint64_t>(markCount++)) % workers.size()];
      worker.machine.leaving = !worker.machine.leaving;
      markAt += markEvery;
    }
    if (clock >= requestAt) {
      std::size_t at = proxyAt[requestCount % proxyAt.size()];
      push(Due{clock, 0, What::message, at, "caller", {}, std::make_shared<Message>(orderOf(size, ++requestCount))});
      requestAt += requestEvery;
    }
    if (!changes.empty()) watchChanges();
  }
  outcome.seconds = std::chrono::duration<double>(end - begin).count();
  measuring = false;
  auto ms = [](Span span) { return std::chrono::duration<double, std::milli>(span).count(); };
  for (const auto& [changeId, change] : changes) {
    if (change.code > 0 && change.code != static_cast<int>(Code::changeTaken))
      return fault(static_cast<Code>(change.code), changeId);
    if (change.ackedAt != Moment{}) outcome.ackMs.push_back(ms(change.ackedAt - change.askedAt));
    if (change.agentsAt != Moment{}) outcome.agentsMs.push_back(ms(change.agentsAt - change.askedAt));
    if (change.proxiesAt != Moment{}) outcome.proxiesMs.push_back(ms(change.proxiesAt - change.askedAt));
  }
  std::map<std::string, int> followersByAddress;
  for (std::size_t number = 0; number < agentAt.size(); ++number) ++followersByAddress[agent(number).followed()];
  for (std::size_t number = 0; number < coreAt.size(); ++number)
    for (const auto& [locality, cell] : core(number).cellsByLocality()) {
      if (!cell->election.holds(clock)) continue;
      ++outcome.cellsHeld;
      ++actors[coreAt[number]]->cost.cells;
      for (const auto& [name, keeper] : cell->keepers())
        outcome.blocksIndexed += static_cast<std::int64_t>(keeper.kept.size());
    }
  outcome.configurationBytes = static_cast<std::int64_t>(core(0).agreement().configuration().bytes());
  static const Strings nameByNumber = [] {
    Strings names{"none"};
#define TT_SCALE_NAME(Name, fields) names.push_back(#Name);
    TT_MESSAGES(TT_SCALE_NAME)
#undef TT_SCALE_NAME
    return names;
  }();
  for (auto& actor : actors) {
    DaemonCost cost = actor->cost;
    cost.heapBytes = actor->heap;
    if (actor->files) cost.diskBytes = actor->files->written - actor->writtenBefore;
    cost.followers = followersByAddress[actor->address];
    std::map<std::string, Cost> named;
    for (const auto& [kind, row] : cost.byMessage) {
      auto space = kind.find(' ');
      named[space == std::string::npos
                ? kind
                : kind.substr(0, space + 1) +
                      nameByNumber[static_cast<std::size_t>(std::stoi(kind.substr(space + 1)))]] = row;
    }
    cost.byMessage = std::move(named);
    outcome.daemonsByRole[actor->role].push_back(std::move(cost));
  }
  return std::move(outcome);
}

double timeEach(std::int64_t turns, const std::function<void(std::int64_t)>& action) {
  std::int64_t start = threadCpuNs();
  for (std::int64_t turn = 0; turn < turns; ++turn) action(turn);
  return static_cast<double>(threadCpuNs() - start) / static_cast<double>(turns);
}

}  // namespace

std::int64_t estimatedBytes(const FleetSize& size) {
  std::int64_t daemons = size.daemons, cores = size.cores, workers = size.workers, tenants = size.tenants;
  std::int64_t viewBytes = 3000 * tenants + 600 * workers + 1000000;
  return daemons * 2 * viewBytes + cores * (viewBytes * 3 + (40 << 20) + daemons * 2000 + size.zones * 4000) +
         size.blocks * 90 + daemons * cores * 8000;
}

Result<FleetCost> measureFleet(const FleetSize& size, std::uint64_t seed) { return HollowFleet(size, seed).run(); }

std::vector<Figure> measureIndex(std::int64_t blocks, std::uint64_t seed) {
  setPlatformTiming();
  std::mt19937_64 randomSource(seed);
  Journal journal;
  FleetSize size;
  size.zones = 1;
  size.regions = 1;
  size.workers = static_cast<int>(std::max<std::int64_t>(1, blocks / 45800));
  std::int64_t heap = 0;
  Moment now{std::chrono::hours(1)};
  std::vector<Figure> figures;
  {
    Member self{"core-0-1", "core-0", "10.1.0.1:7000", zoneName(size, 0), true};
    Configuration configuration;
    std::int64_t before = 0;
    std::unique_ptr<Cell> cell;
    std::vector<Machine> machines;
    for (int worker = 0; worker < size.workers; ++worker) machines.push_back(machineOf(size, worker));
    auto drive = [&](const std::function<void(Effects&)>& action) {
      HeapScope scope(&heap);
      Effects effects{now, randomSource, journal, {}, {}};
      action(effects);
      for (std::size_t done = 0; done < effects.saves.size(); ++done)
        if (effects.saves[done].then) effects.saves[done].then(effects);
    };
    {
      HeapScope scope(&heap);
      cell = std::make_unique<Cell>(zoneName(size, 0), self, true, Defences{}, platformCell());
      cell->election.setVoters({self});
      cell->setMachines(machines);
    }
    for (int turn = 0; turn < 400 && !cell->election.holds(now); ++turn) {
      now += 20ms;
      drive([&](Effects& effects) { cell->tick(effects, configuration); });
    }
    now += 20ms;
    drive([&](Effects& effects) { cell->tick(effects, configuration); });
    before = heap;
    std::int64_t each = blocks / size.workers, confirmNs = 0;
    for (int worker = 0; worker < size.workers; ++worker) {
      Report report;
      report.worker = machines[static_cast<std::size_t>(worker)].name;
      report.scope = static_cast<int>(Scope::index);
      report.incarnation = "1";
      report.gaps = report.whole = true;
      for (std::int64_t block = 0; block < each; ++block)
        report.kept.push_back(blockOf(static_cast<std::uint64_t>(worker), static_cast<std::uint64_t>(block)));
      std::int64_t start = threadCpuNs();
      drive([&](Effects& effects) { cell->take(effects, report.worker, report); });
      confirmNs += threadCpuNs() - start;
    }
    figures.push_back(
        {"bytes per block", static_cast<double>(heap - before) / static_cast<double>(each * size.workers)});
    figures.push_back(
        {"ns per block of a whole list", static_cast<double>(confirmNs) / static_cast<double>(each * size.workers)});
    constexpr std::int64_t eventsEach = 12;
    std::int64_t turns = 20000, events = 0, eventNs = 0;
    std::vector<std::int64_t> reach(static_cast<std::size_t>(size.workers), 0);
    for (std::int64_t turn = 0; turn < turns; ++turn) {
      auto worker = static_cast<std::size_t>(turn % size.workers);
      Report report;
      report.worker = machines[worker].name;
      report.scope = static_cast<int>(Scope::index);
      report.incarnation = "1";
      report.gaps = true;
      for (std::int64_t number = 0; number < eventsEach; ++number) {
        std::int64_t event = ++reach[worker];
        bool stored = event % 2 == 1;
        auto block = static_cast<std::uint64_t>(stored ? each + (event - 1) / 2 : event / 2 - 1);
        report.events.push_back(KeptEvent{static_cast<Count>(event),
                                          static_cast<int>(stored ? KeptKind::stored : KeptKind::removed),
                                          {blockOf(worker, block)}});
      }
      report.sequence = static_cast<Count>(reach[worker]);
      std::int64_t start = threadCpuNs();
      drive([&](Effects& effects) { cell->take(effects, report.worker, report); });
      eventNs += threadCpuNs() - start - clockCostNs();
      events += eventsEach;
    }
    figures.push_back({"ns per event", static_cast<double>(eventNs) / static_cast<double>(events)});
    std::int64_t lookupNs = 0;
    constexpr std::int64_t lookups = 20000;
    for (std::int64_t turn = 0; turn < lookups; ++turn) {
      auto worker = static_cast<std::size_t>(turn % size.workers);
      LookupMsg ask{fmt::format("l{}", turn), zoneName(size, 0), machines[worker].name, machines[worker].weights, {},
                    "10.2.0.1:7001"};
      for (std::uint64_t part = 0; part < 4; ++part)
        ask.hashes.push_back(
            blockOf(worker, mix(static_cast<std::uint64_t>(turn) + part) % static_cast<std::uint64_t>(2 * each)));
      std::string frame = encodeMessage(ask);
      std::int64_t start = threadCpuNs();
      drive([&](Effects& effects) {
        auto message = decodeMessage(frame);
        cell->take(effects, "10.2.0.1:7001", message.value());
        for (const auto& [to, reply] : effects.sends) (void)encodeMessage(reply);
      });
      lookupNs += threadCpuNs() - start - clockCostNs();
    }
    figures.push_back({"ns per lookup of 4 parts", static_cast<double>(lookupNs) / static_cast<double>(lookups)});
    std::int64_t tickNs = 0;
    constexpr std::int64_t ticks = 50;
    for (std::int64_t turn = 0; turn < ticks; ++turn) {
      now += 20ms;
      std::int64_t start = threadCpuNs();
      drive([&](Effects& effects) { cell->tick(effects, configuration); });
      tickNs += threadCpuNs() - start;
    }
    figures.push_back({"us per tick", static_cast<double>(tickNs) / static_cast<double>(ticks) / 1000});
  }
  std::string salt = cacheSalt("model-1", "model-1/1", "shared");
  figures.push_back({"ns per part hashed", timeEach(20000, [&](std::int64_t turn) {
                       (void)hashPart(salt, "part-" + std::to_string(turn));
                     })});
  return figures;
}

std::vector<Figure> measureDraw(int workers, std::uint64_t seed) {
  setPlatformTiming();
  std::mt19937_64 randomSource(seed);
  FleetSize size;
  size.workers = workers;
  size.tenants = 200;
  size.daemons = 1;
  Moment now{std::chrono::hours(1)};
  std::string agentAddress = "10.2.0.1:7001";
  std::int64_t heap = 0;
  std::vector<Figure> figures;
  Edge edge(platformEdge("edge-1", "10.2.0.1:7002", zoneName(size, 0), agentAddress));
  std::vector<std::pair<std::string, Message>> sends;
  auto drive = [&](const std::function<void(Effects&)>& action) {
    HeapScope scope(&heap);
    Effects effects{now, randomSource, edge.journal, {}, {}};
    action(effects);
    HeapScope none(nullptr);
    sends = effects.sends;
  };
  auto give = [&](const std::string& from, const Message& message) {
    drive([&](Effects& effects) { edge.take(effects, from, message); });
  };
  Configuration made;
  Entry sections{1,
                 1,
                 static_cast<int>(EntryKind::change),
                 made.preparePatch(firstSections(size.tenants, size.models), Manner::sections).value(),
                 "first",
                 1};
  made.apply(sections);
  Entry models{2,
               1,
               static_cast<int>(EntryKind::change),
               made.preparePatch(modelSections(size.models), Manner::items).value(),
               "models",
               2};
  MarksMsg marks;
  std::map<std::string, CellNews> newsByZone;
  for (int worker = 0; worker < workers; ++worker) {
    auto machine = machineOf(size, worker);
    marks.machines.push_back(machine);
    auto& news = newsByZone[machine.locality];
    news.locality = machine.locality;
    news.term = news.sequence = 1;
    news.holder = "10.1.0.1:7000";
    WorkerView view;
    view.name = machine.name;
    view.address = machine.address;
    view.locality = machine.locality;
    view.kind = machine.kind;
    view.weights = machine.weights;
    view.model = machine.model;
    view.slots = machine.slots;
    view.service = machine.service;
    view.alive = view.confirmed = true;
    news.workers.push_back(view);
  }
  give(agentAddress, NewsMsg{2, {sections, models}, {}});
  give(agentAddress, marks);
  for (const auto& [zone, news] : newsByZone) give(agentAddress, news);
  give(agentAddress, FeedReply{inNs(now), 0, 2, true});
  constexpr std::uint64_t orders = 600;
  std::int64_t drawNs = 0, replyNs = 0, pieceNs = 0, endNs = 0, pieces = 0, replies = 0, done = 0, lookups = 0;
  auto timed = [&](std::int64_t& sum, const std::string& from, const Message& message) {
    HeapScope scope(&heap);
    Effects effects{now, randomSource, edge.journal, {}, {}};
    std::int64_t start = threadCpuNs();
    edge.take(effects, from, message);
    sum += threadCpuNs() - start - clockCostNs();
    HeapScope none(nullptr);
    sends = effects.sends;
  };
  for (std::uint64_t number = 1; number <= orders; ++number) {
    now += 1ms;
    if (number % 50 == 0) give(agentAddress, FeedReply{inNs(now), 0, 2, true});
    timed(drawNs, "caller", orderOf(size, number));
    auto asked = sends;
    std::optional<WorkerOrder> sent;
    for (const auto& [to, message] : asked) {
      if (auto* lookup = std::get_if<LookupMsg>(&message)) {
        ++lookups;
        ++replies;
        timed(replyNs, agentAddress,
              LookupReply{lookup->lookupId, lookup->keeper, std::vector<int>(lookup->hashes.size(), 0)});
        for (const auto& [address, later] : sends)
          if (auto* order = std::get_if<WorkerOrder>(&later)) sent = *order;
      } else if (auto* order = std::get_if<WorkerOrder>(&message)) {
        sent = *order;
      }
    }
    if (!sent) continue;
    for (int piece = 0; piece < answerPieces; ++piece) {
      ++pieces;
      timed(pieceNs, "worker", WorkerChunk{sent->orderId, std::string(200, 'x'), std::to_string(piece)});
    }
    timed(endNs, "worker",
          WorkerEnd{sent->orderId, static_cast<int>(Outcome::done), static_cast<int>(Code::done), 0, 0, 0});
    ++done;
  }
  auto each = [](std::int64_t sum, std::int64_t count) {
    return count ? static_cast<double>(sum) / static_cast<double>(count) / 1000 : 0.0;
  };
  figures.push_back({"us to admit and draw", each(drawNs, orders)});
  figures.push_back({"us for all lookup replies", each(replyNs, static_cast<std::int64_t>(orders))});
  figures.push_back({"us per piece", each(pieceNs, pieces)});
  figures.push_back({"us to end", each(endNs, done)});
  figures.push_back({"lookups per request", static_cast<double>(lookups) / static_cast<double>(orders)});
  figures.push_back({"requests done", static_cast<double>(done) / static_cast<double>(orders)});
  std::int64_t tickNs = 0;
  for (int turn = 0; turn < 200; ++turn) {
    now += 20ms;
    HeapScope scope(&heap);
    Effects effects{now, randomSource, edge.journal, {}, {}};
    std::int64_t start = threadCpuNs();
    edge.tick(effects);
    tickNs += threadCpuNs() - start;
  }
  figures.push_back({"us per idle tick", each(tickNs, 200)});
  figures.push_back({"heap bytes", static_cast<double>(heap)});
  return figures;
}

std::vector<Figure> measureConfiguration(int tenants, std::uint64_t) {
  std::vector<Figure> figures;
  std::int64_t heap = 0;
  {
    std::unique_ptr<Configuration> view;
    std::string whole = firstSections(tenants, 3);
    {
      HeapScope scope(&heap);
      view = std::make_unique<Configuration>();
    }
    std::int64_t start = threadCpuNs();
    auto first = view->preparePatch(whole, Manner::sections);
    figures.push_back({"ms to prepare the whole", static_cast<double>(threadCpuNs() - start) / 1e6});
    Entry entry{1, 1, static_cast<int>(EntryKind::change), first.value(), "first", 1};
    start = threadCpuNs();
    {
      HeapScope scope(&heap);
      view->apply(entry);
    }
    figures.push_back({"ms to apply the whole", static_cast<double>(threadCpuNs() - start) / 1e6});
    figures.push_back({"blueprint bytes", static_cast<double>(view->bytes())});
    figures.push_back({"heap bytes of a view", static_cast<double>(heap)});
    std::int64_t prepareNs = 0, applyNs = 0, entryBytes = 0;
    constexpr int turns = 100;
    for (int turn = 0; turn < turns; ++turn) {
      std::string body = tenantChange(turn % tenants, turn + 1);
      start = threadCpuNs();
      auto patch = view->preparePatch(body, Manner::items);
      prepareNs += threadCpuNs() - start;
      Entry change{static_cast<Count>(turn + 2),        1,
                   static_cast<int>(EntryKind::change), patch.value(),
                   fmt::format("change-{}", turn),      static_cast<Count>(turn + 2)};
      entryBytes += static_cast<std::int64_t>(encodeEntry(change).size());
      start = threadCpuNs();
      view->apply(change);
      applyNs += threadCpuNs() - start;
    }
    figures.push_back({"us to prepare a change of one item", static_cast<double>(prepareNs) / turns / 1000});
    figures.push_back({"us to apply a change of one item", static_cast<double>(applyNs) / turns / 1000});
    figures.push_back({"bytes of its entry", static_cast<double>(entryBytes) / turns});
    start = threadCpuNs();
    std::string snapshot = encodeSnapshot(view->snapshot());
    figures.push_back({"ms to make a capture", static_cast<double>(threadCpuNs() - start) / 1e6});
    figures.push_back({"bytes of a capture", static_cast<double>(snapshot.size())});
    start = threadCpuNs();
    auto again = view->preparePatch(whole, Manner::sections);
    figures.push_back({"ms to prepare the whole again", static_cast<double>(threadCpuNs() - start) / 1e6});
  }
  return figures;
}

std::optional<Line> fitLine(const std::vector<std::pair<double, double>>& points) {
  double count = 0, sumX = 0, sumY = 0, sumXX = 0, sumXY = 0;
  for (const auto& [x, y] : points) {
    count += 1;
    sumX += x;
    sumY += y;
    sumXX += x * x;
    sumXY += x * y;
  }
  double spread = count * sumXX - sumX * sumX;
  if (count < 2 || spread <= 1e-9 * std::max(1.0, count * sumXX)) return std::nullopt;
  double slope = (count * sumXY - sumX * sumY) / spread;
  return Line{(sumY - slope * sumX) / count, slope};
}

Spread spreadOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  std::size_t middle = values.size() / 2;
  double median = values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
  return Spread{values.front(), median, values.back()};
}

std::string plotSvg(const std::string& title, const std::string& xName, const std::string& yName,
                    const std::vector<std::pair<double, double>>& points) {
  constexpr double width = 480, height = 300, left = 70, right = 20, top = 30, bottom = 45;
  double mostX = 0, mostY = 0;
  for (const auto& [x, y] : points) {
    mostX = std::max(mostX, x);
    mostY = std::max(mostY, y);
  }
  if (mostX <= 0) mostX = 1;
  if (mostY <= 0) mostY = 1;
  auto placeX = [&](double x) { return left + x / mostX * (width - left - right); };
  auto placeY = [&](double y) { return height - bottom - y / mostY * (height - top - bottom); };
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" "
      "font-size=\"11\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
      width, height);
  svg += fmt::format("<text x=\"{}\" y=\"18\" font-size=\"13\">{}</text>\n", left, title);
  svg += fmt::format("<path d=\"M{} {} V{} H{}\" fill=\"none\" stroke=\"black\"/>\n", left, top, height - bottom,
                     width - right);
  for (int mark = 0; mark <= 4; ++mark) {
    double x = mostX * mark / 4, y = mostY * mark / 4;
    svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:.4g}</text>\n", placeX(x),
                       height - bottom + 15, x);
    svg += fmt::format("<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:.4g}</text>\n", left - 5, placeY(y) + 4, y);
  }
  svg += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n", (left + width - right) / 2,
                     height - 10, xName);
  svg += fmt::format("<text x=\"14\" y=\"{0}\" text-anchor=\"middle\" transform=\"rotate(-90 14 {0})\">{1}</text>\n",
                     height / 2, yName);
  if (auto line = fitLine(points)) {
    double start = std::clamp(line->base, 0.0, mostY), end = std::clamp(line->base + line->slope * mostX, 0.0, mostY);
    svg += fmt::format("<path d=\"M{:.1f} {:.1f} L{:.1f} {:.1f}\" stroke=\"steelblue\"/>\n", placeX(0), placeY(start),
                       placeX(mostX), placeY(end));
  }
  for (const auto& [x, y] : points)
    svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"firebrick\"/>\n", placeX(x), placeY(y));
  return svg + "</svg>\n";
}

}  // namespace tt
