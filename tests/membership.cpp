#include "core_bench.hpp"
#include "members.hpp"

using namespace tt;

namespace {
/// The control machines of one deployment, and what its settings tell.
struct Deployment {
  int count;
  std::size_t budget;
  Duration contact, catchUp;
};
const Deployment small{4, 1, 3s, 4s}, grownFive{5, 2, 4s, 6s}, grownEight{8, 2, 4s, 6s};
const std::vector<Deployment> deployments{small, grownFive, grownEight};

enum class Successor { sameAddress, sameName, otherName };
const std::vector<Successor> successors{Successor::sameAddress, Successor::sameName, Successor::otherName};
const char* nameOf(Successor kind) {
  return kind == Successor::sameAddress ? "at the same address"
         : kind == Successor::sameName  ? "of the same name"
                                        : "of another name";
}

struct DeploymentBench : CoreBench {
  Deployment deployment;
  int spares{0};
  Strings acked;
  DeploymentBench(const Deployment& which, std::uint64_t seed) : CoreBench(seed, which.count), deployment(which) {
    timing.setMembershipTimeouts(which.contact, which.catchUp, which.budget);
    formAll();
    run(1s);
  }
  Strings living() const {
    Strings rows;
    for (const auto& [name, machine] : machines)
      if (machine.alive) rows.push_back(name);
    return rows;
  }
  std::string drawLiving(const Strings& except = {}) {
    auto rows = living();
    rows.erase(std::remove_if(rows.begin(), rows.end(),
                              [&](const std::string& name) {
                                return std::find(except.begin(), except.end(), name) != except.end();
                              }),
               rows.end());
    return rows[randomSource() % rows.size()];
  }
  /// Three of those that live, as the list that a successor's settings are written from still shows them.
  void drawSeeds() {
    Strings drawn;
    while (drawn.size() < 3) drawn.push_back(drawLiving(drawn));
    seeds.clear();
    for (const auto& name : drawn) seeds.push_back(machines.at(name).address);
  }
  /// A machine goes for good; returns the empty one that is started in its stead.
  std::string replace(const std::string& gone, Successor kind) {
    drawSeeds();
    wipe(gone);
    std::string name = gone;
    if (kind != Successor::sameAddress) {
      name = "spare-" + std::to_string(++spares);
      addMachine(name, kind == Successor::sameName ? machines.at(gone).nodeName : name);
      machines.erase(gone);
    }
    start(name, false);
    return name;
  }
  std::size_t votersNow() const {
    auto who = leader();
    return who.empty() ? 0 : votersAt(who);
  }
  void change(const std::string& name, const std::string& askedOf = {}) {
    auto requestId = ask(askedOf.empty() ? leader() : askedOf, name);
    cr_assert(runUntil([&] { return acknowledged(requestId); }, 20s), "%s:%s", name.c_str(), told().c_str());
    acked.push_back(name);
  }
  /// All processes die at once, with what they have not synced; some never come back.
  void powerLossWithout(const Strings& lost) {
    auto rows = living();
    for (const auto& name : rows) stop(name);
    due.clear();
    run(std::chrono::milliseconds(randomSource() % 900));
    for (const auto& name : rows)
      if (std::find(lost.begin(), lost.end(), name) == lost.end()) start(name, false);
  }
  void expectAllKept(const std::string& when) {
    bool leads = runUntil([&] { return !leader().empty(); }, 20s);
    cr_expect(leads, "%s: no majority:%s", when.c_str(), told().c_str());
    if (!leads) return;
    change("probe-" + std::to_string(++askCount));
    for (const auto& name : acked) cr_expect(has(leader(), name), "%s: %s is lost", when.c_str(), name.c_str());
  }
  std::string label(Successor kind, std::uint64_t seed) const {
    return std::to_string(deployment.count) + " machines, successor " + nameOf(kind) + ", seed " + std::to_string(seed);
  }
};
}  // namespace

