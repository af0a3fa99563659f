#include <algorithm>

#include "actor.hpp"

namespace tt {
namespace {
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
  if (full) return makeError(Code::diskFault, "write", "no space");
  lastFile = static_cast<std::size_t>(file);
  lastOffset = offset;
  lastSize = bytes.size();
  if (!lying) rows[lastFile].replace(offset, bytes.size(), bytes);
  return boost::outcome_v2::success();
}

World::World(FleetShape fleetShape, std::uint64_t seed)
    : shape(std::move(fleetShape)), random(seed), clock(dayStart), operatorRandom(seed * 2654435761u + 17) {
  auto add = [&](const std::string& name, Duration tickEvery) {
    auto actor = std::make_unique<Actor>();
    actor->name = name;
    actor->offset = std::chrono::seconds(random() % 100000);
    actor->drift = 1 + (static_cast<double>(random() % 2001) - 1000) / 1e6;
    actor->tickEvery = tickEvery;
    actor->zone = zoneOf(name);
    actor->address = addressOf(name);
    nameByAddress[actor->address] = name;
    actors[name] = std::move(actor);
  };
  add("platform", 1s);
  add("store", 5ms);
  add("app", 5ms);
  for (int number = 1; number <= shape.workers; ++number) add("worker-" + std::to_string(number), 5ms);
  for (int number = 1; number <= shape.cores + shape.spares; ++number) {
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
  auto& list = platform();
  for (int number = 1; number <= shape.workers; ++number) {
    std::string name = "worker-" + std::to_string(number);
    list.set(Machine{name, addressOf(name), zoneOf(name), "language", false});
  }
  list.set(Machine{"store", addressOf("store"), zoneOf("store"), "store", false});
  list.set(Machine{"app", addressOf("app"), zoneOf("app"), "app", false});
  for (const auto& name : all)
    if (name != "platform" && !(starts(name, "core-") && numberOf(name) > shape.cores))
      later(std::chrono::milliseconds(random() % 200), [this, name] { start(name); });
  for (int number = 1; number <= shape.tenants; ++number)
    isolated["tenant-" + std::to_string(number)] = number % 2 == 0;
  later(500ms, [this] { change(firstConfiguration(), true, "first", -1, 1); });
  watchHolders();
  watchReads();
  readNowAndThen();
  sendBursts();
  sendLoad("plan", shape.planRate);
  sendLoad("swap", shape.swapRate);
  sendLoad("reminder", shape.reminderRate);
  sendLoad("app", shape.appRate);
}

World::~World() = default;

TimePoint World::localNow(const std::string& name) const { return actors.at(name)->local(clock); }

std::string World::firstConfiguration() const {
  std::string text =
      R"({"weights":{"w1":{"model":"rooster-llm"},"w2":{"model":"rooster-llm"},"w3":{"model":"rooster-llm"}},)"
      R"("models":{"rooster-llm":{"weights":"w1"}},"policies":{"p":"fetch peer when hits >= 4 and speed >= 100 and busyness < 0.95\nfetch store when hits >= 4 and speed >= 100"},)"
      R"("routes":{"plan":{"model":"rooster-llm","policy":"p"},"swap":{"model":"rooster-llm","policy":"p"},"reminder":{"model":"rooster-llm"},"app":{"model":"rooster-llm","kind":"app"}},"tenants":{)";
  std::string keys;
  for (int number = 1; number <= shape.tenants; ++number) {
    std::string tenant = "tenant-" + std::to_string(number);
    bool apart = number % 2 == 0;
    text += (number > 1 ? ",\"" : "\"") + tenant + "\":{\"isolated\":" + (apart ? "true" : "false") + "}";
    keys += (number > 1 ? ",\"" : "\"") + tenant + "-key\":{\"tenant\":\"" + tenant + "\",\"secret\":\"" + tenant +
            "-secret\"}";
  }
  return text + "},\"keys\":{" + keys + "}}";
}

void World::later(Duration span, std::function<void()> action) {
  dues.push(Due{clock + span, ++dueCount, std::move(action)});
}

std::string World::addressOf(const std::string& name) const {
  auto moved = addressMoves.find(name);
  int shift = moved == addressMoves.end() ? 0 : moved->second;
  if (starts(name, "core-")) return "10.0." + std::to_string(shift) + "." + std::to_string(numberOf(name)) + ":7000";
  if (starts(name, "agent-")) return "10.1.0." + std::to_string(numberOf(name)) + ":7000";
  if (starts(name, "proxy-")) return "10.1.0." + std::to_string(numberOf(name)) + ":7001";
  if (starts(name, "worker-")) return "10.2.0." + std::to_string(numberOf(name)) + ":8000";
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

void World::make(const std::string& name) {
  auto& actor = *actors.at(name);
  TimePoint now = actor.local(clock);
  if (starts(name, "core-")) {
    auto opened = Ring::openOrReset(*actor.disk);
    if (!opened) {
      ++counts["disk failed"];
      actor.alive = false;
      return;
    }
    if (opened.value().damage) ++counts["ring damaged"];
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
    actor.node = std::make_unique<Core>(settings, actor.ring->held(), random, now);
  } else if (starts(name, "agent-")) {
    AgentSettings settings{name, actor.address, actor.zone, {}, defences};
    for (int at = 0; at < std::min(3, shape.cores); ++at)
      settings.seeds.push_back(actors.at("core-" + std::to_string((numberOf(name) + at) % shape.cores + 1))->address);
    actor.node = std::make_unique<Agent>(settings);
  } else if (starts(name, "proxy-")) {
    ProxyRouterSettings settings;
    settings.name = name + "." + std::to_string(actor.life);
    settings.address = actor.address;
    settings.zone = actor.zone;
    settings.agentAddress = addressOf("agent-" + std::to_string(numberOf(name)));
    settings.fetching = shape.fetching;
    settings.firstByteTimeout = 6s;
    settings.chunkTimeout = 3s;
    settings.defences = defences;
    actor.node = std::make_unique<ProxyRouter>(settings);
  } else if (name == "platform") {
    auto fresh = std::make_unique<StandInPlatform>();
    if (actor.node)
      for (const auto& [machineName, machine] : platform().machines()) fresh->set(machine);
    for (auto& [worker, since] : leavingAt) since = clock;
    actor.node = std::move(fresh);
  } else {
    StandInSettings settings;
    settings.name = name;
    settings.address = actor.address;
    settings.slots = shape.slots;
    settings.loadMs = shape.loadMs;
    settings.tokenMs = shape.tokenMs;
    settings.maxCachedBlocks = shape.maxCachedBlocks;
    settings.defences = defences;
    if (starts(name, "worker-")) {
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
    auto keeperNode = std::make_unique<StandInBackend>(settings, "life" + std::to_string(actor.life));
    keeperNode->faults = actor.faults;
    actor.node = std::move(keeperNode);
  }
  actor.node->journal.appended.connect([this, name](const Event& event) { watch(name, event); });
}

void World::start(const std::string& name) {
  auto& actor = *actors.at(name);
  if (actor.alive) return;
  ++actor.life;
  actor.alive = true;
  actor.frozenUntil = TimePoint{};
  actor.startedAt = clock;
  actor.saves.clear();
  actor.syncing.clear();
  actor.syncBusy = false;
  actor.oldestSave = TimePoint{};
  make(name);
  if (actor.alive) scheduleTick(name, actor.life);
}

void World::kill(const std::string& name) {
  auto& actor = *actors.at(name);
  if (!actor.alive) return;
  drains.erase(name);
  actor.alive = false;
  ++actor.life;
  actor.held.clear();
  actor.heldSends.clear();
  if (actor.ring && !actor.syncing.empty() && !actor.disk->stalled) {
    std::uint64_t fate = random() % 3;
    if (fate > 0) {
      std::vector<Record> records;
      for (const auto& save : actor.syncing) records.push_back(save.record);
      (void)actor.ring->append(records);
      if (fate == 2 && actor.disk->lastSize > 8) {
        std::size_t kept = random() % actor.disk->lastSize;
        auto& row = actor.disk->rows[actor.disk->lastFile];
        for (std::size_t at = actor.disk->lastOffset + kept; at < actor.disk->lastOffset + actor.disk->lastSize; ++at)
          row[at] = '\0';
      }
    }
  }
  actor.ring.reset();
  for (auto row = streams.begin(); row != streams.end();) {
    if (row->second.worker == name) {
      std::string requestId = row->first, proxy = row->second.proxy;
      later(2ms, [this, requestId, proxy] {
        auto& end = *actors.at(proxy);
        if (end.alive)
          give(end, "worker",
               WorkerEnd{requestId, static_cast<int>(AttemptOutcome::broken), static_cast<int>(Code::workerBroke), 0, 0,
                         0});
      });
      row = streams.erase(row);
    } else if (row->second.proxy == name) {
      std::string requestId = row->first, worker = row->second.worker;
      later(2ms, [this, requestId, worker] {
        auto& end = *actors.at(worker);
        if (end.alive) give(end, "gone", WorkerDrop{requestId});
      });
      row = streams.erase(row);
    } else {
      ++row;
    }
  }
  if (starts(name, "proxy-"))
    for (auto& [requestId, order] : orderRows)
      if (!order.ended && starts(requestId, (name + "/").c_str())) {
        order.ended = true;
        order.endedAt = clock;
        order.verdict = "connection lost";
      }
}

void World::freeze(const std::string& name, Duration span, bool atSending) {
  auto& actor = *actors.at(name);
  if (!actor.alive) return;
  if (atSending) {
    actor.freezeAtSending = true;
    actor.freezeSpan = span;
    return;
  }
  actor.frozenUntil = clock + span;
  std::uint64_t life = actor.life;
  later(span, [this, name, life] {
    auto& woken = *actors.at(name);
    if (woken.life != life || !woken.alive) return;
    auto sends = std::move(woken.heldSends);
    woken.heldSends.clear();
    release(woken, std::move(sends));
    auto held = std::move(woken.held);
    woken.held.clear();
    for (auto& action : held) action();
  });
}

void World::wipeDisk(const std::string& name) {
  kill(name);
  actors.at(name)->disk = std::make_unique<SimDisk>();
}

void World::moveAddress(const std::string& name) {
  ++addressMoves[name];
  auto& actor = *actors.at(name);
  actor.address = addressOf(name);
  nameByAddress[actor.address] = name;
}

void World::leap(const std::string& name, Duration span) { actors.at(name)->offset += span; }

SimDisk* World::disk(const std::string& name) { return actors.at(name)->disk.get(); }
StandInBackend* World::keeper(const std::string& name) {
  return dynamic_cast<StandInBackend*>(actors.at(name)->node.get());
}
StandInPlatform& World::platform() { return *static_cast<StandInPlatform*>(actors.at("platform")->node.get()); }
Core* World::core(const std::string& name) {
  auto& actor = *actors.at(name);
  return actor.alive ? dynamic_cast<Core*>(actor.node.get()) : nullptr;
}
ProxyRouter* World::edge(const std::string& name) { return dynamic_cast<ProxyRouter*>(actors.at(name)->node.get()); }
Agent* World::agent(const std::string& name) { return dynamic_cast<Agent*>(actors.at(name)->node.get()); }

void World::cut(const std::string& one, const std::string& other, bool bothWays) {
  cuts.insert({one, other});
  if (bothWays) cuts.insert({other, one});
}
void World::lose(const std::string& one, const std::string& other, int perCent) { losses[{one, other}] = perCent; }
void World::heal() {
  cuts.clear();
  losses.clear();
}

bool World::linked(const std::string& one, const std::string& other) const { return !cuts.count({one, other}); }

void World::scheduleTick(const std::string& name, std::uint64_t life) {
  auto& actor = *actors.at(name);
  later(actor.tickEvery, [this, name, life] {
    auto& due = *actors.at(name);
    if (due.life != life || !due.alive) return;
    if (clock < due.frozenUntil) {
      due.held.push_back([this, name, life] { scheduleTick(name, life); });
      return;
    }
    drive(due, [&](Effects& effects) {
      if (auto* coreNode = dynamic_cast<Core*>(due.node.get()))
        coreNode->reportSyncWait(due.oldestSave == TimePoint{} ? Duration(0) : clock - due.oldestSave);
      due.node->tick(effects);
    });
    scheduleTick(name, life);
  });
}

void World::drive(Actor& actor, const std::function<void(Effects&)>& action) {
  Effects effects{actor.local(clock), random, actor.node->journal, {}, {}};
  action(effects);
  if (!effects.saves.empty()) {
    if (actor.oldestSave == TimePoint{}) actor.oldestSave = clock;
    for (auto& save : effects.saves) actor.saves.push_back(std::move(save));
    startSync(actor);
  }
  if (actor.freezeAtSending) {
    bool sending = false;
    for (const auto& [to, message] : effects.sends)
      sending = sending || std::holds_alternative<ControlAsk>(message) || std::holds_alternative<WorkerOrder>(message);
    if (sending) {
      actor.freezeAtSending = false;
      actor.heldSends = std::move(effects.sends);
      freeze(actor.name, actor.freezeSpan);
      return;
    }
  }
  release(actor, std::move(effects.sends));
}

void World::release(Actor& actor, std::vector<std::pair<std::string, Message>> sends) {
  for (auto& [to, message] : sends) {
    if (auto* order = std::get_if<WorkerOrder>(&message); order && leftTooLate(actor, *order))
      endUnsent(actor, *order);
    else
      post(actor, to, std::move(message));
  }
}

bool World::leftTooLate(const Actor& actor, const WorkerOrder& order) const {
  return order.sendDeadline != 0 && defences.isEnabled(Defence::leaveByKept) &&
         actor.local(clock) >= fromNanoseconds(order.sendDeadline);
}

void World::endUnsent(const Actor& actor, const WorkerOrder& order) {
  WorkerEnd end{order.requestId,
                static_cast<int>(AttemptOutcome::brokenBeforeSend),
                static_cast<int>(Code::workerBroke),
                0,
                0,
                0};
  later(Duration(0), [this, name = actor.name, life = actor.life, end] { arrive("worker", name, life, end); });
}

void World::startSync(Actor& actor) {
  if (actor.syncBusy || actor.saves.empty() || !actor.ring) return;
  actor.syncBusy = true;
  actor.syncing = std::move(actor.saves);
  actor.saves.clear();
  actor.oldestSave = clock;
  std::string name = actor.name;
  std::uint64_t life = actor.life;
  later(actor.disk->syncSpan + std::chrono::microseconds(random() % 2000),
        [this, name, life] { finishSync(name, life); });
}

void World::finishSync(const std::string& name, std::uint64_t life) {
  auto& due = *actors.at(name);
  if (due.life != life || !due.alive) return;
  if (due.disk->stalled) return later(50ms, [this, name, life] { finishSync(name, life); });
  if (clock < due.frozenUntil) {
    due.held.push_back([this, name, life] { finishSync(name, life); });
    return;
  }
  std::vector<Record> records;
  for (const auto& save : due.syncing) records.push_back(save.record);
  if (!due.ring->append(records)) {
    ++counts["disk failed"];
    return kill(name);
  }
  auto done = std::move(due.syncing);
  due.syncing.clear();
  due.syncBusy = false;
  due.oldestSave = due.saves.empty() ? TimePoint{} : clock;
  drive(due, [&](Effects& effects) {
    for (auto& save : done)
      if (save.onSynced) save.onSynced(effects);
  });
  startSync(due);
}

bool World::crashesHere(const Message& message) {
  std::string phase;
  if (auto* chunk = std::get_if<WorkerChunk>(&message)) {
    auto piece = chunk->text.substr(chunk->text.find(':') + 1);
    phase = piece == "1 " ? "start" : piece == "3 " ? "middle" : "";
  } else if (auto* end = std::get_if<WorkerEnd>(&message);
             end && end->outcome == static_cast<int>(AttemptOutcome::done)) {
    if (orderRows.count(baseOrder(end->requestId))) phase = "end";
  }
  auto found = crashes.find(phase);
  if (found == crashes.end() || found->second == 0) return false;
  --found->second;
  return true;
}

void World::post(Actor& from, const std::string& to, Message message) {
  if (!from.alive) return;
  if (!crashes.empty() && crashesHere(message)) {
    std::string name = from.name;
    kill(name);
    later(500ms, [this, name] { start(name); });
    return;
  }
  if (to == "caller") {
    toCaller(message);
    return;
  }
  if (to == "operator") {
    if (auto* reply = std::get_if<OperatorResponse>(&message)) operatorAnswer(*reply);
    if (auto* read = std::get_if<ReadResponse>(&message)) readAnswered(from, *read);
    return;
  }
  auto found = nameByAddress.find(to);
  if (found == nameByAddress.end()) return;
  std::string toName = found->second;
  auto& target = *actors.at(toName);
  bool beside = from.address.substr(0, from.address.find(':')) == to.substr(0, to.find(':'));
  bool up = linked(from.name, toName) && target.address == to;
  ++messagesSent;
  if (countBytes && !beside && (starts(from.name, "core-") || starts(from.name, "agent-"))) {
    std::size_t size = encodeMessage(message).size();
    bytesSent += size;
    auto& row = trafficByKind[messageName(message)];
    ++row.first;
    row.second += size;
    bytesByNode[from.name] += size;
  }
  if (auto* order = std::get_if<WorkerOrder>(&message)) {
    std::string proxy = from.name, sendId = order->requestId;
    std::uint64_t life = from.life;
    if (!up || !target.alive) {
      later(up ? 2ms : 1000ms, [this, proxy, sendId, life] {
        auto& actor = *actors.at(proxy);
        if (actor.alive && actor.life == life)
          give(actor, "worker",
               WorkerEnd{sendId, static_cast<int>(AttemptOutcome::brokenBeforeSend),
                         static_cast<int>(Code::workerBroke), 0, 0, 0});
      });
      return;
    }
    streams[sendId] = Stream{from.name, toName};
  }
  auto piece = std::visit(
      [](const auto& value) -> std::string {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, WorkerChunk> || std::is_same_v<T, WorkerEnd>) return value.requestId;
        return {};
      },
      message);
  auto stream = piece.empty() ? streams.end() : streams.find(piece);
  if (stream != streams.end()) {
    if (!up) stream->second.torn = true;
    if (stream->second.torn) return;
  }
  if (!up) return;
  if (auto loss = losses.find({from.name, toName});
      loss != losses.end() && static_cast<int>(random() % 100) < loss->second)
    return;
  if (auto* gone = std::get_if<WorkerDrop>(&message)) streams.erase(gone->requestId);
  Duration delay =
      beside ? Duration(100us)
             : std::chrono::microseconds(from.zone == target.zone ? 300 + random() % 400 : 1000 + random() % 2500);
  auto& last = lastArrival[{from.name, toName}];
  TimePoint at = std::max(clock + delay, last + 1us);
  last = at;
  std::string fromAddress = from.address;
  std::uint64_t life = target.life;
  dues.push(Due{at, ++dueCount, [this, fromAddress, toName, life, message = std::move(message)]() mutable {
                  arrive(fromAddress, toName, life, std::move(message));
                }});
}

void World::arrive(const std::string& from, const std::string& toName, std::uint64_t life, Message message) {
  auto& target = *actors.at(toName);
  if (!target.alive || target.life != life) return;
  if (auto* end = std::get_if<WorkerEnd>(&message)) {
    streams.erase(end->requestId);
  }
  give(target, from, message);
}

void World::give(Actor& actor, const std::string& from, const Message& message) {
  if (clock < actor.frozenUntil) {
    std::string name = actor.name;
    std::uint64_t life = actor.life;
    actor.held.push_back([this, name, life, from, message] {
      auto& woken = *actors.at(name);
      if (woken.alive && woken.life == life) give(woken, from, message);
    });
    return;
  }
  drive(actor, [&](Effects& effects) { actor.node->handle(effects, from, message); });
}

void World::runUntil(TimePoint until) {
  while (!dues.empty() && dues.top().at <= until) {
    Due due = dues.top();
    dues.pop();
    clock = due.at;
    due.action();
  }
  clock = until;
}

void World::violate(const std::string& invariant, const std::string& text) {
  std::size_t same = 0;
  for (const auto& violation : violations) same += violation.invariant == invariant;
  if (same < 10) violations.push_back({invariant, text, clock});
}

void World::sendLoad(const std::string& kind, double rate) {
  if (rate <= 0) return;
  std::exponential_distribution<double> gap(rate * std::max(loadScale, 0.001));
  later(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random))), [this, kind, rate] {
    if (clock > dayStart + 4s && loadScale > 0.001) sendOrder(kind);
    sendLoad(kind, rate);
  });
}

