#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>

#include "fixed_searches.hpp"

using namespace tt;
using namespace tt::model;

namespace {

/// Shrinks, prints and saves the counterexamples of a search. Returns 1 if there are any, else 0.
int printCounterexamples(const std::string& name, const SearchReport& report, const std::string& saveDirectory) {
  int number = 0;
  for (const auto& found : report.found) {
    Run shrunk = shrink(found.run, found.violation.rule);
    std::cout << "VIOLATION " << name << " " << found.violation.rule << " (" << found.run.choices.size()
              << " events, shortened to " << shrunk.choices.size() << ")\n";
    auto violation = replay(shrunk, [](const std::string& line) { std::cout << "  " << line << "\n"; });
    std::cout << "  => " << (violation ? violation->rule + ": " + violation->text : "not broken in a replay") << "\n";
    std::cout << "  " << shrunk.setup.text() << "\n";
    if (saveDirectory.empty()) continue;
    std::string file = saveDirectory + "/" + name + "-" + std::to_string(++number) + ".run";
    std::ofstream(file) << "# " << found.violation.rule << ": " << found.violation.text << "\n" << shrunk.text();
    std::cout << "  kept as " << file << "\n";
  }
  return report.found.empty() ? 0 : 1;
}

/// Prints the counts to standard output, where they are the same in each run, and the times to standard error.
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

/// Runs the sets whose names begin with `namePrefix`. No rule may be broken in them or, with expectViolation, each must
/// find a broken rule. Returns the exit code.
int runSets(const std::vector<FixedSearch>& sets, bool expectViolation, const std::string& namePrefix,
            std::size_t threads, const std::vector<std::string>& ignoredRules, const std::string& saveDirectory) {
  int failures = 0;
  std::size_t setCount = 0;
  for (auto set : sets) {
    if (!namePrefix.empty() && set.name.rfind(namePrefix, 0) != 0) continue;
    ++setCount;
    if (expectViolation) set.setup.ignoredRules = {"no-majority", "refused-by-lost", "refused-in-force"};
    set.setup.ignoredRules.insert(ignoredRules.begin(), ignoredRules.end());
    auto began = Clock::now();
    SearchReport report = runFixedSearch(set, threads);
    if (!expectViolation) failures += printCounterexamples(set.name, report, saveDirectory);
    if (expectViolation) {
      failures += report.found.empty();
      std::cout << (report.found.empty() ? "NOT FOUND " : "found ") << set.name;
      for (const auto& found : report.found) std::cout << " " << found.violation.rule << ": " << found.violation.text;
      std::cout << "\n";
    }
    printReport(set.name, report, Clock::now() - began);
  }
  if (setCount == 0) std::cerr << "no set has a name that begins with " << namePrefix << "\n";
  return setCount == 0 ? 2 : failures > 0 ? 1 : 0;
}

/// The command-line options.
struct ModelOptions {
  Setup setup;
  WalkLimits walks;
  BreadthFirstLimits breadth;
  bool fixed{false}, controls{false};
  std::string replayFile, saveDirectory, namePrefix, openingFile;
  std::vector<std::string> disabledDefences, ignoredRules;
  double seconds{0};
  int catchUpMs{4000}, memberGoneMs{6000};

