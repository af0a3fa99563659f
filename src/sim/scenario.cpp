#include "scenario.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "scenario_steps.hpp"

namespace tt {
namespace {
/// Requests that are older than this at the end and have no final response count as unended.
constexpr Duration unendedAge = 15s;
/// Longer relay chains of agents are not followed; they would be a cycle.
constexpr int maxRelayDepth = 20;
/// The time that `reach-ms` shows for a change that has not reached all proxies.
constexpr double neverReachedMs = 1e9;

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
      ScenarioLine line;
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
    std::stable_sort(steps.begin(), steps.end(),
                     [](const ScenarioLine& one, const ScenarioLine& other) { return one.at < other.at; });
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
    stepper = std::make_unique<ScenarioSteps>(*world, failures, [this](const ScenarioLine& line) { runCheck(line); });
    start = world->now();
    for (auto defence : disabledDefences) world->disable(defence);
    for (const auto& line : steps) {
      world->runUntil(start + secondsOf(line.at));
      stepper->run(line);
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
  std::vector<ScenarioLine> steps, expects;
  std::vector<std::string> failures;
  std::vector<Defence> disabledDefences;
  std::vector<Control> controls;
  std::unique_ptr<World> world;
  std::unique_ptr<ScenarioSteps> stepper;
  std::string traceFilter;
  TimePoint start;

  void addError(const ScenarioLine& line, const std::string& reason) {
    failures.push_back("line " + std::to_string(line.number) + ": " + reason);
  }

  void setFleet(const ScenarioLine& line) {
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

  /// Records that an expectation was not met.
  void addFailure(const ScenarioLine& line, const std::string& got) {
    std::string text;
    for (const auto& word : line.words) text += word + " ";
    failures.push_back("line " + std::to_string(line.number) + ": " + text + "- got " + got);
  }

  /// Compares a value with the sign and bound that stand at `at` in the line, and records a failure.
  bool checkBound(const ScenarioLine& line, double value, std::size_t at) {
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
  void runCheck(const ScenarioLine& line) {
    const auto& words = line.words;
    std::string what = words.size() > 1 ? words[1] : "";
    if (what == "holders" && words.size() > 4) {
      checkBound(line, world->holdersOf(words[2]), 3);
    } else if (what == "not-holder" && words.size() > 3) {
      if (world->holderOf(words[2]) == words[3]) addFailure(line, words[3]);
    } else if (what == "fresh" && words.size() > 2) {
      double fresh = 0;
      for (const auto& name : stepper->processesNamed(words[2]))
        if (auto* node = world->agent(name)) fresh += node->fresh(world->localNow(name));
      checkBound(line, fresh, 3);
    } else if (what == "unconfirmed") {
      double unconfirmed = 0;
      for (const auto& name : stepper->processesNamed("cores"))
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
      for (const auto& name : stepper->processesNamed("workers"))
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
    for (const auto& name : stepper->processesNamed("cores"))
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

  /// Checks an 'expect' line after the run.
  void checkExpectation(const ScenarioLine& line) {
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
      for (const auto& name : stepper->processesNamed("agents")) {
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