void World::sendBursts() {
  for (const auto& [tenant, rate] : burstRates)
    for (double left = rate / 20; left > 0 && (left >= 1 || static_cast<double>(random() % 1000) / 1000 < left);
         left -= 1)
      sendOrder("swap", tenant);
  later(50ms, [this] { sendBursts(); });
}

void World::sendOrder(const std::string& kind, std::string tenant) {
  if (tenant.empty()) tenant = "tenant-" + std::to_string(1 + random() % static_cast<std::uint64_t>(shape.tenants));
  CallerOrder order;
  order.key = tenant + "-secret";
  order.route = kind;
  order.model = modelName;
  std::string prefix = "prefix " + kind + std::to_string(random() % 4), own = std::to_string(orderCount + 1);
  if (kind == "plan") order.parts = {longText(prefix, 40 * blockBytes), longText(own, 500)};
  if (kind == "plan" && !lastPlan.empty() && random() % 4 == 0)
    order.parts = {lastPlan[0], lastPlan[1], longText(own, 500)};
  if (kind == "plan" && order.parts.size() == 2) lastPlan = order.parts;
  if (kind == "swap") order.parts = {longText(prefix, 16 * blockBytes), longText(own, 150)};
  if (kind == "reminder") order.parts = {longText(prefix, 3 * blockBytes), own};
  if (kind == "app") order.parts = {own};
  order.maxTokens = kind == "plan" ? 20 : kind == "swap" ? 10 : 4;
  order.repeatable = kind == "plan" || kind == "app";
  placeOrder(std::move(order), kind, "proxy-" + std::to_string(1 + random() % static_cast<std::uint64_t>(shape.edges)),
             {}, 1);
}

