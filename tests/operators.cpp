#include <criterion/criterion.h>

#include <algorithm>

#include "core.hpp"
#include "operator_wire.hpp"

using namespace tt;

namespace {
/// Cores with disks on a simulated network. The test can delay, lose and hold back messages.
struct OperatorFleet {
  struct Envelope {
    std::string from, to;
    Message message;
  };
  struct Machine {
    std::string name, address;
    std::unique_ptr<Core> core;
    RecoveredState disk;
    std::vector<Effects::Save> syncing;
  };
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource{7};
  std::map<std::string, Machine> machines;
  std::multimap<TimePoint, Envelope> due;
  std::vector<Envelope> heldBack;
  /// Which messages wait in `heldBack` until release() is called.
  std::function<bool(const Envelope&)> shouldHold = [](const Envelope&) { return false; };
  std::set<std::string> isolated, frozen;
  /// How many of a thousand messages are lost, and how many take up to 800 ms.
  std::size_t lostPerMille{0}, delayedPerMille{0};
  /// All responses to operators, by request id.
  std::map<std::string, std::vector<OperatorResponse>> replies;
  int requestCount{0};

  explicit OperatorFleet(int size = 5) {
    for (int number = 1; number <= size; ++number) {
      std::string name = "core-" + std::to_string(number);
      machines[name].name = name;
      machines[name].address = name + ":1";
      start(name);
    }
    cr_assert(runUntil([&] { return allFormed() && !leader().empty(); }, 20s));
    run(1s);
  }
  void start(const std::string& name) {
    auto& machine = machines.at(name);
    CoreSettings settings;
    settings.name = name;
    settings.address = machine.address;
    settings.zone = "north-a";
    settings.seeds = {"core-1:1", "core-2:1", "core-3:1"};
    settings.zones = {"north-a"};
    settings.cell.separateStatus = settings.cell.singleLoadCommand = settings.cell.onlySeedsBootstrap = true;
    settings.cell.publishSummaries = false;
    machine.core = std::make_unique<Core>(settings, machine.disk, randomSource, now);
  }
  /// Stops a process. What is not synced is lost; the disk remains.
  void stop(const std::string& name) {
    machines.at(name).syncing.clear();
    machines.at(name).core.reset();
  }
  bool allFormed() const {
    for (const auto& [name, machine] : machines)
      if (machine.core && machine.core->consensusLog().members().size() != machines.size()) return false;
    return std::all_of(machines.begin(), machines.end(), [](const auto& row) {
      const auto& rows = row.second.core->consensusLog().members();
      return std::all_of(rows.begin(), rows.end(), [](const Member& member) { return member.votes; });
    });
  }
  Machine* findByAddress(const std::string& address) {
    for (auto& [name, machine] : machines)
      if (machine.address == address) return &machine;
    return nullptr;
  }
  bool isCut(const Envelope& envelope) {
    auto *sender = findByAddress(envelope.from), *receiver = findByAddress(envelope.to);
    return sender != receiver &&
           ((sender && isolated.count(sender->name)) || (receiver && isolated.count(receiver->name)));
  }
  void collect(Machine& machine, Effects& effects) {
    for (auto& [to, message] : effects.sends) {
      if (auto* reply = std::get_if<OperatorResponse>(&message)) {
        replies[reply->requestId].push_back(*reply);
        continue;
      }
      Envelope envelope{machine.address, to, std::move(message)};
      if (!findByAddress(to)) continue;
      bool inside = to == machine.address;
      if (shouldHold(envelope))
        heldBack.push_back(std::move(envelope));
      else if (inside || randomSource() % 1000 >= lostPerMille)
        due.emplace(now + std::chrono::milliseconds(inside ? 0 : transit()), envelope);
    }
    for (auto& save : effects.saves) machine.syncing.push_back(std::move(save));
  }
  std::uint64_t transit() { return 1 + randomSource() % (randomSource() % 1000 < delayedPerMille ? 800 : 5); }
  void with(Machine& machine, TimePoint coreNow, const std::function<void(Effects&, Core&)>& action) {
    Effects effects{coreNow, randomSource, machine.core->journal, {}, {}};
    action(effects, *machine.core);
    collect(machine, effects);
  }
  void deliver(const std::string& name, const std::string& from, const Message& message) {
    deliver(name, from, message, now);
  }
  void deliver(const std::string& name, const std::string& from, const Message& message, TimePoint coreNow) {
    with(machines.at(name), coreNow, [&](Effects& effects, Core& core) { core.handle(effects, from, message); });
  }
  void step() {
    now += 5ms;
    std::vector<Envelope> undelivered;
    while (!due.empty() && due.begin()->first <= now) {
      Envelope envelope = std::move(due.begin()->second);
      due.erase(due.begin());
      auto& machine = *findByAddress(envelope.to);
      if (frozen.count(machine.name))
        undelivered.push_back(std::move(envelope));
      else if (machine.core && !isCut(envelope))
        deliver(machine.name, envelope.from, envelope.message);
    }
    for (auto& envelope : undelivered) due.emplace(now + 1ms, std::move(envelope));
    for (auto& [name, machine] : machines) {
      if (!machine.core || frozen.count(name)) continue;
      with(machine, now, [](Effects& effects, Core& core) { core.tick(effects); });
      auto saves = std::move(machine.syncing);
      machine.syncing.clear();
      for (const auto& save : saves) cr_assert(machine.disk.applyRecord(save.record));
      with(machine, now, [&](Effects& effects, Core&) {
        for (auto& save : saves)
          if (save.onSynced) save.onSynced(effects);
      });
    }
  }
  void run(Duration duration) {
    for (TimePoint until = now + duration; now < until;) step();
  }
  bool runUntil(const std::function<bool()>& reached, Duration timeout) {
    for (TimePoint until = now + timeout; now < until && !reached();) step();
    return reached();
  }
  /// Delivers the messages that were held back.
  void release() {
    shouldHold = [](const Envelope&) { return false; };
    for (auto& envelope : heldBack) due.emplace(now, std::move(envelope));
    heldBack.clear();
  }
  std::string leader() const {
    for (const auto& [name, machine] : machines)
      if (machine.core && machine.core->consensusLog().leads(now) && !isolated.count(name) && !frozen.count(name))
        return name;
    return {};
  }
  /// A running core that is not the leader; `number` selects one of several.
  std::string follower(int number = 1) const {
    for (const auto& [name, machine] : machines)
      if (machine.core && name != leader() && !isolated.count(name) && --number == 0) return name;
    return {};
  }
  std::string submit(const std::string& name, OperatorRequest change) {
    change.requestId = "ask-" + std::to_string(++requestCount);
    deliver(name, "operator", change);
    return change.requestId;
  }
  /// The first response to a request; no value if there is none yet.
  std::optional<Code> firstResponse(const std::string& requestId) const {
    auto found = replies.find(requestId);
    if (found == replies.end()) return std::nullopt;
    return static_cast<Code>(found->second.front().code);
  }
  Code waitForResponse(const std::string& requestId, Duration timeout = 10s) {
    cr_assert(runUntil([&] { return firstResponse(requestId).has_value(); }, timeout), "%s got no response",
              requestId.c_str());
    return *firstResponse(requestId);
  }
  /// Sends a change to the leader and expects that it is accepted.
  void mustAccept(const OperatorRequest& change) {
    auto name = leader();
    cr_assert_neq(name, "");
    cr_assert_eq(waitForResponse(submit(name, change)), Code::changeTaken);
  }
  const Configuration& view(const std::string& name) const {
    return machines.at(name).core->consensusLog().configuration();
  }
  /// Whether any core has committed a change that names this item.
  bool isCommitted(const std::string& section, const std::string& item) const {
    return std::any_of(machines.begin(), machines.end(), [&](const auto& row) {
      return row.second.core && view(row.first).section(section).count(item) > 0;
    });
  }
};

/// A change that adds one service and takes the configuration from the revision `base` to `revision`.
OperatorRequest serviceChange(std::int64_t base, std::int64_t revision, const std::string& service) {
  OperatorRequest change;
  change.body = R"({"services":{")" + service + R"(":{}}})";
  change.ifRevision = base;
  change.toRevision = revision;
  change.changeFormat = static_cast<int>(ChangeFormat::items);
  change.changeId = "config/" + std::to_string(revision) + "/" + service;
  return change;
}
/// A change as an operator sends it through the platform's API.
OperatorRequest apiChange(const std::string& method, const std::string& path, const std::string& body,
                          std::optional<std::string> base = std::nullopt) {
  auto change = readOperatorCall(OperatorCall{method, path, body, std::move(base)});
  cr_assert(bool(change), "%s", bool(change) ? "" : change.error().subject.c_str());
  return change.value();
}
OperatorRequest weightsChange(const std::string& model, int number) {
  return apiChange("POST", "/version-put", R"({"Model":")" + model + R"(","Revision":)" + std::to_string(number) + "}");
}
JsonObject readBack(const Configuration& view) {
  JsonObject sections;
  for (const char* name : {"routes", "services", "tenants", "limits", "extra"})
    sections[name] = Json(view.section(name));
  return parseJson(writeConfig(view.revision(), sections)).value().get<JsonObject>();
}
std::string namesIn(const JsonObject& config, const std::string& list) {
  std::string names;
  for (const auto& row : config.at(list).get<JsonArray>()) names += stringOr(row, "Name") + " ";
  return names;
}
std::string routeText(const std::string& name) {
  return R"({"Name":")" + name + R"(","Hostname":"one.example","PathPrefix":"/)" + name + R"(/","Backend":"mill"})";
}
bool isRefusal(std::optional<Code> code) {
  return code && *code != Code::changeTaken && *code != Code::changeUnsure && *code != Code::notLeading &&
         *code != Code::changesFull;
}
}  // namespace

