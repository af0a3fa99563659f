#include <algorithm>

#include "actor.hpp"

namespace tt {
namespace {
/// How long a revoked key may still work, a leaving worker still be used, and an acknowledged change not be visible.
constexpr Duration revokeLimit = 5s;
constexpr Duration leavingLimit = 3s;
constexpr Duration changeVisibleLimit = 2s;
/// From this time after the acknowledgement on, a change that any reader has shown must be shown by all.
constexpr Duration changeStableLimit = 250ms;
/// The longest that a proxy may wait for a lookup. It does not apply until some time after the proxy was suspended.
constexpr std::int64_t lookupLimitMs = 230;
constexpr Duration resumeTolerance = 300ms;
/// Client requests are sent from this time after the start of a run on.
constexpr Duration loadDelay = 4s;
/// How often a client may send one request in all.
constexpr int maxClientAttempts = 6;
/// The share of retries that is allowed beyond the first, and the admitted requests from which on it is checked.
constexpr double maxRetryRatio = 0.2;
constexpr int minProxyAdmissions = 20, minFleetAdmissions = 40;
/// How the ids of changes begin that isolate a tenant.
constexpr const char* isolationIdPrefix = "isolate ";

/// Text of a given length that is random but always the same for one seed.
std::string longText(const std::string& seed, std::size_t bytes) {
  std::string text;
  for (std::uint64_t at = 0; text.size() < bytes; ++at)
    text += std::to_string(rendezvousHash(seed, std::to_string(at))) + " ";
  text.resize(bytes);
  return text;
}
}  // namespace

const std::vector<std::string>& invariantNames() {
  static const std::vector<std::string> names{
      "runs-twice",        "not-run-but-ran",  "stitched",    "other-weights", "other-tenant",     "fetch-beyond",
      "lookup-late",       "change-ignored",   "change-back", "revoked-works", "leaving-used",     "weights-late",
      "old-weights-began", "too-many-retries", "acked-lost",  "two-holders",   "operator-history", "given-up"};
  return names;
}

Result<void> SimDisk::write(int file, std::size_t offset, std::string_view bytes) {
  if (full) return makeError(Code::diskFault, "write", "no space left on the simulated disk");
  lastFile = static_cast<std::size_t>(file);
  lastOffset = offset;
  lastSize = bytes.size();
  if (!discardsWrites) fileBytes[lastFile].replace(offset, bytes.size(), bytes);
  return boost::outcome_v2::success();
}

World::World(FleetShape fleetShape, std::uint64_t seed)
    : shape(std::move(fleetShape)), random(seed), clock(simulationStart), operatorRandom(seed * 2654435761u + 17) {
  auto add = [&](const std::string& name, Duration tickInterval) {
    auto actor = std::make_unique<Actor>();
    actor->name = name;
    actor->offset = std::chrono::seconds(random() % 100000);
    actor->drift = 1 + (static_cast<double>(random() % 2001) - 1000) / 1e6;
    actor->tickInterval = tickInterval;
    actor->zone = zoneOf(name);
    actor->address = addressOf(name);
    nameByAddress[actor->address] = name;
    actors[name] = std::move(actor);
  };
  add("platform", 1s);
  add("store", 5ms);
  add("app", 5ms);
  for (int number = 1; number <= shape.workers; ++number) add("worker-" + std::to_string(number), 5ms);
  for (int number = 1; number <= shape.cores + shape.spareCores; ++number) {
    add("core-" + std::to_string(number), 20ms);
    actors["core-" + std::to_string(number)]->disk = std::make_unique<SimDisk>();
  }
  for (int number = 1; number <= shape.edges; ++number) {
    add("agent-" + std::to_string(number), 20ms);
    add("proxy-" + std::to_string(number), 10ms);
  }
  std::vector<std::string> all;
  for (const auto& [name, actor] : actors) all.push_back(name);
  start("platform");
  auto& platformNode = platform();
  for (int number = 1; number <= shape.workers; ++number) {
    std::string name = "worker-" + std::to_string(number);
    platformNode.set(Machine{name, addressOf(name), zoneOf(name), "language", false});
  }
  platformNode.set(Machine{"store", addressOf("store"), zoneOf("store"), "store", false});
  platformNode.set(Machine{"app", addressOf("app"), zoneOf("app"), "app", false});
  for (const auto& name : all)
    if (name != "platform" && !(startsWith(name, "core-") && numberOf(name) > shape.cores))
      schedule(std::chrono::milliseconds(random() % 200), [this, name] { start(name); });
  for (int number = 1; number <= shape.tenants; ++number)
    if (number % 2 == 0) isolatedSince["tenant-" + std::to_string(number)] = TimePoint{};
  schedule(500ms, [this] { submitChange(firstConfiguration(), true, "first", -1, 1); });
  checkHolders();
  checkReaders();
  readPeriodically();
  sendBursts();
  scheduleLoad("plan", shape.planRate);
  scheduleLoad("swap", shape.swapRate);
  scheduleLoad("reminder", shape.reminderRate);
  scheduleLoad("app", shape.appRate);
}

World::~World() = default;

TimePoint World::localNow(const std::string& name) const { return actors.at(name)->localTime(clock); }

std::string World::firstConfiguration() const {
  std::string text =
      R"({"weights":{"w1":{"model":"rooster-llm"},"w2":{"model":"rooster-llm"},"w3":{"model":"rooster-llm"}},)"
      R"("models":{"rooster-llm":{"weights":"w1"}},"policies":{"p":"fetch peer when hits >= 4 and speed >= 100 and busyness < 0.95\nfetch store when hits >= 4 and speed >= 100"},)"
      R"("routes":{"plan":{"model":"rooster-llm","policy":"p"},"swap":{"model":"rooster-llm","policy":"p"},"reminder":{"model":"rooster-llm"},"app":{"model":"rooster-llm","kind":"app"}},"tenants":{)";
  std::string keys;
  for (int number = 1; number <= shape.tenants; ++number) {
    std::string tenant = "tenant-" + std::to_string(number);
    bool isIsolated = number % 2 == 0;
    text += (number > 1 ? ",\"" : "\"") + tenant + "\":{\"isolated\":" + (isIsolated ? "true" : "false") + "}";
    keys += (number > 1 ? ",\"" : "\"") + tenant + "-key\":{\"tenant\":\"" + tenant + "\",\"secret\":\"" + tenant +
            "-secret\"}";
  }
  return text + "},\"keys\":{" + keys + "}}";
}

void World::schedule(Duration span, std::function<void()> action) {
  scheduledActions.push(ScheduledAction{clock + span, ++scheduledCount, std::move(action)});
}

std::string World::addressOf(const std::string& name) const {
  auto moved = addressMoves.find(name);
  int moves = moved == addressMoves.end() ? 0 : moved->second;
  if (startsWith(name, "core-"))
    return "10.0." + std::to_string(moves) + "." + std::to_string(numberOf(name)) + ":7000";
  if (startsWith(name, "agent-")) return "10.1.0." + std::to_string(numberOf(name)) + ":7000";
  if (startsWith(name, "proxy-")) return "10.1.0." + std::to_string(numberOf(name)) + ":7001";
  if (startsWith(name, "worker-")) return "10.2.0." + std::to_string(numberOf(name)) + ":8000";
  return name == "platform" ? "10.3.0.1:9000" : name == "store" ? "10.3.0.2:9000" : "10.3.0.3:9000";
}

std::string World::zoneOf(const std::string& name) const {
  if (name == "store" || name == "app" || name == "platform") return shape.zones[0];
  return shape.zones[static_cast<std::size_t>(numberOf(name) - 1) % shape.zones.size()];
}

std::string World::nameAt(const std::string& address) const {
  auto found = nameByAddress.find(address);
  return found == nameByAddress.end() ? std::string() : found->second;
}

std::set<std::string> World::names() const {
  std::set<std::string> rows;
  for (const auto& [name, actor] : actors) rows.insert(name);
  return rows;
}

std::set<std::string> World::zoneMembers(const std::string& zone) const {
  std::set<std::string> rows;
  for (const auto& [name, actor] : actors)
    if (actor->zone == zone && name != "platform") rows.insert(name);
  return rows;
}

void World::createNode(const std::string& name) {
  auto& actor = *actors.at(name);
  TimePoint now = actor.localTime(clock);
  if (startsWith(name, "core-")) {
    auto opened = Ring::openOrReset(*actor.disk);
    if (!opened) {
      ++eventCounts["disk failed"];
      actor.alive = false;
      return;
    }
    if (opened.value().damage) ++eventCounts["ring damaged"];
    actor.ring = std::move(opened.value().ring);
    CoreSettings settings;
    settings.name = "core-" + std::to_string(std::min(numberOf(name), shape.cores));
    settings.address = actor.address;
    settings.zone = actor.zone;
    settings.platformAddress = addressOf("platform");
    settings.zones = shape.zones;
    settings.cell.rolloutSpread = shape.rolloutSpread;
    settings.cell.rolloutParts = shape.rolloutParts;
    settings.maxRecordBytes = actor.ring->maxCheckpointBytes() / 2;
    settings.defences = defences;
    for (int number = 1; number <= shape.cores; ++number) {
      std::string other = "core-" + std::to_string(number);
      if (other != name) settings.seeds.push_back(actors.at(other)->address);
    }
    actor.node = std::make_unique<Core>(settings, actor.ring->recoveredState(), random, now);
  } else if (startsWith(name, "agent-")) {
    AgentSettings settings{name, actor.address, actor.zone, {}, defences};
    for (int at = 0; at < std::min(3, shape.cores); ++at)
      settings.seeds.push_back(actors.at("core-" + std::to_string((numberOf(name) + at) % shape.cores + 1))->address);
    actor.node = std::make_unique<Agent>(settings);
  } else if (startsWith(name, "proxy-")) {
    ProxyRouterSettings settings;
    settings.name = name + "." + std::to_string(actor.incarnation);
    settings.address = actor.address;
    settings.zone = actor.zone;
    settings.agentAddress = addressOf("agent-" + std::to_string(numberOf(name)));
    settings.fetching = shape.fetching;
    settings.firstByteTimeout = 6s;
    settings.chunkTimeout = 3s;
    settings.defences = defences;
    actor.node = std::make_unique<ProxyRouter>(settings);
  } else if (name == "platform") {
    /// The platform keeps its machine list across restarts. Those that wait for it may take the full time again to
    /// learn which machines are leaving.
    auto restarted = std::make_unique<StandInPlatform>();
    if (actor.node)
      for (const auto& [machineName, machine] : platform().machines()) restarted->set(machine);
    for (auto& [worker, since] : leavingSince) since = clock;
    actor.node = std::move(restarted);
  } else {
    StandInSettings settings;
    settings.name = name;
    settings.address = actor.address;
    settings.slots = shape.slots;
    settings.loadMs = shape.loadMs;
    settings.tokenMs = shape.tokenMs;
    settings.maxCachedBlocks = shape.maxCachedBlocks;
    settings.defences = defences;
    if (startsWith(name, "worker-")) {
      settings.model = modelName;
      settings.weights = "w1";
      settings.storeAddress = addressOf("store");
    } else if (name == "store") {
      settings.kind = "store";
      settings.maxCachedBlocks = 4000;
    } else {
      settings.kind = "app";
      settings.slots = 32;
    }
    auto backend = std::make_unique<StandInBackend>(settings, "life" + std::to_string(actor.incarnation));
    backend->faults = actor.faults;
    actor.node = std::move(backend);
  }
  actor.node->journal.appended.connect([this, name](const Event& event) { onEvent(name, event); });
}

void World::start(const std::string& name) {
  auto& actor = *actors.at(name);
  if (actor.alive) return;
  ++actor.incarnation;
  actor.alive = true;
  actor.frozenUntil = TimePoint{};
  actor.startedAt = clock;
  actor.saves.clear();
  actor.syncing.clear();
  actor.syncRunning = false;
  actor.oldestSave = TimePoint{};
  createNode(name);
  if (actor.alive) scheduleTick(name, actor.incarnation);
}

void World::kill(const std::string& name) {
  auto& actor = *actors.at(name);
  if (!actor.alive) return;
  drainPlans.erase(name);
  actor.alive = false;
  ++actor.incarnation;
  actor.deferred.clear();
  actor.deferredSends.clear();
  if (actor.ring && !actor.syncing.empty() && !actor.disk->stalled) {
    /// The batch whose sync is under way is lost (0), complete (1), or torn, with zeros at its end (2).
    std::uint64_t fate = random() % 3;
    if (fate > 0) {
      std::vector<Record> records;
      for (const auto& save : actor.syncing) records.push_back(save.record);
      (void)actor.ring->append(records);
      if (fate == 2 && actor.disk->lastSize > 8) {
        std::size_t kept = random() % actor.disk->lastSize;
        auto& row = actor.disk->fileBytes[actor.disk->lastFile];
        for (std::size_t at = actor.disk->lastOffset + kept; at < actor.disk->lastOffset + actor.disk->lastSize; ++at)
          row[at] = '\0';
      }
    }
  }
  actor.ring.reset();
  for (auto row = streams.begin(); row != streams.end();) {
    if (row->second.worker == name) {
      std::string requestId = row->first, proxy = row->second.proxy;
      schedule(2ms, [this, requestId, proxy] {
        auto& peer = *actors.at(proxy);
        if (peer.alive)
          dispatch(peer, "worker",
                   WorkerEnd{requestId, static_cast<int>(AttemptOutcome::broken), static_cast<int>(Code::workerBroke),
                             0, 0, 0});
      });
      row = streams.erase(row);
    } else if (row->second.proxy == name) {
      std::string requestId = row->first, worker = row->second.worker;
      schedule(2ms, [this, requestId, worker] {
        auto& peer = *actors.at(worker);
        if (peer.alive) dispatch(peer, "gone", WorkerDrop{requestId});
      });
      row = streams.erase(row);
    } else {
      ++row;
    }
  }
  /// The clients of a killed proxy see their connections break.
  if (startsWith(name, "proxy-"))
    for (auto& [requestId, request] : requestRecords)
      if (!request.ended && startsWith(requestId, (name + "/").c_str())) {
        request.ended = true;
        request.endedAt = clock;
        request.status = "connection lost";
      }
}

void World::freeze(const std::string& name, Duration span, bool atNextSend) {
  auto& actor = *actors.at(name);
  if (!actor.alive) return;
  if (atNextSend) {
    actor.freezeAtNextSend = true;
    actor.freezeTime = span;
    return;
  }
  actor.frozenUntil = clock + span;
  std::uint64_t incarnation = actor.incarnation;
  schedule(span, [this, name, incarnation] {
    auto& process = *actors.at(name);
    if (process.incarnation != incarnation || !process.alive) return;
    auto sends = std::move(process.deferredSends);
    process.deferredSends.clear();
    sendAll(process, std::move(sends));
    auto deferred = std::move(process.deferred);
    process.deferred.clear();
    for (auto& action : deferred) action();
  });
}

void World::wipeDisk(const std::string& name) {
  kill(name);
  actors.at(name)->disk = std::make_unique<SimDisk>();
}

void World::changeAddress(const std::string& name) {
  ++addressMoves[name];
  auto& actor = *actors.at(name);
  actor.address = addressOf(name);
  nameByAddress[actor.address] = name;
}

void World::advanceClock(const std::string& name, Duration span) { actors.at(name)->offset += span; }

SimDisk* World::disk(const std::string& name) { return actors.at(name)->disk.get(); }
StandInBackend* World::backend(const std::string& name) {
  return dynamic_cast<StandInBackend*>(actors.at(name)->node.get());
}
StandInPlatform& World::platform() { return *static_cast<StandInPlatform*>(actors.at("platform")->node.get()); }
Core* World::core(const std::string& name) {
  auto& actor = *actors.at(name);
  return actor.alive ? dynamic_cast<Core*>(actor.node.get()) : nullptr;
}
ProxyRouter* World::proxyRouter(const std::string& name) {
  return dynamic_cast<ProxyRouter*>(actors.at(name)->node.get());
}
Agent* World::agent(const std::string& name) { return dynamic_cast<Agent*>(actors.at(name)->node.get()); }

void World::cutLink(const std::string& one, const std::string& other, bool bothWays) {
  cuts.insert({one, other});
  if (bothWays) cuts.insert({other, one});
}
void World::setLossRate(const std::string& one, const std::string& other, int percent) {
  losses[{one, other}] = percent;
}
void World::healLinks() {
  cuts.clear();
  losses.clear();
}

bool World::linked(const std::string& one, const std::string& other) const { return !cuts.count({one, other}); }

void World::scheduleTick(const std::string& name, std::uint64_t incarnation) {
  auto& actor = *actors.at(name);
  schedule(actor.tickInterval, [this, name, incarnation] {
    auto& process = *actors.at(name);
    if (process.incarnation != incarnation || !process.alive) return;
    if (clock < process.frozenUntil) {
      process.deferred.push_back([this, name, incarnation] { scheduleTick(name, incarnation); });
      return;
    }
    callNode(process, [&](Effects& effects) {
      if (auto* coreNode = dynamic_cast<Core*>(process.node.get()))
        coreNode->reportSyncWait(process.oldestSave == TimePoint{} ? Duration(0) : clock - process.oldestSave);
      process.node->tick(effects);
    });
    scheduleTick(name, incarnation);
  });
}

void World::callNode(Actor& actor, const std::function<void(Effects&)>& action) {
  Effects effects{actor.localTime(clock), random, actor.node->journal, {}, {}};
  action(effects);
  if (!effects.saves.empty()) {
    if (actor.oldestSave == TimePoint{}) actor.oldestSave = clock;
    for (auto& save : effects.saves) actor.saves.push_back(std::move(save));
    startSync(actor);
  }
  if (actor.freezeAtNextSend) {
    bool sending = false;
    for (const auto& [to, message] : effects.sends)
      sending = sending || std::holds_alternative<ControlAsk>(message) || std::holds_alternative<WorkerOrder>(message);
    if (sending) {
      actor.freezeAtNextSend = false;
      actor.deferredSends = std::move(effects.sends);
      freeze(actor.name, actor.freezeTime);
      return;
    }
  }
  sendAll(actor, std::move(effects.sends));
}

void World::sendAll(Actor& actor, std::vector<std::pair<std::string, Message>> sends) {
  for (auto& [to, message] : sends) {
    if (auto* request = std::get_if<WorkerOrder>(&message); request && sendDeadlinePassed(actor, *request))
      failUnsent(actor, *request);
    else
      sendMessage(actor, to, std::move(message));
  }
}

bool World::sendDeadlinePassed(const Actor& actor, const WorkerOrder& request) const {
  return request.sendDeadline != 0 && defences.isEnabled(Defence::leaveByKept) &&
         actor.localTime(clock) >= fromNanoseconds(request.sendDeadline);
}

void World::failUnsent(const Actor& actor, const WorkerOrder& request) {
  WorkerEnd end{request.requestId,
                static_cast<int>(AttemptOutcome::brokenBeforeSend),
                static_cast<int>(Code::workerBroke),
                0,
                0,
                0};
  schedule(Duration(0), [this, name = actor.name, incarnation = actor.incarnation, end] {
    deliver("worker", name, incarnation, end);
  });
}

void World::startSync(Actor& actor) {
  if (actor.syncRunning || actor.saves.empty() || !actor.ring) return;
  actor.syncRunning = true;
  actor.syncing = std::move(actor.saves);
  actor.saves.clear();
  actor.oldestSave = clock;
  std::string name = actor.name;
  std::uint64_t incarnation = actor.incarnation;
  schedule(actor.disk->minSyncTime + std::chrono::microseconds(random() % 2000),
           [this, name, incarnation] { finishSync(name, incarnation); });
}

void World::finishSync(const std::string& name, std::uint64_t incarnation) {
  auto& process = *actors.at(name);
  if (process.incarnation != incarnation || !process.alive) return;
  if (process.disk->stalled) return schedule(50ms, [this, name, incarnation] { finishSync(name, incarnation); });
  if (clock < process.frozenUntil) {
    process.deferred.push_back([this, name, incarnation] { finishSync(name, incarnation); });
    return;
  }
  std::vector<Record> records;
  for (const auto& save : process.syncing) records.push_back(save.record);
  if (!process.ring->append(records)) {
    ++eventCounts["disk failed"];
    return kill(name);
  }
  auto done = std::move(process.syncing);
  process.syncing.clear();
  process.syncRunning = false;
  process.oldestSave = process.saves.empty() ? TimePoint{} : clock;
  callNode(process, [&](Effects& effects) {
    for (auto& save : done)
      if (save.onSynced) save.onSynced(effects);
  });
  startSync(process);
}

bool World::takeCrash(const Message& message) {
  std::string phase;
  if (auto* chunk = std::get_if<WorkerChunk>(&message)) {
    auto number = chunk->text.substr(chunk->text.find(':') + 1);
    phase = number == "1 " ? "start" : number == "3 " ? "middle" : "";
  } else if (auto* end = std::get_if<WorkerEnd>(&message);
             end && end->outcome == static_cast<int>(AttemptOutcome::done)) {
    if (requestRecords.count(clientRequestId(end->requestId))) phase = "end";
  }
  auto found = pendingCrashes.find(phase);
  if (found == pendingCrashes.end() || found->second == 0) return false;
  --found->second;
  return true;
}

void World::sendMessage(Actor& from, const std::string& to, Message message) {
  if (!from.alive) return;
  if (!pendingCrashes.empty() && takeCrash(message)) {
    std::string name = from.name;
    kill(name);
    schedule(500ms, [this, name] { start(name); });
    return;
  }
  if (to == "caller") {
    onClientMessage(message);
    return;
  }
  if (to == "operator") {
    if (auto* reply = std::get_if<OperatorResponse>(&message)) onOperatorResponse(*reply);
    if (auto* read = std::get_if<ReadResponse>(&message)) onReadResponse(from, *read);
    return;
  }
  auto found = nameByAddress.find(to);
  if (found == nameByAddress.end()) return;
  std::string toName = found->second;
  auto& target = *actors.at(toName);
  bool sameMachine = from.address.substr(0, from.address.find(':')) == to.substr(0, to.find(':'));
  bool reachable = linked(from.name, toName) && target.address == to;
  ++messagesSent;
  if (countBytes && !sameMachine && (startsWith(from.name, "core-") || startsWith(from.name, "agent-"))) {
    std::size_t size = encodeMessage(message).size();
    bytesSent += size;
    auto& row = trafficByKind[messageName(message)];
    ++row.first;
    row.second += size;
    bytesByNode[from.name] += size;
  }
  if (auto* request = std::get_if<WorkerOrder>(&message)) {
    std::string proxy = from.name, sendId = request->requestId;
    std::uint64_t incarnation = from.incarnation;
    /// A connection to a stopped process is refused at once; over a cut link it times out.
    if (!reachable || !target.alive) {
      schedule(reachable ? 2ms : 1000ms, [this, proxy, sendId, incarnation] {
        auto& actor = *actors.at(proxy);
        if (actor.alive && actor.incarnation == incarnation)
          dispatch(actor, "worker",
                   WorkerEnd{sendId, static_cast<int>(AttemptOutcome::brokenBeforeSend),
                             static_cast<int>(Code::workerBroke), 0, 0, 0});
      });
      return;
    }
    streams[sendId] = Stream{from.name, toName};
  }
  auto streamId = std::visit(
      [](const auto& value) -> std::string {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, WorkerChunk> || std::is_same_v<T, WorkerEnd>) return value.requestId;
        return {};
      },
      message);
  auto stream = streamId.empty() ? streams.end() : streams.find(streamId);
  if (stream != streams.end()) {
    if (!reachable) stream->second.broken = true;
    if (stream->second.broken) return;
  }
  if (!reachable) return;
  if (auto loss = losses.find({from.name, toName});
      loss != losses.end() && static_cast<int>(random() % 100) < loss->second)
    return;
  if (auto* gone = std::get_if<WorkerDrop>(&message)) streams.erase(gone->requestId);
  /// 0.1 ms on one machine, 0.3 to 0.7 ms within a zone, 1 to 3.5 ms between zones.
  Duration delay =
      sameMachine ? Duration(100us)
                  : std::chrono::microseconds(from.zone == target.zone ? 300 + random() % 400 : 1000 + random() % 2500);
  auto& last = lastArrival[{from.name, toName}];
  TimePoint at = std::max(clock + delay, last + 1us);
  last = at;
  std::string fromAddress = from.address;
  std::uint64_t incarnation = target.incarnation;
  scheduledActions.push(ScheduledAction{
      at, ++scheduledCount, [this, fromAddress, toName, incarnation, message = std::move(message)]() mutable {
        deliver(fromAddress, toName, incarnation, std::move(message));
      }});
}