void World::placeOrder(CallerOrder order, const std::string& kind, const std::string& proxy, const std::string& intent,
                       int attempt) {
  auto& actor = *actors.at(proxy);
  order.requestId = proxy + "/" + std::to_string(++orderCount);
  auto& row = orderRows[order.requestId];
  row.askedAt = clock;
  row.kind = kind;
  row.key = order.key.substr(0, order.key.rfind('-'));
  row.repeatable = order.repeatable;
  row.maxTokens = order.maxTokens;
  row.intent = intent.empty() ? order.requestId : intent;
  row.attempt = attempt;
  std::string requestId = order.requestId;
  if (!actor.alive) {
    row.ended = true;
    row.endedAt = clock;
    row.verdict = "no connection";
    comeBack(order, requestId, 500);
    return;
  }
  asksOpen[requestId] = order;
  if (hangUpShare && static_cast<int>(random() % 100) < hangUpShare)
    later(std::chrono::milliseconds(random() % 600), [this, proxy, requestId] {
      auto& gone = orderRows[requestId];
      auto& there = *actors.at(proxy);
      if (gone.ended || !there.alive) return;
      gone.gone = gone.ended = true;
      gone.endedAt = clock;
      gone.verdict = "hung up";
      if (gone.repeatable) comeBack(asksOpen[requestId], requestId, 100);
      give(there, "caller", CallerGone{requestId});
    });
  give(actor, "caller", order);
}

