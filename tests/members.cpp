#include "core_harness.hpp"

using namespace tt;

namespace {
const Strings four{"core-1", "core-2", "core-3", "core-4"};
}  // namespace

Test(members, three_seeds_bootstrap_and_the_fourth_core_becomes_a_voter) {
  CoreHarness harness;
  for (const char* name : {"core-1", "core-2"}) harness.start(name, true);
  harness.run(4s);
  for (const char* name : {"core-1", "core-2"})
    cr_expect_not(harness.formed(name), "two of three seeds must not bootstrap a fleet");
  harness.start("core-4", true);
  harness.run(4s);
  cr_expect_not(harness.formed("core-4"), "a core that is not a seed must not replace one");
  cr_expect_not(harness.formed("core-1"));
  harness.start("core-3", true);
  cr_assert(harness.runUntil([&] { return harness.allVote(four); }, 15s));
  std::set<std::string> ids;
  for (const auto& member : harness.membersOf("core-1")) cr_expect(ids.insert(member.id).second);
  cr_expect_eq(ids.size(), 4u);
  harness.start("core-5", false);
  cr_expect(harness.runUntil([&] { return harness.allVote({"core-1", "core-2", "core-3", "core-4", "core-5"}); }, 15s));
}

Test(members, cores_that_may_not_bootstrap_form_no_fleet) {
  CoreHarness harness;
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"}) harness.start(name, false);
  harness.run(20s);
  for (const auto& name : four) cr_expect_not(harness.formed(name), "%s", name.c_str());
  cr_expect_eq(harness.notes["formed"], 0);
}

Test(members, a_core_that_returns_with_an_empty_disk_rejoins_with_a_new_id) {
  CoreHarness harness;
  harness.formFourCores();
  auto requestId = harness.submitChange("core-2", "kept");
  cr_assert(harness.runUntil([&] { return harness.acknowledged(requestId); }, 10s));
  harness.run(1s);
  std::string oldId = harness.machines["core-1"].core->id();
  int formedBefore = harness.notes["formed"];
  for (const char* name : {"core-2", "core-3", "core-4"}) harness.stop(name);
  harness.wipe("core-1");
  harness.start("core-1", false);
  harness.run(15s);
  cr_expect_not(harness.formed("core-1"), "there is no fleet to join");
  std::string newId = harness.machines["core-1"].core->id();
  cr_expect_neq(newId, oldId);
  for (const char* name : {"core-2", "core-3", "core-4"}) harness.start(name, false);
  cr_expect(harness.runUntil([&] { return harness.allVote(four); }, 40s));
  cr_expect_not(harness.votes("core-2", oldId));
  cr_expect(harness.votes("core-2", newId));
  cr_expect_eq(harness.notes["formed"], formedBefore, "the fleet must not be bootstrapped again");
  for (const auto& name : four) cr_expect(harness.hasChange(name, "kept"), "%s", name.c_str());
}

Test(members, a_core_that_restarts_with_its_disk_keeps_its_id) {
  CoreHarness harness;
  harness.formFourCores();
  std::string id = harness.machines["core-3"].core->id();
  harness.stop("core-3");
  harness.run(2s);
  harness.start("core-3", false);
  harness.run(5s);
  cr_expect_eq(harness.machines["core-3"].core->id(), id);
  cr_expect(harness.allVote(four));
}

Test(members, a_silent_voter_is_removed_only_while_more_than_the_minimum_remain) {
  CoreHarness harness;
  harness.formFourCores();
  harness.run(1s);
  std::string first = harness.follower(), firstId = harness.machines[first].core->id();
  harness.stop(first);
  TimePoint stoppedAt = harness.now;
  std::string watcher = harness.leader();
  harness.run(5800ms);
  cr_expect_eq(harness.votersAt(watcher), 4u, "the voter was removed too early");
  cr_assert(harness.runUntil(
      [&] { return harness.votersAt(harness.leader().empty() ? watcher : harness.leader()) == 3; }, 5s));
  cr_expect(harness.now - stoppedAt >= 5900ms);
  cr_expect_not(harness.votes(harness.leader(), firstId));
  harness.run(2s);
  std::string second = harness.follower();
  harness.stop(second);
  harness.run(30s);
  cr_assert_not(harness.leader().empty(), "two of three voters are a majority");
  cr_expect_eq(harness.votersAt(harness.leader()), 3u, "the minimum number of voters must remain");
  auto requestId = harness.submitChange(harness.leader(), "late");
  cr_expect(harness.runUntil([&] { return harness.acknowledged(requestId); }, 10s),
            "after %s and %s stopped the change was not acknowledged, code %d:%s", first.c_str(), second.c_str(),
            harness.replies.count(requestId) ? harness.replies[requestId].code : -1, harness.describe().c_str());
}

Test(members, a_voter_that_is_heard_again_in_time_is_not_removed) {
  CoreHarness harness;
  harness.formFourCores();
  harness.run(1s);
  std::string absent = harness.follower();
  for (int round = 0; round < 4; ++round) {
    harness.isolated = {absent};
    harness.run(5s);
    harness.isolated.clear();
    harness.run(2s);
    cr_expect_eq(harness.votersAt(harness.leader()), 4u);
  }
  cr_expect_eq(harness.notes["core replaced"], 0);
}

Test(members, without_a_removal_timeout_no_voter_is_removed) {
  CoreHarness harness;
  timing.memberRemovalTimeout = Duration(0);
  harness.formFourCores();
  std::string removedCore = harness.follower();
  harness.stop(removedCore);
  harness.run(30s);
  cr_expect_eq(harness.votersAt(harness.leader()), 4u);
}