void World::deliver(const std::string& from, const std::string& toName, std::uint64_t incarnation, Message message) {
  auto& target = *actors.at(toName);
  if (!target.alive || target.incarnation != incarnation) return;
  if (auto* end = std::get_if<WorkerEnd>(&message)) {
    streams.erase(end->requestId);
  }
  dispatch(target, from, message);
}

void World::dispatch(Actor& actor, const std::string& from, const Message& message) {
  if (clock < actor.frozenUntil) {
    std::string name = actor.name;
    std::uint64_t incarnation = actor.incarnation;
    actor.deferred.push_back([this, name, incarnation, from, message] {
      auto& process = *actors.at(name);
      if (process.alive && process.incarnation == incarnation) dispatch(process, from, message);
    });
    return;
  }
  callNode(actor, [&](Effects& effects) { actor.node->handle(effects, from, message); });
}

void World::runUntil(TimePoint until) {
  while (!scheduledActions.empty() && scheduledActions.top().at <= until) {
    ScheduledAction next = scheduledActions.top();
    scheduledActions.pop();
    clock = next.at;
    next.action();
  }
  clock = until;
}

void World::reportViolation(const std::string& invariant, const std::string& text) {
  std::size_t earlier = 0;
  for (const auto& violation : violations) earlier += violation.invariant == invariant;
  if (earlier < 10) violations.push_back({invariant, text, clock});
}