Test(operators, a_response_to_an_earlier_process_acknowledges_nothing) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string entryCore = fleet.follower();
  std::string entryAddress = fleet.machines.at(entryCore).address;
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return std::holds_alternative<AppendRequest>(envelope.message);
  };
  fleet.submit(entryCore, serviceChange(1, 2, "before"));
  fleet.run(100ms);
  fleet.stop(entryCore);
  fleet.start(entryCore);
  fleet.run(200ms);
  fleet.release();
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return envelope.from == entryAddress && std::holds_alternative<ChangeRequest>(envelope.message);
  };
  auto requestId = fleet.submit(entryCore, serviceChange(2, 3, "after"));
  fleet.run(3s);
  cr_assert(fleet.isCommitted("services", "before"));
  cr_assert_not(fleet.isCommitted("services", "after"));
  cr_assert_not(fleet.firstResponse(requestId).has_value(),
                "the response to a request of an earlier process was taken for its own");
}

Test(operators, a_refusal_waits_until_the_entries_it_depends_on_are_committed) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string old = fleet.leader();
  fleet.isolated = {old};
  fleet.submit(old, serviceChange(1, 2, "lost"));
  auto refused = fleet.submit(old, serviceChange(1, 2, "rival"));
  fleet.run(20ms);
  cr_assert(fleet.runUntil([&] { return !fleet.leader().empty(); }, 10s));
  auto accepted = fleet.submit(fleet.leader(), serviceChange(1, 2, "rival"));
  cr_assert_eq(fleet.waitForResponse(accepted), Code::changeTaken);
  cr_assert_not(isRefusal(fleet.firstResponse(refused)),
                "refused because of a change that was lost, and then accepted");
  fleet.isolated.clear();
  cr_assert_not(isRefusal(fleet.waitForResponse(refused, 20s)));
}

