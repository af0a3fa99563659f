#include "scenario_steps.hpp"

#include <algorithm>
#include <sstream>

namespace tt {
namespace {
/// The seconds between the stop signal and the kill of a process where a scenario names none.
constexpr double defaultGraceSeconds = 8;

/// Whether these are the agent and the proxy of one machine, whose link cut-off and lose leave alone.
bool onSameMachine(const std::string& one, const std::string& other) {
  return one.substr(one.rfind('-') + 1) == other.substr(other.rfind('-') + 1) &&
         ((one.rfind("agent-", 0) == 0 && other.rfind("proxy-", 0) == 0) ||
          (one.rfind("proxy-", 0) == 0 && other.rfind("agent-", 0) == 0));
}

/// Reads the first words of the text behind a verb and returns the text behind them.
template <class... Words>
std::string readWords(const std::string& rest, Words&... words) {
  std::istringstream source(rest);
  (source >> ... >> words);
  std::string body;
  std::getline(source, body);
  return body;
}

using SetFault = void (*)(StandInFaults& faults, double value);
const std::map<std::string, SetFault>& faultSetters() {
  static const std::map<std::string, SetFault> setters{
      {"lagMs", [](StandInFaults& faults, double value) { faults.lagMs = static_cast<int>(value); }},
      {"loseEvents", [](StandInFaults& faults, double value) { faults.loseEvents = static_cast<int>(value); }},
      {"forgetEvents", [](StandInFaults& faults, double value) { faults.forgetEvents = static_cast<int>(value); }},
      {"stalled", [](StandInFaults& faults, double value) { faults.stalled = value > 0; }},
      {"anyWeights", [](StandInFaults& faults, double value) { faults.anyWeights = value > 0; }},
      {"loadFails", [](StandInFaults& faults, double value) { faults.loadFails = value > 0; }},
      {"silentReports", [](StandInFaults& faults, double value) { faults.silentReports = value > 0; }},
      {"loadMs", [](StandInFaults& faults, double value) { faults.loadMs = static_cast<int>(value); }},
      {"queueMs", [](StandInFaults& faults, double value) { faults.queueMs = static_cast<int>(value); }},
      {"linkMs", [](StandInFaults& faults, double value) { faults.linkMs = value; }}};
  return setters;
}
}  // namespace

std::string withSpaces(std::string text) {
  std::replace(text.begin(), text.end(), '_', ' ');
  return text;
}
Duration secondsOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void ScenarioSteps::addError(const ScenarioLine& line, const std::string& reason) {
  failures.push_back("line " + std::to_string(line.number) + ": " + reason);
}

std::vector<std::string> ScenarioSteps::membersOfGroup(const std::string& word) const {
  std::vector<std::string> members;
  for (auto [group, prefix] :
       {std::pair{"cores", "core-"}, {"workers", "worker-"}, {"agents", "agent-"}, {"proxies", "proxy-"}})
    if (word == group)
      for (const auto& name : world.names())
        if (name.rfind(prefix, 0) == 0) members.push_back(name);
  return members;
}

std::vector<std::string> ScenarioSteps::processesNamed(const std::string& word) {
  std::vector<std::string> rows;
  if (word.find(',') != std::string::npos) {
    std::stringstream list(word);
    for (std::string item; std::getline(list, item, ',');)
      for (const auto& name : processesNamed(item)) rows.push_back(name);
    return rows;
  }
  if (word[0] == '@') {
    std::string holder = world.holderOf(word.substr(1));
    return holder.empty() ? rows : std::vector<std::string>{holder};
  }
  if (word.rfind("locality:", 0) == 0) {
    for (const auto& name : world.zoneMembers(word.substr(9))) rows.push_back(name);
    return rows;
  }
  if (word == "cores" || word == "workers" || word == "agents" || word == "proxies") return membersOfGroup(word);
  if (word.rfind("edge-", 0) == 0) return {"agent-" + word.substr(5), "proxy-" + word.substr(5)};
  if (world.names().count(word)) return {word};
  failures.push_back("unknown process " + word);
  return rows;
}

void ScenarioSteps::forEach(const ScenarioLine& line, const std::function<void(const std::string&)>& action) {
  for (std::size_t at = 1; at < line.words.size(); ++at)
    for (const auto& name : processesNamed(line.words[at])) action(name);
}

const ScenarioSteps::Verbs& ScenarioSteps::verbs() {
  static const Verbs table = [] {
    Verbs all;
    for (auto add : {addProcessVerbs, addDiskVerbs, addLinkVerbs, addChangeVerbs, addTenantVerbs, addListVerbs,
                     addBackendVerbs, addLoadVerbs, addTriggerVerbs})
      add(all);
    return all;
  }();
  return table;
}

void ScenarioSteps::run(const ScenarioLine& line) {
  auto verb = verbs().find(line.words[0]);
  if (verb == verbs().end()) return addError(line, "unknown verb " + line.words[0]);
  verb->second(*this, line);
}

void ScenarioSteps::addProcessVerbs(Verbs& table) {
  auto onEach = [&](const char* name, void (*action)(World&, const std::string&)) {
    table[name] = [action](ScenarioSteps& steps, const ScenarioLine& line) {
      steps.forEach(line, [&](const std::string& process) { action(steps.world, process); });
    };
  };
  onEach("kill", [](World& world, const std::string& name) { world.kill(name); });
  onEach("start", [](World& world, const std::string& name) { world.start(name); });
  onEach("wipe", [](World& world, const std::string& name) { world.wipeDisk(name); });
  onEach("move", [](World& world, const std::string& name) { world.changeAddress(name); });
  table["leave"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    double grace = line.words.size() > 2 ? line.numberAt(2) : defaultGraceSeconds;
    for (const auto& name : steps.processesNamed(line.word(1)))
      if (name.rfind("proxy-", 0) == 0) steps.world.drainProxy(name, secondsOf(grace));
  };
  for (bool atSending : {false, true})
    table[atSending ? "freeze-at-sending" : "freeze"] = [atSending](ScenarioSteps& steps, const ScenarioLine& line) {
      for (const auto& name : steps.processesNamed(line.word(1)))
        steps.world.freeze(name, secondsOf(line.numberAt(2)), atSending);
    };
  table["leap"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    for (const auto& name : steps.processesNamed(line.word(1)))
      steps.world.advanceClock(name, secondsOf(line.numberAt(2)));
  };
}

/// Flips a bit in the middle of what was written to the current file.
void ScenarioSteps::corrupt(const std::string& name) {
  world.kill(name);
  auto* disk = world.disk(name);
  auto& row = disk->fileBytes[disk->lastFile];
  row[std::min<std::size_t>(row.size() - 1, disk->lastOffset / 2)] ^= 0x10;
}

void ScenarioSteps::addDiskVerbs(Verbs& table) {
  auto onEachDisk = [&](const char* name, void (*action)(SimDisk&)) {
    table[name] = [action](ScenarioSteps& steps, const ScenarioLine& line) {
      steps.forEach(line, [&](const std::string& process) { action(*steps.world.disk(process)); });
    };
  };
  onEachDisk("stall", [](SimDisk& disk) { disk.stalled = true; });
  onEachDisk("unstall", [](SimDisk& disk) { disk.stalled = false; });
  onEachDisk("fill", [](SimDisk& disk) { disk.full = true; });
  onEachDisk("unfill", [](SimDisk& disk) { disk.full = false; });
  onEachDisk("lie", [](SimDisk& disk) { disk.discardsWrites = true; });
  table["slow-disk"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    for (const auto& name : steps.processesNamed(line.word(1)))
      steps.world.disk(name)->minSyncTime = secondsOf(line.numberAt(2) / 1000);
  };
  table["corrupt"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.forEach(line, [&](const std::string& name) { steps.corrupt(name); });
  };
}

void ScenarioSteps::cutOff(const ScenarioLine& line) {
  std::set<std::string> inside;
  forEach(line, [&](const std::string& name) { inside.insert(name); });
  for (const auto& one : inside)
    for (const auto& other : world.names())
      if (!inside.count(other) && !onSameMachine(one, other)) world.cutLink(one, other);
}

void ScenarioSteps::cutOneWay(const std::string& name, bool outgoing) {
  for (const auto& other : world.names()) {
    if (other == name) continue;
    if (outgoing)
      world.cutLink(name, other, false);
    else
      world.cutLink(other, name, false);
  }
}

void ScenarioSteps::addLinkVerbs(Verbs& table) {
  for (bool bothWays : {true, false})
    table[bothWays ? "cut" : "cut-one"] = [bothWays](ScenarioSteps& steps, const ScenarioLine& line) {
      for (const auto& one : steps.processesNamed(line.word(1)))
        for (const auto& other : steps.processesNamed(line.word(2)))
          if (one != other) steps.world.cutLink(one, other, bothWays);
    };
  table["cut-off"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.cutOff(line); };
  for (bool outgoing : {true, false})
    table[outgoing ? "cut-out" : "cut-in"] = [outgoing](ScenarioSteps& steps, const ScenarioLine& line) {
      steps.forEach(line, [&](const std::string& name) { steps.cutOneWay(name, outgoing); });
    };
  table["lose"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    for (const auto& one : steps.processesNamed(line.word(1)))
      for (const auto& other : steps.processesNamed(line.word(2)))
        if (one != other && !onSameMachine(one, other))
          steps.world.setLossRate(one, other, static_cast<int>(line.numberAt(3)));
  };
  table["heal"] = [](ScenarioSteps& steps, const ScenarioLine&) { steps.world.healLinks(); };
}

void ScenarioSteps::submitChange(const std::string& body, const std::string& changeId, std::int64_t ifRevision,
                                 bool loseResponse) {
  int core = 1 + static_cast<int>(world.randomSource()() % 4);
  world.submitChange(body, false, changeId, ifRevision, core, loseResponse);
}

void ScenarioSteps::storm(const ScenarioLine& line) {
  std::string prefix = line.words.size() > 2 ? line.word(2) : "r";
  for (int at = 0; at < static_cast<int>(line.numberAt(1)); ++at)
    world.submitChange(
        "{\"routes\":{\"" + prefix + std::to_string(at) + "\":{\"model\":\"rooster-llm\",\"policy\":\"p\"}}}", false,
        {}, -1, 1 + at % 4);
}

void ScenarioSteps::runOperators(const ScenarioLine& line) {
  const auto& words = line.words;
  if (words.size() < 3) return addError(line, "expected 'operators CLIENTS CHANGES ...'");
  OperatorPlan plan;
  plan.clients = std::atoi(words[1].c_str());
  plan.changes = std::atoi(words[2].c_str());
  for (std::size_t at = 3; at < words.size(); ++at) {
    bool last = at + 1 >= words.size();
    if (words[at] == "lose" && !last)
      plan.lostResponsePercent = std::atoi(words[++at].c_str());
    else if (words[at] == "pause" && !last)
      plan.pause = std::chrono::milliseconds(std::atoi(words[++at].c_str()));
    else if (words[at] == "same-number")
      plan.consecutiveRevisions = true;
    else if (words[at] == "weights")
      plan.announcesWeights = true;
    else
      addError(line, "unknown or incomplete option " + words[at]);
  }
  world.runOperators(plan);
}

void ScenarioSteps::addChangeVerbs(Verbs& table) {
  table["change"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.submitChange(line.rest); };
  for (bool loseResponse : {false, true})
    table[loseResponse ? "lost-answer" : "change-id"] = [loseResponse](ScenarioSteps& steps, const ScenarioLine& line) {
      std::string id, body = readWords(line.rest, id);
      steps.submitChange(body, id, -1, loseResponse);
    };
  table["change-if"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    std::string id;
    std::int64_t revision = 0;
    std::string body = readWords(line.rest, id, revision);
    steps.submitChange(body, id, revision);
  };
  table["storm"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.storm(line); };
  table["operators"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.runOperators(line); };
  table["name"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.world.announceWeights(line.word(1)); };
}

void ScenarioSteps::addTenantVerbs(Verbs& table) {
  table["revoke"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.world.revokeKey(line.word(1)); };
  table["restore"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.world.restoreKey(line.word(1)); };
  for (bool isolated : {true, false})
    table[isolated ? "isolate" : "share"] = [isolated](ScenarioSteps& steps, const ScenarioLine& line) {
      steps.world.setIsolation(line.word(1), isolated);
    };
  table["remove-tenant"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.world.removeTenant(line.word(1));
  };
}

void ScenarioSteps::addListVerbs(Verbs& table) {
  for (bool leaving : {true, false})
    table[leaving ? "mark" : "unmark"] = [leaving](ScenarioSteps& steps, const ScenarioLine& line) {
      steps.forEach(line, [&](const std::string& name) { steps.world.markLeaving(name, leaving); });
    };
  table["remove"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.forEach(line, [&](const std::string& name) { steps.world.platform().remove(name); });
  };
  table["list"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.forEach(line, [&](const std::string& name) { steps.world.listMachine(name); });
  };
  table["relocate"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    for (const auto& name : steps.processesNamed(line.word(1))) {
      auto machine = steps.world.platform().machines().at(name);
      machine.zone = line.word(2);
      steps.world.platform().set(machine);
    }
  };
}

void ScenarioSteps::setFault(const ScenarioLine& line) {
  auto setter = faultSetters().find(line.word(2));
  for (const auto& name : processesNamed(line.word(1))) {
    auto* backend = world.backend(name);
    if (!backend) continue;
    if (setter == faultSetters().end())
      addError(line, "unknown fault " + line.word(2));
    else
      setter->second(backend->faults, line.numberAt(3));
  }
}

void ScenarioSteps::addBackendVerbs(Verbs& table) {
  table["fault"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.setFault(line); };
  table["forget"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    for (const auto& name : steps.processesNamed(line.word(1)))
      if (auto* backend = steps.world.backend(name)) {
        /// The blocks are dropped without events, so that the index does not learn of it.
        std::mt19937_64 randomSource(1);
        Effects effects{steps.world.now(), randomSource, backend->journal, {}, {}};
        backend->clearCache(effects, false);
      }
  };
  table["crash-at"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.world.crashWorkersAt(line.word(1), static_cast<int>(line.numberAt(2)));
  };
}

void ScenarioSteps::addLoadVerbs(Verbs& table) {
  table["load"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.world.setLoadScale(line.numberAt(1)); };
  table["habits"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.world.setRetryHabits(static_cast<int>(line.numberAt(1)), static_cast<int>(line.numberAt(2)),
                               static_cast<int>(line.numberAt(3)));
  };
  table["burst"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.world.setBurstRate(line.word(1), line.numberAt(2));
  };
  table["hangups"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    steps.world.setHangUpPercent(static_cast<int>(line.numberAt(1)));
  };
  table["count-bytes"] = [](ScenarioSteps& steps, const ScenarioLine&) { steps.world.countBytes = true; };
}

/// Verbs that wait for something, and the checks.
void ScenarioSteps::addTriggerVerbs(Verbs& table) {
  /// on-ack CHANGE-ID kill PROCESS...
  table["on-ack"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    std::vector<std::string> processes(line.words.begin() + 3, line.words.end());
    steps.world.onAck(line.word(1), [&steps, processes] {
      for (const auto& word : processes)
        for (const auto& name : steps.processesNamed(word)) steps.world.kill(name);
    });
  };
  table["on-next-ack"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    ScenarioLine inner = line;
    inner.words.erase(inner.words.begin());
    steps.world.onNextAck(inner.words.empty() ? std::function<void()>() : [&steps, inner] { steps.run(inner); });
  };
  table["on-note"] = [](ScenarioSteps& steps, const ScenarioLine& line) {
    ScenarioLine inner = line;
    inner.words.erase(inner.words.begin(), inner.words.begin() + 2);
    steps.world.onNextEvent(withSpaces(line.word(1)), [&steps, inner] { steps.run(inner); });
  };
  table["check"] = [](ScenarioSteps& steps, const ScenarioLine& line) { steps.onCheck(line); };
}

}  // namespace tt