Test(membership, a_replacement_never_raises_the_number_of_voters) {
  for (const auto& deployment : deployments)
    for (auto kind : {Successor::sameAddress, Successor::sameName}) {
      DeploymentBench bench(deployment, 1);
      std::size_t most = 0;
      bench.watch = [&] { most = std::max(most, bench.votersNow()); };
      auto gone = bench.follower();
      bench.replace(gone, kind);
      bench.run(3 * deployment.catchUp);
      bench.watch = nullptr;
      cr_expect_eq(most, static_cast<std::size_t>(deployment.count), "%s: %zu voters in passing",
                   bench.label(kind, 1).c_str(), most);
      cr_expect(bench.allVote(bench.names()), "%s:%s", bench.label(kind, 1).c_str(), bench.told().c_str());
    }
}

Test(membership, a_replacement_is_done_within_the_time_that_a_new_machine_has) {
  for (const auto& deployment : deployments)
    for (auto kind : successors)
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DeploymentBench bench(deployment, seed);
        auto gone = bench.drawLiving();
        bench.replace(gone, kind);
        TimePoint startedAt = bench.now;
        bool done = bench.runUntil([&] { return bench.allVote(bench.names()); }, 3 * deployment.catchUp);
        auto took = toMilliseconds(bench.now - startedAt);
        cr_log_info("%s: %lld ms", bench.label(kind, seed).c_str(), static_cast<long long>(took));
        cr_expect(done && took <= toMilliseconds(deployment.catchUp), "%s: %lld ms%s", bench.label(kind, seed).c_str(),
                  static_cast<long long>(took), done ? "" : bench.told().c_str());
      }
}

Test(membership, a_second_loss_is_borne_once_the_successor_has_had_its_time) {
  for (const auto& deployment : deployments)
    for (auto kind : successors)
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DeploymentBench bench(deployment, seed);
        for (std::size_t at = 0; at < deployment.budget; ++at) bench.replace(bench.drawLiving(), kind);
        bench.run(deployment.catchUp);
        if (!bench.leader().empty()) bench.change("before");
        Strings lost;
        while (lost.size() < deployment.budget)
          lost.push_back(lost.empty() && !bench.leader().empty() ? bench.leader() : bench.drawLiving(lost));
        bench.powerLossWithout(lost);
        bench.expectAllKept(bench.label(kind, seed));
      }
}

Test(membership, losses_one_after_another_are_borne_for_as_long_as_each_is_repaired) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      DeploymentBench bench(deployment, seed);
      for (int round = 0; round < 6; ++round) {
        auto kind = successors[bench.randomSource() % successors.size()];
        for (std::size_t at = 0; at < deployment.budget; ++at) bench.replace(bench.drawLiving(), kind);
        bench.run(deployment.catchUp);
        bench.change("round-" + std::to_string(round), bench.drawLiving());
      }
      bench.expectAllKept(bench.label(Successor::sameName, seed));
    }
}

Test(membership, a_repair_that_the_leader_calls_done_holds_without_the_leader) {
  for (const auto& deployment : deployments)
    for (auto kind : successors)
      for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        DeploymentBench bench(deployment, seed);
        bench.replace(bench.follower(), kind);
        auto done = [&] {
          auto who = bench.leader();
          if (who.empty()) return false;
          const auto& log = bench.machines.at(who).core->consensusLog();
          if (log.commit() != log.logEnd() || bench.votersAt(who) != bench.names().size()) return false;
          for (const auto& name : bench.names())
            if (!bench.votes(who, bench.machines.at(name).core->id())) return false;
          return true;
        };
        cr_assert(bench.runUntil(done, 30s), "%s:%s", bench.label(kind, seed).c_str(), bench.told().c_str());
        Strings lost{bench.leader()};
        while (lost.size() < deployment.budget) lost.push_back(bench.drawLiving(lost));
        bench.powerLossWithout(lost);
        bench.expectAllKept(bench.label(kind, seed));
      }
}

