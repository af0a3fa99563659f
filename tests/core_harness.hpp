#pragma once
#include <criterion/criterion.h>

#include <algorithm>

#include "core.hpp"
#include "timing_guard.hpp"

/// A test harness for control processes on a simulated clock, network and disks.
namespace tt {

/// Several cores in one process. step() advances the clock, delivers messages, syncs disks and ticks every core.
struct CoreHarness {
  struct Envelope {
    std::string from, to;
    Message message;
  };
  struct Machine {
    /// `name`: the key in `machines`. `nodeName`: the name that the core itself uses.
    std::string name, address, nodeName;
    std::unique_ptr<Core> core;
    RecoveredState disk;
    std::vector<Effects::Save> syncing;
    TimePoint syncedAt{};
    bool alive{false}, mayBootstrap{false};
    /// Incremented at each start and stop, so that messages to an earlier process are dropped.
    std::uint64_t incarnation{0};
  };
  TimingGuard timingGuard;
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource;
  std::map<std::string, Machine> machines;
  std::multimap<TimePoint, std::pair<std::uint64_t, Envelope>> due;
  /// Names of the machines that neither send nor receive.
  std::set<std::string> isolated;
  /// The seeds in the settings of the next process that is started.
  Strings seeds{"core-1:1", "core-2:1", "core-3:1"};
  /// Responses to operators, by request id.
  std::map<std::string, OperatorResponse> replies;
  /// How often each kind of journal event occurred, and when it last did.
  std::map<std::string, int> notes;
  std::map<std::string, TimePoint> lastNote;
  /// Called after each step, to check invariants.
  std::function<void()> afterStep;
  int requestCount{0};