Test(operators, a_paused_leader_refuses_nothing) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string old = fleet.leader();
  TimePoint beforeFreeze = fleet.now;
  fleet.isolated = {old};
  cr_assert(fleet.runUntil([&] { return !fleet.leader().empty(); }, 10s));
  fleet.mustAccept(serviceChange(1, 5, "second"));
  ChangeRequest change;
  auto next = serviceChange(5, 6, "third");
  change.requestId = "sent to a paused leader";
  change.body = next.body;
  change.ifRevision = next.ifRevision;
  change.toRevision = next.toRevision;
  change.changeFormat = next.changeFormat;
  change.changeId = next.changeId;
  auto& frozenCore = fleet.machines.at(old);
  Effects effects{beforeFreeze, fleet.randomSource, frozenCore.core->journal, {}, {}};
  frozenCore.core->handle(effects, "core-9:1", change);
  for (const auto& [to, message] : effects.sends)
    if (auto* reply = std::get_if<ChangeResponse>(&message))
      cr_expect_not(isRefusal(static_cast<Code>(reply->code)), "a deposed leader refused: %s", reply->text.c_str());
  fleet.mustAccept(next);
}

Test(operators, a_refused_change_is_not_accepted_from_a_delayed_copy) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string slowCore = fleet.follower(1), fastCore = fleet.follower(2);
  std::string slowAddress = fleet.machines.at(slowCore).address;
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return envelope.from == slowAddress && std::holds_alternative<ChangeRequest>(envelope.message);
  };
  auto change = serviceChange(5, 6, "early");
  fleet.submit(slowCore, change);
  cr_assert(isRefusal(fleet.waitForResponse(fleet.submit(fastCore, change))));
  fleet.mustAccept(serviceChange(1, 5, "second"));
  fleet.release();
  fleet.run(8s);
  cr_assert_not(fleet.isCommitted("services", "early"), "a refused change is in force");
}

