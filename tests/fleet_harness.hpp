#pragma once
#include <criterion/criterion.h>

#include <algorithm>

#include "agent.hpp"
#include "core.hpp"
#include "timing_guard.hpp"

namespace tt {

/// Runs the logic of cores and agents on a simulated network and disk, with a clock that the test advances. Each
/// direction of a link can be cut separately. After each step, agents that count as fresh without an acknowledged
/// change are recorded.
struct FleetHarness {
  struct Envelope {
    std::string from, to;
    Message message;
  };
  struct Machine {
    std::string name, address;
    std::unique_ptr<Node> node;
    Core* core{nullptr};
    Agent* agent{nullptr};
    /// The synced state, which survives a stop.
    RecoveredState disk;
    std::vector<Effects::Save> pendingSaves;
    TimePoint nextSyncAt{};
    /// Incremented at each start and stop, so that messages to an earlier run are dropped.
    std::uint64_t incarnation{0};
    bool alive() const { return node != nullptr; }
  };
  TimingGuard timingGuard;
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource;
  std::map<std::string, Machine> machines;
  std::multimap<TimePoint, std::pair<std::uint64_t, Envelope>> inFlight;
  /// Senders and receivers between which messages are lost.
  std::set<std::pair<std::string, std::string>> cutLinks;
  std::map<std::string, OperatorResponse> replies;
  /// Messages to addresses outside the fleet, such as proxies.
  std::vector<std::pair<std::string, Message>> outside;
  std::map<std::string, ReadResponse> reads;
  std::map<std::string, int> eventCounts;
  std::uint64_t acknowledgedIndex{0};
  int requestCount{0};
  /// Names of agents that were fresh without an acknowledged entry, once for each step.
  Strings staleReaders;

  explicit FleetHarness(std::uint64_t seed = 1) : randomSource(seed) {
    timing.memberRemovalTimeout = 6s;
    timing.minVoters = 3;
  }