  explicit CoreHarness(std::uint64_t seed = 1, int count = 5) : randomSource(seed) {
    timing.memberRemovalTimeout = 6s;
    timing.minVoters = 3;
    for (int at = 1; at <= count; ++at) {
      std::string name = "core-" + std::to_string(at);
      addMachine(name, name);
    }
  }
  /// Adds a machine that is powered off and has an empty disk.
  void addMachine(const std::string& name, const std::string& nodeName) {
    auto& machine = machines[name];
    machine.name = name;
    machine.nodeName = nodeName;
    machine.address = name + ":1";
  }
  void start(const std::string& name, bool mayBootstrap) {
    auto& machine = machines.at(name);
    cr_assert_not(machine.alive);
    machine.alive = true;
    ++machine.incarnation;
    CoreSettings settings;
    settings.name = machine.nodeName;
    settings.address = machine.address;
    settings.zone = "north-a";
    settings.seeds = seeds;
    settings.zones = {"north-a"};
    settings.mayBootstrap = mayBootstrap;
    settings.cell.separateStatus = settings.cell.singleLoadCommand = settings.cell.onlySeedsBootstrap = true;
    settings.cell.publishSummaries = false;
    machine.core = std::make_unique<Core>(settings, machine.disk, randomSource, now);
    machine.core->journal.appended.connect([this](const Event& event) {
      ++notes[event.kind];
      lastNote[event.kind] = event.at;
    });
  }
  void stop(const std::string& name) {
    auto& machine = machines.at(name);
    machine.alive = false;
    ++machine.incarnation;
    machine.syncing.clear();
    machine.core.reset();
  }
  void wipe(const std::string& name) {
    if (machines.at(name).alive) stop(name);
    machines.at(name).disk = RecoveredState();
  }
  Machine* findByAddress(const std::string& address) {
    for (auto& [name, machine] : machines)
      if (machine.address == address) return &machine;
    return nullptr;
  }
  bool isCut(const std::string& one, const std::string& other) const {
    return one != other && (isolated.count(one) || isolated.count(other));
  }
  /// Runs an action on a core and carries out its effects.
  void with(Machine& machine, const std::function<void(Effects&, Core&)>& action) {
    Effects effects{now, randomSource, machine.core->journal, {}, {}};
    action(effects, *machine.core);
    for (auto& [to, message] : effects.sends) {
      if (to.rfind("operator", 0) == 0) {
        auto& reply = std::get<OperatorResponse>(message);
        replies[reply.requestId] = reply;
      } else if (to == machine.address) {
        due.emplace(now, std::make_pair(machine.incarnation, Envelope{machine.address, to, std::move(message)}));
      } else if (auto* other = findByAddress(to)) {
        due.emplace(now + std::chrono::milliseconds(1 + randomSource() % 8),
                    std::make_pair(other->incarnation, Envelope{machine.address, to, std::move(message)}));
      }
    }
    for (auto& save : effects.saves) machine.syncing.push_back(std::move(save));
  }
  void sync(Machine& machine) {
    if (machine.syncing.empty() || now < machine.syncedAt) return;
    machine.syncedAt = now + 6ms;
    auto saves = std::move(machine.syncing);
    machine.syncing.clear();
    for (const auto& save : saves) cr_assert(machine.disk.applyRecord(save.record));
    with(machine, [&](Effects& effects, Core&) {
      for (auto& save : saves)
        if (save.onSynced) save.onSynced(effects);
    });
  }
  void step() {
    now += 5ms;
    while (!due.empty() && due.begin()->first <= now) {
      auto [incarnation, envelope] = std::move(due.begin()->second);
      due.erase(due.begin());
      auto* receiver = findByAddress(envelope.to);
      const auto* sender = findByAddress(envelope.from);
      if (!receiver) continue;
      auto& machine = *receiver;
      if (!machine.alive || machine.incarnation != incarnation || (sender && isCut(sender->name, machine.name)))
        continue;
      with(machine, [&, from = envelope.from, message = std::move(envelope.message)](Effects& effects, Core& core) {
        core.handle(effects, from, message);
      });
    }
    for (auto& [name, machine] : machines) {
      if (!machine.alive) continue;
      with(machine, [](Effects& effects, Core& core) { core.tick(effects); });
      sync(machine);
    }
    if (afterStep) afterStep();
  }
  void run(Duration duration) {
    for (TimePoint until = now + duration; now < until;) step();
  }
  bool runUntil(const std::function<bool()>& reached, Duration timeout) {
    for (TimePoint until = now + timeout; now < until && !reached();) step();
    return reached();
  }
  std::vector<Member> membersOf(const std::string& name) const {
    return machines.at(name).core->consensusLog().members();
  }
  std::size_t votersAt(const std::string& name) const {
    auto rows = membersOf(name);
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(), [](const Member& row) { return row.votes; }));
  }
  bool votes(const std::string& name, const std::string& id) const {
    auto rows = membersOf(name);
    return std::any_of(rows.begin(), rows.end(), [&](const Member& row) { return row.id == id && row.votes; });
  }
  bool formed(const std::string& name) const { return machines.at(name).core->consensusLog().formed(); }
  std::string leader() const {
    for (const auto& [name, machine] : machines)
      if (machine.alive && machine.core->consensusLog().leads(now)) return name;
    return {};
  }
  /// Whether each of these cores has exactly these cores as voters.
  bool allVote(const Strings& names) const {
    for (const auto& name : names) {
      if (!machines.at(name).alive || !formed(name) || votersAt(name) != names.size()) return false;
      for (const auto& other : names)
        if (!votes(name, machines.at(other).core->id())) return false;
    }
    return true;
  }
  /// A running core that is not the leader.
  std::string follower() const {
    for (const auto& [name, machine] : machines)
      if (machine.alive && name != leader() && formed(name)) return name;
    return {};
  }
  Strings names() const {
    Strings all;
    for (const auto& [name, machine] : machines) all.push_back(name);
    return all;
  }
  void formAll() {
    for (const auto& name : names()) start(name, true);
    cr_assert(runUntil([&] { return allVote(names()) && !leader().empty(); }, 40s), "%s", describe().c_str());
  }
  void formFourCores() {
    for (const char* name : {"core-1", "core-2", "core-3", "core-4"}) start(name, true);
    cr_assert(runUntil([&] { return allVote({"core-1", "core-2", "core-3", "core-4"}) && !leader().empty(); }, 20s));
  }
  /// Sends a configuration change to a core; returns the request id.
  std::string submitChange(const std::string& name, const std::string& changeName) {
    std::string requestId = "ask-" + std::to_string(++requestCount);
    OperatorRequest change;
    change.requestId = requestId;
    change.body = R"({"weights":{")" + changeName + R"(":{"model":"moss"}}})";
    change.ifRevision = -1;
    change.changeId = changeName;
    with(machines.at(name), [&](Effects& effects, Core& core) { core.handle(effects, "operator", change); });
    return requestId;
  }
  bool acknowledged(const std::string& requestId) const {
    auto found = replies.find(requestId);
    return found != replies.end() && found->second.code == static_cast<int>(Code::changeTaken);
  }
  /// The state of all running cores, for failure messages.
  std::string describe() const {
    std::string text;
    for (const auto& [name, machine] : machines) {
      if (!machine.alive) continue;
      const auto& log = machine.core->consensusLog();
      text += "\n" + machine.core->id() + (log.leads(now) ? " leads" : "") + " term " +
              std::to_string(log.election.term()) + " " + log.election.state() + " holder " + log.election.holder() +
              " end " + std::to_string(log.logEnd()) + " synced " + std::to_string(log.lastSyncedIndex()) + " commit " +
              std::to_string(log.commit()) + " of";
      for (const auto& member : log.members()) text += " " + member.id + (member.votes ? "" : " (learns)");
    }
    return text;
  }
  bool hasChange(const std::string& name, const std::string& changeName) const {
    return machines.at(name).core->consensusLog().configuration().section("weights").count(changeName) > 0;
  }
};
}  // namespace tt
