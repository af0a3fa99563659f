#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>

#include "fixed_sets.hpp"

using namespace tt;
using namespace tt::model;

namespace {

int printFound(const std::string& name, const SearchReport& report, const std::string& keepFolder) {
  int number = 0;
  for (const auto& found : report.found) {
    Run shorter = shrink(found.run, found.violation.rule);
    std::cout << "VIOLATION " << name << " " << found.violation.rule << " (" << found.run.choices.size()
              << " events, shortened to " << shorter.choices.size() << ")\n";
    auto violation = replay(shorter, [](const std::string& line) { std::cout << "  " << line << "\n"; });
    std::cout << "  => " << (violation ? violation->rule + ": " + violation->text : "not broken when played again")
              << "\n";
    std::cout << "  " << shorter.setup.text() << "\n";
    if (keepFolder.empty()) continue;
    std::string file = keepFolder + "/" + name + "-" + std::to_string(++number) + ".run";
    std::ofstream(file) << "# " << found.violation.rule << ": " << found.violation.text << "\n" << shorter.text();
    std::cout << "  kept as " << file << "\n";
  }
  return report.found.empty() ? 0 : 1;
}

void printReport(const std::string& name, const SearchReport& report, std::chrono::duration<double> took) {
  std::cout << "model: " << name << " states=" << report.states << " depth=" << report.depth
            << " events=" << report.events << " walks=" << report.walks << " violations=" << report.found.size()
            << "\n";
  std::cerr << "model: " << name << " took " << took.count() << " s, "
            << static_cast<double>(std::max(report.states, report.events)) / took.count() << " a second\n";
}

std::optional<Run> readRun(const std::string& file) {
  std::ifstream source(file);
  if (!source) {
    std::cerr << "cannot read " << file << "\n";
    return std::nullopt;
  }
  std::stringstream bytes;
  bytes << source.rdbuf();
  auto run = Run::parse(bytes.str());
  if (run) return run.value();
  std::cerr << file << ": " << run.error().subject << ": " << run.error().text << "\n";
  return std::nullopt;
}

int replayFile(const std::string& file) {
  auto run = readRun(file);
  if (!run) return 2;
  auto violation = replay(*run, [](const std::string& line) { std::cout << line << "\n"; });
  std::cout << (violation ? "broken " + violation->rule + ": " + violation->text : "no rule broken") << "\n";
  return violation ? 1 : 0;
}

/// Runs sets in which no rule may be broken, or such in which each must find a broken one.
int runSets(const std::vector<FixedSearch>& sets, bool mustBreak, const std::string& only, std::size_t threads,
            const std::vector<std::string>& ignoredRules, const std::string& keepFolder) {
  int wrong = 0;
  std::size_t ran = 0;
  for (auto set : sets) {
    if (!only.empty() && set.name.rfind(only, 0) != 0) continue;
    ++ran;
    if (mustBreak) set.setup.ignoredRules = {"no-majority", "refused-by-lost", "refused-in-force"};
    set.setup.ignoredRules.insert(ignoredRules.begin(), ignoredRules.end());
    auto began = Clock::now();
    SearchReport report = runFixedSearch(set, threads);
    if (!mustBreak) wrong += printFound(set.name, report, keepFolder);
    if (mustBreak) {
      wrong += report.found.empty();
      std::cout << (report.found.empty() ? "NOT FOUND " : "found ") << set.name;
      for (const auto& found : report.found) std::cout << " " << found.violation.rule << ": " << found.violation.text;
      std::cout << "\n";
    }
    printReport(set.name, report, Clock::now() - began);
  }
  if (ran == 0) std::cerr << "no set is named " << only << "\n";
  return ran == 0 ? 2 : wrong > 0 ? 1 : 0;
}

/// What the program is asked to do, as its flags say.
struct ModelOptions {
  Setup setup;
  WalkLimits walks;
  BreadthFirstLimits breadth;
  bool fixed{false}, controls{false};
  std::string replayFile, keepFolder, only, openingFile;
  std::vector<std::string> disabledDefences, ignoredRules;
  double seconds{0};
  int catchUpMs{4000}, memberGoneMs{6000};