void World::comeBack(const CallerOrder& order, const std::string& requestId, int retryAfterMs) {
  const auto& row = orderRows[requestId];
  int share = static_cast<int>(random() % 100);
  if (share >= obeyShare + ignoreShare + moveShare || row.attempt >= 6) return;
  bool obeys = share < obeyShare, moves = share >= obeyShare + ignoreShare;
  std::string proxy = requestId.substr(0, requestId.find('/'));
  if (moves) proxy = "proxy-" + std::to_string(numberOf(proxy) % shape.edges + 1);
  later(obeys ? std::chrono::milliseconds(std::max(retryAfterMs, 1)) : 20ms,
        [this, order, kind = row.kind, proxy, intent = row.intent, attempt = row.attempt] {
          placeOrder(order, kind, proxy, intent, attempt + 1);
        });
}

void World::toCaller(const Message& message) {
  if (auto* chunk = std::get_if<CallerChunk>(&message)) {
    auto& order = orderRows[chunk->requestId];
    if (order.gone) return;
    if (order.ended) return violate("stitched", chunk->requestId + " spoke after its verdict");
    if (!order.firstSeen) {
      order.firstSeen = true;
      order.firstMs = std::chrono::duration<double, std::milli>(clock - order.askedAt).count();
      order.worker = chunk->text.substr(0, chunk->text.find(':'));
    }
    ++order.said;
    if (chunk->text != order.worker + ":" + std::to_string(order.said) + " ")
      violate("stitched", chunk->requestId + " got " + chunk->text + "as piece " + std::to_string(order.said));
    auto revoked = revokedAt.find(order.key);
    if (revoked != revokedAt.end() && clock > revoked->second + 5s)
      violate("revoked-works", chunk->requestId + " still streams");
  } else if (auto* verdict = std::get_if<CallerVerdict>(&message)) {
    auto& order = orderRows[verdict->requestId];
    if (order.gone) return;
    if (order.ended) return violate("stitched", verdict->requestId + " got two verdicts");
    order.ended = true;
    order.endedAt = clock;
    order.verdict = verdict->verdict;
    order.code = verdict->code;
    order.local = verdict->local;
    order.fetched = verdict->fetched;
    order.computed = verdict->computed;
    if (verdict->verdict == "done" && order.said != order.maxTokens)
      violate("stitched", verdict->requestId + " looks complete with " + std::to_string(order.said) + " of " +
                              std::to_string(order.maxTokens));
    if (verdict->verdict == "not run" && order.runs > 0) violate("not-run-but-ran", verdict->requestId + " had run");
    checkGivenUp(*verdict, order);
    auto asked = asksOpen.find(verdict->requestId);
    if (asked == asksOpen.end()) return;
    CallerOrder again = asked->second;
    asksOpen.erase(asked);
    if (verdict->verdict == "not run" && verdict->retryAfterMs > 0)
      comeBack(again, verdict->requestId, verdict->retryAfterMs);
  }
}

