#include "setup.hpp"

#include <sstream>

#include "election.hpp"

namespace tt::model {
namespace {
const std::string setupWord = "setup";
constexpr int mostMachines = 9;
}  // namespace

std::string Setup::text() const {
  std::ostringstream line;
  line << setupWord << " voters=" << voters << " spares=" << spares << " changes=" << changes
       << " room=" << maxRecordBytes << " faultBudget=" << faultBudget << " catchUpMs=" << toMilliseconds(catchUp)
       << " memberGoneMs=" << toMilliseconds(memberRemovalTimeout) << " votersLeast=" << minVoters
       << " openSyncs=" << syncsOnStart << " networkRoom=" << maxPacketsInFlight;
  for (const auto& name : disabledDefences) line << " without=" << name;
  for (const auto& rule : ignoredRules) line << " known=" << rule;
  return line.str();
}

Result<Setup> Setup::parse(const std::string& line) {
  std::istringstream words(line);
  std::string word;
  words >> word;
  if (word != setupWord) return makeError(Code::badField, "setup", "a run begins with its setup");
  Setup setup;
  while (words >> word) {
    auto equals = word.find('=');
    if (equals == std::string::npos) return makeError(Code::badField, word, "must be name=value");
    std::string name = word.substr(0, equals), value = word.substr(equals + 1);
    if (name == "without") {
      setup.disabledDefences.insert(value);
      continue;
    }
    if (name == "known") {
      setup.ignoredRules.insert(value);
      continue;
    }
    if (value.empty() || value.find_first_not_of("0123456789") != std::string::npos || value.size() > 9)
      return makeError(Code::badField, name, "must be a number");
    int number = std::stoi(value);
    if (name == "voters") {
      setup.voters = number;
    } else if (name == "spares") {
      setup.spares = number;
    } else if (name == "changes") {
      setup.changes = number;
    } else if (name == "room") {
      setup.maxRecordBytes = static_cast<std::size_t>(number);
    } else if (name == "faultBudget") {
      setup.faultBudget = number;
    } else if (name == "catchUpMs") {
      setup.catchUp = std::chrono::milliseconds(number);
    } else if (name == "memberGoneMs") {
      setup.memberRemovalTimeout = std::chrono::milliseconds(number);
    } else if (name == "votersLeast") {
      setup.minVoters = static_cast<std::size_t>(number);
    } else if (name == "openSyncs") {
      setup.syncsOnStart = number != 0;
    } else if (name == "networkRoom") {
      setup.maxPacketsInFlight = static_cast<std::size_t>(number);
    } else {
      return makeError(Code::unknownField, name);
    }
  }
  if (setup.voters < 1 || setup.machines() > mostMachines)
    return makeError(Code::badField, "voters", "1 to 9 replicas in all");
  if (auto defences = setup.defences(); !defences) return defences.error();
  return setup;
}

Result<Defences> Setup::defences() const {
  Defences standing;
  for (const auto& name : disabledDefences) {
    auto defence = Defences::named(name);
    if (!defence) return makeError(Code::badField, name, "is no defence");
    standing.disable(*defence);
  }
  return standing;
}

void Setup::applyTiming() const {
  timing.memberRemovalTimeout = memberRemovalTimeout;
  timing.minVoters = minVoters;
}

std::string Run::text() const { return setup.text() + "\n" + printChoices(choices); }

Result<Run> Run::parse(const std::string& text) {
  Run run;
  std::istringstream source(text);
  std::string line;
  while (std::getline(source, line) && (line.empty() || line.front() == '#')) continue;
  auto setup = Setup::parse(line);
  if (!setup) return setup.error();
  run.setup = setup.value();
  std::stringstream rest;
  rest << source.rdbuf();
  auto choices = parseChoices(rest.str());
  if (!choices) return choices.error();
  run.choices = std::move(choices).value();
  return run;
}

}  // namespace tt::model