namespace {
/// Which core is unreachable while a change is acknowledged: none, one that lags behind, or one that has been removed
/// from the members.
enum class AbsentCore { none, behind, removed };
/// Guards against losing an acknowledged change: after each acknowledgement one disk is wiped and the other processes
/// restart, so only disks that synced the change can restore it.
void wipeOneAndRestartTheOthers(AbsentCore how, std::uint64_t seed) {
  CoreHarness harness(seed);
  harness.formFourCores();
  Strings acknowledgedChanges;
  for (int round = 0; round < 3; ++round) {
    std::string absent;
    if (how != AbsentCore::none) {
      absent = four[harness.randomSource() % 4];
      harness.isolated = {absent};
      cr_assert(harness.runUntil([&] { return !harness.leader().empty() && harness.leader() != absent; }, 15s));
      if (how == AbsentCore::removed)
        cr_assert(harness.runUntil(
            [&] {
              return !harness.leader().empty() && harness.leader() != absent && harness.votersAt(harness.leader()) == 3;
            },
            15s));
    }
    std::string name = "change-" + std::to_string(round), target = harness.leader();
    for (const auto& other : four)
      if (other != absent && harness.randomSource() % 2) target = other;
    auto requestId = harness.submitChange(target, name);
    cr_assert(harness.runUntil([&] { return harness.acknowledged(requestId); }, 15s), "seed %d round %d",
              static_cast<int>(seed), round);
    acknowledgedChanges.push_back(name);
    std::string wiped;
    do wiped = four[harness.randomSource() % 4];
    while (wiped == absent);
    harness.wipe(wiped);
    for (const auto& other : four)
      if (other != wiped) harness.stop(other);
    harness.isolated.clear();
    harness.run(std::chrono::milliseconds(harness.randomSource() % 2000));
    for (const auto& other : four) harness.start(other, false);
    cr_assert(harness.runUntil([&] { return harness.allVote(four) && !harness.leader().empty(); }, 60s),
              "seed %d round %d, %s unreachable, %s wiped:%s", static_cast<int>(seed), round, absent.c_str(),
              wiped.c_str(), harness.describe().c_str());
    harness.run(2s);
    for (const auto& known : acknowledgedChanges)
      for (const auto& other : four)
        cr_expect(harness.hasChange(other, known), "seed %d round %d: %s lacks %s", static_cast<int>(seed), round,
                  other.c_str(), known.c_str());
  }
}
}  // namespace

Test(members, an_acknowledged_change_survives_a_wiped_disk_and_a_restart_of_the_others) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) wipeOneAndRestartTheOthers(AbsentCore::none, seed);
}

Test(members, an_acknowledged_change_survives_a_wiped_disk_while_one_replica_lags_behind) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) wipeOneAndRestartTheOthers(AbsentCore::behind, seed);
}

Test(members, an_acknowledged_change_survives_a_wiped_disk_after_a_voter_was_removed) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) wipeOneAndRestartTheOthers(AbsentCore::removed, seed);
}

Test(members, a_removed_voter_stays_removed_when_the_others_restart) {
  for (bool wipes : {false, true}) {
    CoreHarness harness;
    harness.formFourCores();
    std::string removedCore = harness.follower();
    harness.stop(removedCore);
    cr_assert(
        harness.runUntil([&] { return !harness.leader().empty() && harness.votersAt(harness.leader()) == 3; }, 15s));
    auto requestId = harness.submitChange(harness.leader(), "kept");
    cr_assert(harness.runUntil([&] { return harness.acknowledged(requestId); }, 10s));
    harness.run(2s);
    std::string lost = harness.follower();
    for (const auto& name : four)
      if (name != removedCore) harness.stop(name);
    if (wipes) harness.wipe(lost);
    for (const auto& name : four)
      if (name != removedCore && (wipes || name != lost)) harness.start(name, false);
    harness.run(20s);
    cr_expect_not(harness.leader().empty(), "two of three voters run with their disks");
    for (const auto& name : four)
      if (name != removedCore && name != lost)
        cr_expect(harness.hasChange(name, "kept"), "%s lacks the change; %s was removed and %s is down:%s",
                  name.c_str(), removedCore.c_str(), lost.c_str(), harness.describe().c_str());
  }
}

Test(members, a_removed_voter_that_returns_with_its_disk_votes_again) {
  for (bool restarts : {false, true}) {
    CoreHarness harness;
    harness.formFourCores();
    std::string absent = harness.follower();
    if (restarts)
      harness.stop(absent);
    else
      harness.isolated = {absent};
    cr_assert(
        harness.runUntil([&] { return !harness.leader().empty() && harness.votersAt(harness.leader()) == 3; }, 15s));
    harness.run(2s);
    harness.isolated.clear();
    if (restarts) harness.start(absent, false);
    cr_expect(harness.runUntil([&] { return harness.allVote(four); }, 30s), "%s returned but does not vote:%s",
              absent.c_str(), harness.describe().c_str());
  }
}

Test(members, losing_more_disks_than_the_fault_budget_stops_commits) {
  CoreHarness harness;
  harness.formFourCores();
  auto requestId = harness.submitChange("core-1", "kept");
  cr_assert(harness.runUntil([&] { return harness.acknowledged(requestId); }, 10s));
  for (const auto& name : four) harness.stop(name);
  for (const char* name : {"core-2", "core-3", "core-4"}) harness.wipe(name);
  for (const auto& name : four) harness.start(name, false);
  harness.run(30s);
  cr_expect(harness.leader().empty(), "one disk of four must not elect a leader");
  auto late = harness.submitChange("core-1", "late");
  harness.run(10s);
  cr_expect_not(harness.acknowledged(late));
}