Test(membership, a_successor_that_is_itself_lost_leaves_a_majority) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      DeploymentBench bench(deployment, seed);
      auto kind = successors[seed % successors.size()];
      bench.change("first");
      auto successor = bench.replace(bench.follower(), kind);
      bench.run(std::chrono::milliseconds(bench.randomSource() %
                                          static_cast<std::uint64_t>(toMilliseconds(deployment.catchUp))));
      bench.replace(successor, kind);
      bench.run(std::chrono::milliseconds(bench.randomSource() % 400));
      bench.change("second", bench.drawLiving());
      bench.run(2 * deployment.catchUp);
      bench.expectAllKept(bench.label(kind, seed));
      bench.run(deployment.catchUp);
      cr_expect(bench.allVote(bench.names()), "%s:%s", bench.label(kind, seed).c_str(), bench.told().c_str());
    }
}

Test(membership, a_replacement_during_a_loss_of_power_of_all_leaves_a_majority) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      DeploymentBench bench(deployment, seed);
      auto kind = successors[seed % successors.size()];
      bench.change("first");
      for (std::size_t at = 0; at < deployment.budget; ++at) bench.replace(bench.drawLiving(), kind);
      bench.run(std::chrono::milliseconds(bench.randomSource() % 1500));
      bench.powerLossWithout({});
      bench.run(std::chrono::milliseconds(bench.randomSource() % 1500));
      bench.powerLossWithout({});
      bench.expectAllKept(bench.label(kind, seed));
      bench.run(deployment.catchUp);
      cr_expect(bench.allVote(bench.names()), "%s:%s", bench.label(kind, seed).c_str(), bench.told().c_str());
    }
}

Test(membership, as_many_as_may_be_lost_at_once_go_for_good_and_the_rest_goes_on) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      DeploymentBench bench(deployment, seed);
      bench.change("first", bench.drawLiving());
      Strings lost;
      while (lost.size() < deployment.budget) lost.push_back(bench.drawLiving(lost));
      if (seed % 2) {
        for (const auto& name : lost) bench.stop(name);
      } else {
        bench.powerLossWithout(lost);
      }
      bench.change("second", bench.drawLiving());
      bench.run(timing.memberRemovalTimeout + 1s);
      bench.powerLossWithout({});
      bench.expectAllKept(bench.label(Successor::sameAddress, seed));
    }
}

Test(membership, one_taken_out_comes_back_with_its_disk_and_votes_within_the_time_that_it_has) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      DeploymentBench bench(deployment, seed);
      auto away = bench.drawLiving();
      if (seed % 2)
        bench.cutOff = {away};
      else
        bench.stop(away);
      bench.run(20s);
      bench.change("meanwhile");
      bench.cutOff.clear();
      if (seed % 2 == 0) bench.start(away, false);
      TimePoint backAt = bench.now;
      bool back = bench.runUntil([&] { return bench.allVote(bench.names()); }, 3 * deployment.catchUp);
      cr_expect(back && bench.now - backAt <= deployment.catchUp, "%s: %lld ms%s",
                bench.label(Successor::sameAddress, seed).c_str(),
                static_cast<long long>(toMilliseconds(bench.now - backAt)), back ? "" : bench.told().c_str());
    }
}

Test(membership, a_leader_that_leaves_hands_the_lead_over_at_once) {
  std::vector<std::int64_t> gaps;
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      DeploymentBench bench(deployment, seed);
      auto leaves = bench.leader();
      bench.with(bench.machines.at(leaves), [](Effects& effects, Core& core) { core.resign(effects); });
      TimePoint leftAt = bench.now;
      cr_assert(bench.runUntil(
          [&] {
            auto who = bench.leader();
            return !who.empty() && who != leaves && bench.machines.at(who).core->consensusLog().hasCommittedInTerm();
          },
          20s));
      gaps.push_back(toMilliseconds(bench.now - leftAt));
    }
  std::sort(gaps.begin(), gaps.end());
  cr_log_info("hand-over: median %lld ms, most %lld ms of %zu", static_cast<long long>(gaps[gaps.size() / 2]),
              static_cast<long long>(gaps.back()), gaps.size());
  cr_expect(gaps.back() <= 100, "the longest gap was %lld ms", static_cast<long long>(gaps.back()));
}