void World::watch(const std::string& name, const Event& event) {
  ++counts[event.kind];
  if (auto found = noteActions.find(event.kind); found != noteActions.end()) {
    auto action = std::move(found->second);
    noteActions.erase(found);
    action();
  }
  if (event.kind == "ran") {
    std::string requestId = baseOrder(event.subject);
    auto found = orderRows.find(requestId);
    if (found != orderRows.end()) {
      auto& order = found->second;
      ++order.runs;
      if (order.runs > 1 && !order.repeatable) violate("runs-twice", requestId + " at " + name);
      if (++runsByIntent[order.intent] > 1 && !order.repeatable)
        violate("runs-twice", order.intent + " ran again as " + requestId + " at " + name);
      if (order.ended && order.verdict == "not run") violate("not-run-but-ran", requestId + " ran later at " + name);
    }
    watchRun(name, requestId);
  } else if (event.kind == "order began" || event.kind == "first piece") {
    watchBegin(name, event);
  } else if (event.kind == "order sent") {
    auto space = event.subject.find(' ');
    auto leaving = leavingAt.find(event.subject.substr(space + 1));
    if (leaving != leavingAt.end() && clock > leaving->second + 3s && actors.at("platform")->alive)
      violate("leaving-used", event.subject);
  } else if (event.kind == "cross weights") {
    violate("other-weights", name + " " + event.subject);
  } else if (event.kind == "cross tenant") {
    auto sign = event.subject.find('>');
    if (isolated[event.subject.substr(0, sign)] || isolated[event.subject.substr(sign + 1)])
      violate("other-tenant", name + " " + event.subject);
  } else if (event.kind == "move sent") {
    auto first = event.subject.find(' ');
    moveSizes[event.subject.substr(0, first)] = event.number;
    auto leaving = leavingAt.find(event.subject.substr(event.subject.rfind(' ') + 1));
    if (leaving != leavingAt.end() && clock > leaving->second + 3s && actors.at("platform")->alive)
      violate("leaving-used", "move " + event.subject);
  } else if (event.kind == "pulled") {
    auto size = moveSizes.find(event.subject);
    if (size == moveSizes.end() || event.number > size->second)
      violate("fetch-beyond", name + " pulled " + std::to_string(event.number) + " for " + event.subject);
  } else if (event.kind == "lookup asked") {
    lookupsOpen[event.subject] = clock;
  } else if (event.kind == "lookup settled") {
    lookupsOpen.erase(event.subject);
    if (event.number > 230 && clock >= actors.at(name)->frozenUntil + 300ms)
      violate("lookup-late", event.subject + " waited " + std::to_string(event.number) + "ms");
  } else if (event.kind == "admitted") {
    ++admitted;
    auto* at = edge(name);
    std::uint64_t index = at->configuration().index();
    readShown(name, index);
    admittedLately.emplace_back(clock, name);
    auto& order = orderRows[event.subject];
    auto revoked = revokedAt.find(order.key);
    if (revoked != revokedAt.end() && clock > revoked->second + 5s)
      violate("revoked-works", event.subject + " was admitted at " + name);
  } else if (event.kind == "retry") {
    ++retries;
    watchRetries(name);
  } else if (event.kind == "applied" && starts(name, "core-")) {
    watchEntry(name, static_cast<std::uint64_t>(event.number));
  } else if (event.kind == "command taken") {
    auto space = event.subject.find(' ');
    std::string holder = event.subject.substr(space + 1, event.subject.rfind(' ') - space - 1);
    auto& last = commandBy[name];
    auto term = static_cast<std::uint64_t>(event.number);
    if (term < last.first || (term == last.first && holder != last.second && !last.second.empty()))
      violate("two-holders", name + " took term " + std::to_string(term) + " of " + holder + " after " +
                                 std::to_string(last.first) + " of " + last.second);
    last = {term, holder};
  }
  if (!trace.empty() && (trace == "*" || event.kind.find(trace) != std::string::npos))
    std::fprintf(stderr, "%8.3f %s %s %s %lld\n", std::chrono::duration<double>(clock - dayStart).count(), name.c_str(),
                 event.kind.c_str(), event.subject.c_str(), static_cast<long long>(event.number));
}

