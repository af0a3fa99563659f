#include "chart.hpp"

#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace tt {

Result<StateChart> StateChart::read(std::string_view text) {
  StateChart chart;
  std::istringstream source{std::string(text)};
  std::string line;
  for (int lineNumber = 1; std::getline(source, line); ++lineNumber) {
    if (auto hash = line.find('#'); hash != std::string::npos) line.resize(hash);
    std::istringstream words(line);
    std::string state, event, arrow, next;
    if (!(words >> state)) continue;
    if (!(words >> event >> arrow >> next) || arrow != "->")
      return makeError(Code::badChart, "line " + std::to_string(lineNumber),
                       "expected: state event -> next-state action...");
    Step step{next, {}};
    for (std::string action; words >> action;)
      if (action != "-") {
        step.actions.push_back(action);
        chart.actionNames.insert(action);
      }
    if (!chart.steps.emplace(std::make_pair(state, event), step).second)
      return makeError(Code::badChart, "line " + std::to_string(lineNumber),
                       "duplicate transition for this state and event");
  }
  return chart;
}

const StateChart& StateChart::named(const std::string& name) {
  static const std::map<std::string, StateChart> charts = [] {
    std::map<std::string, StateChart> parsed;
    for (const auto& [chartName, text] : chartTexts()) {
      auto read = StateChart::read(text);
      if (!read) {
        std::fprintf(stderr, "chart %s: %s: %s\n", chartName.c_str(), read.error().subject.c_str(),
                     read.error().text.c_str());
        std::abort();
      }
      parsed.emplace(chartName, read.value());
    }
    return parsed;
  }();
  return charts.at(name);
}

const StateChart::Step* StateChart::step(const std::string& state, const std::string& event) const {
  auto found = steps.find({state, event});
  return found == steps.end() ? nullptr : &found->second;
}

}  // namespace tt