Test(operators, a_refused_change_is_not_accepted_by_a_later_leader) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string slowCore = fleet.follower(1), fastCore = fleet.follower(2);
  std::string slowAddress = fleet.machines.at(slowCore).address;
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return envelope.from == slowAddress && std::holds_alternative<ChangeRequest>(envelope.message);
  };
  auto change = serviceChange(5, 6, "early");
  fleet.submit(slowCore, change);
  cr_assert(isRefusal(fleet.waitForResponse(fleet.submit(fastCore, change))));
  fleet.mustAccept(serviceChange(1, 5, "second"));
  std::string old = fleet.leader();
  fleet.stop(old);
  cr_assert(fleet.runUntil([&] { return !fleet.leader().empty(); }, 10s));
  std::string next = fleet.machines.at(fleet.leader()).address;
  for (auto& envelope : fleet.heldBack) envelope.to = next;
  fleet.release();
  fleet.run(8s);
  cr_assert_not(fleet.isCommitted("services", "early"), "a refused change is in force");
}

Test(operators, an_invalid_change_refused_once_is_not_accepted_when_it_would_be_valid) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string slowCore = fleet.follower(1), fastCore = fleet.follower(2);
  std::string slowAddress = fleet.machines.at(slowCore).address;
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return envelope.from == slowAddress && std::holds_alternative<ChangeRequest>(envelope.message);
  };
  OperatorRequest change;
  change.body = R"({"routes":{"r-early":{"host":"one.example","prefix":"/a/","service":"second"}}})";
  change.ifRevision = -1;
  change.toRevision = 9;
  change.changeFormat = static_cast<int>(ChangeFormat::items);
  change.changeId = "config/9/early";
  fleet.submit(slowCore, change);
  cr_assert_eq(fleet.waitForResponse(fleet.submit(fastCore, change)), Code::blueprintBad);
  fleet.mustAccept(serviceChange(1, 5, "second"));
  fleet.release();
  fleet.run(8s);
  cr_assert_not(fleet.isCommitted("routes", "r-early"), "a refused change is in force");
}

Test(operators, a_core_without_a_majority_gives_no_definite_response) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 4, "first"));
  std::string old = fleet.leader(), other = fleet.follower();
  fleet.isolated = {old, other};
  std::vector<std::string> requestIds;
  for (const auto& name : {old, other})
    for (const auto& change :
         {serviceChange(2, 5, "stale"), serviceChange(4, 4, "not-above"), serviceChange(4, 5, "well")})
      requestIds.push_back(fleet.submit(name, change));
  fleet.run(8s);
  for (const auto& requestId : requestIds) {
    auto code = fleet.firstResponse(requestId);
    cr_assert(code.has_value());
    cr_expect(*code == Code::notLeading || *code == Code::changeUnsure, "%s", codeName(*code));
  }
}

Test(operators, of_two_changes_with_one_revision_one_is_accepted_with_all_its_copies) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::map<std::string, std::vector<std::string>> requestIdsByService;
  for (int copy = 0; copy < 8; ++copy)
    for (const char* service : {"mine", "yours"})
      requestIdsByService[service].push_back(
          fleet.submit("core-" + std::to_string(copy % 5 + 1), serviceChange(1, 3, service)));
  std::map<std::string, std::set<Code>> codes;
  for (const auto& [service, requestIds] : requestIdsByService)
    for (const auto& requestId : requestIds) codes[service].insert(fleet.waitForResponse(requestId));
  bool mine = fleet.isCommitted("services", "mine");
  cr_assert_neq(mine, fleet.isCommitted("services", "yours"));
  cr_assert(codes[mine ? "mine" : "yours"] == std::set<Code>{Code::changeTaken});
  cr_assert(codes[mine ? "yours" : "mine"] == std::set<Code>{Code::staleRevision});
}

Test(operators, an_accepted_change_is_confirmed_again_after_later_ones_and_a_power_loss) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  auto change = serviceChange(1, 2, "kept");
  change.body = R"({"routes":{"r":{"host":"one.example","prefix":"/a/","service":"first"}}})";
  fleet.mustAccept(change);
  OperatorRequest removal = serviceChange(2, 3, "removal");
  removal.body = R"({"routes":{"r":null},"services":{"first":null}})";
  fleet.mustAccept(removal);
  std::int64_t revision = 3;
  for (int more = 0; more < 60; ++more, ++revision)
    fleet.mustAccept(serviceChange(revision, revision + 1, "later-" + std::to_string(more)));
  for (const auto& [name, machine] : fleet.machines) fleet.stop(name);
  for (const auto& [name, machine] : fleet.machines) fleet.start(name);
  cr_assert(fleet.runUntil([&] { return !fleet.leader().empty(); }, 20s));
  for (const auto& [name, machine] : fleet.machines)
    cr_expect_eq(fleet.waitForResponse(fleet.submit(name, change)), Code::changeTaken, "at %s", name.c_str());
  cr_assert_not(fleet.isCommitted("routes", "r"), "the change was applied twice");
}