void World::scheduleLoad(const std::string& kind, double rate) {
  if (rate <= 0) return;
  std::exponential_distribution<double> gap(rate * std::max(loadScale, 0.001));
  schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random))), [this, kind, rate] {
    if (clock > simulationStart + loadDelay && loadScale > 0.001) sendRequest(kind);
    scheduleLoad(kind, rate);
  });
}

void World::sendBursts() {
  for (const auto& [tenant, rate] : burstRates)
    for (double remaining = rate / 20;
         remaining > 0 && (remaining >= 1 || static_cast<double>(random() % 1000) / 1000 < remaining); remaining -= 1)
      sendRequest("swap", tenant);
  schedule(50ms, [this] { sendBursts(); });
}

void World::sendRequest(const std::string& kind, std::string tenant) {
  if (tenant.empty()) tenant = "tenant-" + std::to_string(1 + random() % static_cast<std::uint64_t>(shape.tenants));
  CallerOrder request;
  request.key = tenant + "-secret";
  request.route = kind;
  request.model = modelName;
  std::string prefix = "prefix " + kind + std::to_string(random() % 4), own = std::to_string(requestCount + 1);
  if (kind == "plan") request.parts = {longText(prefix, 40 * blockBytes), longText(own, 500)};
  if (kind == "plan" && !lastPlanParts.empty() && random() % 4 == 0)
    request.parts = {lastPlanParts[0], lastPlanParts[1], longText(own, 500)};
  if (kind == "plan" && request.parts.size() == 2) lastPlanParts = request.parts;
  if (kind == "swap") request.parts = {longText(prefix, 16 * blockBytes), longText(own, 150)};
  if (kind == "reminder") request.parts = {longText(prefix, 3 * blockBytes), own};
  if (kind == "app") request.parts = {own};
  request.maxTokens = kind == "plan" ? 20 : kind == "swap" ? 10 : 4;
  request.repeatable = kind == "plan" || kind == "app";
  submitRequest(std::move(request), kind,
                "proxy-" + std::to_string(1 + random() % static_cast<std::uint64_t>(shape.edges)), {}, 1);
}

