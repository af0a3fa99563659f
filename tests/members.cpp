#include "core_bench.hpp"

using namespace tt;

namespace {
const Strings four{"core-1", "core-2", "core-3", "core-4"};
}  // namespace

Test(members, three_seeds_form_and_the_fourth_joins_with_a_vote) {
  CoreBench bench;
  for (const char* name : {"core-1", "core-2"}) bench.start(name, true);
  bench.run(4s);
  for (const char* name : {"core-1", "core-2"}) cr_expect_not(bench.formed(name), "two of three seeds do not form");
  bench.start("core-4", true);
  bench.run(4s);
  cr_expect_not(bench.formed("core-4"), "the fourth is no seed and does not stand in for one");
  cr_expect_not(bench.formed("core-1"));
  bench.start("core-3", true);
  cr_assert(bench.runUntil([&] { return bench.allVote(four); }, 15s));
  std::set<std::string> ids;
  for (const auto& member : bench.membersOf("core-1")) cr_expect(ids.insert(member.id).second);
  cr_expect_eq(ids.size(), 4u);
  bench.start("core-5", false);
  cr_expect(bench.runUntil([&] { return bench.allVote({"core-1", "core-2", "core-3", "core-4", "core-5"}); }, 15s));
}

Test(members, none_form_where_none_may) {
  CoreBench bench;
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"}) bench.start(name, false);
  bench.run(20s);
  for (const auto& name : four) cr_expect_not(bench.formed(name), "%s", name.c_str());
  cr_expect_eq(bench.notes["formed"], 0);
}

Test(members, one_that_comes_back_empty_waits_for_the_others_and_joins_as_another) {
  CoreBench bench;
  bench.formFour();
  auto requestId = bench.ask("core-2", "kept");
  cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 10s));
  bench.run(1s);
  std::string oldId = bench.machines["core-1"].core->id();
  int formedBefore = bench.notes["formed"];
  for (const char* name : {"core-2", "core-3", "core-4"}) bench.stop(name);
  bench.wipe("core-1");
  bench.start("core-1", false);
  bench.run(15s);
  cr_expect_not(bench.formed("core-1"), "alone it has nothing to join");
  std::string newId = bench.machines["core-1"].core->id();
  cr_expect_neq(newId, oldId);
  for (const char* name : {"core-2", "core-3", "core-4"}) bench.start(name, false);
  cr_expect(bench.runUntil([&] { return bench.allVote(four); }, 40s));
  cr_expect_not(bench.votes("core-2", oldId));
  cr_expect(bench.votes("core-2", newId));
  cr_expect_eq(bench.notes["formed"], formedBefore, "nothing is formed a second time");
  for (const auto& name : four) cr_expect(bench.has(name, "kept"), "%s", name.c_str());
}

Test(members, one_that_restarts_with_its_disk_is_the_same) {
  CoreBench bench;
  bench.formFour();
  std::string id = bench.machines["core-3"].core->id();
  bench.stop("core-3");
  bench.run(2s);
  bench.start("core-3", false);
  bench.run(5s);
  cr_expect_eq(bench.machines["core-3"].core->id(), id);
  cr_expect(bench.allVote(four));
}

Test(members, a_silent_voter_is_taken_out_only_while_more_than_the_least_stay) {
  CoreBench bench;
  bench.formFour();
  bench.run(1s);
  std::string first = bench.follower(), firstId = bench.machines[first].core->id();
  bench.stop(first);
  TimePoint stoppedAt = bench.now;
  std::string watcher = bench.leader();
  bench.run(5800ms);
  cr_expect_eq(bench.votersAt(watcher), 4u, "not before its time");
  cr_assert(bench.runUntil([&] { return bench.votersAt(bench.leader().empty() ? watcher : bench.leader()) == 3; }, 5s));
  cr_expect(bench.now - stoppedAt >= 5900ms);
  cr_expect_not(bench.votes(bench.leader(), firstId));
  bench.run(2s);
  std::string second = bench.follower();
  bench.stop(second);
  bench.run(30s);
  cr_assert_not(bench.leader().empty(), "two of three still agree");
  cr_expect_eq(bench.votersAt(bench.leader()), 3u, "the least stay");
  auto requestId = bench.ask(bench.leader(), "late");
  cr_expect(bench.runUntil([&] { return bench.acknowledged(requestId); }, 10s), "%s and then %s stopped, code %d:%s",
            first.c_str(), second.c_str(), bench.replies.count(requestId) ? bench.replies[requestId].code : -1,
            bench.told().c_str());
}

Test(members, a_voter_that_is_heard_again_in_time_stays) {
  CoreBench bench;
  bench.formFour();
  bench.run(1s);
  std::string away = bench.follower();
  for (int round = 0; round < 4; ++round) {
    bench.cutOff = {away};
    bench.run(5s);
    bench.cutOff.clear();
    bench.run(2s);
    cr_expect_eq(bench.votersAt(bench.leader()), 4u);
  }
  cr_expect_eq(bench.notes["core replaced"], 0);
}