void World::readShown(const std::string& who, std::uint64_t index) {
  for (const auto& ack : ackRows) {
    if (!ack.acked || ack.code != static_cast<int>(Code::changeTaken) || index >= ack.index) continue;
    if (clock > ack.at + 2s)
      violate("change-ignored", who + " shows " + std::to_string(index) + ", acked " + std::to_string(ack.index));
    if (clock > ack.at + 250ms && shownMost >= ack.index)
      violate("change-back",
              who + " shows " + std::to_string(index) + " after " + std::to_string(ack.index) + " was shown");
  }
  shownMost = std::max(shownMost, index);
}

void World::watchReads() {
  for (const auto& [name, actor] : actors) {
    if (!actor->alive || clock < actor->frozenUntil) continue;
    TimePoint now = actor->local(clock);
    if (auto* node = core(name); node && node->readsConfirmed(now))
      readShown(name, node->consensusLog().configuration().index());
    if (auto* node = edge(name); node && node->fresh(now)) readShown(name, node->configuration().index());
  }
  for (auto row = lookupsOpen.begin(); row != lookupsOpen.end();) {
    const auto& actor = *actors.at(row->first.substr(0, row->first.find('/')));
    bool over = orderRows[row->first].ended || !actor.alive;
    bool late = !over && clock - row->second > 230ms && clock >= actor.frozenUntil + 300ms;
    if (late) violate("lookup-late", row->first + " still waits");
    row = over || late ? lookupsOpen.erase(row) : std::next(row);
  }
  later(40ms, [this] { watchReads(); });
}

