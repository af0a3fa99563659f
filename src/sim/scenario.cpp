#include "scenario.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace tt {
namespace {
/// The seconds between the stop signal and the kill of a process where a scenario names none.
constexpr double defaultGraceSeconds = 8;
/// Requests that are older than this at the end and have no final response count as unended.
constexpr Duration unendedAge = 15s;
/// Longer relay chains of agents are not followed; they would be a cycle.
constexpr int maxRelayDepth = 20;
/// The time that `reach-ms` shows for a change that has not reached all proxies.
constexpr double neverReachedMs = 1e9;

/// A line of a scenario.
struct Line {
  int number{0};
  /// Of an 'at' line: when it is carried out, in seconds from the start.
  double at{-1};
  /// The line's words; of an 'at' line from its verb on.
  std::vector<std::string> words;
  /// Of an 'at' line: the text behind the verb as it stands.
  std::string rest;
};

/// How many seeds a negative control tries until one violates its invariant.
constexpr std::uint64_t maxControlSeeds = 12;
/// The highest value of a fleet's setting.
constexpr double maxFleetSetting = 100000;
/// Verbs that end a fault. Reducing a scenario keeps their lines, as a fault that never ends fails for other reasons.
constexpr const char* faultEndingVerbs[] = {" start ", " heal", " unstall ", " unfill ", " unmark "};

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}
Duration secondsOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Parses one scenario and runs it.
class Runner {
 public:
  Runner(const std::string& text, std::optional<std::uint64_t> seed, std::string traced)
      : traceFilter(std::move(traced)) {
    std::istringstream source(text);
    std::string row;
    for (int number = 1; std::getline(source, row); ++number) {
      if (auto hash = row.find('#'); hash != std::string::npos) row.resize(hash);
      std::istringstream words(row);
      Line line;
      line.number = number;
      for (std::string word; words >> word;) line.words.push_back(word);
      if (line.words.empty()) continue;
      if (line.words[0] == "at") {
        if (line.words.size() < 3) {
          addError(line, "expected 'at SECONDS VERB ...'");
          continue;
        }
        line.at = std::atof(line.words[1].c_str());
        auto verb = row.find(line.words[2], row.find(line.words[1]) + line.words[1].size());
        line.rest = row.substr(verb + line.words[2].size());
        line.words.erase(line.words.begin(), line.words.begin() + 2);
        steps.push_back(line);
      } else if (line.words[0] == "fleet") {
        setFleet(line);
      } else if ((line.words[0] == "seed" || line.words[0] == "until") && line.words.size() < 2) {
        addError(line, "expected '" + line.words[0] + " NUMBER'");
      } else if (line.words[0] == "seed") {
        ownSeed = std::strtoull(line.words.at(1).c_str(), nullptr, 10);
      } else if (line.words[0] == "until") {
        until = std::atof(line.words.at(1).c_str());
      } else if (line.words[0] == "expect") {
        expects.push_back(line);
      } else if (line.words[0] == "without" || line.words[0] == "control") {
        bool control = line.words[0] == "control";
        auto defence = Defences::named(line.words.size() > 1 ? line.words[1] : "");
        const auto& invariants = invariantNames();
        if (!defence)
          addError(line, "missing or unknown defence after '" + line.words[0] + "'");
        else if (control && (line.words.size() < 3 ||
                             std::find(invariants.begin(), invariants.end(), line.words[2]) == invariants.end()))
          addError(line, "missing or unknown invariant after '" + line.words[1] + "'");
        else if (control)
          controls.push_back({*defence, line.words[1], line.words[2]});
        else
          disabledDefences.push_back(*defence);
      } else if (line.words[0] != "title") {
        addError(line, "unknown keyword " + line.words[0]);
      }
    }
    if (seed) ownSeed = *seed;
    std::stable_sort(steps.begin(), steps.end(), [](const Line& one, const Line& other) { return one.at < other.at; });
  }

