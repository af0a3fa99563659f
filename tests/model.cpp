#include <criterion/criterion.h>

#include "fixed_sets.hpp"

using namespace tt;
using namespace tt::model;

namespace {
/// Tests share one process-wide timing with others in theirs; each test of Criterion has a process of its own.
Setup faulty(const std::string& defence) {
  Setup setup;
  setup.disabledDefences.insert(defence);
  setup.ignoredRules = {"no-majority", "refused-by-lost", "refused-in-force"};
  return setup;
}

Counterexample firstFound(const Setup& setup) {
  WalkLimits limits;
  limits.walks = 400;
  auto report = runRandomWalks(setup, limits);
  cr_assert_eq(report.found.size(), 1u);
  return report.found.front();
}

std::vector<Choice> leaderStands() { return {Choice{ChoiceKind::run, 0, 0, 0, 2500, 0}}; }
}  // namespace

Test(model, a_planted_fault_is_found_replayed_and_shortened) {
  auto found = firstFound(faulty("changeIdOnce"));
  cr_assert_eq(found.violation.rule, "change-twice");
  auto again = replay(found.run);
  cr_assert(again.has_value());
  cr_assert_eq(again->text, found.violation.text);
  Run shorter = shrink(found.run, found.violation.rule);
  cr_assert_lt(shorter.choices.size(), 20u);
  cr_assert_lt(shorter.choices.size(), found.run.choices.size());
  auto still = replay(shorter);
  cr_assert(still.has_value());
  cr_assert_eq(still->rule, "change-twice");
  for (std::size_t disabledDefences = 0; disabledDefences < shorter.choices.size(); ++disabledDefences) {
    Run fewer = shorter;
    fewer.choices.erase(fewer.choices.begin() + static_cast<std::ptrdiff_t>(disabledDefences));
    auto violation = replay(fewer);
    cr_assert(!violation || violation->rule != "change-twice", "event %zu is not needed", disabledDefences);
  }
}

Test(model, a_run_survives_being_written_and_read) {
  auto found = firstFound(faulty("leaseLimits"));
  auto read = Run::parse("# a remark\n" + found.run.text());
  cr_assert(read.has_value());
  cr_assert_eq(read.value().text(), found.run.text());
  auto again = replay(read.value());
  cr_assert(again.has_value());
  cr_assert_eq(again->text, found.violation.text);
}

Test(model, a_bad_run_is_refused_with_its_reason) {
  cr_assert_not(Run::parse("").has_value());
  cr_assert_not(Run::parse("run 5\n").has_value());
  cr_assert_eq(Run::parse("setup voters=10\n").error().subject, "voters");
  cr_assert_eq(Run::parse("setup voters=3 colour=2\n").error().subject, "colour");
  cr_assert_eq(Run::parse("setup voters=3 without=nothing\n").error().subject, "nothing");
  cr_assert_eq(Run::parse("setup voters=3\nleap 1\n").error().subject, "leap");
  cr_assert_eq(Run::parse("setup voters=3\ndeliver 1 2 NoMessage 0\n").error().subject, "NoMessage");
  cr_assert_eq(Run::parse("setup voters=3\ndeliver 1\n").error().code, Code::badField);
}

Test(model, the_same_seed_is_the_same_walk_with_any_number_of_threads) {
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

Test(model, a_state_that_is_gone_back_to_goes_on_the_same) {
  Setup setup;
  setup.applyTiming();
  ModelWorld world(setup);
  for (const auto& choice : leaderStands()) cr_assert(world.apply(choice));
  auto leading = world.leader();
  cr_assert(leading.has_value());
  auto saved = world.save();
  auto before = world.fingerprint();
  Choice change{ChoiceKind::change, *leading, 0, 0, 0, 7};
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
  cr_assert(world.past().acknowledged(0));
}

Test(model, states_that_differ_in_names_only_are_one) {
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

Test(model, a_breadth_first_search_finds_the_nearest_fault) {
  Setup setup = faulty("changeIdOnce");
  setup.maxPacketsInFlight = 16;
  BreadthFirstLimits limits;
  limits.initialEvents = leaderStands();
  limits.states = 40000;
  limits.changes = 2;
  limits.crashes = 0;
  limits.drops = 0;
  limits.waits = 0;
  auto report = searchBreadthFirst(setup, limits);
  cr_assert_eq(report.found.size(), 1u);
  cr_assert_eq(report.found.front().violation.rule, "change-twice");
  auto again = replay(report.found.front().run);
  cr_assert(again.has_value());
  cr_assert_eq(again->rule, "change-twice");
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