Test(operators, a_change_sent_again_after_a_change_of_leader_is_confirmed_within_a_second) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  auto change = serviceChange(1, 2, "kept");
  fleet.mustAccept(change);
  fleet.stop(fleet.leader());
  cr_assert(fleet.runUntil([&] { return !fleet.leader().empty(); }, 10s));
  fleet.run(5s);
  TimePoint before = fleet.now;
  cr_assert_eq(fleet.waitForResponse(fleet.submit(fleet.leader(), change)), Code::changeTaken);
  cr_expect_lt(toMilliseconds(fleet.now - before), 1000);
}

Test(operators, a_change_that_may_have_been_forgotten_is_not_refused) {
  Configuration view;
  std::mt19937_64 randomSource{3};
  Member self{"only", "only", "only:1", "north-a", true};
  ReplicatedLog log(self, 1 << 20);
  Journal journal;
  TimePoint now{std::chrono::hours(3)};
  std::vector<ChangeResponse> responses;
  RecoveredState disk;
  auto with = [&](const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, journal, {}, {}};
    action(effects);
    while (!effects.saves.empty()) {
      auto saves = std::move(effects.saves);
      effects.saves.clear();
      for (auto& save : saves) {
        cr_assert(disk.applyRecord(save.record));
        if (save.onSynced) save.onSynced(effects);
      }
    }
    for (auto& [to, message] : effects.sends)
      if (auto* reply = std::get_if<ChangeResponse>(&message)) responses.push_back(*reply);
  };
  auto propose = [&](const OperatorRequest& change) {
    ChangeRequest request;
    request.requestId = "a";
    request.body = change.body;
    request.ifRevision = change.ifRevision;
    request.changeId = change.changeId;
    request.changeFormat = change.changeFormat;
    request.toRevision = change.toRevision;
    responses.clear();
    with([&](Effects& effects) { log.proposeChange(effects, "core-9:1", request); });
    cr_assert_eq(responses.size(), 1u);
    return static_cast<Code>(responses.front().code);
  };
  with([&](Effects& effects) { log.form(effects, {self}); });
  for (int at = 0; at < 500 && !log.leads(now); ++at) {
    now += 20ms;
    with([&](Effects& effects) { log.tick(effects); });
  }
  cr_assert(log.leads(now));
  auto first = serviceChange(0, 1, "first");
  cr_assert_eq(propose(first), Code::changeTaken);
  std::int64_t revision = 1;
  for (int more = 0; more < 4095; ++more, ++revision)
    cr_assert_eq(propose(serviceChange(revision, revision + 1, "later")), Code::changeTaken);
  cr_expect_eq(propose(first), Code::changeTaken);
  for (int more = 0; more < 10; ++more, ++revision)
    cr_assert_eq(propose(serviceChange(revision, revision + 1, "later")), Code::changeTaken);
  cr_expect_eq(propose(first), Code::changeUnsure, "a change that is too old to be remembered may have been accepted");
  cr_expect_eq(propose(serviceChange(3000, 3001, "rival")), Code::staleRevision);
}

Test(operators, a_patch_through_a_lagging_core_keeps_what_it_does_not_name) {
  OperatorFleet fleet;
  fleet.mustAccept(apiChange("PUT", "/config",
                             R"({"Revision":1,"Routes":[)" + routeText("z") + "," + routeText("y") +
                                 R"(],"Backends":[{"Name":"mill"}],"Later":[{"Name":"l-1"}],"Mark":1})",
                             "0"));
  std::string behind = fleet.follower(), behindAddress = fleet.machines.at(behind).address;
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return envelope.to == behindAddress && std::holds_alternative<AppendRequest>(envelope.message);
  };
  fleet.mustAccept(apiChange("PATCH", "/config",
                             R"({"Revision":4,"Upsert":{"Routes":[)" + routeText("x") + "," + routeText("c") +
                                 R"(],"Later":[{"Name":"l-2"}],"Mark":2,"Tenants":[{"Name":"olm","ApiKeys":["k"]}]}})",
                             "1"));
  cr_assert_eq(fleet.view(behind).revision(), 1u);
  auto patch =
      apiChange("PATCH", "/config",
                R"({"Revision":9,"Upsert":{"Routes":[)" + routeText("b") + "," + routeText("a") + "," + routeText("x") +
                    R"(],"Later":[{"Name":"l-3"}]},"Remove":{"Routes":["y"],"Later":["l-1"],"Tenants":["olm"]}})",
                "4");
  cr_assert_eq(fleet.waitForResponse(fleet.submit(behind, patch)), Code::changeTaken);
  auto config = readBack(fleet.view(fleet.leader()));
  cr_expect_eq(namesIn(config, "Routes"), "z x c b a ", "%s", namesIn(config, "Routes").c_str());
  cr_expect_eq(namesIn(config, "Later"), "l-2 l-3 ", "%s", namesIn(config, "Later").c_str());
  cr_expect(config.at("Mark") == Json(2.0));
  cr_expect(config.count("Tenants") && config.at("Tenants") == Json(JsonArray()), "%s",
            Json(config).serialize().c_str());
  cr_expect(config.at("Revision") == Json(9.0));
}

