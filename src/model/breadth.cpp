#include <algorithm>
#include <unordered_set>

#include "search.hpp"

namespace tt::model {
namespace {

/// How much of each kind of trouble a run holds so far.
struct Spent {
  int crashes{0}, drops{0}, duplicates{0}, wipes{0}, waits{0}, changes{0};
};

/// One state to go on from, and how it was reached.
struct Node {
  ModelWorld::State state;
  Spent spent;
  std::size_t step{0};
};

/// A step of the search's tree; the first one has itself as parent.
struct Step {
  std::size_t parent{0};
  Choice choice;
};

class Breadth {
 public:
  Breadth(const Setup& setup, const BreadthFirstLimits& searchLimits) : world(setup), limits(searchLimits) {}

  SearchReport search() {
    for (const auto& choice : limits.initialEvents) (void)world.apply(choice);
    if (world.violation()) {
      report.found.push_back(Counterexample{Run{world.setup(), limits.initialEvents}, *world.violation()});
      return report;
    }
    steps.push_back(Step{});
    std::vector<Node> level{Node{world.save(), Spent{}, 0}};
    seen.insert(keyOf(Spent{}));
    report.states = 1;
    auto deadline = Clock::now() + limits.timeLimit;
    while (!level.empty() && report.depth < limits.depth) {
      ++report.depth;
      nextLevel.clear();
      for (auto& node : level) {
        if (full() || (limits.timeLimit > Duration(0) && Clock::now() >= deadline)) return report;
        expand(node);
        node.state = ModelWorld::State{};
      }
      level = std::move(nextLevel);
    }
    report.whole = level.empty();
    return report;
  }

 private:
  ModelWorld world;
  const BreadthFirstLimits& limits;
  SearchReport report;
  std::unordered_set<std::uint64_t> seen;
  std::vector<Step> steps;
  std::vector<Node> nextLevel;

  bool full() const { return report.states >= limits.states || !report.found.empty(); }

  std::uint64_t keyOf(const Spent& spent) const {
    std::uint64_t key = world.fingerprint();
    for (int number : {spent.crashes, spent.drops, spent.duplicates, spent.wipes, spent.waits, spent.changes})
      key = key * 1099511628211ull + static_cast<std::uint64_t>(number);
    return key;
  }

  void attempt(const Node& node, const Choice& choice, Spent spent) {
    if (full()) return;
    world.load(node.state);
    if (!world.apply(choice)) return;
    ++report.events;
    if (!world.violation() && !seen.insert(keyOf(spent)).second) return;
    ++report.states;
    steps.push_back(Step{node.step, choice});
    if (world.violation()) {
      report.found.push_back(Counterexample{runTo(steps.size() - 1), *world.violation()});
    } else if (report.depth < limits.depth) {
      nextLevel.push_back(Node{world.save(), spent, steps.size() - 1});
    }
  }

  Run runTo(std::size_t step) const {
    std::vector<Choice> choices;
    for (; step != 0; step = steps[step].parent) choices.push_back(steps[step].choice);
    std::reverse(choices.begin(), choices.end());
    choices.insert(choices.begin(), limits.initialEvents.begin(), limits.initialEvents.end());
    return Run{world.setup(), std::move(choices)};
  }

  void expand(const Node& node) {
    moveMessages(node);
    for (int number = 0; number < world.setup().machines(); ++number) {
      attempt(node, Choice{ChoiceKind::sync, number, 0, 0, 0, 0}, node.spent);
      attempt(node, Choice{ChoiceKind::tick, number, 0, 0, 0, 0}, node.spent);
      attempt(node, Choice{ChoiceKind::start, number, 0, 0, 0, 0}, node.spent);
      breakMachine(node, number);
    }
    if (node.spent.waits < limits.waits) {
      Spent spent = node.spent;
      ++spent.waits;
      for (int span : {20, 150, 1200}) attempt(node, Choice{ChoiceKind::wait, 0, 0, 0, span, 0}, spent);
    }
    if (node.spent.changes < limits.changes) {
      Spent spent = node.spent;
      ++spent.changes;
      for (int change = 0; change <= node.spent.changes && change < world.setup().changes; ++change)
        for (int number = 0; number < world.setup().machines(); ++number)
          attempt(node, Choice{ChoiceKind::change, number, 0, 0, change, 0}, spent);
    }
  }

  void moveMessages(const Node& node) {
    const auto& packets = node.state.packets;
    for (std::size_t at = 0; at < packets.size(); ++at) {
      Choice choice{ChoiceKind::deliver,
                    packets[at].from,
                    packets[at].to,
                    static_cast<int>(packets[at].letter->message.index()),
                    0,
                    0};
      for (std::size_t before = 0; before < at; ++before)
        choice.number += packets[before].from == packets[at].from && packets[before].to == packets[at].to &&
                         packets[before].letter->message.index() == packets[at].letter->message.index();
      attempt(node, choice, node.spent);
      if (node.spent.drops < limits.drops) {
        Spent spent = node.spent;
        ++spent.drops;
        choice.kind = ChoiceKind::drop;
        attempt(node, choice, spent);
      }
      if (node.spent.duplicates < limits.duplicates) {
        Spent spent = node.spent;
        ++spent.duplicates;
        choice.kind = ChoiceKind::duplicate;
        attempt(node, choice, spent);
      }
    }
  }

  void breakMachine(const Node& node, int number) {
    Spent spent = node.spent;
    const auto& machine = *node.state.machines[static_cast<std::size_t>(number)];
    if (machine.up() && spent.crashes < limits.crashes) {
      ++spent.crashes;
      int batch = !machine.writing.empty();
      int unsynced = batch + !machine.written.empty();
      for (int kept = 0; kept <= batch; ++kept) attempt(node, Choice{ChoiceKind::kill, number, 0, 0, kept, 0}, spent);
      for (int kept = 0; kept <= unsynced; ++kept)
        attempt(node, Choice{ChoiceKind::power, number, 0, 0, kept, 0}, spent);
    }
    spent = node.spent;
    if (spent.wipes >= limits.wipes) return;
    ++spent.wipes;
    attempt(node, Choice{ChoiceKind::wipe, number, 0, 0, 0, 0}, spent);
  }
};

}  // namespace

SearchReport searchBreadthFirst(const Setup& setup, const BreadthFirstLimits& limits) {
  setup.applyTiming();
  return Breadth(setup, limits).search();
}

}  // namespace tt::model