Test(members, with_no_span_set_none_is_taken_out) {
  CoreBench bench;
  timing.memberRemovalTimeout = Duration(0);
  bench.formFour();
  std::string gone = bench.follower();
  bench.stop(gone);
  bench.run(30s);
  cr_expect_eq(bench.votersAt(bench.leader()), 4u);
}

namespace {
enum class Away { none, behind, takenOut };
void wipeOneAndRestartTheOthers(Away how, std::uint64_t seed) {
  CoreBench bench(seed);
  bench.formFour();
  Strings acked;
  for (int round = 0; round < 3; ++round) {
    std::string away;
    if (how != Away::none) {
      away = four[bench.randomSource() % 4];
      bench.cutOff = {away};
      cr_assert(bench.runUntil([&] { return !bench.leader().empty() && bench.leader() != away; }, 15s));
      if (how == Away::takenOut)
        cr_assert(bench.runUntil(
            [&] { return !bench.leader().empty() && bench.leader() != away && bench.votersAt(bench.leader()) == 3; },
            15s));
    }
    std::string name = "change-" + std::to_string(round), asked = bench.leader();
    for (const auto& other : four)
      if (other != away && bench.randomSource() % 2) asked = other;
    auto requestId = bench.ask(asked, name);
    cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 15s), "seed %d round %d",
              static_cast<int>(seed), round);
    acked.push_back(name);
    std::string wiped;
    do wiped = four[bench.randomSource() % 4];
    while (wiped == away);
    bench.wipe(wiped);
    for (const auto& other : four)
      if (other != wiped) bench.stop(other);
    bench.cutOff.clear();
    bench.run(std::chrono::milliseconds(bench.randomSource() % 2000));
    for (const auto& other : four) bench.start(other, false);
    cr_assert(bench.runUntil([&] { return bench.allVote(four) && !bench.leader().empty(); }, 60s),
              "seed %d round %d, %s away, %s wiped:%s", static_cast<int>(seed), round, away.c_str(), wiped.c_str(),
              bench.told().c_str());
    bench.run(2s);
    for (const auto& known : acked)
      for (const auto& other : four)
        cr_expect(bench.has(other, known), "seed %d round %d: %s lacks %s", static_cast<int>(seed), round,
                  other.c_str(), known.c_str());
  }
}
}  // namespace

Test(members, an_acknowledged_change_outlives_a_wiped_disk_and_a_restart_of_the_others) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) wipeOneAndRestartTheOthers(Away::none, seed);
}

Test(members, an_acknowledged_change_outlives_a_wiped_disk_while_one_lags_behind) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) wipeOneAndRestartTheOthers(Away::behind, seed);
}

Test(members, an_acknowledged_change_outlives_a_wiped_disk_after_one_was_taken_out) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) wipeOneAndRestartTheOthers(Away::takenOut, seed);
}

Test(members, one_taken_out_stays_out_when_the_others_restart) {
  for (bool wipes : {false, true}) {
    CoreBench bench;
    bench.formFour();
    std::string gone = bench.follower();
    bench.stop(gone);
    cr_assert(bench.runUntil([&] { return !bench.leader().empty() && bench.votersAt(bench.leader()) == 3; }, 15s));
    auto requestId = bench.ask(bench.leader(), "kept");
    cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 10s));
    bench.run(2s);
    std::string lost = bench.follower();
    for (const auto& name : four)
      if (name != gone) bench.stop(name);
    if (wipes) bench.wipe(lost);
    for (const auto& name : four)
      if (name != gone && (wipes || name != lost)) bench.start(name, false);
    bench.run(20s);
    cr_expect_not(bench.leader().empty(), "two of three voters are up with their disks");
    for (const auto& name : four)
      if (name != gone && name != lost)
        cr_expect(bench.has(name, "kept"), "%s, %s was taken out and %s is away:%s", name.c_str(), gone.c_str(),
                  lost.c_str(), bench.told().c_str());
  }
}

Test(members, one_that_was_taken_out_and_comes_back_with_its_disk_gets_its_vote_again) {
  for (bool restarts : {false, true}) {
    CoreBench bench;
    bench.formFour();
    std::string away = bench.follower();
    if (restarts)
      bench.stop(away);
    else
      bench.cutOff = {away};
    cr_assert(bench.runUntil([&] { return !bench.leader().empty() && bench.votersAt(bench.leader()) == 3; }, 15s));
    bench.run(2s);
    bench.cutOff.clear();
    if (restarts) bench.start(away, false);
    cr_expect(bench.runUntil([&] { return bench.allVote(four); }, 30s), "%s came back:%s", away.c_str(),
              bench.told().c_str());
  }
}

Test(members, all_disks_but_the_budget_are_needed_to_go_on) {
  CoreBench bench;
  bench.formFour();
  auto requestId = bench.ask("core-1", "kept");
  cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 10s));
  for (const auto& name : four) bench.stop(name);
  for (const char* name : {"core-2", "core-3", "core-4"}) bench.wipe(name);
  for (const auto& name : four) bench.start(name, false);
  bench.run(30s);
  cr_expect(bench.leader().empty(), "one disk of four agrees nothing by itself");
  auto late = bench.ask("core-1", "late");
  bench.run(10s);
  cr_expect_not(bench.acknowledged(late));
}