  /// A negative control: with the defence disabled, a run must violate the invariant.
  struct Control {
    Defence defence;
    std::string name, invariant;
  };
  /// The errors found so far.
  const std::vector<std::string>& errors() const { return failures; }
  const std::vector<Control>& negativeControls() const { return controls; }
  void disable(Defence defence) { disabledDefences.push_back(defence); }
  std::uint64_t seedInUse() const { return ownSeed; }

  /// Runs the scenario and returns the violated invariants.
  std::set<std::string> violatedInvariants() {
    run();
    std::set<std::string> invariants;
    if (world)
      for (const auto& violation : world->violations) invariants.insert(violation.invariant);
    return invariants;
  }

  ScenarioResult run() {
    ScenarioResult result;
    result.seed = ownSeed;
    if (!failures.empty()) {
      result.failures = failures;
      return result;
    }
    world = std::make_unique<World>(shape, ownSeed);
    world->trace = traceFilter;
    start = world->now();
    for (auto defence : disabledDefences) world->disable(defence);
    for (const auto& line : steps) {
      world->runUntil(start + secondsOf(line.at));
      runStep(line);
    }
    world->runUntil(start + secondsOf(until));
    world->checkFinalState();
    for (const auto& violation : world->violations) {
      char stamp[32];
      std::snprintf(stamp, sizeof stamp, "%.3f", std::chrono::duration<double>(violation.at - start).count());
      failures.push_back("invariant violated: " + violation.invariant + " at " + stamp + " s: " + violation.text);
    }
    for (const auto& line : expects) checkExpectation(line);
    result.figures = figures();
    result.operations = world->historyCheckResult().operations;
    result.unclear = world->historyCheckResult().unclear;
    result.failures = failures;
    result.passed = failures.empty();
    return result;
  }

 private:
  FleetShape shape;
  std::uint64_t ownSeed{1};
  double until{20};
  std::vector<Line> steps, expects;
  std::vector<std::string> failures;
  std::vector<Defence> disabledDefences;
  std::vector<Control> controls;
  std::unique_ptr<World> world;
  std::string traceFilter;
  TimePoint start;

  void addError(const Line& line, const std::string& reason) {
    failures.push_back("line " + std::to_string(line.number) + ": " + reason);
  }

  void setFleet(const Line& line) {
    for (std::size_t at = 1; at + 1 < line.words.size(); at += 2) {
      const std::string& key = line.words[at];
      double value = std::atof(line.words[at + 1].c_str());
      if (!(value >= 0 && value <= maxFleetSetting)) {
        addError(line, key + " must be a number from 0 to " + std::to_string(static_cast<int>(maxFleetSetting)));
        continue;
      }
      if (key == "spares")
        shape.spareCores = static_cast<int>(value);
      else if (key == "cores")
        shape.cores = static_cast<int>(value);
      else if (key == "edges")
        shape.edges = static_cast<int>(value);
      else if (key == "workers")
        shape.workers = static_cast<int>(value);
      else if (key == "tenants")
        shape.tenants = static_cast<int>(value);
      else if (key == "plan")
        shape.planRate = value;
      else if (key == "swap")
        shape.swapRate = value;
      else if (key == "reminder")
        shape.reminderRate = value;
      else if (key == "app")
        shape.appRate = value;
      else if (key == "loadMs")
        shape.loadMs = static_cast<int>(value);
      else if (key == "keepMost")
        shape.maxCachedBlocks = static_cast<std::size_t>(value);
      else if (key == "tokenMs")
        shape.tokenMs = value;
      else if (key == "rolloutSpan")
        shape.rolloutSpread = secondsOf(value);
      else if (key == "rolloutParts")
        shape.rolloutParts = std::max(1, static_cast<int>(value));
      else if (key == "slots")
        shape.slots = static_cast<int>(value);
      else if (key == "fetching")
        shape.fetching = value > 0;
      else if (key == "localities") {
        shape.zones.clear();
        for (int number = 1; number <= static_cast<int>(value); ++number)
          shape.zones.push_back("ghent-" + std::to_string(number));
      } else
        addError(line, "unknown fleet key " + key);
    }
  }

