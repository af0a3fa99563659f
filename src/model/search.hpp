#pragma once
#include "model_world.hpp"

namespace tt::model {

/// A run that violates a rule.
struct Counterexample {
  Run run;
  Violation violation;
};

/// The size of a search and its counterexamples. `depth`: number of events of the longest run.
struct SearchReport {
  std::uint64_t states{0}, events{0}, walks{0};
  int depth{0};
  std::vector<Counterexample> found;
  /// Whether a breadth-first search visited all states that are reachable within its depth.
  bool complete{false};
};

/// Parameters of a search by random walks. `events`: number of events of a walk.
struct WalkLimits {
  std::uint64_t firstSeed{1}, walks{100};
  int events{300};
  std::size_t threads{1};
  /// The search ends after so many counterexamples.
  std::size_t maxCounterexamples{1};
  /// No new walk is started after this time; 0: no limit. Makes the result depend on the machine's speed, so it is not
  /// meant for tests.
  Duration timeLimit{0};
};

/// Runs random walks. Each walk has a seed of its own; the same seed gives the same walk on every machine.
SearchReport runRandomWalks(const Setup& setup, const WalkLimits& limits);

/// Parameters of a breadth-first search: the number of states to visit, the maximum number of events after the initial
/// ones, and how many faults, waits and changes of each kind one run may contain.
struct BreadthFirstLimits {
  std::uint64_t states{100000};
  int depth{12};
  int crashes{1}, drops{1}, duplicates{0}, wipes{0}, waits{4}, changes{1};
  /// Events that lead to the state from which the search starts.
  std::vector<Choice> initialEvents;
  /// The search ends after this time; 0: no limit.
  Duration timeLimit{0};
};

/// Explores all orders of events breadth-first and visits each state once, so that the first counterexample is a
/// shortest one.
SearchReport searchBreadthFirst(const Setup& setup, const BreadthFirstLimits& limits);

/// Replays a run and returns the violation at which it ends, if any. `onEvent` is called with a description of each
/// event.
std::optional<Violation> replay(const Run& run, const std::function<void(const std::string&)>& onEvent = {});

/// Removes events from a run as long as it still violates the same rule.
Run shrink(const Run& run, const std::string& rule);

}  // namespace tt::model