Test(operators, weights_announced_late_through_a_lagging_core_do_not_go_back) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  fleet.mustAccept(weightsChange("moss", 1));
  std::string behind = fleet.follower(), behindAddress = fleet.machines.at(behind).address;
  fleet.shouldHold = [&](const OperatorFleet::Envelope& envelope) {
    return envelope.to == behindAddress && std::holds_alternative<AppendRequest>(envelope.message);
  };
  fleet.mustAccept(weightsChange("moss", 3));
  cr_assert_eq(fleet.view(behind).weightsOf("moss").value_or(""), "moss/1");
  cr_expect_eq(fleet.waitForResponse(fleet.submit(behind, weightsChange("moss", 2))), Code::changeTaken);
  cr_expect_eq(fleet.view(fleet.leader()).weightsOf("moss").value_or(""), "moss/3");
  cr_expect_eq(fleet.view(fleet.leader()).revision(), 1u);
  fleet.mustAccept(weightsChange("fern", 2));
  fleet.mustAccept(weightsChange("moss", 3));
  fleet.mustAccept(weightsChange("moss", 10));
  cr_expect_eq(fleet.view(fleet.leader()).weightsOf("moss").value_or(""), "moss/10");
  cr_expect_eq(fleet.view(fleet.leader()).weightsOf("fern").value_or(""), "fern/2");
}

Test(operators, weights_announced_by_eight_operators_at_once_end_at_the_highest) {
  OperatorFleet fleet;
  auto early = fleet.submit(fleet.follower(), weightsChange("moss", 1));
  cr_assert_eq(fleet.waitForResponse(early), Code::changeUnsure, "weights announced before there is a configuration");
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::vector<std::string> requestIds;
  for (int number : {4, 8, 1, 7, 2, 6, 3, 5})
    requestIds.push_back(fleet.submit("core-" + std::to_string(number % 5 + 1), weightsChange("moss", number)));
  for (const auto& requestId : requestIds) cr_expect_eq(fleet.waitForResponse(requestId), Code::changeTaken);
  cr_expect_eq(fleet.view(fleet.leader()).weightsOf("moss").value_or(""), "moss/8");
}

Test(operators, a_change_refused_long_ago_is_validated_again_when_it_is_resent) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  auto change = serviceChange(5, 6, "early");
  cr_assert_eq(fleet.waitForResponse(fleet.submit(fleet.follower(), change)), Code::staleRevision);
  fleet.mustAccept(serviceChange(1, 5, "second"));
  cr_assert_eq(fleet.waitForResponse(fleet.submit(fleet.leader(), change)), Code::staleRevision,
               "a copy within the operator timeout of six seconds");
  fleet.run(7s);
  fleet.mustAccept(change);
  cr_assert_eq(fleet.waitForResponse(fleet.submit(fleet.follower(), change)), Code::changeTaken);
}

Test(operators, a_paused_core_accepts_no_copy_of_a_change_refused_meanwhile) {
  OperatorFleet fleet;
  fleet.mustAccept(serviceChange(0, 1, "first"));
  std::string frozenCore = fleet.follower(1), awake = fleet.follower(2);
  fleet.frozen = {frozenCore};
  fleet.run(500ms);
  auto change = serviceChange(5, 6, "early");
  cr_assert_eq(fleet.waitForResponse(fleet.submit(awake, change)), Code::staleRevision);
  fleet.mustAccept(serviceChange(1, 5, "second"));
  fleet.run(20s);
  fleet.frozen.clear();
  cr_assert(fleet.runUntil([&] { return fleet.view(frozenCore).revision() == 5; }, 10s));
  auto copy = fleet.submit(frozenCore, change);
  fleet.run(8s);
  cr_assert_neq(fleet.waitForResponse(copy), Code::changeTaken);
  cr_assert_not(fleet.isCommitted("services", "early"));
}