  /// The processes that a word of a scenario stands for: names separated by commas, @DUTY for its holder,
  /// locality:ZONE, edge-N for the agent and the proxy of a machine, or a group such as cores.
  std::vector<std::string> processesNamed(const std::string& word) {
    if (word.find(',') != std::string::npos) {
      std::vector<std::string> rows;
      std::stringstream list(word);
      for (std::string item; std::getline(list, item, ',');)
        for (const auto& name : processesNamed(item)) rows.push_back(name);
      return rows;
    }
    if (word[0] == '@') {
      std::string holder = world->holderOf(word.substr(1));
      return holder.empty() ? std::vector<std::string>{} : std::vector<std::string>{holder};
    }
    std::vector<std::string> rows;
    if (word.rfind("locality:", 0) == 0) {
      for (const auto& name : world->zoneMembers(word.substr(9))) rows.push_back(name);
      return rows;
    }
    for (auto [group, prefix] :
         {std::pair{"cores", "core-"}, {"workers", "worker-"}, {"agents", "agent-"}, {"proxies", "proxy-"}})
      if (word == group) {
        for (const auto& name : world->names())
          if (name.rfind(prefix, 0) == 0) rows.push_back(name);
        return rows;
      }
    if (word.rfind("edge-", 0) == 0) return {"agent-" + word.substr(5), "proxy-" + word.substr(5)};
    if (world->names().count(word)) return {word};
    failures.push_back("unknown process " + word);
    return rows;
  }

  /// Whether these are the agent and the proxy of one machine, whose link cut-off and lose leave alone.
  static bool onSameMachine(const std::string& one, const std::string& other) {
    return one.substr(one.rfind('-') + 1) == other.substr(other.rfind('-') + 1) &&
           ((one.rfind("agent-", 0) == 0 && other.rfind("proxy-", 0) == 0) ||
            (one.rfind("proxy-", 0) == 0 && other.rfind("agent-", 0) == 0));
  }