void World::submitRequest(CallerOrder request, const std::string& kind, const std::string& proxy,
                          const std::string& firstAttemptId, int attempt) {
  auto& actor = *actors.at(proxy);
  request.requestId = proxy + "/" + std::to_string(++requestCount);
  auto& record = requestRecords[request.requestId];
  record.sentAt = clock;
  record.kind = kind;
  record.tenant = request.key.substr(0, request.key.rfind('-'));
  record.repeatable = request.repeatable;
  record.maxTokens = request.maxTokens;
  record.firstAttemptId = firstAttemptId.empty() ? request.requestId : firstAttemptId;
  record.attempt = attempt;
  std::string requestId = request.requestId;
  if (!actor.alive) {
    record.ended = true;
    record.endedAt = clock;
    record.status = "no connection";
    scheduleRetry(request, requestId, 500);
    return;
  }
  requestsInFlight[requestId] = request;
  if (hangUpPercent && static_cast<int>(random() % 100) < hangUpPercent)
    schedule(std::chrono::milliseconds(random() % 600), [this, proxy, requestId] {
      auto& record = requestRecords[requestId];
      auto& process = *actors.at(proxy);
      if (record.ended || !process.alive) return;
      record.clientGone = record.ended = true;
      record.endedAt = clock;
      record.status = "hung up";
      if (record.repeatable) scheduleRetry(requestsInFlight[requestId], requestId, 100);
      dispatch(process, "caller", CallerGone{requestId});
    });
  dispatch(actor, "caller", request);
}

