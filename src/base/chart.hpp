#pragma once
#include "base.hpp"

namespace tt {

/// A state chart read from its file. Code asks it what comes next and does the actions it names.
class StateChart {
 public:
  struct Step {
    std::string next;
    std::vector<std::string> actions;
  };
  /// Reads a chart; a fault names the line.
  static Result<StateChart> read(std::string_view text);
  /// One of the charts built into the program from charts/, by file name without ending.
  static const StateChart& named(const std::string& name);
  /// What an event leads to in a state; nothing where the chart has no such row.
  const Step* step(const std::string& state, const std::string& event) const;
  const std::set<std::string>& actions() const { return actionNames; }

 private:
  std::map<std::pair<std::string, std::string>, Step> steps;
  std::set<std::string> actionNames;
};

/// Walks a chart for one owner: an event moves the state and runs the named actions.
template <class Owner, class... Args>
class StateMachine {
 public:
  using Action = void (Owner::*)(Args...);
  using Actions = std::map<std::string, Action>;
  StateMachine(const std::string& chartName, const Actions& actions, std::string startState)
      : chart(&StateChart::named(chartName)), actionsByName(&actions), current(std::move(startState)) {}
  /// Whether the event meant anything in this state.
  bool dispatch(Owner& owner, const std::string& event, Args... args) {
    const auto* step = chart->step(current, event);
    if (!step) return false;
    current = step->next;
    for (const auto& name : step->actions) {
      auto action = actionsByName->find(name);
      if (action != actionsByName->end()) (owner.*(action->second))(args...);
    }
    return true;
  }
  const std::string& state() const { return current; }
  bool in(const char* state) const { return current == state; }

 private:
  const StateChart* chart;
  const Actions* actionsByName;
  std::string current;
};

/// The chart files' names and texts, as built in.
const std::map<std::string, std::string>& chartTexts();

}  // namespace tt