  /// Carries out an 'at' line.
  void runStep(const Line& line) {
    const auto& words = line.words;
    const std::string& verb = words[0];
    auto word = [&](std::size_t at) { return at < words.size() ? words[at] : std::string(); };
    auto number = [&](std::size_t at) { return std::atof(word(at).c_str()); };
    auto each = [&](const std::function<void(const std::string&)>& action) {
      for (std::size_t at = 1; at < words.size(); ++at)
        for (const auto& name : processesNamed(words[at])) action(name);
    };
    if (verb == "kill") {
      each([&](const std::string& name) { world->kill(name); });
    } else if (verb == "leave") {
      for (const auto& name : processesNamed(word(1)))
        if (name.rfind("proxy-", 0) == 0)
          world->drainProxy(name, secondsOf(words.size() > 2 ? number(2) : defaultGraceSeconds));
    } else if (verb == "start") {
      each([&](const std::string& name) { world->start(name); });
    } else if (verb == "freeze") {
      for (const auto& name : processesNamed(word(1))) world->freeze(name, secondsOf(number(2)));
    } else if (verb == "freeze-at-sending") {
      for (const auto& name : processesNamed(word(1))) world->freeze(name, secondsOf(number(2)), true);
    } else if (verb == "wipe") {
      each([&](const std::string& name) { world->wipeDisk(name); });
    } else if (verb == "move") {
      each([&](const std::string& name) { world->changeAddress(name); });
    } else if (verb == "stall" || verb == "unstall") {
      each([&](const std::string& name) { world->disk(name)->stalled = verb == "stall"; });
    } else if (verb == "fill" || verb == "unfill") {
      each([&](const std::string& name) { world->disk(name)->full = verb == "fill"; });
    } else if (verb == "on-ack") {
      /// on-ack CHANGE-ID kill PROCESS...
      std::string id = word(1);
      std::vector<std::string> rest(words.begin() + 3, words.end());
      world->onAck(id, [this, rest] {
        for (const auto& part : rest)
          for (const auto& name : processesNamed(part)) world->kill(name);
      });
    } else if (verb == "on-next-ack") {
      Line inner = line;
      inner.words.erase(inner.words.begin());
      world->onNextAck(inner.words.empty() ? std::function<void()>() : [this, inner] { runStep(inner); });
    } else if (verb == "operators") {
      runOperators(line);
    } else if (verb == "on-note") {
      Line inner = line;
      inner.words.erase(inner.words.begin(), inner.words.begin() + 2);
      world->onNextEvent(withSpaces(word(1)), [this, inner] { runStep(inner); });
    } else if (verb == "lie") {
      each([&](const std::string& name) { world->disk(name)->discardsWrites = true; });
    } else if (verb == "slow-disk") {
      for (const auto& name : processesNamed(word(1))) world->disk(name)->minSyncTime = secondsOf(number(2) / 1000);
    } else if (verb == "corrupt") {
      each([&](const std::string& name) {
        world->kill(name);
        auto* disk = world->disk(name);
        auto& row = disk->fileBytes[disk->lastFile];
        /// Flips a bit in the middle of what was written to the current file.
        row[std::min<std::size_t>(row.size() - 1, disk->lastOffset / 2)] ^= 0x10;
      });
    } else if (verb == "cut" || verb == "cut-one") {
      for (const auto& one : processesNamed(word(1)))
        for (const auto& other : processesNamed(word(2)))
          if (one != other) world->cutLink(one, other, verb == "cut");
    } else if (verb == "cut-off") {
      std::set<std::string> inside;
      each([&](const std::string& name) { inside.insert(name); });
      for (const auto& one : inside)
        for (const auto& other : world->names())
          if (!inside.count(other) && !onSameMachine(one, other)) world->cutLink(one, other);
    } else if (verb == "cut-out" || verb == "cut-in") {
      each([&](const std::string& name) {
        for (const auto& other : world->names()) {
          if (other == name) continue;
          if (verb == "cut-out")
            world->cutLink(name, other, false);
          else
            world->cutLink(other, name, false);
        }
      });
    } else if (verb == "lose") {
      for (const auto& one : processesNamed(word(1)))
        for (const auto& other : processesNamed(word(2)))
          if (one != other && !onSameMachine(one, other)) world->setLossRate(one, other, static_cast<int>(number(3)));
    } else if (verb == "heal") {
      world->healLinks();
    } else if (verb == "change") {
      world->submitChange(line.rest, false, {}, -1, 1 + static_cast<int>(world->randomSource()() % 4));
    } else if (verb == "change-id" || verb == "lost-answer") {
      std::istringstream rest(line.rest);
      std::string id, body;
      rest >> id;
      std::getline(rest, body);
      world->submitChange(body, false, id, -1, 1 + static_cast<int>(world->randomSource()() % 4),
                          verb == "lost-answer");
    } else if (verb == "change-if") {
      std::istringstream rest(line.rest);
      std::string id, body;
      std::int64_t revision = 0;
      rest >> id >> revision;
      std::getline(rest, body);
      world->submitChange(body, false, id, revision, 1 + static_cast<int>(world->randomSource()() % 4));
    } else if (verb == "storm") {
      for (int at = 0; at < static_cast<int>(number(1)); ++at)
        world->submitChange("{\"routes\":{\"" + (words.size() > 2 ? word(2) : std::string("r")) + std::to_string(at) +
                                "\":{\"model\":\"rooster-llm\",\"policy\":\"p\"}}}",
                            false, {}, -1, 1 + at % 4);
    } else if (verb == "revoke") {
      world->revokeKey(word(1));
    } else if (verb == "isolate" || verb == "share") {
      world->setIsolation(word(1), verb == "isolate");
    } else if (verb == "remove-tenant") {
      world->removeTenant(word(1));
    } else if (verb == "name") {
      world->announceWeights(word(1));
    } else if (verb == "mark" || verb == "unmark") {
      each([&](const std::string& name) { world->markLeaving(name, verb == "mark"); });
    } else if (verb == "remove") {
      each([&](const std::string& name) { world->platform().remove(name); });
    } else if (verb == "list") {
      each([&](const std::string& name) { world->listMachine(name); });
    } else if (verb == "restore") {
      world->restoreKey(word(1));
    } else if (verb == "crash-at") {
      world->crashWorkersAt(word(1), static_cast<int>(number(2)));
    } else if (verb == "relocate") {
      for (const auto& name : processesNamed(word(1))) {
        auto machine = world->platform().machines().at(name);
        machine.zone = word(2);
        world->platform().set(machine);
      }
    } else if (verb == "load") {
      world->setLoadScale(number(1));
    } else if (verb == "habits") {
      world->setRetryHabits(static_cast<int>(number(1)), static_cast<int>(number(2)), static_cast<int>(number(3)));
    } else if (verb == "burst") {
      world->setBurstRate(word(1), number(2));
    } else if (verb == "leap") {
      for (const auto& name : processesNamed(word(1))) world->advanceClock(name, secondsOf(number(2)));
    } else if (verb == "hangups") {
      world->setHangUpPercent(static_cast<int>(number(1)));
    } else if (verb == "fault") {
      for (const auto& name : processesNamed(word(1))) {
        auto* backend = world->backend(name);
        if (!backend) continue;
        auto& faults = backend->faults;
        if (word(2) == "lagMs")
          faults.lagMs = static_cast<int>(number(3));
        else if (word(2) == "loseEvents")
          faults.loseEvents = static_cast<int>(number(3));
        else if (word(2) == "forgetEvents")
          faults.forgetEvents = static_cast<int>(number(3));
        else if (word(2) == "stalled")
          faults.stalled = number(3) > 0;
        else if (word(2) == "anyWeights")
          faults.anyWeights = number(3) > 0;
        else if (word(2) == "loadFails")
          faults.loadFails = number(3) > 0;
        else if (word(2) == "silentReports")
          faults.silentReports = number(3) > 0;
        else if (word(2) == "loadMs")
          faults.loadMs = static_cast<int>(number(3));
        else if (word(2) == "queueMs")
          faults.queueMs = static_cast<int>(number(3));
        else if (word(2) == "linkMs")
          faults.linkMs = number(3);
        else
          addError(line, "unknown fault " + word(2));
      }
    } else if (verb == "forget") {
      for (const auto& name : processesNamed(word(1)))
        if (auto* backend = world->backend(name)) {
          /// The blocks are dropped without events, so that the index does not learn of it.
          std::mt19937_64 randomSource(1);
          Effects effects{world->now(), randomSource, backend->journal, {}, {}};
          backend->clearCache(effects, false);
        }
    } else if (verb == "count-bytes") {
      world->countBytes = true;
    } else if (verb == "check") {
      runCheck(line);
    } else {
      addError(line, "unknown verb " + verb);
    }
  }

