#pragma once
#include "sim.hpp"

namespace tt {

/// The result of a scenario.
struct ScenarioResult {
  bool passed{false};
  /// Violated invariants, expectations that were not met, and errors in the scenario's text.
  std::vector<std::string> failures;
  /// Statistics of the run, as text.
  std::string figures;
  std::uint64_t seed{0};
  /// How many operations of operators' clients were checked, and how many of them had no definite response.
  std::size_t operations{0}, unclear{0};
};
/// Scenarios are texts of lines. 'fleet KEY VALUE ...', 'seed N' and 'until SECONDS' set up the run, 'at SECONDS VERB
/// ...' injects a fault or makes a check during it, and 'expect ...' makes a check after it. 'without DEFENCE' disables
/// a defence, 'title ...' says what the scenario shows, and # begins a comment.

/// Parses and runs a scenario. `seed` replaces the seed that the text names. For each line 'control DEFENCE INVARIANT'
/// the scenario also runs as a negative control: with this defence disabled it must violate this invariant, which shows
/// that the scenario exercises the defence.
ScenarioResult runScenario(const std::string& text, std::optional<std::uint64_t> seed = std::nullopt,
                           const std::string& trace = {}, bool withControls = true);
/// Parses a scenario without running it and returns the errors, each with its line number. The arguments of 'at' lines
/// are checked only when the scenario runs.
std::vector<std::string> checkScenario(const std::string& text);
/// Generates a scenario with random faults; the same seed always gives the same scenario.
std::string randomScenario(std::uint64_t seed);
/// Removes lines from a failing scenario as long as its first failure stays the same. Lines that end a fault stay.
std::string reduceScenario(const std::string& text, std::uint64_t seed);

}  // namespace tt
