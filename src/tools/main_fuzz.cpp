#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "fuzz.hpp"

using namespace tt;

namespace {
std::string readable(const std::string& bytes) {
  constexpr std::size_t mostTold = 4000;
  std::string text;
  for (char letter : bytes) {
    if (text.size() > mostTold) return text + " [truncated]";
    auto byte = static_cast<unsigned char>(letter);
    char written[8];
    std::snprintf(written, sizeof written, byte < 0x20 || byte > 0x7e || byte == '\\' ? "\\x%02x" : "%c", byte);
    text += written;
  }
  return text;
}

/// The seed of one round. Each round has its own, so that any round can be run alone.
std::uint64_t seedOf(std::uint64_t seed, const std::string& name, std::uint64_t round) {
  return rendezvousHash(name, std::to_string(seed) + "/" + std::to_string(round));
}

/// Runs rounds of one target up to the first violation. Returns whether all properties held.
bool play(const FuzzTarget& target, std::uint64_t seed, std::uint64_t first, std::uint64_t rounds, bool tells) {
  std::uint64_t taken = 0, refused = 0;
  for (std::uint64_t round = first; round < first + rounds; ++round) {
    if (tells) std::cout << "round " << round << std::endl;
    Mutator mutator(seedOf(seed, target.name, round));
    auto outcome = target.once(mutator);
    if (!outcome.broken.empty()) {
      std::cout << "fuzz: " << target.name << " BROKEN seed=" << seed << " round=" << round << ": " << outcome.broken
                << "\ninput: " << readable(outcome.input) << std::endl;
      return false;
    }
    ++(outcome.accepted ? taken : refused);
  }
  std::cout << "fuzz: " << target.name << " rounds=" << rounds << " accepted=" << taken << " rejected=" << refused
            << std::endl;
  return true;
}
/// The command-line options.
struct FuzzOptions {
  std::string target{"all"};
  std::uint64_t seed{1}, rounds{0}, first{0};
  bool tells{false}, lists{false};

  bool wants(const FuzzTarget& row) const { return target == "all" || target == row.name; }
};

void addOptions(CLI::App& app, FuzzOptions& options) {
  app.add_option("--target", options.target, "name of a target, or all");
  app.add_option("--seed", options.seed, "the same seed makes the same inputs");
  app.add_option("--rounds", options.rounds, "rounds of each target, instead of its default number");
  app.add_option("--first", options.first, "number of the first round");
  app.add_flag("--tell", options.tells, "print the number of each round before it runs");
  app.add_flag("--list", options.lists, "print the targets with their numbers of rounds, and exit");
}

FuzzTargets allTargets() {
  FuzzTargets targets;
  addClientTargets(targets);
  addConfigurationTargets(targets);
  addContractTargets(targets);
  addFrameTargets(targets);
  addRingTargets(targets);
#ifdef TT_PLATFORM
  addWireTargets(targets);
#endif
  return targets;
}

/// Lists or runs the selected targets. Returns the exit code.
int run(const FuzzOptions& options) {
  bool sound = true, found = false;
  for (const auto& target : allTargets()) {
    if (options.lists) std::cout << target.name << " " << target.rounds << "\n";
    if (!options.wants(target)) continue;
    found = true;
    if (options.lists) continue;
    std::uint64_t rounds = options.rounds ? options.rounds : target.rounds;
    sound = play(target, options.seed, options.first, rounds, options.tells) && sound;
  }
  if (!found) {
    std::cerr << "no such target: " << options.target << "\n";
    return 2;
  }
  return sound ? 0 : 1;
}
}  // namespace

int main(int count, char** words) {
  CLI::App app("Feeds every parser mutated inputs and checks its properties", "trouttally-fuzz");
  app.set_version_flag("--version", std::string("trouttally-fuzz ") + TROUTTALLY_VERSION);
  FuzzOptions options;
  addOptions(app, options);
  CLI11_PARSE(app, count, words);
  return run(options);
}