Test(operators, refusals_survive_snapshots_and_give_no_definite_response_once_forgotten) {
  Configuration view;
  for (std::uint64_t index = 1; index <= 1100; ++index) {
    Refusal refusal{
        "change-" + std::to_string(index), 0, static_cast<int>(Code::staleRevision), "ifRevision", "why", 1};
    view.apply(LogEntry{index, 1, static_cast<int>(EntryKind::refusal), encodeRefusal(refusal), {}, 0});
  }
  Configuration other;
  cr_assert(bool(other.installSnapshot(decodeSnapshot(encodeSnapshot(view.snapshot())).value())));
  for (const auto* each : {&view, &other}) {
    const auto* known = each->findRefusalAfter("change-1100", 1099);
    cr_assert(known && known->index == 1100 && known->code == static_cast<int>(Code::staleRevision));
    cr_expect_null(each->findRefusalAfter("change-1100", 1100));
    cr_expect_null(each->findRefusalAfter("change-1", 0));
    cr_expect_null(each->findRefusalAfter("", 0));
    cr_expect_eq(each->lastEvictedRefusal(), 76u);
  }
  cr_expect_eq(view.revision(), 0u);
}

Test(operators, the_same_call_always_becomes_the_same_change) {
  std::string body = R"({"Revision":9,"Upsert":{"Routes":[)" + routeText("a") + "]}}";
  auto first = apiChange("PATCH", "/config", body, "7"), again = apiChange("PATCH", "/config", body, "7");
  cr_expect_eq(first.changeId, again.changeId);
  cr_expect_eq(first.body, again.body);
  cr_expect_eq(first.ifRevision, 7);
  cr_expect_eq(first.toRevision, 9);
  cr_expect_neq(first.changeId, apiChange("PATCH", "/config", body, "8").changeId);
  cr_expect_neq(first.changeId, apiChange("PATCH", "/config", body).changeId);
  cr_expect_eq(apiChange("PATCH", "/config", body).ifRevision, -1);
  for (const char* base : {"", "x", "-1", "\"7\"", "1234567890123456"})
    cr_expect_eq(readOperatorCall({"PATCH", "/config", body, base}).error().code, Code::badField);
  cr_expect_eq(readOperatorCall({"DELETE", "/config", body, "7"}).error().code, Code::unknownPath);
  cr_expect_eq(readOperatorCall({"PUT", "/config", "{", "7"}).error().code, Code::badJson);
  cr_expect_eq(operatorStatus(Code::changeTaken), 200);
  cr_expect_eq(operatorStatus(Code::staleRevision), 412);
  for (Code code : {Code::badJson, Code::badField, Code::missingField, Code::blueprintBad, Code::revisionOld})
    cr_expect_eq(operatorStatus(code), 400);
  for (Code code : {Code::changesFull, Code::changeUnsure, Code::notLeading, Code::readUnconfirmed})
    cr_expect_eq(operatorStatus(code), 503);
}

namespace {
/// Up to eight operators change a fleet in which messages are lost or delayed and cores are stopped, paused or
/// isolated. Each sends its change to one core after another until it gets a definite response.
struct FaultRun {
  struct Change {
    OperatorRequest request;
    std::vector<std::string> requestIds;
    TimePoint begunAt{}, sentAt{};
    bool open{true}, accepted{false}, refused{false};
  };
  OperatorFleet fleet;
  std::mt19937_64 faultRandom;
  std::vector<Change> changes;
  std::vector<std::int64_t> knownRevisions{1};
  TimePoint faultUntil{};
  std::string stopped;

