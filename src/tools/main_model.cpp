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
    Run shorter = shorten(found.run, found.broken.rule);
    std::cout << "VIOLATION " << name << " " << found.broken.rule << " (" << found.run.choices.size()
              << " events, shortened to " << shorter.choices.size() << ")\n";
    auto broken = replay(shorter, [](const std::string& line) { std::cout << "  " << line << "\n"; });
    std::cout << "  => " << (broken ? broken->rule + ": " + broken->text : "not broken when played again") << "\n";
    std::cout << "  " << shorter.setup.text() << "\n";
    if (keepFolder.empty()) continue;
    std::string file = keepFolder + "/" + name + "-" + std::to_string(++number) + ".run";
    std::ofstream(file) << "# " << found.broken.rule << ": " << found.broken.text << "\n" << shorter.text();
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
  auto broken = replay(*run, [](const std::string& line) { std::cout << line << "\n"; });
  std::cout << (broken ? "broken " + broken->rule + ": " + broken->text : "no rule broken") << "\n";
  return broken ? 1 : 0;
}

/// Runs sets in which no rule may be broken, or such in which each must find a broken one.
int runSets(const std::vector<FixedSet>& sets, bool mustBreak, const std::string& only, std::size_t threads,
            const std::vector<std::string>& known, const std::string& keepFolder) {
  int wrong = 0;
  std::size_t ran = 0;
  for (auto set : sets) {
    if (!only.empty() && set.name.rfind(only, 0) != 0) continue;
    ++ran;
    if (mustBreak) set.setup.known = {"no-majority", "refused-by-lost", "refused-in-force"};
    set.setup.known.insert(known.begin(), known.end());
    auto began = Clock::now();
    SearchReport report = runSet(set, threads);
    if (!mustBreak) wrong += printFound(set.name, report, keepFolder);
    if (mustBreak) {
      wrong += report.found.empty();
      std::cout << (report.found.empty() ? "NOT FOUND " : "found ") << set.name;
      for (const auto& found : report.found) std::cout << " " << found.broken.rule << ": " << found.broken.text;
      std::cout << "\n";
    }
    printReport(set.name, report, Clock::now() - began);
  }
  if (ran == 0) std::cerr << "no set is named " << only << "\n";
  return ran == 0 ? 2 : wrong > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Searches the orders of events of the real agreement for one that breaks a rule", "trouttally-model");
  app.set_version_flag("--version", std::string("trouttally-model ") + TROUTTALLY_VERSION);
  Setup setup;
  WalkLimits walks;
  BreadthLimits breadth;
  breadth.states = 0;
  bool fixed = false, controls = false;
  std::string file, keepFolder, only, opening;
  std::vector<std::string> without, known;
  double seconds = 0;
  int catchUpMs = 4000, memberGoneMs = 6000;
  app.add_option("--replay", file, "play a kept run and say each event");
  app.add_option("--keep", keepFolder, "keep the shortened run of each violation in this folder");
  app.add_option("--without", without, "take this defence out");
  app.add_option("--known", known, "by hand: pass over the breaking of this rule");
  app.add_option("--voters", setup.voters, "replicas that form the fleet");
  app.add_option("--spares", setup.spares, "empty replicas that may join");
  app.add_option("--changes", setup.changes, "changes that clients send");
  app.add_option("--room", setup.room, "bytes of records that a replica may hold");
  app.add_option("--fault-budget", setup.faultBudget, "disks that may be lost at once");
  app.add_option("--catch-up-ms", catchUpMs, "how long a new disk counts as lost");
  app.add_option("--member-gone-ms", memberGoneMs, "silence after which a voter is taken out");
  app.add_option("--open-syncs", setup.openSyncs, "whether a start syncs what it finds written");
  app.add_option("--walks", walks.walks, "seeded walks");
  app.add_option("--first-seed", walks.firstSeed, "seed of the first walk");
  app.add_option("--events", walks.events, "events of a walk");
  app.add_option("--threads", walks.threads, "walks at a time");
  app.add_option("--most-found", walks.mostFound, "end after so many violations");
  app.add_option("--seconds", seconds, "by hand: end after so long");
  app.add_flag("--fixed", fixed, "run the fixed sets: no rule may be broken");
  app.add_flag("--controls", controls, "run the control sets: each must find a broken rule");
  app.add_option("--set", only, "of these run only those whose names begin so");
  app.add_option("--states", breadth.states, "search breadth-first for so many states");
  app.add_option("--depth", breadth.depth, "events that a breadth-first run may hold");
  app.add_option("--crashes", breadth.crashes, "crashes that a breadth-first run may hold");
  app.add_option("--drops", breadth.drops, "lost messages that a breadth-first run may hold");
  app.add_option("--duplicates", breadth.duplicates, "doubled messages that a breadth-first run may hold");
  app.add_option("--wipes", breadth.wipes, "lost disks that a breadth-first run may hold");
  app.add_option("--waits", breadth.waits, "waits that a breadth-first run may hold");
  app.add_option("--sends", breadth.changes, "changes that a breadth-first run sends, resends included");
  app.add_option("--network-room", setup.networkRoom, "messages under way at most");
  app.add_option("--opening", opening, "a file of events that lead to where the breadth-first search starts");
  CLI11_PARSE(app, count, words);
  if (!file.empty()) return replayFile(file);
  if (fixed) return runSets(soundSets(), false, only, walks.threads, known, keepFolder);
  if (controls) return runSets(controlSets(), true, only, walks.threads, known, keepFolder);
  setup.catchUp = std::chrono::milliseconds(catchUpMs);
  setup.memberGone = std::chrono::milliseconds(memberGoneMs);
  setup.votersLeast = static_cast<std::size_t>(2 * setup.faultBudget + 1);
  setup.known = std::set<std::string>(known.begin(), known.end());
  setup.without = std::set<std::string>(without.begin(), without.end());
  if (auto checked = Setup::parse(setup.text()); !checked) {
    std::cerr << checked.error().subject << ": " << checked.error().text << "\n";
    return 2;
  }
  walks.longest = std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
  breadth.longest = walks.longest;
  if (!opening.empty()) {
    auto read = readRun(opening);
    if (!read) return 2;
    breadth.opening = read->choices;
  }
  std::string name = breadth.states > 0 ? "breadth" : "walks";
  auto began = Clock::now();
  SearchReport report = breadth.states > 0 ? searchBreadth(setup, breadth) : walk(setup, walks);
  int code = printFound(name, report, keepFolder);
  printReport(name, report, Clock::now() - began);
  return code;
}