  /// operators CLIENTS CHANGES [lose PERCENT] [pause MS] [same-number] [weights]
  void runOperators(const Line& line) {
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
    world->runOperators(plan);
  }

  /// Records that an expectation was not met.
  void addFailure(const Line& line, const std::string& got) {
    std::string text;
    for (const auto& word : line.words) text += word + " ";
    failures.push_back("line " + std::to_string(line.number) + ": " + text + "- got " + got);
  }

  /// Compares a value with the sign and bound that stand at `at` in the line, and records a failure.
  bool checkBound(const Line& line, double value, std::size_t at) {
    const auto& words = line.words;
    if (words.size() < at + 2) {
      addFailure(line, "no comparison: expected >=, <= or = and a number");
      return false;
    }
    double bound = std::atof(words[at + 1].c_str());
    bool holds = words[at] == ">="   ? value >= bound
                 : words[at] == "<=" ? value <= bound
                                     : words[at] == "=" && value == bound;
    if (!holds) addFailure(line, std::to_string(value));
    return holds;
  }

  /// Carries out an 'at TIME check' line.
  void runCheck(const Line& line) {
    const auto& words = line.words;
    std::string what = words.size() > 1 ? words[1] : "";
    if (what == "holders" && words.size() > 4) {
      checkBound(line, world->holdersOf(words[2]), 3);
    } else if (what == "not-holder" && words.size() > 3) {
      if (world->holderOf(words[2]) == words[3]) addFailure(line, words[3]);
    } else if (what == "fresh" && words.size() > 2) {
      double fresh = 0;
      for (const auto& name : processesNamed(words[2]))
        if (auto* node = world->agent(name)) fresh += node->fresh(world->localNow(name));
      checkBound(line, fresh, 3);
    } else if (what == "unconfirmed") {
      double unconfirmed = 0;
      for (const auto& name : processesNamed("cores"))
        if (auto* node = world->core(name))
          for (const auto& [zone, cell] : node->cellsByZone())
            if (world->holderOf("cell/" + zone) == name) unconfirmed += static_cast<double>(cell->unconfirmedCount());
      checkBound(line, unconfirmed, 2);
    } else if (what == "voters" || what == "members") {
      double voters = 0;
      std::string leader = world->holderOf("accord");
      if (!leader.empty())
        for (const auto& member : world->core(leader)->consensusLog().members())
          voters += what == "members" || member.votes;
      checkBound(line, voters, 2);
    } else if (what == "index-wrong") {
      checkBound(line, static_cast<double>(countIndexErrors()), 2);
    } else if (what == "weights" && words.size() > 4) {
      double workers = 0;
      for (const auto& name : processesNamed("workers"))
        if (auto* backend = world->backend(name)) workers += backend->weights() == words[2] && !backend->draining();
      checkBound(line, workers, 3);
    } else if (what == "count" && words.size() > 4) {
      checkBound(line, static_cast<double>(world->count(withSpaces(words[2]))), 3);
    } else {
      addError(line, "unknown check " + what);
    }
  }