Test(membership, one_that_leaves_waits_until_what_it_holds_rests_on_enough_other_disks) {
  for (const auto& deployment : {grownFive, small}) {
    DeploymentBench bench(deployment, 3);
    auto leaves = bench.follower();
    std::size_t quorum = static_cast<std::size_t>(deployment.count) / 2 + 1;
    std::size_t away = static_cast<std::size_t>(deployment.count) - quorum;
    Strings kept{leaves, bench.leader()};
    while (bench.cutOff.size() < away) bench.cutOff.insert(bench.drawLiving(kept));
    bench.change("on-a-bare-majority", bench.leader());
    auto& core = *bench.machines.at(leaves).core;
    bench.with(bench.machines.at(leaves), [](Effects& effects, Core& leaving) { leaving.resign(effects); });
    bench.run(1s);
    bool enough = quorum - 1 >= timing.copiesLeast();
    cr_expect_eq(core.safeToStop(), enough, "%d machines", deployment.count);
    auto requestId = bench.ask(bench.leader(), "after");
    bench.run(2s);
    cr_expect_not(bench.acknowledged(requestId), "one that leaves counts for no copy");
    bench.cutOff.clear();
    bench.run(500ms);
    cr_expect(core.safeToStop(), "%d machines", deployment.count);
    cr_expect(bench.runUntil([&] { return bench.acknowledged(requestId); }, 10s));
  }
}

namespace {
/// One replica's log, whose fellows are played by hand.
struct HandDrivenLog {
  TimingGuard kept;
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource{7};
  Journal journal;
  Member self;
  ReplicatedLog log;
  std::vector<std::pair<std::string, Message>> sent;

  HandDrivenLog(const std::string& id, const std::vector<std::vector<Member>>& membersInOrder)
      : self(member(id)), log(self, 1 << 20) {
    RecoveredState disk;
    disk.identity = id;
    disk.votes["accord"] = Vote{1, {}};
    Uint64 index = 0;
    for (const auto& members : membersInOrder)
      disk.entries.push_back(LogEntry{++index, 1, static_cast<int>(EntryKind::members), encodeMembers(members), {}, 0});
    log.restore(disk, now);
  }
  static Member member(const std::string& id) { return Member{id, id, id + ":1", "north-a", true}; }
  static std::vector<Member> voters(const Strings& ids) {
    std::vector<Member> rows;
    for (const auto& id : ids) rows.push_back(member(id));
    return rows;
  }
  void with(const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, journal, {}, {}};
    action(effects);
    for (auto& mail : effects.sends) sent.push_back(std::move(mail));
    for (auto& save : effects.saves)
      if (save.then) with(save.then);
  }
  void tick(Duration span) {
    for (TimePoint until = now + span; now < until; now += 10ms) with([&](Effects& effects) { log.tick(effects); });
  }
  void handle(const std::string& from, const Message& message) {
    with([&](Effects& effects) { log.handle(effects, from + ":1", message); });
  }
  /// Stands, with these granting each ballot, and says whether it wins.
  bool stands(const Strings& granting) {
    for (int round = 0; round < 400 && !log.election.won(); ++round) {
      tick(10ms);
      bool probing = log.election.state() == "probing", asking = log.election.state() == "asking";
      for (const auto& id : granting)
        if (probing || asking) handle(id, VoteResponse{"accord", log.election.term(), id, probing, true});
    }
    return log.election.won();
  }
  void acknowledge(const std::string& id, Uint64 index) {
    handle(id, AppendResponse{log.election.term(), id, true, index});
  }
  void renew(const std::string& id) {
    handle(id, HeartbeatResponse{"accord", log.election.term(), id, toNanoseconds(now), true});
  }
};
const std::vector<Member> before = HandDrivenLog::voters({"a", "b", "c", "d", "f"});
const std::vector<Member> after = HandDrivenLog::voters({"a", "b", "c", "e", "f"});
}  // namespace