  Machine& findOrCreateMachine(const std::string& name) {
    auto& machine = machines[name];
    machine.name = name;
    machine.address = name + ":1";
    return machine;
  }
  void startCore(const std::string& name, bool mayBootstrap) {
    auto& machine = findOrCreateMachine(name);
    CoreSettings settings;
    settings.name = name;
    settings.address = machine.address;
    settings.zone = "north-a";
    settings.seeds = {"core-1:1", "core-2:1", "core-3:1"};
    settings.zones = {"north-a"};
    settings.mayBootstrap = mayBootstrap;
    settings.cell.separateStatus = settings.cell.singleLoadCommand = settings.cell.onlySeedsBootstrap = true;
    settings.cell.publishSummaries = false;
    auto core = std::make_unique<Core>(settings, machine.disk, randomSource, now);
    machine.core = core.get();
    core->journal.appended.connect([this](const Event& event) {
      ++eventCounts[event.kind];
      if (event.kind == "change acked")
        acknowledgedIndex = std::max(acknowledgedIndex, static_cast<std::uint64_t>(event.number));
    });
    machine.node = std::move(core);
    ++machine.incarnation;
  }
  void startAgent(const std::string& name) {
    auto& machine = findOrCreateMachine(name);
    AgentSettings settings;
    settings.name = name;
    settings.address = machine.address;
    settings.zone = "north-a";
    settings.seeds = {"core-1:1", "core-2:1", "core-3:1"};
    auto agent = std::make_unique<Agent>(settings);
    machine.agent = agent.get();
    machine.node = std::move(agent);
    ++machine.incarnation;
  }
  void stop(const std::string& name) {
    auto& machine = machines.at(name);
    machine.node.reset();
    machine.core = nullptr;
    machine.agent = nullptr;
    machine.pendingSaves.clear();
    ++machine.incarnation;
  }
  Machine* at(const std::string& address) {
    for (auto& [name, machine] : machines)
      if (machine.address == address) return &machine;
    return nullptr;
  }
  void cut(const std::string& one, const std::string& other) {
    cutLinks.insert({one, other});
    cutLinks.insert({other, one});
  }
  void join(const std::string& one, const std::string& other) {
    cutLinks.erase({one, other});
    cutLinks.erase({other, one});
  }
  void partition(const Strings& oneSide, const Strings& otherSide) {
    for (const auto& one : oneSide)
      for (const auto& other : otherSide) cut(one, other);
  }
  /// Runs an action on the node of a machine and applies its effects. Messages take 1 to 8 ms; those to itself arrive
  /// in the next step.
  void with(Machine& machine, const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, machine.node->journal, {}, {}};
    action(effects);
    for (auto& [to, message] : effects.sends) {
      if (auto* reply = std::get_if<OperatorResponse>(&message)) {
        replies[reply->requestId] = *reply;
      } else if (auto* read = std::get_if<ReadResponse>(&message)) {
        reads[read->requestId] = *read;
      } else if (to == machine.address) {
        inFlight.emplace(now, std::make_pair(machine.incarnation, Envelope{machine.address, to, std::move(message)}));
      } else if (auto* other = at(to)) {
        inFlight.emplace(now + std::chrono::milliseconds(1 + randomSource() % 8),
                         std::make_pair(other->incarnation, Envelope{machine.address, to, std::move(message)}));
      } else {
        outside.emplace_back(to, std::move(message));
      }
    }
    for (auto& save : effects.saves) machine.pendingSaves.push_back(std::move(save));
  }
  /// Syncs all pending records together, at most once every 6 ms.
  void sync(Machine& machine) {
    if (machine.pendingSaves.empty() || now < machine.nextSyncAt) return;
    machine.nextSyncAt = now + 6ms;
    auto saves = std::move(machine.pendingSaves);
    machine.pendingSaves.clear();
    for (const auto& save : saves) cr_assert(machine.disk.applyRecord(save.record));
    with(machine, [&](Effects& effects) {
      for (auto& save : saves)
        if (save.onSynced) save.onSynced(effects);
    });
  }
  void deliver(Envelope envelope, std::uint64_t incarnation) {
    auto& machine = *at(envelope.to);
    const auto* sender = at(envelope.from);
    if (!machine.alive() || machine.incarnation != incarnation ||
        (sender && cutLinks.count({sender->name, machine.name})))
      return;
    with(machine, [&](Effects& effects) { machine.node->handle(effects, envelope.from, envelope.message); });
  }
  /// Records the agents that are fresh without an acknowledged entry.
  void checkReaders() {
    for (auto& [name, machine] : machines)
      if (machine.agent && machine.agent->fresh(now) && machine.agent->configuration().index() < acknowledgedIndex)
        staleReaders.push_back(name);
  }
  /// Advances the clock by 5 ms.
  void step() {
    now += 5ms;
    while (!inFlight.empty() && inFlight.begin()->first <= now) {
      auto [incarnation, envelope] = std::move(inFlight.begin()->second);
      inFlight.erase(inFlight.begin());
      deliver(std::move(envelope), incarnation);
    }
    for (auto& [name, machine] : machines) {
      if (!machine.alive()) continue;
      with(machine, [&, node = machine.node.get()](Effects& effects) { node->tick(effects); });
      sync(machine);
    }
    checkReaders();
  }
  void run(Duration span) {
    for (TimePoint until = now + span; now < until;) step();
  }
  /// Runs until a condition is true. Returns false if it is still false after maxDuration.
  bool runUntil(const std::function<bool()>& reached, Duration maxDuration) {
    for (TimePoint until = now + maxDuration; now < until && !reached();) step();
    return reached();
  }
  const ReplicatedLog& logOf(const std::string& name) { return machines.at(name).core->consensusLog(); }
  std::size_t votersAt(const std::string& name) {
    const auto& rows = logOf(name).members();
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(), [](const Member& row) { return row.votes; }));
  }
  std::string leader() {
    for (auto& [name, machine] : machines)
      if (machine.core && machine.core->consensusLog().leads(now)) return name;
    return {};
  }
  Strings followers() {
    Strings names;
    for (auto& [name, machine] : machines)
      if (machine.core && name != leader()) names.push_back(name);
    return names;
  }
  /// Starts cores and waits until they have formed one group with a leader.
  void form(int cores) {
    for (int number = 1; number <= cores; ++number) startCore("core-" + std::to_string(number), true);
    cr_assert(runUntil(
        [&] {
          for (auto& [name, machine] : machines)
            if (machine.core && votersAt(name) != static_cast<std::size_t>(cores)) return false;
          return !leader().empty();
        },
        40s));
  }
  bool agentFresh(const std::string& name) { return machines.at(name).agent->fresh(now); }
  /// Requests a change that adds weights with the name of the change. Returns the id of the request.
  std::string requestChange(const std::string& name, const std::string& changeName) {
    return requestChangeWith(name, changeName, R"({"weights":{")" + changeName + R"(":{"model":"moss"}}})");
  }
  std::string requestChangeWith(const std::string& name, const std::string& changeName, const std::string& body) {
    std::string requestId = "ask-" + std::to_string(++requestCount);
    OperatorRequest change;
    change.requestId = requestId;
    change.body = body;
    change.ifRevision = -1;
    change.changeId = changeName;
    with(machines.at(name), [&](Effects& effects) { machines.at(name).node->handle(effects, "operator", change); });
    return requestId;
  }
  /// Requests a consistent read. Returns the id of the request.
  std::string read(const std::string& name) {
    std::string requestId = "read-" + std::to_string(++requestCount);
    with(machines.at(name),
         [&](Effects& effects) { machines.at(name).node->handle(effects, requestId, ReadRequest{requestId}); });
    return requestId;
  }
  ReadResponse readFrom(const std::string& name) {
    auto requestId = read(name);
    cr_assert(runUntil([&] { return reads.count(requestId) > 0; }, 1s), "the core must respond to a read within 1 s");
    return reads[requestId];
  }
  /// The names of all cores except one.
  Strings coresExcept(const std::string& left) {
    Strings names;
    for (auto& [name, machine] : machines)
      if (name != left && machine.core) names.push_back(name);
    return names;
  }
  bool acknowledged(const std::string& requestId) const {
    auto found = replies.find(requestId);
    return found != replies.end() && found->second.code == static_cast<int>(Code::changeTaken);
  }
  /// Whether a core's configuration has the weights of a change requested by requestChange().
  bool has(const std::string& name, const std::string& changeName) {
    return logOf(name).configuration().section("weights").count(changeName) > 0;
  }
};

}  // namespace tt