  /// Counts the differences between the confirmed index entries of the cells' lease holders and the blocks that the
  /// workers and the store really have.
  std::int64_t countIndexErrors() {
    std::int64_t differences = 0;
    for (const auto& name : processesNamed("cores"))
      if (auto* node = world->core(name))
        for (const auto& [zone, cell] : node->cellsByZone()) {
          if (world->holderOf("cell/" + zone) != name) continue;
          for (const auto& [cacheNodeName, cacheNode] : cell->cacheNodes()) {
            auto* actual = world->backend(cacheNodeName);
            if (!actual || !cacheNode.confirmed) continue;
            std::int64_t matching = 0;
            for (const auto& hash : cacheNode.cachedBlocks) matching += actual->hasBlock(hash);
            differences += static_cast<std::int64_t>(cacheNode.cachedBlocks.size()) - matching +
                           static_cast<std::int64_t>(actual->cachedBlockCount()) - matching;
          }
        }
    return differences;
  }

  /// Scenario words have underscores where names have spaces.
  static std::string withSpaces(std::string text) {
    std::replace(text.begin(), text.end(), '_', ' ');
    return text;
  }

  /// Checks an 'expect' line after the run.
  void checkExpectation(const Line& line) {
    const auto& words = line.words;
    std::string what = words.size() > 1 ? words[1] : "";
    /// expect served SIGN SHARE from SECONDS to SECONDS [kind KIND | but TENANT]
    if (what == "served" && words.size() >= 8) {
      TimePoint from = start + secondsOf(std::atof(words[5].c_str())),
                to = start + secondsOf(std::atof(words[7].c_str()));
      double sent = 0, done = 0;
      for (const auto& [requestId, request] : world->requests()) {
        if (request.sentAt < from || request.sentAt >= to || request.clientGone ||
            request.code == static_cast<int>(Code::keyDenied))
          continue;
        if (words.size() > 9 && words[8] == "kind" && request.kind != words[9]) continue;
        if (words.size() > 9 && words[8] == "but" && request.tenant == words[9]) continue;
        ++sent;
        done += request.status == "done";
      }
      if (sent < 1) return addFailure(line, "no requests in this time");
      checkBound(line, done / sent, 2);
    } else if (what == "verdicts" && words.size() >= 5) {
      double number = 0;
      for (const auto& [requestId, request] : world->requests()) number += request.status == withSpaces(words[2]);
      checkBound(line, number, 3);
    } else if (what == "unended") {
      double number = 0;
      for (const auto& [requestId, request] : world->requests())
        number += !request.ended && request.sentAt < world->now() - unendedAge;
      checkBound(line, number, 2);
    } else if (what == "count" && words.size() >= 5) {
      checkBound(line, static_cast<double>(world->count(withSpaces(words[2]))), 3);
    } else if (what == "acked") {
      double number = 0;
      for (const auto& record : world->changes())
        number += record.acked && record.code == static_cast<int>(Code::changeTaken);
      checkBound(line, number, 2);
    } else if (what == "ack-code" && words.size() >= 5) {
      for (const auto& record : world->changes())
        if (record.changeId == words[2]) return void(checkBound(line, record.code, 3));
      addFailure(line, "no change with this id");
    } else if (what == "same-revision" && words.size() >= 3) {
      std::set<std::uint64_t> revisions;
      for (const auto& record : world->changes())
        if (record.changeId == words[2] && record.acked) revisions.insert(record.revision);
      if (revisions.size() != 1) addFailure(line, std::to_string(revisions.size()) + " revisions");
    } else if (what == "reach-ms") {
      double slowest = 0;
      for (const auto& record : world->changes())
        if (record.acked && record.code == static_cast<int>(Code::changeTaken))
          slowest = std::max(
              slowest, record.reachedAll
                           ? std::chrono::duration<double, std::milli>(record.reachedAllAt - record.ackedAt).count()
                           : neverReachedMs);
      checkBound(line, slowest, 2);
    } else if (what == "fetched-share") {
      double fetched = 0, all = 0;
      for (const auto& [requestId, request] : world->requests()) {
        fetched += request.fetched;
        all += request.fetched + request.local + request.computed;
      }
      checkBound(line, all > 0 ? fetched / all : 0, 2);
    } else {
      addError(line, "unknown expectation " + what);
    }
  }