void World::scheduleRetry(const CallerOrder& request, const std::string& requestId, int retryAfterMs) {
  const auto& record = requestRecords[requestId];
  int share = static_cast<int>(random() % 100);
  if (share >= obeyPercent + ignorePercent + movePercent || record.attempt >= maxClientAttempts) return;
  bool obeys = share < obeyPercent, moves = share >= obeyPercent + ignorePercent;
  std::string proxy = requestId.substr(0, requestId.find('/'));
  if (moves) proxy = "proxy-" + std::to_string(numberOf(proxy) % shape.edges + 1);
  schedule(obeys ? std::chrono::milliseconds(std::max(retryAfterMs, 1)) : 20ms,
           [this, request, kind = record.kind, proxy, firstAttemptId = record.firstAttemptId,
            attempt = record.attempt] { submitRequest(request, kind, proxy, firstAttemptId, attempt + 1); });
}

void World::onClientMessage(const Message& message) {
  if (auto* chunk = std::get_if<CallerChunk>(&message)) {
    auto& request = requestRecords[chunk->requestId];
    if (request.clientGone) return;
    if (request.ended) return reportViolation("stitched", chunk->requestId + " sent a chunk after its final response");
    if (!request.firstChunkSeen) {
      request.firstChunkSeen = true;
      request.firstChunkMs = std::chrono::duration<double, std::milli>(clock - request.sentAt).count();
      request.worker = chunk->text.substr(0, chunk->text.find(':'));
    }
    ++request.chunksReceived;
    if (chunk->text != request.worker + ":" + std::to_string(request.chunksReceived) + " ")
      reportViolation("stitched", chunk->requestId + " sent '" + chunk->text + "' as chunk " +
                                      std::to_string(request.chunksReceived));
    auto revoked = revokedAt.find(request.tenant);
    if (revoked != revokedAt.end() && clock > revoked->second + revokeLimit)
      reportViolation("revoked-works", chunk->requestId + " still streams after its key was revoked");
  } else if (auto* response = std::get_if<CallerVerdict>(&message)) {
    auto& request = requestRecords[response->requestId];
    if (request.clientGone) return;
    if (request.ended) return reportViolation("stitched", response->requestId + " got two final responses");
    request.ended = true;
    request.endedAt = clock;
    request.status = response->verdict;
    request.code = response->code;
    request.local = response->local;
    request.fetched = response->fetched;
    request.computed = response->computed;
    if (response->verdict == "done" && request.chunksReceived != request.maxTokens)
      reportViolation("stitched", response->requestId + " was reported as complete with " +
                                      std::to_string(request.chunksReceived) + " of " +
                                      std::to_string(request.maxTokens) + " chunks");
    if (response->verdict == "not run" && request.runs > 0)
      reportViolation("not-run-but-ran", response->requestId + " was reported as not run, but a worker had started it");
    checkStopResponse(*response, request);
    auto open = requestsInFlight.find(response->requestId);
    if (open == requestsInFlight.end()) return;
    CallerOrder retry = open->second;
    requestsInFlight.erase(open);
    if (response->verdict == "not run" && response->retryAfterMs > 0)
      scheduleRetry(retry, response->requestId, response->retryAfterMs);
  }
}

