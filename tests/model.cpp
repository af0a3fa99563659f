#include <criterion/criterion.h>

#include "fixed_searches.hpp"

using namespace tt;
using namespace tt::model;

namespace {
/// A setup with a disabled defence; rules that are not under test are ignored. Setups change time limits of the whole
/// process, which is safe here because Criterion runs each test in a process of its own.
Setup withoutDefence(const std::string& defence) {
  Setup setup;
  setup.disabledDefences.insert(defence);
  setup.ignoredRules = {"no-majority", "refused-by-lost", "refused-in-force"};
  return setup;
}

Counterexample findCounterexample(const Setup& setup) {
  WalkLimits limits;
  limits.walks = 400;
  auto report = runRandomWalks(setup, limits);
  cr_assert_eq(report.found.size(), 1u);
  return report.found.front();
}

std::vector<Choice> untilLeaderElected() { return {Choice{ChoiceKind::run, 0, 0, 0, 2500, 0}}; }
}  // namespace

Test(model, a_violation_is_found_replayed_and_shrunk) {
  auto found = findCounterexample(withoutDefence("changeIdOnce"));
  cr_assert_eq(found.violation.rule, "change-twice");
  auto replayed = replay(found.run);
  cr_assert(replayed.has_value());
  cr_assert_eq(replayed->text, found.violation.text);
  Run shrunk = shrink(found.run, found.violation.rule);
  cr_assert_lt(shrunk.choices.size(), 20u);
  cr_assert_lt(shrunk.choices.size(), found.run.choices.size());
  auto replayedShrunk = replay(shrunk);
  cr_assert(replayedShrunk.has_value());
  cr_assert_eq(replayedShrunk->rule, "change-twice");
  for (std::size_t removed = 0; removed < shrunk.choices.size(); ++removed) {
    Run fewer = shrunk;
    fewer.choices.erase(fewer.choices.begin() + static_cast<std::ptrdiff_t>(removed));
    auto violation = replay(fewer);
    cr_assert(!violation || violation->rule != "change-twice", "the shrunk run needs no event %zu", removed);
  }
}

Test(model, a_run_is_parsed_as_it_was_written) {
  auto found = findCounterexample(withoutDefence("leaseLimits"));
  auto read = Run::parse("# a remark\n" + found.run.text());
  cr_assert(read.has_value());
  cr_assert_eq(read.value().text(), found.run.text());
  auto replayed = replay(read.value());
  cr_assert(replayed.has_value());
  cr_assert_eq(replayed->text, found.violation.text);
}

Test(model, an_error_names_what_is_wrong_with_a_run) {
  cr_assert_not(Run::parse("").has_value());
  cr_assert_not(Run::parse("run 5\n").has_value());
  cr_assert_eq(Run::parse("setup voters=10\n").error().subject, "voters");
  cr_assert_eq(Run::parse("setup voters=3 colour=2\n").error().subject, "colour");
  cr_assert_eq(Run::parse("setup voters=3 without=nothing\n").error().subject, "nothing");
  cr_assert_eq(Run::parse("setup voters=3\nleap 1\n").error().subject, "leap");
  cr_assert_eq(Run::parse("setup voters=3\ndeliver 1 2 NoMessage 0\n").error().subject, "NoMessage");
  cr_assert_eq(Run::parse("setup voters=3\ndeliver 1\n").error().code, Code::badField);
}

Test(model, the_number_of_threads_does_not_change_the_walks) {
  Setup setup;
  setup.ignoredRules = {"no-majority", "refused-by-lost", "refused-in-force"};
  WalkLimits limits;
  limits.walks = 40;
  auto one = runRandomWalks(setup, limits);
  limits.threads = 3;
  auto three = runRandomWalks(setup, limits);
  cr_assert_eq(one.walks, 40u);
  cr_assert_eq(one.events, three.events);
  cr_assert_eq(one.found.size(), three.found.size());
}

Test(model, a_restored_state_continues_in_the_same_way) {
  Setup setup;
  setup.applyTiming();
  ModelWorld world(setup);
  for (const auto& choice : untilLeaderElected()) cr_assert(world.apply(choice));
  auto leaderNumber = world.leader();
  cr_assert(leaderNumber.has_value());
  auto saved = world.save();
  auto before = world.fingerprint();
  Choice change{ChoiceKind::change, *leaderNumber, 0, 0, 0, 7};
  Choice run{ChoiceKind::run, 0, 0, 0, 500, 7};
  cr_assert(world.apply(change));
  cr_assert(world.apply(run));
  auto after = world.fingerprint();
  cr_assert_neq(before, after);
  world.load(saved);
  cr_assert_eq(world.fingerprint(), before);
  cr_assert(world.apply(change));
  cr_assert(world.apply(run));
  cr_assert_eq(world.fingerprint(), after);
  cr_assert(world.recordedHistory().isAcknowledged(0));
}

Test(model, states_that_differ_only_in_names_have_the_same_fingerprint) {
  Setup setup;
  setup.applyTiming();
  ModelWorld world(setup);
  auto start = world.save();
  std::set<std::uint64_t> fingerprints;
  for (int number = 0; number < 3; ++number) {
    world.load(start);
    cr_assert(world.apply(Choice{ChoiceKind::kill, number, 0, 0, 0, 0}));
    fingerprints.insert(world.fingerprint());
  }
  cr_assert_eq(fingerprints.size(), 1u);
}

Test(model, a_breadth_first_search_finds_the_nearest_violation) {
  Setup setup = withoutDefence("changeIdOnce");
  setup.maxPacketsInFlight = 16;
  BreadthFirstLimits limits;
  limits.initialEvents = untilLeaderElected();
  limits.states = 40000;
  limits.changes = 2;
  limits.crashes = 0;
  limits.drops = 0;
  limits.waits = 0;
  auto report = searchBreadthFirst(setup, limits);
  cr_assert_eq(report.found.size(), 1u);
  cr_assert_eq(report.found.front().violation.rule, "change-twice");
  auto replayed = replay(report.found.front().run);
  cr_assert(replayed.has_value());
  cr_assert_eq(replayed->rule, "change-twice");
}

Test(model, disks_may_be_lost_within_the_budget_only) {
  Setup setup;
  setup.applyTiming();
  ModelWorld world(setup);
  cr_assert(world.apply(Choice{ChoiceKind::wipe, 0, 0, 0, 0, 0}));
  cr_assert_not(world.apply(Choice{ChoiceKind::wipe, 1, 0, 0, 0, 0}));
  cr_assert(world.apply(Choice{ChoiceKind::settle, 0, 0, 0, 2000, 0}));
  cr_assert_not(world.apply(Choice{ChoiceKind::wipe, 1, 0, 0, 0, 0}));
  cr_assert(world.apply(Choice{ChoiceKind::settle, 0, 0, 0, 4000, 0}));
  cr_assert(world.apply(Choice{ChoiceKind::wipe, 1, 0, 0, 0, 0}));
}
