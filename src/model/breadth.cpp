#include <algorithm>
#include <unordered_set>

#include "search.hpp"

namespace tt::model {
namespace {

/// The 64-bit prime of the FNV hash functions.
constexpr std::uint64_t fnvPrime = 1099511628211ull;

/// How many faults, waits and changes of each kind a run contains so far.
struct FaultCounts {
  int crashes{0}, drops{0}, duplicates{0}, wipes{0}, waits{0}, changes{0};
};

/// A state to be expanded, and the last step of the path to it.
struct Node {
  ModelWorld::State state;
  FaultCounts counts;
  std::size_t step{0};
};

/// A step in the tree of paths. The root is step 0 and its own parent.
struct Step {
  std::size_t parent{0};
  Choice choice;
};

/// Searches breadth-first; see searchBreadthFirst().
class BreadthFirstSearch {
 public:
  BreadthFirstSearch(const Setup& setup, const BreadthFirstLimits& searchLimits) : world(setup), limits(searchLimits) {}

  SearchReport search() {
    for (const auto& choice : limits.initialEvents) (void)world.apply(choice);
    if (world.violation()) {
      report.found.push_back(Counterexample{Run{world.setup(), limits.initialEvents}, *world.violation()});
      return report;
    }
    steps.push_back(Step{});
    std::vector<Node> level{Node{world.save(), FaultCounts{}, 0}};
    visited.insert(stateKey(FaultCounts{}));
    report.states = 1;
    auto deadline = Clock::now() + limits.timeLimit;
    while (!level.empty() && report.depth < limits.depth) {
      ++report.depth;
      nextLevel.clear();
      for (auto& node : level) {
        if (limitReached() || (limits.timeLimit > Duration(0) && Clock::now() >= deadline)) return report;
        expand(node);
        node.state = ModelWorld::State{};
      }
      level = std::move(nextLevel);
    }
    report.complete = level.empty();
    return report;
  }

 private:
  ModelWorld world;
  const BreadthFirstLimits& limits;
  SearchReport report;
  /// Keys of the visited states.
  std::unordered_set<std::uint64_t> visited;
  std::vector<Step> steps;
  std::vector<Node> nextLevel;

  bool limitReached() const { return report.states >= limits.states || !report.found.empty(); }

  /// Identifies a state together with the faults that led to it, as these limit how the run can go on.
  std::uint64_t stateKey(const FaultCounts& counts) const {
    std::uint64_t key = world.fingerprint();
    for (int number : {counts.crashes, counts.drops, counts.duplicates, counts.wipes, counts.waits, counts.changes})
      key = key * fnvPrime + static_cast<std::uint64_t>(number);
    return key;
  }

  /// Executes an event in a state and queues the resulting state if it is new.
  void tryEvent(const Node& node, const Choice& choice, FaultCounts counts) {
    if (limitReached()) return;
    world.load(node.state);
    if (!world.apply(choice)) return;
    ++report.events;
    if (!world.violation() && !visited.insert(stateKey(counts)).second) return;
    ++report.states;
    steps.push_back(Step{node.step, choice});
    if (world.violation()) {
      report.found.push_back(Counterexample{runTo(steps.size() - 1), *world.violation()});
    } else if (report.depth < limits.depth) {
      nextLevel.push_back(Node{world.save(), counts, steps.size() - 1});
    }
  }

  /// The events on the path to a step.
  Run runTo(std::size_t step) const {
    std::vector<Choice> choices;
    for (; step != 0; step = steps[step].parent) choices.push_back(steps[step].choice);
    std::reverse(choices.begin(), choices.end());
    choices.insert(choices.begin(), limits.initialEvents.begin(), limits.initialEvents.end());
    return Run{world.setup(), std::move(choices)};
  }

  /// Tries all events that are possible in a state.
  void expand(const Node& node) {
    tryMessages(node);
    for (int number = 0; number < world.setup().machines(); ++number) {
      tryEvent(node, Choice{ChoiceKind::sync, number, 0, 0, 0, 0}, node.counts);
      tryEvent(node, Choice{ChoiceKind::tick, number, 0, 0, 0, 0}, node.counts);
      tryEvent(node, Choice{ChoiceKind::start, number, 0, 0, 0, 0}, node.counts);
      tryFaults(node, number);
    }
    if (node.counts.waits < limits.waits) {
      FaultCounts counts = node.counts;
      ++counts.waits;
      /// Long enough for a timer tick, for the heartbeat interval, and for an election timeout.
      for (int waitMs : {20, 150, 1200}) tryEvent(node, Choice{ChoiceKind::wait, 0, 0, 0, waitMs, 0}, counts);
    }
    if (node.counts.changes < limits.changes) {
      FaultCounts counts = node.counts;
      ++counts.changes;
      for (int change = 0; change <= node.counts.changes && change < world.setup().changes; ++change)
        for (int number = 0; number < world.setup().machines(); ++number)
          tryEvent(node, Choice{ChoiceKind::change, number, 0, 0, change, 0}, counts);
    }
  }

  /// Tries to deliver, drop and duplicate each message.
  void tryMessages(const Node& node) {
    const auto& packets = node.state.packets;
    for (std::size_t index = 0; index < packets.size(); ++index) {
      Choice choice{ChoiceKind::deliver,
                    packets[index].from,
                    packets[index].to,
                    static_cast<int>(packets[index].content->message.index()),
                    0,
                    0};
      for (std::size_t before = 0; before < index; ++before)
        choice.number += packets[before].from == packets[index].from && packets[before].to == packets[index].to &&
                         packets[before].content->message.index() == packets[index].content->message.index();
      tryEvent(node, choice, node.counts);
      if (node.counts.drops < limits.drops) {
        FaultCounts counts = node.counts;
        ++counts.drops;
        choice.kind = ChoiceKind::drop;
        tryEvent(node, choice, counts);
      }
      if (node.counts.duplicates < limits.duplicates) {
        FaultCounts counts = node.counts;
        ++counts.duplicates;
        choice.kind = ChoiceKind::duplicate;
        tryEvent(node, choice, counts);
      }
    }
  }

  /// Tries the faults of a machine, with each number of unsynced batches that may survive.
  void tryFaults(const Node& node, int number) {
    FaultCounts counts = node.counts;
    const auto& machine = *node.state.machines[static_cast<std::size_t>(number)];
    if (machine.up() && counts.crashes < limits.crashes) {
      ++counts.crashes;
      int writingBatches = !machine.writing.empty();
      int unsyncedBatches = writingBatches + !machine.written.empty();
      for (int survivingBatches = 0; survivingBatches <= writingBatches; ++survivingBatches)
        tryEvent(node, Choice{ChoiceKind::kill, number, 0, 0, survivingBatches, 0}, counts);
      for (int survivingBatches = 0; survivingBatches <= unsyncedBatches; ++survivingBatches)
        tryEvent(node, Choice{ChoiceKind::power, number, 0, 0, survivingBatches, 0}, counts);
    }
    counts = node.counts;
    if (counts.wipes >= limits.wipes) return;
    ++counts.wipes;
    tryEvent(node, Choice{ChoiceKind::wipe, number, 0, 0, 0, 0}, counts);
  }
};

}  // namespace

SearchReport searchBreadthFirst(const Setup& setup, const BreadthFirstLimits& limits) {
  setup.applyTiming();
  return BreadthFirstSearch(setup, limits).search();
}

}  // namespace tt::model