  ModelOptions() { breadth.states = 0; }
};

/// A flag that takes a whole number.
struct CountFlag {
  const char* name;
  int& value;
  const char* text;
};

void addCountFlags(CLI::App& app, std::initializer_list<CountFlag> flags) {
  for (const auto& flag : flags) app.add_option(flag.name, flag.value, flag.text);
}

void addModeFlags(CLI::App& app, ModelOptions& options) {
  app.add_option("--replay", options.replayFile, "play a kept run and say each event");
  app.add_option("--keep", options.keepFolder, "keep the shortened run of each violation in this folder");
  app.add_flag("--fixed", options.fixed, "run the fixed sets: no rule may be broken");
  app.add_flag("--controls", options.controls, "run the control sets: each must find a broken rule");
  app.add_option("--set", options.only, "of these run only those whose names begin so");
}

void addSetupFlags(CLI::App& app, ModelOptions& options) {
  auto& setup = options.setup;
  app.add_option("--without", options.disabledDefences, "take this defence out");
  app.add_option("--known", options.ignoredRules, "by hand: pass over the breaking of this rule");
  app.add_option("--room", setup.maxRecordBytes, "bytes of records that a replica may hold");
  app.add_option("--open-syncs", setup.syncsOnStart, "whether a start syncs what it finds written");
  app.add_option("--network-room", setup.maxPacketsInFlight, "messages under way at most");
  addCountFlags(app, {{"--voters", setup.voters, "replicas that form the fleet"},
                      {"--spares", setup.spares, "empty replicas that may join"},
                      {"--changes", setup.changes, "changes that clients send"},
                      {"--fault-budget", setup.faultBudget, "disks that may be lost at once"},
                      {"--catch-up-ms", options.catchUpMs, "how long a new disk counts as lost"},
                      {"--member-gone-ms", options.memberGoneMs, "silence after which a voter is taken out"}});
}

void addWalkFlags(CLI::App& app, ModelOptions& options) {
  auto& walks = options.walks;
  app.add_option("--walks", walks.walks, "seeded walks");
  app.add_option("--first-seed", walks.firstSeed, "seed of the first walk");
  app.add_option("--events", walks.events, "events of a walk");
  app.add_option("--threads", walks.threads, "walks at a time");
  app.add_option("--most-found", walks.maxCounterexamples, "end after so many violations");
  app.add_option("--seconds", options.seconds, "by hand: end after so long");
}

void addBreadthFlags(CLI::App& app, ModelOptions& options) {
  auto& breadth = options.breadth;
  app.add_option("--states", breadth.states, "search breadth-first for so many states");
  app.add_option("--opening", options.openingFile,
                 "a file of events that lead to where the breadth-first search starts");
  addCountFlags(app, {{"--depth", breadth.depth, "events that a breadth-first run may hold"},
                      {"--crashes", breadth.crashes, "crashes that a breadth-first run may hold"},
                      {"--drops", breadth.drops, "lost messages that a breadth-first run may hold"},
                      {"--duplicates", breadth.duplicates, "doubled messages that a breadth-first run may hold"},
                      {"--wipes", breadth.wipes, "lost disks that a breadth-first run may hold"},
                      {"--waits", breadth.waits, "waits that a breadth-first run may hold"},
                      {"--sends", breadth.changes, "changes that a breadth-first run sends, resends included"}});
}

/// Brings the flags into the setup and the limits; whether they hold together.
bool completeOptions(ModelOptions& options) {
  auto& setup = options.setup;
  setup.catchUp = std::chrono::milliseconds(options.catchUpMs);
  setup.memberRemovalTimeout = std::chrono::milliseconds(options.memberGoneMs);
  setup.minVoters = static_cast<std::size_t>(2 * setup.faultBudget + 1);
  setup.ignoredRules = std::set<std::string>(options.ignoredRules.begin(), options.ignoredRules.end());
  setup.disabledDefences = std::set<std::string>(options.disabledDefences.begin(), options.disabledDefences.end());
  if (auto checked = Setup::parse(setup.text()); !checked) {
    std::cerr << checked.error().subject << ": " << checked.error().text << "\n";
    return false;
  }
  options.walks.timeLimit = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.seconds));
  options.breadth.timeLimit = options.walks.timeLimit;
  if (options.openingFile.empty()) return true;
  auto initialEvents = readRun(options.openingFile);
  if (initialEvents) options.breadth.initialEvents = initialEvents->choices;
  return initialEvents.has_value();
}

/// Searches as the flags say, by walks or breadth-first.
int runSearch(ModelOptions& options) {
  if (!completeOptions(options)) return 2;
  bool isBreadth = options.breadth.states > 0;
  std::string name = isBreadth ? "breadth" : "walks";
  auto began = Clock::now();
  SearchReport report =
      isBreadth ? searchBreadthFirst(options.setup, options.breadth) : runRandomWalks(options.setup, options.walks);
  int code = printFound(name, report, options.keepFolder);
  printReport(name, report, Clock::now() - began);
  return code;
}

int run(ModelOptions& options) {
  if (!options.replayFile.empty()) return replayFile(options.replayFile);
  if (!options.fixed && !options.controls) return runSearch(options);
  auto sets = options.fixed ? invariantSearches() : negativeControls();
  return runSets(sets, !options.fixed, options.only, options.walks.threads, options.ignoredRules, options.keepFolder);
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Searches the orders of events of the real agreement for one that breaks a rule", "trouttally-model");
  app.set_version_flag("--version", std::string("trouttally-model ") + TROUTTALLY_VERSION);
  ModelOptions options;
  addModeFlags(app, options);
  addSetupFlags(app, options);
  addWalkFlags(app, options);
  addBreadthFlags(app, options);
  CLI11_PARSE(app, count, words);
  return run(options);
}