void World::onEvent(const std::string& name, const Event& event) {
  ++eventCounts[event.kind];
  if (auto found = eventActions.find(event.kind); found != eventActions.end()) {
    auto action = std::move(found->second);
    eventActions.erase(found);
    action();
  }
  if (event.kind == "ran") {
    std::string requestId = clientRequestId(event.subject);
    auto found = requestRecords.find(requestId);
    if (found != requestRecords.end()) {
      auto& request = found->second;
      ++request.runs;
      if (request.runs > 1 && !request.repeatable)
        reportViolation("runs-twice", requestId + " was started again, at " + name);
      if (++runsByFirstAttempt[request.firstAttemptId] > 1 && !request.repeatable)
        reportViolation("runs-twice", request.firstAttemptId + " was started again as " + requestId + ", at " + name);
      if (request.ended && request.status == "not run")
        reportViolation("not-run-but-ran", requestId + " was started at " + name + " after it was reported as not run");
    }
    checkRunWeights(name, requestId);
  } else if (event.kind == "order began" || event.kind == "first piece") {
    checkStartedWeights(name, event);
  } else if (event.kind == "order sent") {
    auto space = event.subject.find(' ');
    auto leaving = leavingSince.find(event.subject.substr(space + 1));
    if (leaving != leavingSince.end() && clock > leaving->second + leavingLimit && actors.at("platform")->alive)
      reportViolation("leaving-used", "sent to a leaving worker: request " + event.subject);
  } else if (event.kind == "cross weights") {
    reportViolation("other-weights", name + " " + event.subject);
  } else if (event.kind == "cross tenant") {
    checkTenants(name, event.subject);
  } else if (event.kind == "move sent") {
    auto first = event.subject.find(' ');
    transferSizes[event.subject.substr(0, first)] = event.number;
    auto leaving = leavingSince.find(event.subject.substr(event.subject.rfind(' ') + 1));
    if (leaving != leavingSince.end() && clock > leaving->second + leavingLimit && actors.at("platform")->alive)
      reportViolation("leaving-used", "sent to a leaving worker: transfer " + event.subject);
  } else if (event.kind == "pulled") {
    auto size = transferSizes.find(event.subject);
    if (size == transferSizes.end() || event.number > size->second)
      reportViolation("fetch-beyond", name + " fetched " + std::to_string(event.number) + " blocks for " +
                                          event.subject + ", more than the transfer names");
  } else if (event.kind == "lookup asked") {
    openLookups[event.subject] = clock;
  } else if (event.kind == "lookup settled") {
    openLookups.erase(event.subject);
    if (event.number > lookupLimitMs && clock >= actors.at(name)->frozenUntil + resumeTolerance)
      reportViolation("lookup-late", event.subject + " waited " + std::to_string(event.number) + " ms for a lookup");
  } else if (event.kind == "admitted") {
    ++admittedCount;
    auto* router = proxyRouter(name);
    std::uint64_t index = router->configuration().index();
    checkShownIndex(name, index);
    recentAdmissions.emplace_back(clock, name);
    auto& request = requestRecords[event.subject];
    auto revoked = revokedAt.find(request.tenant);
    if (revoked != revokedAt.end() && clock > revoked->second + revokeLimit)
      reportViolation("revoked-works", event.subject + " was admitted at " + name + " with a revoked key");
  } else if (event.kind == "retry") {
    ++retryCount;
    checkRetryRate(name);
  } else if (event.kind == "applied" && startsWith(name, "core-")) {
    checkAppliedEntry(name, static_cast<std::uint64_t>(event.number));
  } else if (event.kind == "command taken") {
    auto space = event.subject.find(' ');
    std::string holder = event.subject.substr(space + 1, event.subject.rfind(' ') - space - 1);
    auto& last = lastCommandTo[name];
    auto term = static_cast<std::uint64_t>(event.number);
    if (term < last.first || (term == last.first && holder != last.second && !last.second.empty()))
      reportViolation("two-holders", name + " accepted a command of term " + std::to_string(term) + " from " + holder +
                                         " after term " + std::to_string(last.first) + " from " + last.second);
    last = {term, holder};
  }
  if (!trace.empty() && (trace == "*" || event.kind.find(trace) != std::string::npos))
    std::fprintf(stderr, "%8.3f %s %s %s %lld\n", std::chrono::duration<double>(clock - simulationStart).count(),
                 name.c_str(), event.kind.c_str(), event.subject.c_str(), static_cast<long long>(event.number));
}