Test(membership, no_two_lead_in_one_term_while_a_replacement_is_passing) {
  HandDrivenLog ahead("a", {before, after}), behind("f", {before});
  cr_expect(behind.stands({"c", "d"}), "three of the five of before");
  cr_expect_not(ahead.stands({"b", "e"}), "three of the five of after, none of whom the others need");
  HandDrivenLog joint("a", {before, after});
  cr_expect(joint.stands({"b", "c", "e"}), "three of before and of after");
}

Test(membership, a_lease_rests_on_both_majorities_while_a_replacement_is_passing) {
  HandDrivenLog log("a", {before, after});
  cr_assert(log.stands({"b", "c", "d", "e", "f"}));
  log.tick(2s);
  for (const char* id : {"b", "e"}) log.renew(id);
  cr_expect_not(log.log.leads(log.now), "three of after, two of before");
  log.renew("d");
  cr_expect(log.log.leads(log.now));
}

Test(membership, what_follows_a_passing_replacement_is_agreed_by_both_majorities) {
  HandDrivenLog log("a", {before, after});
  cr_assert(log.stands({"b", "c", "d", "e", "f"}));
  for (const char* id : {"b", "e"}) log.acknowledge(id, 3);
  for (const char* id : {"c", "d"}) log.acknowledge(id, 2);
  cr_expect_eq(log.log.commit(), 0u,
               "of before only two have an entry of this term: a leader of three others might write over all of it");
  log.acknowledge("d", 3);
  cr_expect_eq(log.log.commit(), 3u);
}

Test(membership, what_precedes_a_passing_change_of_members_is_agreed_by_both_majorities) {
  HandDrivenLog log("a", {HandDrivenLog::voters({"a", "b", "c", "d"})});
  timing.setMembershipTimeouts(3s, 4s, 1);
  cr_assert(log.stands({"b", "c", "d"}));
  for (const char* id : {"b", "c", "d"}) log.acknowledge(id, 2);
  cr_assert_eq(log.log.commit(), 2u);
  ChangeRequest change;
  change.requestId = change.changeId = "x";
  change.body = R"({"weights":{"x":{"model":"moss"}}})";
  change.ifRevision = -1;
  for (const char* id : {"b", "c", "d"}) log.renew(id);
  log.with([&](Effects& effects) { log.log.proposeChange(effects, "operator", change); });
  cr_assert_eq(log.log.logEnd(), 3u);
  for (int round = 0; round < 100 && log.log.members().size() == 4; ++round) {
    log.tick(100ms);
    for (const char* id : {"b", "c"}) {
      log.renew(id);
      log.acknowledge(id, 2);
    }
  }
  cr_assert_eq(log.log.members().size(), 3u, "d is taken out");
  log.acknowledge("b", 4);
  cr_expect_eq(log.log.commit(), 2u, "the change is on two of the four of before");
  log.acknowledge("c", 4);
  cr_expect_geq(log.log.commit(), 4u);
}

Test(membership, a_leader_that_stood_still_takes_nobody_for_silent) {
  HandDrivenLog log("a", {HandDrivenLog::voters({"a", "b", "c", "d"})});
  timing.setMembershipTimeouts(3s, 4s, 1);
  cr_assert(log.stands({"b", "c", "d"}));
  for (const char* id : {"b", "c", "d"}) log.acknowledge(id, 2);
  log.tick(20ms);
  log.now += timing.memberRemovalTimeout + 200ms;
  for (const char* id : {"b", "c"}) log.renew(id);
  log.tick(20ms);
  cr_expect(log.log.leads(log.now));
  cr_expect_eq(log.log.members().size(), 4u, "b and c answered, and d's silence was not listened to");
}

Test(membership, one_that_does_not_know_yet_that_it_votes_grants_a_ballot) {
  auto rows = HandDrivenLog::voters({"a", "b", "c"});
  rows.push_back(HandDrivenLog::member("e"));
  rows.back().votes = false;
  HandDrivenLog log("e", {rows});
  log.tick(2s);
  log.handle("a", VoteRequest{"accord", 5, "a", false, 1, 2});
  bool granted = false;
  for (const auto& [to, message] : log.sent)
    if (auto* reply = std::get_if<VoteResponse>(&message)) granted = granted || (to == "a:1" && reply->granted);
  cr_expect(granted, "whoever asks knows who votes; the log and the term decide");
}

