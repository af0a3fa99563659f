#pragma once
#include "model_world.hpp"

namespace tt::model {

/// A run that breaks a rule.
struct Counterexample {
  Run run;
  Violation violation;
};

/// What a search did and found.
struct SearchReport {
  std::uint64_t states{0}, events{0}, walks{0};
  int depth{0};
  std::vector<Counterexample> found;
  /// Whether a breadth-first search came to an end by itself within its depth.
  bool whole{false};
};

/// What seeded walks are given.
struct WalkLimits {
  std::uint64_t firstSeed{1}, walks{100};
  int events{300};
  std::size_t threads{1};
  /// Ends the search after so many counterexamples.
  std::size_t maxCounterexamples{1};
  /// For runs by hand: no new walk is begun after this span; 0 sets no such end.
  Duration timeLimit{0};
};

/// Walks at random, each walk from its own seed: the same seed is the same walk on every machine.
SearchReport runRandomWalks(const Setup& setup, const WalkLimits& limits);

/// What a breadth-first search is given: events of each kind of trouble that one run may hold.
struct BreadthFirstLimits {
  std::uint64_t states{100000};
  int depth{12};
  int crashes{1}, drops{1}, duplicates{0}, wipes{0}, waits{4}, changes{1};
  /// Events that lead to the state from which the search starts.
  std::vector<Choice> initialEvents;
  Duration timeLimit{0};
};

/// Goes through all orders of events from a start, nearest first, each state once.
SearchReport searchBreadthFirst(const Setup& setup, const BreadthFirstLimits& limits);

/// Plays a run; the rule that it breaks, if it does. Tells each event in words, if asked.
std::optional<Violation> replay(const Run& run, const std::function<void(const std::string&)>& tell = {});

/// Takes out all events without which a run still breaks the same rule.
Run shrink(const Run& run, const std::string& rule);

}  // namespace tt::model