void World::checkShownIndex(const std::string& reader, std::uint64_t index) {
  for (const auto& record : changeRecords) {
    if (!record.acked || record.code != static_cast<int>(Code::changeTaken) || index >= record.index) continue;
    if (clock > record.ackedAt + changeVisibleLimit)
      reportViolation("change-ignored", reader + " serves index " + std::to_string(index) + "; index " +
                                            std::to_string(record.index) + " was acknowledged");
    if (clock > record.ackedAt + changeStableLimit && newestShownIndex >= record.index)
      reportViolation("change-back", reader + " serves index " + std::to_string(index) + " after index " +
                                         std::to_string(record.index) + " was served");
  }
  newestShownIndex = std::max(newestShownIndex, index);
}

void World::checkReaders() {
  for (const auto& [name, actor] : actors) {
    if (!actor->alive || clock < actor->frozenUntil) continue;
    TimePoint now = actor->localTime(clock);
    if (auto* node = core(name); node && node->readsConfirmed(now))
      checkShownIndex(name, node->consensusLog().configuration().index());
    if (auto* node = proxyRouter(name); node && node->fresh(now)) checkShownIndex(name, node->configuration().index());
  }
  for (auto row = openLookups.begin(); row != openLookups.end();) {
    const auto& actor = *actors.at(row->first.substr(0, row->first.find('/')));
    bool settled = requestRecords[row->first].ended || !actor.alive;
    bool late = !settled && clock - row->second > std::chrono::milliseconds(lookupLimitMs) &&
                clock >= actor.frozenUntil + resumeTolerance;
    if (late)
      reportViolation("lookup-late",
                      row->first + " has waited more than " + std::to_string(lookupLimitMs) + " ms for a lookup");
    row = settled || late ? openLookups.erase(row) : std::next(row);
  }
  schedule(40ms, [this] { checkReaders(); });
}

void World::checkAppliedEntry(const std::string& name, std::uint64_t index) {
  auto* node = dynamic_cast<Core*>(actors.at(name)->node.get());
  if (!node) return;
  for (const auto& entry : node->consensusLog().entries()) {
    if (entry.index != index) continue;
    auto [row, inserted] = appliedEntries.try_emplace(index, AppliedEntry{entry, name});
    const auto& known = row->second.entry;
    if (!inserted && (known.term != entry.term || known.body != entry.body || known.changeId != entry.changeId))
      reportViolation("acked-lost", "entry " + std::to_string(index) + " as applied by " + name +
                                        " differs from the one first applied by " + row->second.appliedBy);
    if (inserted) recordAnnouncement(entry);
    if (inserted && !entry.changeId.empty()) {
      auto [first, isFirst] = indexByChange.try_emplace(entry.changeId, index);
      if (!isFirst)
        reportViolation("acked-lost", entry.changeId + " was applied twice, at index " + std::to_string(first->second) +
                                          " and index " + std::to_string(index));
    }
    return;
  }
}

void World::checkRetryRate(const std::string& proxy) {
  recentRetries.emplace_back(clock, proxy);
  while (!recentAdmissions.empty() && clock - recentAdmissions.front().first > 10s) recentAdmissions.pop_front();
  while (!recentRetries.empty() && clock - recentRetries.front().first > 5s) recentRetries.pop_front();
  for (Duration span : {Duration(1s), Duration(5s)})
    for (bool oneProxy : {false, true}) {
      auto countWithin = [&](const std::deque<std::pair<TimePoint, std::string>>& rows, TimePoint until) {
        double sum = 0;
        for (const auto& [at, sender] : rows)
          sum += at <= until && until - at <= span && (!oneProxy || sender == proxy);
        return sum;
      };
      double admissions = std::max(countWithin(recentAdmissions, clock), countWithin(recentAdmissions, clock - span)),
             retries = countWithin(recentRetries, clock);
      if (admissions >= (oneProxy ? minProxyAdmissions : minFleetAdmissions) &&
          retries > maxRetryRatio * admissions + 1)
        reportViolation("too-many-retries", std::to_string(static_cast<int>(retries)) + " retries of " +
                                                std::to_string(static_cast<int>(admissions)) + " requests within " +
                                                std::to_string(toMilliseconds(span)) + " ms at " +
                                                (oneProxy ? proxy : "all proxies"));
    }
}

void World::checkConfigurations() {
  std::map<std::uint64_t, std::vector<std::pair<std::string, const Configuration*>>> views;
  for (const auto& [name, actor] : actors) {
    if (!actor->alive) continue;
    if (auto* node = core(name))
      views[node->consensusLog().configuration().index()].emplace_back(name, &node->consensusLog().configuration());
    if (auto* node = proxyRouter(name)) views[node->configuration().index()].emplace_back(name, &node->configuration());
  }
  Configuration model;
  std::uint64_t expected = 0;
  for (const auto& [index, row] : appliedEntries) {
    if (index != ++expected)
      return reportViolation("acked-lost", "entry " + std::to_string(expected) + " was not applied by any core");
    model.apply(row.entry);
    for (const auto& [name, view] : views[index])
      if (view->text() != model.text() || view->revision() != model.revision())
        reportViolation("acked-lost", name + " has a configuration that differs from what entries 1 to " +
                                          std::to_string(index) + " give");
  }
  for (const auto& record : changeRecords) {
    if (!record.acked || record.code != static_cast<int>(Code::changeTaken)) continue;
    auto applied = indexByChange.find(record.changeId);
    if (applied == indexByChange.end())
      reportViolation("acked-lost", record.changeId + " was acknowledged but not applied by any core");
  }
}