Test(membership, after_a_restart_a_settled_replacement_needs_none_of_the_voters_of_before) {
  auto other = HandDrivenLog::voters({"a", "g", "h", "e", "f"});
  HandDrivenLog settled("a", {before, other, other}), passing("a", {before, other});
  cr_expect(settled.stands({"g", "e"}));
  cr_expect_not(passing.stands({"g", "e"}));
}

Test(membership, a_learner_that_lacks_an_agreed_entry_gets_no_vote) {
  auto rows = HandDrivenLog::voters({"a", "b", "c", "d"});
  rows.push_back(HandDrivenLog::member("e"));
  rows.back().votes = false;
  HandDrivenLog log("a", {rows});
  cr_assert(log.stands({"b", "c", "d"}));
  for (const char* id : {"b", "c", "d"}) log.acknowledge(id, 2);
  cr_assert_eq(log.log.commit(), 2u);
  auto votes = [&] {
    for (const char* id : {"b", "c", "d"}) log.renew(id);
    for (const auto& row : log.log.members())
      if (row.id == "e") return row.votes;
    return false;
  };
  for (int round = 0; round < 100; ++round) {
    log.tick(10ms);
    for (const char* id : {"b", "c", "d"}) log.acknowledge(id, 2);
    log.acknowledge("e", 1);
    cr_assert_not(votes(), "it lacks entry 2");
  }
  for (int round = 0; round < 100; ++round) {
    log.tick(10ms);
    for (const char* id : {"b", "c", "d", "e"}) log.acknowledge(id, 2);
    votes();
  }
  cr_expect(votes());
}

namespace {
/// Whether a reader that has applied entry 1 only, which names the voters of before, calls itself fresh after hearing
/// some of them, when the replacement at entry 2 is on some disks.
bool freshInOldView(const std::vector<Member>& voters, unsigned holding, unsigned heard, bool oldLeader) {
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource{1};
  Journal journal;
  Configuration view;
  view.apply(LogEntry{1, 1, static_cast<int>(EntryKind::members), encodeMembers(voters), {}, 0});
  ClusterView reader(ReaderSettings{"reader", "reader:1", "north-a", {}, false, {}});
  Effects effects{now, randomSource, journal, {}, {}};
  reader.ask(effects, 1, {}, view);
  for (const auto& [to, message] : effects.sends)
    for (std::size_t at = 0; at < voters.size(); ++at) {
      if (voters[at].address != to || !(heard & (1u << at))) continue;
      bool has = holding & (1u << at);
      LogEndResponse reply;
      reply.requestId = std::get<LogEndRequest>(message).requestId;
      reply.core = voters[at].id;
      reply.term = has ? 2 : 1;
      reply.leads = oldLeader && !has;
      reply.lastIndex = has ? 2 : 1;
      reply.commit = 1;
      reply.members = voters;
      Effects later{now, randomSource, journal, {}, {}};
      reader.handle(later, to, reply, view);
    }
  return reader.fresh(now);
}
}  // namespace

Test(membership, a_reader_that_knows_only_the_voters_of_before_is_not_fresh_once_others_vote) {
  int fresh = 0;
  for (const Strings& ids : {Strings{"a", "b", "c", "d"}, Strings{"a", "b", "c", "d", "f"}}) {
    auto voters = HandDrivenLog::voters(ids);
    unsigned all = 1u << voters.size();
    for (unsigned holding = 0; holding < all; ++holding)
      for (unsigned heard = 0; heard < all; ++heard)
        for (bool oldLeader : {false, true}) {
          bool agreed = 2u * static_cast<unsigned>(__builtin_popcount(holding)) > voters.size();
          bool called = freshInOldView(voters, holding, heard, oldLeader);
          fresh += called;
          if (agreed) cr_expect_not(called, "%zu voters, on %x, heard %x", voters.size(), holding, heard);
        }
  }
  cr_expect(fresh > 0, "before that it may be");
}