void World::watchEntry(const std::string& name, std::uint64_t index) {
  auto* node = dynamic_cast<Core*>(actors.at(name)->node.get());
  if (!node) return;
  for (const auto& entry : node->consensusLog().entries()) {
    if (entry.index != index) continue;
    auto [row, fresh] = canon.try_emplace(index, Canon{entry, name});
    const auto& known = row->second.entry;
    if (!fresh && (known.term != entry.term || known.body != entry.body || known.changeId != entry.changeId))
      violate("acked-lost",
              "entry " + std::to_string(index) + " is another at " + name + " than it was at " + row->second.who);
    if (fresh) watchNaming(entry);
    if (fresh && !entry.changeId.empty()) {
      auto [first, alone] = canonByChange.try_emplace(entry.changeId, index);
      if (!alone)
        violate("acked-lost", entry.changeId + " was taken twice, as " + std::to_string(first->second) + " and " +
                                  std::to_string(index));
    }
    return;
  }
}

void World::watchRetries(const std::string& proxy) {
  retriedLately.emplace_back(clock, proxy);
  while (!admittedLately.empty() && clock - admittedLately.front().first > 10s) admittedLately.pop_front();
  while (!retriedLately.empty() && clock - retriedLately.front().first > 5s) retriedLately.pop_front();
  for (Duration span : {Duration(1s), Duration(5s)})
    for (bool alone : {false, true}) {
      auto number = [&](const std::deque<std::pair<TimePoint, std::string>>& rows, TimePoint until) {
        double sum = 0;
        for (const auto& [at, who] : rows) sum += at <= until && until - at <= span && (!alone || who == proxy);
        return sum;
      };
      double orders = std::max(number(admittedLately, clock), number(admittedLately, clock - span)),
             again = number(retriedLately, clock);
      if (orders >= (alone ? 20 : 40) && again > 0.2 * orders + 1)
        violate("too-many-retries", std::to_string(static_cast<int>(again)) + " retries of " +
                                        std::to_string(static_cast<int>(orders)) + " orders within " +
                                        std::to_string(toMilliseconds(span)) + "ms at " +
                                        (alone ? proxy : "the fleet"));
    }
}