void World::checkHolders() {
  std::set<std::string> duties{"accord", "cell/brussels-1"};
  for (const auto& zone : shape.zones) duties.insert("cell/" + zone);
  for (const auto& duty : duties)
    if (int holders = holdersOf(duty); holders > 1)
      reportViolation("two-holders", duty + " is held by " + std::to_string(holders) + " cores");
  schedule(20ms, [this] { checkHolders(); });
}

void World::trackReach(std::size_t recordIndex) {
  auto& record = changeRecords[recordIndex];
  for (const auto& [name, actor] : actors)
    if (startsWith(name, "proxy-") && actor->alive && clock >= actor->frozenUntil &&
        proxyRouter(name)->configuration().index() < record.index) {
      if (clock < record.ackedAt + 10s) schedule(5ms, [this, recordIndex] { trackReach(recordIndex); });
      return;
    }
  record.reachedAll = true;
  record.reachedAllAt = clock;
}

void World::revokeKey(const std::string& tenant) {
  submitChange("{\"keys\":{\"" + tenant + "-key\":null}}", false, "revoke " + tenant, -1,
               1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
}

void World::restoreKey(const std::string& tenant) {
  submitChange(
      "{\"keys\":{\"" + tenant + "-key\":{\"tenant\":\"" + tenant + "\",\"secret\":\"" + tenant + "-secret\"}}}", false,
      "restore " + tenant, -1, 1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
  revokedAt.erase(tenant);
  restoredTenants.insert(tenant);
}

void World::setIsolation(const std::string& tenant, bool isolated) {
  if (!isolated) isolatedSince.erase(tenant);
  std::string changeId = (isolated ? isolationIdPrefix : "share ") + std::to_string(++changeCount) + " " + tenant;
  lastIsolationId[tenant] = changeId;
  submitChange("{\"tenants\":{\"" + tenant + "\":{\"isolated\":" + (isolated ? "true" : "false") + "}}}", false,
               changeId, -1, 1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
}

void World::onIsolationAcked(const ChangeRecord& record) {
  if (!startsWith(record.changeId, isolationIdPrefix)) return;
  std::string tenant = record.changeId.substr(record.changeId.rfind(' ') + 1);
  if (lastIsolationId[tenant] == record.changeId) isolatedSince.try_emplace(tenant, clock);
}

void World::removeTenant(const std::string& tenant) {
  submitChange("{\"tenants\":{\"" + tenant + "\":null},\"keys\":{\"" + tenant + "-key\":null}}", false, {}, -1,
               1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
}

/// A request that was sent before the isolation was acknowledged may still use what the tenants shared.
void World::checkTenants(const std::string& worker, const std::string& subject) {
  auto space = subject.find(' '), separator = subject.find('>');
  auto sentAt = requestRecords[clientRequestId(subject.substr(space + 1))].sentAt;
  for (const auto& tenant : {subject.substr(0, separator), subject.substr(separator + 1, space - separator - 1)})
    if (auto since = isolatedSince.find(tenant); since != isolatedSince.end() && sentAt >= since->second)
      return reportViolation("other-tenant", worker + " " + subject);
}

void World::listMachine(const std::string& name) {
  if (platform().machines().count(name)) return;
  leavingSince.erase(name);
  platform().set(Machine{name, addressOf(name), zoneOf(name), startsWith(name, "worker-") ? "language" : name, false});
}

void World::markLeaving(const std::string& worker, bool leaving) {
  platform().mark(worker, leaving);
  if (leaving && !platform().machines().count(worker)) return;
  if (leaving)
    leavingSince.try_emplace(worker, clock);
  else
    leavingSince.erase(worker);
}

std::int64_t World::count(const std::string& kind) const {
  auto found = eventCounts.find(kind);
  return found == eventCounts.end() ? 0 : found->second;
}
std::int64_t World::countAt(const std::string& name, const std::string& kind) const {
  const auto& rows = actors.at(name)->node->journal.counts();
  auto found = rows.find(kind);
  return found == rows.end() ? 0 : found->second;
}

int World::holdersOf(const std::string& duty) const {
  int holders = 0;
  for (const auto& [name, actor] : actors) {
    if (!actor->alive) continue;
    auto* node = dynamic_cast<Core*>(actor->node.get());
    if (!node) continue;
    TimePoint now = actor->localTime(clock);
    if (duty == "accord") {
      holders += node->consensusLog().leads(now);
      continue;
    }
    for (const auto& [zone, cell] : node->cellsByZone())
      if ("cell/" + zone == duty) holders += cell->election.holdsLease(now);
  }
  return holders;
}

std::string World::holderOf(const std::string& duty) const {
  for (const auto& [name, actor] : actors) {
    if (!actor->alive) continue;
    auto* node = dynamic_cast<Core*>(actor->node.get());
    if (!node) continue;
    TimePoint now = actor->localTime(clock);
    if (duty == "accord" && node->consensusLog().leads(now)) return name;
    for (const auto& [zone, cell] : node->cellsByZone())
      if ("cell/" + zone == duty && cell->election.holdsLease(now)) return name;
  }
  return {};
}

void World::checkFinalState() {
  for (const auto& record : changeRecords) {
    if (!record.acked || record.code != static_cast<int>(Code::changeTaken)) continue;
    bool found = false;
    for (const auto& [name, actor] : actors)
      if (auto* node = core(name))
        found = found || node->consensusLog().configuration().revisionOfChange(record.changeId).has_value();
    if (!found) reportViolation("acked-lost", record.changeId + " was acknowledged but is in no core's configuration");
    for (const auto& [name, actor] : actors) {
      auto* node = core(name);
      if (!node || !node->consensusLog().formed() || clock < actor->frozenUntil + 5s) continue;
      if (node->consensusLog().leads(actor->localTime(clock)) &&
          !node->consensusLog().configuration().revisionOfChange(record.changeId))
        reportViolation("acked-lost", record.changeId + " was acknowledged but is unknown to the leader " + name);
    }
  }
  checkConfigurations();
  checkOperatorHistory();
  if (admittedCount >= 50 && retryCount * 5 > admittedCount)
    reportViolation("too-many-retries",
                    std::to_string(retryCount) + " retries of " + std::to_string(admittedCount) + " requests");
}

}  // namespace tt
