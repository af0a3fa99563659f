#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "fuzz.hpp"

using namespace tt;

namespace {
/// The bytes as printable text, with escapes and limited in length.
std::string escaped(const std::string& bytes) {
  constexpr std::size_t maxPrintedBytes = 4000;
  std::string text;
  for (char character : bytes) {
    if (text.size() > maxPrintedBytes) return text + " [truncated]";
    auto byte = static_cast<unsigned char>(character);
    char written[8];
    std::snprintf(written, sizeof written, byte < 0x20 || byte > 0x7e || byte == '\\' ? "\\x%02x" : "%c", byte);
    text += written;
  }
  return text;
}

/// The seed of one round. Each round has its own, so that any round can be run alone.
std::uint64_t roundSeed(std::uint64_t seed, const std::string& name, std::uint64_t round) {
  return rendezvousHash(name, std::to_string(seed) + "/" + std::to_string(round));
}

/// Runs rounds of one target up to the first violation. Returns whether all properties held.
bool runTarget(const FuzzTarget& target, std::uint64_t seed, std::uint64_t first, std::uint64_t rounds,
               bool printRounds) {
  std::uint64_t acceptedRounds = 0, rejectedRounds = 0;
  for (std::uint64_t round = first; round < first + rounds; ++round) {
    if (printRounds) std::cout << "round " << round << std::endl;
    Mutator mutator(roundSeed(seed, target.name, round));
    auto outcome = target.runRound(mutator);
    if (!outcome.broken.empty()) {
      std::cout << "fuzz: " << target.name << " BROKEN seed=" << seed << " round=" << round << ": " << outcome.broken
                << "\ninput: " << escaped(outcome.input) << std::endl;
      return false;
    }
    ++(outcome.accepted ? acceptedRounds : rejectedRounds);
  }
  std::cout << "fuzz: " << target.name << " rounds=" << rounds << " accepted=" << acceptedRounds
            << " rejected=" << rejectedRounds << std::endl;
  return true;
}

/// The command-line options.
struct FuzzOptions {
  std::string target{"all"};
  std::uint64_t seed{1}, rounds{0}, first{0};
  bool printRounds{false}, listOnly{false};

  bool selects(const FuzzTarget& candidate) const { return target == "all" || target == candidate.name; }
};

void addOptions(CLI::App& app, FuzzOptions& options) {
  app.add_option("--target", options.target, "name of a target, or all");
  app.add_option("--seed", options.seed, "the same seed makes the same inputs");
  app.add_option("--rounds", options.rounds, "rounds of each target, instead of its default number");
  app.add_option("--first", options.first, "number of the first round");
  app.add_flag("--tell", options.printRounds, "print the number of each round before it runs");
  app.add_flag("--list", options.listOnly, "print the targets with their numbers of rounds, and exit");
}

FuzzTargets allTargets() {
  FuzzTargets targets;
  addClientTargets(targets);
  addConfigurationTargets(targets);
  addJsonBodyTargets(targets);
  addFrameTargets(targets);
  addRingTargets(targets);
#ifdef TT_PLATFORM
  addWireTargets(targets);
#endif
  return targets;
}

/// Lists or runs the selected targets. Returns the exit code.
int run(const FuzzOptions& options) {
  bool passed = true, found = false;
  for (const auto& target : allTargets()) {
    if (options.listOnly) std::cout << target.name << " " << target.rounds << "\n";
    if (!options.selects(target)) continue;
    found = true;
    if (options.listOnly) continue;
    std::uint64_t rounds = options.rounds ? options.rounds : target.rounds;
    passed = runTarget(target, options.seed, options.first, rounds, options.printRounds) && passed;
  }
  if (!found) {
    std::cerr << "no such target: " << options.target << "\n";
    return 2;
  }
  return passed ? 0 : 1;
}
}  // namespace

int main(int count, char** arguments) {
  CLI::App app("Feeds every parser mutated inputs and checks its properties", "trouttally-fuzz");
  app.set_version_flag("--version", std::string("trouttally-fuzz ") + TROUTTALLY_VERSION);
  FuzzOptions options;
  addOptions(app, options);
  CLI11_PARSE(app, count, arguments);
  return run(options);
}