void World::checkConfigurations() {
  std::map<std::uint64_t, std::vector<std::pair<std::string, const Configuration*>>> views;
  for (const auto& [name, actor] : actors) {
    if (!actor->alive) continue;
    if (auto* node = core(name))
      views[node->consensusLog().configuration().index()].emplace_back(name, &node->consensusLog().configuration());
    if (auto* node = edge(name)) views[node->configuration().index()].emplace_back(name, &node->configuration());
  }
  Configuration model;
  std::uint64_t expected = 0;
  for (const auto& [index, row] : canon) {
    if (index != ++expected)
      return violate("acked-lost", "entry " + std::to_string(expected) + " was applied by no core");
    model.apply(row.entry);
    for (const auto& [name, view] : views[index])
      if (view->text() != model.text() || view->revision() != model.revision())
        violate("acked-lost", name + " has another blueprint than its " + std::to_string(index) + " entries make");
  }
  for (const auto& ack : ackRows) {
    if (!ack.acked || ack.code != static_cast<int>(Code::changeTaken)) continue;
    auto taken = canonByChange.find(ack.changeId);
    if (taken == canonByChange.end()) violate("acked-lost", ack.changeId + " was acknowledged and applied nowhere");
  }
}

void World::watchHolders() {
  std::set<std::string> duties{"accord", "cell/brussels-1"};
  for (const auto& zone : shape.zones) duties.insert("cell/" + zone);
  for (const auto& duty : duties)
    if (int holders = holdersOf(duty); holders > 1)
      violate("two-holders", duty + " is held by " + std::to_string(holders));
  later(20ms, [this] { watchHolders(); });
}

void World::watchReach(std::size_t at) {
  auto& ack = ackRows[at];
  for (const auto& [name, actor] : actors)
    if (starts(name, "proxy-") && actor->alive && clock >= actor->frozenUntil &&
        edge(name)->configuration().index() < ack.index) {
      if (clock < ack.at + 10s) later(5ms, [this, at] { watchReach(at); });
      return;
    }
  ack.reached = true;
  ack.reachedAll = clock;
}

void World::revoke(const std::string& tenant) {
  change("{\"keys\":{\"" + tenant + "-key\":null}}", false, "revoke " + tenant, -1,
         1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
}

void World::restore(const std::string& tenant) {
  change("{\"keys\":{\"" + tenant + "-key\":{\"tenant\":\"" + tenant + "\",\"secret\":\"" + tenant + "-secret\"}}}",
         false, "restore " + tenant, -1, 1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
  revokedAt.erase(tenant);
  restored.insert(tenant);
}

void World::list(const std::string& name) {
  if (platform().machines().count(name)) return;
  leavingAt.erase(name);
  platform().set(Machine{name, addressOf(name), zoneOf(name), starts(name, "worker-") ? "language" : name, false});
}

void World::mark(const std::string& worker, bool leaving) {
  platform().mark(worker, leaving);
  if (leaving && !platform().machines().count(worker)) return;
  if (leaving)
    leavingAt.try_emplace(worker, clock);
  else
    leavingAt.erase(worker);
}

std::int64_t World::count(const std::string& kind) const {
  auto found = counts.find(kind);
  return found == counts.end() ? 0 : found->second;
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
    TimePoint now = actor->local(clock);
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
    TimePoint now = actor->local(clock);
    if (duty == "accord" && node->consensusLog().leads(now)) return name;
    for (const auto& [zone, cell] : node->cellsByZone())
      if ("cell/" + zone == duty && cell->election.holdsLease(now)) return name;
  }
  return {};
}

void World::checkEnd() {
  for (const auto& ack : ackRows) {
    if (!ack.acked || ack.code != static_cast<int>(Code::changeTaken)) continue;
    bool held = false;
    for (const auto& [name, actor] : actors)
      if (auto* node = core(name))
        held = held || node->consensusLog().configuration().revisionOfChange(ack.changeId).has_value();
    if (!held) violate("acked-lost", ack.changeId + " is in no core's blueprint");
    for (const auto& [name, actor] : actors) {
      auto* node = core(name);
      if (!node || !node->consensusLog().formed() || clock < actor->frozenUntil + 5s) continue;
      if (node->consensusLog().leads(actor->local(clock)) &&
          !node->consensusLog().configuration().revisionOfChange(ack.changeId))
        violate("acked-lost", ack.changeId + " is unknown to the leader " + name);
    }
  }
  checkConfigurations();
  checkOperators();
  if (admitted >= 50 && retries * 5 > admitted)
    violate("too-many-retries", std::to_string(retries) + " retries of " + std::to_string(admitted) + " orders");
}

}  // namespace tt