  /// The statistics of the run, as text.
  std::string figures() {
    std::ostringstream out;
    std::map<std::string, int> requestsByStatus;
    std::vector<double> first;
    double fetched = 0, local = 0, computed = 0;
    for (const auto& [requestId, request] : world->requests()) {
      ++requestsByStatus[request.ended ? request.status : "open"];
      if (request.firstChunkSeen) first.push_back(request.firstChunkMs);
      fetched += request.fetched;
      local += request.local;
      computed += request.computed;
    }
    out << world->requests().size() << " orders:";
    for (const auto& [word, number] : requestsByStatus) out << " " << word << " " << number << ",";
    double all = std::max(1.0, fetched + local + computed);
    char text[160];
    std::snprintf(text, sizeof text,
                  " ttft p50 %.0f p99 %.0f ms, blocks local %.0f%% fetched %.0f%% computed %.0f%%, retries %lld",
                  quantile(first, 0.5), quantile(first, 0.99), 100 * local / all, 100 * fetched / all,
                  100 * computed / all, static_cast<long long>(world->count("retry")));
    out << text;
    double slowest = 0;
    for (const auto& record : world->changes())
      if (record.reachedAll)
        slowest =
            std::max(slowest, std::chrono::duration<double, std::milli>(record.reachedAllAt - record.ackedAt).count());
    out << ", slowest reach " << slowest << " ms";
    const auto& history = world->historyCheckResult();
    out << ", operators' operations " << history.operations << " (unclear " << history.unclear << ", steps "
        << history.steps << ", reads behind another " << history.nonMonotonicReads << ")";
    if (world->countBytes) {
      std::uint64_t maxBytes = 0;
      std::string sender;
      for (const auto& [name, sentBytes] : world->bytesByNode)
        if (sentBytes > maxBytes) {
          maxBytes = sentBytes;
          sender = name;
        }
      int maxDepth = 0;
      for (const auto& name : processesNamed("agents")) {
        std::string at = name;
        int depth = 1;
        for (; depth < maxRelayDepth; ++depth) {
          std::string next = world->nameAt(world->agent(at)->upstreamAddress());
          if (next.rfind("agent-", 0) != 0) break;
          at = next;
        }
        maxDepth = std::max(maxDepth, depth);
      }
      out << "; relay depth " << maxDepth << "; control bytes " << world->bytesSent << ", most by " << sender << " "
          << maxBytes;
      for (const auto& [kind, row] : world->trafficByKind)
        out << "\n      " << kind << " " << row.first << " messages " << row.second << " bytes";
    }
    return out.str();
  }
};

}  // namespace