  explicit FaultRun(std::uint64_t seed) : faultRandom(seed) {
    fleet.randomSource.seed(seed);
    fleet.mustAccept(serviceChange(0, 1, "first"));
    fleet.lostPerMille = 30;
    fleet.delayedPerMille = 60;
  }
  std::string anyCore() { return "core-" + std::to_string(1 + faultRandom() % 5); }
  void send(Change& change) {
    change.sentAt = fleet.now;
    auto entryCore = anyCore();
    if (fleet.machines.at(entryCore).core && !fleet.frozen.count(entryCore))
      change.requestIds.push_back(fleet.submit(entryCore, change.request));
  }
  void startChange() {
    auto open = std::count_if(changes.begin(), changes.end(), [](const Change& row) { return row.open; });
    if (open >= 8 || faultRandom() % 8) return;
    std::int64_t base = knownRevisions.back() + static_cast<std::int64_t>(faultRandom() % 4 ? 0 : faultRandom() % 3);
    auto name = "s-" + std::to_string(changes.size());
    Change change;
    change.request = serviceChange(base, base + 1 + static_cast<std::int64_t>(faultRandom() % 2), name);
    change.begunAt = fleet.now;
    changes.push_back(std::move(change));
    send(changes.back());
  }
  void checkResponses(Change& change) {
    for (const auto& requestId : change.requestIds) {
      auto code = fleet.firstResponse(requestId);
      if (!code) continue;
      if (*code == Code::changeTaken) {
        change.accepted = true;
        change.open = false;
        knownRevisions.push_back(std::max(knownRevisions.back(), change.request.toRevision));
      } else if (isRefusal(code)) {
        change.refused = true;
        change.open = false;
      }
    }
    if (change.open && fleet.now - change.sentAt > 1s) send(change);
    if (fleet.now - change.begunAt > 20s) change.open = false;
  }
  void injectFaults() {
    if (fleet.now < faultUntil) return;
    if (!stopped.empty()) fleet.start(stopped);
    stopped.clear();
    fleet.isolated.clear();
    fleet.frozen.clear();
    faultUntil = fleet.now + std::chrono::milliseconds(500 + faultRandom() % 3000);
    std::string name = faultRandom() % 2 && !fleet.leader().empty() ? fleet.leader() : anyCore();
    switch (faultRandom() % 4) {
      case 0:
        fleet.isolated = {name};
        break;
      case 1:
        fleet.frozen = {name};
        break;
      case 2:
        fleet.stop(stopped = name);
        break;
      default:
        break;
    }
  }
  void runWithFaults(Duration duration) {
    for (TimePoint until = fleet.now + duration; fleet.now < until;) {
      injectFaults();
      startChange();
      for (auto& change : changes) checkResponses(change);
      for (int more = 0; more < 10; ++more) fleet.step();
    }
  }
  void stopFaultsAndSettle() {
    if (!stopped.empty()) fleet.start(stopped);
    stopped.clear();
    fleet.isolated.clear();
    fleet.frozen.clear();
    fleet.lostPerMille = fleet.delayedPerMille = 0;
    fleet.run(15s);
    for (auto& change : changes) checkResponses(change);
  }
  void check(std::uint64_t seed) {
    std::map<std::int64_t, std::string> acceptedByRevision;
    for (const auto& change : changes) {
      const auto& name = change.request.changeId;
      bool isInForce = fleet.isCommitted("services", name.substr(name.rfind('/') + 1));
      cr_assert(!change.refused || !isInForce, "seed %d: refused change %s is in force", static_cast<int>(seed),
                name.c_str());
      cr_assert(!change.refused || !change.accepted, "seed %d: %s was accepted and refused", static_cast<int>(seed),
                name.c_str());
      cr_assert(!change.accepted || isInForce, "seed %d: accepted change %s is lost", static_cast<int>(seed),
                name.c_str());
      if (!isInForce) continue;
      auto [other, alone] = acceptedByRevision.emplace(change.request.ifRevision, name);
      cr_assert(alone, "seed %d: %s and %s were both applied to the same revision", static_cast<int>(seed),
                name.c_str(), other->second.c_str());
    }
  }
  /// Sends each accepted change again to any core, which must respond that it was accepted.
  void resendAccepted(std::uint64_t seed) {
    for (auto& change : changes) {
      const auto& name = change.request.changeId;
      if (!fleet.isCommitted("services", name.substr(name.rfind('/') + 1))) continue;
      cr_assert_eq(fleet.waitForResponse(fleet.submit(anyCore(), change.request)), Code::changeTaken, "seed %d: %s",
                   static_cast<int>(seed), name.c_str());
    }
  }
};
}  // namespace

Test(operators, under_random_faults_no_refused_change_is_in_force_and_no_accepted_one_is_refused) {
  std::size_t accepted = 0, refused = 0, undecided = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FaultRun faultRun(seed);
    faultRun.runWithFaults(40s);
    faultRun.stopFaultsAndSettle();
    faultRun.check(seed);
    faultRun.resendAccepted(seed);
    for (const auto& change : faultRun.changes) {
      accepted += change.accepted;
      refused += change.refused;
      undecided += !change.accepted && !change.refused;
    }
  }
  cr_log_info("accepted %zu, refused %zu, no definite response %zu", accepted, refused, undecided);
  cr_assert_gt(accepted, 100u);
  cr_assert_gt(refused, 100u);
}