  ModelOptions() { breadth.states = 0; }
};

/// An option that takes an integer.
struct CountFlag {
  const char* name;
  int& value;
  const char* text;
};

void addCountFlags(CLI::App& app, std::initializer_list<CountFlag> flags) {
  for (const auto& flag : flags) app.add_option(flag.name, flag.value, flag.text);
}

void addModeFlags(CLI::App& app, ModelOptions& options) {
  app.add_option("--replay", options.replayFile, "replay a saved run and print each event");
  app.add_option("--keep", options.saveDirectory, "save the shortened run of each violation in this directory");
  app.add_flag("--fixed", options.fixed, "run the fixed sets: no rule may be broken");
  app.add_flag("--controls", options.controls, "run the negative control sets: each must find a broken rule");
  app.add_option("--set", options.namePrefix, "run only the sets whose names begin with this");
}

void addSetupFlags(CLI::App& app, ModelOptions& options) {
  auto& setup = options.setup;
  app.add_option("--without", options.disabledDefences, "disable this defence");
  app.add_option("--known", options.ignoredRules, "ignore violations of this rule");
  app.add_option("--room", setup.maxRecordBytes, "bytes of records that a replica can store");
  app.add_option("--open-syncs", setup.syncsOnStart, "whether a starting replica syncs the records that it finds");
  app.add_option("--network-room", setup.maxPacketsInFlight, "maximum number of messages in transit");
  addCountFlags(app,
                {{"--voters", setup.voters, "initial voters"},
                 {"--spares", setup.spares, "empty replicas that can join"},
                 {"--changes", setup.changes, "changes that clients send"},
                 {"--fault-budget", setup.faultBudget, "disks that can be lost at the same time"},
                 {"--catch-up-ms", options.catchUpMs, "milliseconds during which a replaced disk still counts as lost"},
                 {"--member-gone-ms", options.memberGoneMs, "milliseconds of silence after which a voter is removed"}});
}

void addWalkFlags(CLI::App& app, ModelOptions& options) {
  auto& walks = options.walks;
  app.add_option("--walks", walks.walks, "number of random walks");
  app.add_option("--first-seed", walks.firstSeed, "seed of the first walk");
  app.add_option("--events", walks.events, "events in each walk");
  app.add_option("--threads", walks.threads, "walks run concurrently");
  app.add_option("--most-found", walks.maxCounterexamples, "stop after this many violations");
  app.add_option("--seconds", options.seconds, "stop after this many seconds; 0 means no limit");
}

void addBreadthFlags(CLI::App& app, ModelOptions& options) {
  auto& breadth = options.breadth;
  app.add_option("--states", breadth.states, "search breadth-first, up to this many states");
  app.add_option("--opening", options.openingFile,
                 "file with the events that lead to the initial state of the breadth-first search");
  addCountFlags(app, {{"--depth", breadth.depth, "maximum number of events in a breadth-first run"},
                      {"--crashes", breadth.crashes, "maximum number of crashes in it"},
                      {"--drops", breadth.drops, "maximum number of lost messages in it"},
                      {"--duplicates", breadth.duplicates, "maximum number of duplicated messages in it"},
                      {"--wipes", breadth.wipes, "maximum number of lost disks in it"},
                      {"--waits", breadth.waits, "maximum number of waits in it"},
                      {"--sends", breadth.changes, "maximum number of changes sent in it, resends included"}});
}

/// Completes the setup and the limits from the options. Returns false after an error, which it prints.
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

/// Searches by random walks or breadth-first, as the options say. Returns the exit code.
int runSearch(ModelOptions& options) {
  if (!completeOptions(options)) return 2;
  bool breadthFirst = options.breadth.states > 0;
  std::string name = breadthFirst ? "breadth" : "walks";
  auto began = Clock::now();
  SearchReport report =
      breadthFirst ? searchBreadthFirst(options.setup, options.breadth) : runRandomWalks(options.setup, options.walks);
  int code = printCounterexamples(name, report, options.saveDirectory);
  printReport(name, report, Clock::now() - began);
  return code;
}

int run(ModelOptions& options) {
  if (!options.replayFile.empty()) return replayFile(options.replayFile);
  if (!options.fixed && !options.controls) return runSearch(options);
  auto sets = options.fixed ? invariantSearches() : negativeControls();
  return runSets(sets, !options.fixed, options.namePrefix, options.walks.threads, options.ignoredRules,
                 options.saveDirectory);
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app("Model checker of the replicated log: searches event orders, with faults, for one that breaks a rule",
               "trouttally-model");
  app.set_version_flag("--version", std::string("trouttally-model ") + TROUTTALLY_VERSION);
  ModelOptions options;
  addModeFlags(app, options);
  addSetupFlags(app, options);
  addWalkFlags(app, options);
  addBreadthFlags(app, options);
  CLI11_PARSE(app, count, arguments);
  return run(options);
}