ScenarioResult runScenario(const std::string& text, std::optional<std::uint64_t> seed, const std::string& trace,
                           bool withControls) {
  Runner runner(text, seed, trace);
  auto result = runner.run();
  if (!withControls) return result;
  for (const auto& control : runner.negativeControls()) {
    bool violated = false;
    for (std::uint64_t offset = 0; offset < maxControlSeeds && !violated; ++offset) {
      Runner controlRun(text, runner.seedInUse() + offset, {});
      controlRun.disable(control.defence);
      violated = controlRun.violatedInvariants().count(control.invariant) > 0;
    }
    if (!violated)
      result.failures.push_back("negative control: with " + control.name + " disabled, no run violated " +
                                control.invariant + " in runs with " + std::to_string(maxControlSeeds) + " seeds");
  }
  result.passed = result.failures.empty();
  return result;
}

std::vector<std::string> checkScenario(const std::string& text) { return Runner(text, std::nullopt, {}).errors(); }

std::string reduceScenario(const std::string& text, std::uint64_t seed) {
  /// The first failure up to its time, so that the same failure at another time counts as the same.
  auto firstFailure = [&](const std::string& tried) -> std::string {
    auto result = runScenario(tried, seed, {}, false);
    if (result.passed || result.failures.empty()) return {};
    std::string first = result.failures.front();
    return first.substr(0, first.find(" at "));
  };
  std::string original = firstFailure(text);
  if (original.empty()) return text;
  std::vector<std::string> lines;
  std::istringstream source(text);
  for (std::string line; std::getline(source, line);) lines.push_back(line);
  auto joined = [](const std::vector<std::string>& rows) {
    std::string text;
    for (const auto& row : rows) text += row + "\n";
    return text;
  };
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t at = 0; at < lines.size(); ++at) {
      if (lines[at].rfind("at ", 0) != 0) continue;
      if (std::any_of(std::begin(faultEndingVerbs), std::end(faultEndingVerbs),
                      [&](const char* verb) { return lines[at].find(verb) != std::string::npos; }))
        continue;
      auto tried = lines;
      tried.erase(tried.begin() + static_cast<std::ptrdiff_t>(at));
      if (firstFailure(joined(tried)) != original) continue;
      lines = tried;
      shorter = true;
      --at;
    }
  }
  return joined(lines);
}

}  // namespace tt
