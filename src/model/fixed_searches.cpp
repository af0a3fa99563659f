#include "fixed_searches.hpp"

namespace tt::model {
namespace {

/// A setup whose minimum number of voters still has a majority after the loss of as many disks as the budget allows.
Setup replicaSetup(int voters, int spares, int faultBudget) {
  Setup setup;
  setup.voters = voters;
  setup.spares = spares;
  setup.faultBudget = faultBudget;
  setup.minVoters = static_cast<std::size_t>(2 * faultBudget + 1);
  return setup;
}

/// A setup in which replicas take snapshots after a few changes.
Setup snapshotSetup() {
  Setup setup = replicaSetup(3, 0, 1);
  setup.maxRecordBytes = 1600;
  setup.changes = 15;
  return setup;
}

WalkLimits walkLimits(std::uint64_t count, std::uint64_t firstSeed) {
  WalkLimits limits;
  limits.walks = count;
  limits.firstSeed = firstSeed;
  return limits;
}

FixedSearch randomWalkSearch(const std::string& name, const Setup& setup, std::uint64_t count,
                             std::uint64_t firstSeed) {
  return FixedSearch{name, setup, walkLimits(count, firstSeed), std::nullopt};
}

/// A negative control by random walks with a disabled defence.
FixedSearch negativeControl(const std::string& defence, Setup setup, std::uint64_t count, std::uint64_t firstSeed) {
  setup.disabledDefences.insert(defence);
  return randomWalkSearch("without-" + defence, setup, count, firstSeed);
}

/// A setup with few messages and changes, for breadth-first searches.
Setup smallSetup(int voters) {
  Setup setup = replicaSetup(voters, 0, 1);
  setup.maxPacketsInFlight = 16;
  setup.changes = 3;
  return setup;
}

BreadthFirstLimits breadthLimits(std::uint64_t states, int depth) {
  BreadthFirstLimits limits;
  limits.states = states;
  limits.depth = depth;
  return limits;
}

/// Events after which a leader is elected.
const std::vector<Choice> untilLeaderElected{Choice{ChoiceKind::run, 0, 0, 0, 2500, 0}};

FixedSearch breadthFirstSearch(const std::string& name, const Setup& setup, BreadthFirstLimits limits,
                               bool startWithLeader) {
  if (startWithLeader) limits.initialEvents = untilLeaderElected;
  return FixedSearch{name, setup, std::nullopt, limits};
}

/// Delivers the oldest message of this type from one machine to another.
Choice deliverTo(int from, int to, const Message& kind) {
  return Choice{ChoiceKind::deliver, from, to, static_cast<int>(kind.index()), 0, 0};
}

/// A search from a state in which two replicas request votes in the same term and the third has just received the first
/// of these requests. From there, a replica that sends its vote before the vote is synced, and then crashes, can vote
/// twice.
FixedSearch twoCandidates(const std::string& name, const std::set<std::string>& disabledDefences) {
  BreadthFirstLimits limits = breadthLimits(40000, 12);
  limits.drops = 0;
  limits.waits = 1;
  limits.changes = 0;
  /// After an election timeout, both candidates probe the third replica and, as it would vote for them, request votes
  /// and sync the votes for themselves. Their requests to each other are lost.
  for (int candidate : {0, 1}) limits.initialEvents.push_back(Choice{ChoiceKind::tick, candidate, 0, 0, 0, 0});
  limits.initialEvents.push_back(Choice{ChoiceKind::wait, 0, 0, 0, 1500, 0});
  for (int candidate : {0, 1}) limits.initialEvents.push_back(Choice{ChoiceKind::tick, candidate, 0, 0, 0, 0});
  for (int candidate : {0, 1}) limits.initialEvents.push_back(deliverTo(candidate, 2, VoteRequest{}));
  for (int candidate : {0, 1}) limits.initialEvents.push_back(deliverTo(2, candidate, VoteResponse{}));
  for (int candidate : {0, 1}) limits.initialEvents.push_back(Choice{ChoiceKind::sync, candidate, 0, 0, 0, 0});
  for (int candidate : {0, 1, 0, 1}) {
    Choice lost = deliverTo(candidate, 1 - candidate, VoteRequest{});
    lost.kind = ChoiceKind::drop;
    limits.initialEvents.push_back(lost);
  }
  limits.initialEvents.push_back(deliverTo(0, 2, VoteRequest{}));
  Setup setup = smallSetup(3);
  setup.disabledDefences = disabledDefences;
  return breadthFirstSearch(name, setup, limits, false);
}

std::vector<FixedSearch> makeInvariantSearches() {
  std::vector<FixedSearch> searches;
  searches.push_back(randomWalkSearch("walks-3", replicaSetup(3, 0, 1), 1200, 1));
  searches.push_back(randomWalkSearch("walks-4-and-1", replicaSetup(4, 1, 1), 400, 100001));
  searches.push_back(randomWalkSearch("walks-5", replicaSetup(5, 0, 2), 400, 200001));
  searches.push_back(randomWalkSearch("walks-snapshots", snapshotSetup(), 800, 300001));
  BreadthFirstLimits election = breadthLimits(25000, 30);
  election.changes = 0;
  searches.push_back(breadthFirstSearch("breadth-election", smallSetup(3), election, false));
  searches.push_back(twoCandidates("breadth-candidates", {}));
  BreadthFirstLimits change = breadthLimits(25000, 30);
  change.changes = 2;
  change.duplicates = 1;
  searches.push_back(breadthFirstSearch("breadth-changes", smallSetup(3), change, true));
  BreadthFirstLimits crash = breadthLimits(25000, 30);
  crash.crashes = 2;
  crash.drops = 0;
  searches.push_back(breadthFirstSearch("breadth-crashes", smallSetup(3), crash, true));
  return searches;
}

std::vector<FixedSearch> makeNegativeControls() {
  std::vector<FixedSearch> searches;
  searches.push_back(negativeControl("syncBeforeCount", replicaSetup(3, 0, 1), 2000, 1));
  searches.push_back(twoCandidates("without-syncBeforeVote", {"syncBeforeVote"}));
  searches.push_back(negativeControl("commitByThree", replicaSetup(5, 0, 2), 2000, 1));
  searches.push_back(negativeControl("jointMembers", replicaSetup(4, 1, 1), 4000, 1));
  searches.push_back(negativeControl("leaseLimits", replicaSetup(3, 0, 1), 2000, 1));
  searches.push_back(negativeControl("promiseBinds", replicaSetup(3, 0, 1), 4000, 1));
  searches.push_back(negativeControl("changeIdOnce", replicaSetup(3, 0, 1), 2000, 1));
  return searches;
}
}  // namespace

const std::vector<FixedSearch>& invariantSearches() {
  static const std::vector<FixedSearch> searches = makeInvariantSearches();
  return searches;
}

const std::vector<FixedSearch>& negativeControls() {
  static const std::vector<FixedSearch> searches = makeNegativeControls();
  return searches;
}

SearchReport runFixedSearch(const FixedSearch& search, std::size_t threads) {
  if (search.breadth) return searchBreadthFirst(search.setup, *search.breadth);
  WalkLimits limits = *search.walks;
  limits.threads = threads;
  return runRandomWalks(search.setup, limits);
}

}  // namespace tt::model
