#include "fixed_sets.hpp"

namespace tt::model {
namespace {

Setup replicas(int voters, int spares, int faultBudget) {
  Setup setup;
  setup.voters = voters;
  setup.spares = spares;
  setup.faultBudget = faultBudget;
  setup.minVoters = static_cast<std::size_t>(2 * faultBudget + 1);
  return setup;
}

Setup smallRoom() {
  Setup setup = replicas(3, 0, 1);
  setup.maxRecordBytes = 1600;
  setup.changes = 15;
  return setup;
}

WalkLimits walksOf(std::uint64_t count, std::uint64_t firstSeed) {
  WalkLimits limits;
  limits.walks = count;
  limits.firstSeed = firstSeed;
  return limits;
}

FixedSearch walkSet(const std::string& name, const Setup& setup, std::uint64_t count, std::uint64_t firstSeed) {
  return FixedSearch{name, setup, walksOf(count, firstSeed), std::nullopt};
}

FixedSearch control(const std::string& defence, Setup setup, std::uint64_t count, std::uint64_t firstSeed) {
  setup.disabledDefences.insert(defence);
  return walkSet("without-" + defence, setup, count, firstSeed);
}

Setup fewMessages(int voters) {
  Setup setup = replicas(voters, 0, 1);
  setup.maxPacketsInFlight = 16;
  setup.changes = 3;
  return setup;
}

BreadthFirstLimits breadthOf(std::uint64_t states, int depth) {
  BreadthFirstLimits limits;
  limits.states = states;
  limits.depth = depth;
  return limits;
}

const std::vector<Choice> leads{Choice{ChoiceKind::run, 0, 0, 0, 2500, 0}};

FixedSearch breadthSet(const std::string& name, const Setup& setup, BreadthFirstLimits limits, bool fromLeader) {
  if (fromLeader) limits.initialEvents = leads;
  return FixedSearch{name, setup, std::nullopt, limits};
}

Choice carry(int from, int to, const Message& kind) {
  return Choice{ChoiceKind::deliver, from, to, static_cast<int>(kind.index()), 0, 0};
}

/// Two replicas ask for votes in one term, and the third has just heard the first of them: from there a vote that is
/// told and lost can be given twice.
FixedSearch twoCandidates(const std::string& name, const std::set<std::string>& disabledDefences) {
  BreadthFirstLimits limits = breadthOf(40000, 12);
  limits.drops = 0;
  limits.waits = 1;
  limits.changes = 0;
  for (int candidate : {0, 1}) limits.initialEvents.push_back(Choice{ChoiceKind::tick, candidate, 0, 0, 0, 0});
  limits.initialEvents.push_back(Choice{ChoiceKind::wait, 0, 0, 0, 1500, 0});
  for (int candidate : {0, 1}) limits.initialEvents.push_back(Choice{ChoiceKind::tick, candidate, 0, 0, 0, 0});
  for (int candidate : {0, 1}) limits.initialEvents.push_back(carry(candidate, 2, VoteRequest{}));
  for (int candidate : {0, 1}) limits.initialEvents.push_back(carry(2, candidate, VoteResponse{}));
  for (int candidate : {0, 1}) limits.initialEvents.push_back(Choice{ChoiceKind::sync, candidate, 0, 0, 0, 0});
  for (int candidate : {0, 1, 0, 1}) {
    Choice lost = carry(candidate, 1 - candidate, VoteRequest{});
    lost.kind = ChoiceKind::drop;
    limits.initialEvents.push_back(lost);
  }
  limits.initialEvents.push_back(carry(0, 2, VoteRequest{}));
  Setup setup = fewMessages(3);
  setup.disabledDefences = disabledDefences;
  return breadthSet(name, setup, limits, false);
}

std::vector<FixedSearch> makeSound() {
  std::vector<FixedSearch> sets;
  sets.push_back(walkSet("walks-3", replicas(3, 0, 1), 1200, 1));
  sets.push_back(walkSet("walks-4-and-1", replicas(4, 1, 1), 400, 100001));
  sets.push_back(walkSet("walks-5", replicas(5, 0, 2), 400, 200001));
  sets.push_back(walkSet("walks-snapshots", smallRoom(), 800, 300001));
  BreadthFirstLimits election = breadthOf(25000, 30);
  election.changes = 0;
  sets.push_back(breadthSet("breadth-election", fewMessages(3), election, false));
  sets.push_back(twoCandidates("breadth-candidates", {}));
  BreadthFirstLimits change = breadthOf(25000, 30);
  change.changes = 2;
  change.duplicates = 1;
  sets.push_back(breadthSet("breadth-changes", fewMessages(3), change, true));
  BreadthFirstLimits crash = breadthOf(25000, 30);
  crash.crashes = 2;
  crash.drops = 0;
  sets.push_back(breadthSet("breadth-crashes", fewMessages(3), crash, true));
  return sets;
}

std::vector<FixedSearch> makeControls() {
  std::vector<FixedSearch> sets;
  sets.push_back(control("syncBeforeCount", replicas(3, 0, 1), 2000, 1));
  sets.push_back(twoCandidates("without-syncBeforeVote", {"syncBeforeVote"}));
  sets.push_back(control("commitByThree", replicas(5, 0, 2), 2000, 1));
  sets.push_back(control("jointMembers", replicas(4, 1, 1), 4000, 1));
  sets.push_back(control("leaseLimits", replicas(3, 0, 1), 2000, 1));
  sets.push_back(control("promiseBinds", replicas(3, 0, 1), 4000, 1));
  sets.push_back(control("changeIdOnce", replicas(3, 0, 1), 2000, 1));
  return sets;
}
}  // namespace

const std::vector<FixedSearch>& invariantSearches() {
  static const std::vector<FixedSearch> sets = makeSound();
  return sets;
}

const std::vector<FixedSearch>& negativeControls() {
  static const std::vector<FixedSearch> sets = makeControls();
  return sets;
}

SearchReport runFixedSearch(const FixedSearch& set, std::size_t threads) {
  if (set.breadth) return searchBreadthFirst(set.setup, *set.breadth);
  WalkLimits limits = *set.walks;
  limits.threads = threads;
  return runRandomWalks(set.setup, limits);
}

}  // namespace tt::model
