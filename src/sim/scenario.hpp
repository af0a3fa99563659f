#pragma once
#include "sim.hpp"

namespace tt {

/// What a scenario came to.
struct ScenarioResult {
  bool passed{false};
  std::vector<std::string> failures;
  std::string figures;
  std::uint64_t seed{0};
  /// How many operations of operators' clients were checked, and how many of them had no clear answer.
  std::size_t operations{0}, unclear{0};
};
/// Reads and runs a scenario's text. A seed given here goes before the text's own. Each 'control DEFENCE LINE' in it is
/// a further run with that defence taken out, which must break that line of "what must never happen".
ScenarioResult runScenario(const std::string& text, std::optional<std::uint64_t> seed = std::nullopt,
                           const std::string& trace = {}, bool withControls = true);
/// Reads a scenario without running it; what is wrong with its lines.
std::vector<std::string> checkScenario(const std::string& text);
/// Writes a scenario of random faults, the same one for the same seed.
std::string randomScenario(std::uint64_t seed);
/// Takes lines away from a failing scenario for as long as it keeps failing in the same way.
std::string reduceScenario(const std::string& text, std::uint64_t seed);

}  // namespace tt
