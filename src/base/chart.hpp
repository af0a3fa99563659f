#pragma once
#include "base.hpp"

namespace tt {

/// A table of state transitions, as defined by a file in charts/. Each line has the form
/// `state event -> next-state action...`, where `-` stands for no action. `#` begins a comment.
class StateChart {
 public:
  struct Step {
    std::string next;
    /// The names of the actions to run, in order.
    std::vector<std::string> actions;
  };
  /// Parses a chart; the error's subject is the number of the line.
  static Result<StateChart> read(std::string_view text);
  /// Returns a chart that is built into the program, by the name of its file without the extension. The chart must
  /// exist. The first call parses all built-in charts and aborts the program if one is malformed.
  static const StateChart& named(const std::string& name);
  /// Returns the transition for an event in a state, or null if the chart has none.
  const Step* step(const std::string& state, const std::string& event) const;
  /// The names of all actions of the chart.
  const std::set<std::string>& actions() const { return actionNames; }

 private:
  std::map<std::pair<std::string, std::string>, Step> steps;
  std::set<std::string> actionNames;
};

/// A running instance of a state chart. It holds the current state; the owner provides member functions for the
/// actions.
template <class Owner, class... Args>
class StateMachine {
 public:
  using Action = void (Owner::*)(Args...);
  using Actions = std::map<std::string, Action>;
  StateMachine(const std::string& chartName, const Actions& actions, std::string startState)
      : chart(&StateChart::named(chartName)), actionsByName(&actions), current(std::move(startState)) {}
  /// Changes to the next state and then runs the actions of the transition, which may dispatch further events. Returns
  /// false, without any effect, if the chart has no transition for the event in this state. Actions that the owner does
  /// not provide are skipped.
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
  bool isIn(const char* state) const { return current == state; }

 private:
  const StateChart* chart;
  const Actions* actionsByName;
  std::string current;
};

/// The texts of the built-in charts by name. The build generates this from charts/.
const std::map<std::string, std::string>& chartTexts();

}  // namespace tt
