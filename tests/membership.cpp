#include "core_harness.hpp"
#include "members.hpp"

using namespace tt;

namespace {
/// The number of control machines of a deployment, and its settings.
struct Deployment {
  int count;
  std::size_t budget;
  Duration contact, catchUp;
};
const Deployment fourCores{4, 1, 3s, 4s}, fiveCores{5, 2, 4s, 6s}, eightCores{8, 2, 4s, 6s};
const std::vector<Deployment> deployments{fourCores, fiveCores, eightCores};

/// What a core that replaces a lost one has in common with it.
enum class Successor { sameAddress, sameName, otherName };
const std::vector<Successor> successors{Successor::sameAddress, Successor::sameName, Successor::otherName};
const char* nameOf(Successor kind) {
  return kind == Successor::sameAddress ? "at the same address"
         : kind == Successor::sameName  ? "of the same name"
                                        : "of another name";
}

struct DeploymentHarness : CoreHarness {
  Deployment deployment;
  int spareCount{0};
  Strings acknowledgedChanges;
  DeploymentHarness(const Deployment& which, std::uint64_t seed) : CoreHarness(seed, which.count), deployment(which) {
    timing.setMembershipTimeouts(which.contact, which.catchUp, which.budget);
    formAll();
    run(1s);
  }
  /// The names of the running machines.
  Strings running() const {
    Strings rows;
    for (const auto& [name, machine] : machines)
      if (machine.alive) rows.push_back(name);
    return rows;
  }
  /// A random running machine.
  std::string pickRunning(const Strings& except = {}) {
    auto rows = running();
    rows.erase(std::remove_if(rows.begin(), rows.end(),
                              [&](const std::string& name) {
                                return std::find(except.begin(), except.end(), name) != except.end();
                              }),
               rows.end());
    return rows[randomSource() % rows.size()];
  }
  /// Sets the seeds to three random running machines, as the settings of a replacement would list them.
  void pickSeeds() {
    Strings drawn;
    while (drawn.size() < 3) drawn.push_back(pickRunning(drawn));
    seeds.clear();
    for (const auto& name : drawn) seeds.push_back(machines.at(name).address);
  }
  /// Removes a machine permanently and starts an empty one in its place; returns the name of the new one.
  std::string replace(const std::string& lostCore, Successor kind) {
    pickSeeds();
    wipe(lostCore);
    std::string name = lostCore;
    if (kind != Successor::sameAddress) {
      name = "spare-" + std::to_string(++spareCount);
      addMachine(name, kind == Successor::sameName ? machines.at(lostCore).nodeName : name);
      machines.erase(lostCore);
    }
    start(name, false);
    return name;
  }
  std::size_t voterCount() const {
    auto leaderName = leader();
    return leaderName.empty() ? 0 : votersAt(leaderName);
  }
  /// Makes a change and waits for its acknowledgement.
  void change(const std::string& name, const std::string& target = {}) {
    auto requestId = submitChange(target.empty() ? leader() : target, name);
    cr_assert(runUntil([&] { return acknowledged(requestId); }, 20s), "%s:%s", name.c_str(), describe().c_str());
    acknowledgedChanges.push_back(name);
  }
  /// Stops all processes at once, losing what is not synced, and restarts all but the lost ones.
  void powerLossWithout(const Strings& lost) {
    auto rows = running();
    for (const auto& name : rows) stop(name);
    due.clear();
    run(std::chrono::milliseconds(randomSource() % 900));
    for (const auto& name : rows)
      if (std::find(lost.begin(), lost.end(), name) == lost.end()) start(name, false);
  }
  /// Expects that there is a leader and that it has every acknowledged change.
  void expectNoChangeLost(const std::string& when) {
    bool leads = runUntil([&] { return !leader().empty(); }, 20s);
    cr_expect(leads, "%s: no leader was elected:%s", when.c_str(), describe().c_str());
    if (!leads) return;
    change("probe-" + std::to_string(++requestCount));
    for (const auto& name : acknowledgedChanges)
      cr_expect(hasChange(leader(), name), "%s: %s is lost", when.c_str(), name.c_str());
  }
  std::string label(Successor kind, std::uint64_t seed) const {
    return std::to_string(deployment.count) + " machines, successor " + nameOf(kind) + ", seed " + std::to_string(seed);
  }
};
}  // namespace

Test(membership, a_replacement_never_raises_the_number_of_voters) {
  for (const auto& deployment : deployments)
    for (auto kind : {Successor::sameAddress, Successor::sameName}) {
      DeploymentHarness harness(deployment, 1);
      std::size_t maxVoterCount = 0;
      harness.afterStep = [&] { maxVoterCount = std::max(maxVoterCount, harness.voterCount()); };
      auto lostCore = harness.follower();
      harness.replace(lostCore, kind);
      harness.run(3 * deployment.catchUp);
      harness.afterStep = nullptr;
      cr_expect_eq(maxVoterCount, static_cast<std::size_t>(deployment.count), "%s: %zu voters at one time",
                   harness.label(kind, 1).c_str(), maxVoterCount);
      cr_expect(harness.allVote(harness.names()), "%s:%s", harness.label(kind, 1).c_str(), harness.describe().c_str());
    }
}

Test(membership, a_replacement_is_done_within_the_catch_up_time) {
  for (const auto& deployment : deployments)
    for (auto kind : successors)
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DeploymentHarness harness(deployment, seed);
        auto lostCore = harness.pickRunning();
        harness.replace(lostCore, kind);
        TimePoint startedAt = harness.now;
        bool done = harness.runUntil([&] { return harness.allVote(harness.names()); }, 3 * deployment.catchUp);
        auto took = toMilliseconds(harness.now - startedAt);
        cr_log_info("%s: %lld ms", harness.label(kind, seed).c_str(), static_cast<long long>(took));
        cr_expect(done && took <= toMilliseconds(deployment.catchUp), "%s: %lld ms%s",
                  harness.label(kind, seed).c_str(), static_cast<long long>(took),
                  done ? "" : harness.describe().c_str());
      }
}

Test(membership, a_second_loss_is_survived_after_the_catch_up_time_of_the_successor) {
  for (const auto& deployment : deployments)
    for (auto kind : successors)
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DeploymentHarness harness(deployment, seed);
        for (std::size_t at = 0; at < deployment.budget; ++at) harness.replace(harness.pickRunning(), kind);
        harness.run(deployment.catchUp);
        if (!harness.leader().empty()) harness.change("before");
        Strings lost;
        while (lost.size() < deployment.budget)
          lost.push_back(lost.empty() && !harness.leader().empty() ? harness.leader() : harness.pickRunning(lost));
        harness.powerLossWithout(lost);
        harness.expectNoChangeLost(harness.label(kind, seed));
      }
}

Test(membership, successive_losses_are_survived_if_each_is_repaired) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      DeploymentHarness harness(deployment, seed);
      for (int round = 0; round < 6; ++round) {
        auto kind = successors[harness.randomSource() % successors.size()];
        for (std::size_t at = 0; at < deployment.budget; ++at) harness.replace(harness.pickRunning(), kind);
        harness.run(deployment.catchUp);
        harness.change("round-" + std::to_string(round), harness.pickRunning());
      }
      harness.expectNoChangeLost(harness.label(Successor::sameName, seed));
    }
}

Test(membership, a_repair_that_the_leader_reports_as_done_survives_the_loss_of_the_leader) {
  for (const auto& deployment : deployments)
    for (auto kind : successors)
      for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        DeploymentHarness harness(deployment, seed);
        harness.replace(harness.follower(), kind);
        auto done = [&] {
          auto leaderName = harness.leader();
          if (leaderName.empty()) return false;
          const auto& log = harness.machines.at(leaderName).core->consensusLog();
          if (log.commit() != log.logEnd() || harness.votersAt(leaderName) != harness.names().size()) return false;
          for (const auto& name : harness.names())
            if (!harness.votes(leaderName, harness.machines.at(name).core->id())) return false;
          return true;
        };
        cr_assert(harness.runUntil(done, 30s), "%s:%s", harness.label(kind, seed).c_str(), harness.describe().c_str());
        Strings lost{harness.leader()};
        while (lost.size() < deployment.budget) lost.push_back(harness.pickRunning(lost));
        harness.powerLossWithout(lost);
        harness.expectNoChangeLost(harness.label(kind, seed));
      }
}

Test(membership, a_successor_that_is_itself_lost_leaves_a_majority) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      DeploymentHarness harness(deployment, seed);
      auto kind = successors[seed % successors.size()];
      harness.change("first");
      auto successor = harness.replace(harness.follower(), kind);
      harness.run(std::chrono::milliseconds(harness.randomSource() %
                                            static_cast<std::uint64_t>(toMilliseconds(deployment.catchUp))));
      harness.replace(successor, kind);
      harness.run(std::chrono::milliseconds(harness.randomSource() % 400));
      harness.change("second", harness.pickRunning());
      harness.run(2 * deployment.catchUp);
      harness.expectNoChangeLost(harness.label(kind, seed));
      harness.run(deployment.catchUp);
      cr_expect(harness.allVote(harness.names()), "%s:%s", harness.label(kind, seed).c_str(),
                harness.describe().c_str());
    }
}

Test(membership, a_replacement_during_a_power_loss_of_all_machines_leaves_a_majority) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      DeploymentHarness harness(deployment, seed);
      auto kind = successors[seed % successors.size()];
      harness.change("first");
      for (std::size_t at = 0; at < deployment.budget; ++at) harness.replace(harness.pickRunning(), kind);
      harness.run(std::chrono::milliseconds(harness.randomSource() % 1500));
      harness.powerLossWithout({});
      harness.run(std::chrono::milliseconds(harness.randomSource() % 1500));
      harness.powerLossWithout({});
      harness.expectNoChangeLost(harness.label(kind, seed));
      harness.run(deployment.catchUp);
      cr_expect(harness.allVote(harness.names()), "%s:%s", harness.label(kind, seed).c_str(),
                harness.describe().c_str());
    }
}

Test(membership, a_permanent_loss_of_the_whole_fault_budget_is_survived) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      DeploymentHarness harness(deployment, seed);
      harness.change("first", harness.pickRunning());
      Strings lost;
      while (lost.size() < deployment.budget) lost.push_back(harness.pickRunning(lost));
      if (seed % 2) {
        for (const auto& name : lost) harness.stop(name);
      } else {
        harness.powerLossWithout(lost);
      }
      harness.change("second", harness.pickRunning());
      harness.run(timing.memberRemovalTimeout + 1s);
      harness.powerLossWithout({});
      harness.expectNoChangeLost(harness.label(Successor::sameAddress, seed));
    }
}

Test(membership, a_removed_voter_that_returns_with_its_disk_votes_within_the_catch_up_time) {
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      DeploymentHarness harness(deployment, seed);
      auto absent = harness.pickRunning();
      if (seed % 2)
        harness.isolated = {absent};
      else
        harness.stop(absent);
      harness.run(20s);
      harness.change("meanwhile");
      harness.isolated.clear();
      if (seed % 2 == 0) harness.start(absent, false);
      TimePoint returnedAt = harness.now;
      bool back = harness.runUntil([&] { return harness.allVote(harness.names()); }, 3 * deployment.catchUp);
      cr_expect(back && harness.now - returnedAt <= deployment.catchUp, "%s: %lld ms%s",
                harness.label(Successor::sameAddress, seed).c_str(),
                static_cast<long long>(toMilliseconds(harness.now - returnedAt)),
                back ? "" : harness.describe().c_str());
    }
}

Test(membership, a_leader_that_shuts_down_transfers_the_leadership_at_once) {
  std::vector<std::int64_t> gaps;
  for (const auto& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      DeploymentHarness harness(deployment, seed);
      auto leavingCore = harness.leader();
      harness.with(harness.machines.at(leavingCore), [](Effects& effects, Core& core) { core.resign(effects); });
      TimePoint resignedAt = harness.now;
      cr_assert(harness.runUntil(
          [&] {
            auto leaderName = harness.leader();
            return !leaderName.empty() && leaderName != leavingCore &&
                   harness.machines.at(leaderName).core->consensusLog().hasCommittedInTerm();
          },
          20s));
      gaps.push_back(toMilliseconds(harness.now - resignedAt));
    }
  std::sort(gaps.begin(), gaps.end());
  cr_log_info("leadership transfer: median %lld ms, maximum %lld ms of %zu",
              static_cast<long long>(gaps[gaps.size() / 2]), static_cast<long long>(gaps.back()), gaps.size());
  cr_expect(gaps.back() <= 100, "the longest time without a leader was %lld ms", static_cast<long long>(gaps.back()));
}

Test(membership, a_core_that_shuts_down_waits_until_enough_other_disks_have_its_log) {
  for (const auto& deployment : {fiveCores, fourCores}) {
    DeploymentHarness harness(deployment, 3);
    auto leavingCore = harness.follower();
    std::size_t quorum = static_cast<std::size_t>(deployment.count) / 2 + 1;
    std::size_t absent = static_cast<std::size_t>(deployment.count) - quorum;
    Strings excluded{leavingCore, harness.leader()};
    while (harness.isolated.size() < absent) harness.isolated.insert(harness.pickRunning(excluded));
    harness.change("on-a-bare-majority", harness.leader());
    auto& core = *harness.machines.at(leavingCore).core;
    harness.with(harness.machines.at(leavingCore), [](Effects& effects, Core& leaving) { leaving.resign(effects); });
    harness.run(1s);
    bool enough = quorum - 1 >= timing.minReplicas();
    cr_expect_eq(core.safeToStop(), enough, "%d machines", deployment.count);
    auto requestId = harness.submitChange(harness.leader(), "after");
    harness.run(2s);
    cr_expect_not(harness.acknowledged(requestId), "a core that shuts down must not acknowledge entries");
    harness.isolated.clear();
    harness.run(500ms);
    cr_expect(core.safeToStop(), "%d machines", deployment.count);
    cr_expect(harness.runUntil([&] { return harness.acknowledged(requestId); }, 10s));
  }
}

namespace {
/// One replica whose peers are simulated by the test.
struct ReplicaHarness {
  TimingGuard timingGuard;
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource{7};
  Journal journal;
  Member self;
  ReplicatedLog log;
  std::vector<std::pair<std::string, Message>> sent;

  ReplicaHarness(const std::string& id, const std::vector<std::vector<Member>>& membersInOrder)
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
    for (auto& send : effects.sends) sent.push_back(std::move(send));
    for (auto& save : effects.saves)
      if (save.onSynced) with(save.onSynced);
  }
  void tick(Duration duration) {
    for (TimePoint until = now + duration; now < until; now += 10ms) with([&](Effects& effects) { log.tick(effects); });
  }
  void handle(const std::string& from, const Message& message) {
    with([&](Effects& effects) { log.handle(effects, from + ":1", message); });
  }
  /// Campaigns, with these voters granting each vote, and returns whether it is elected.
  bool winsElection(const Strings& granting) {
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
  void renewLease(const std::string& id) {
    handle(id, HeartbeatResponse{"accord", log.election.term(), id, toNanoseconds(now), true});
  }
};
const std::vector<Member> votersBefore = ReplicaHarness::voters({"a", "b", "c", "d", "f"});
const std::vector<Member> votersAfter = ReplicaHarness::voters({"a", "b", "c", "e", "f"});
}  // namespace

Test(membership, no_term_has_two_leaders_during_a_membership_change) {
  ReplicaHarness ahead("a", {votersBefore, votersAfter}), behind("f", {votersBefore});
  cr_expect(behind.winsElection({"c", "d"}), "three of the five previous voters");
  cr_expect_not(ahead.winsElection({"b", "e"}), "three of the five new voters, but only two of the previous ones");
  ReplicaHarness joint("a", {votersBefore, votersAfter});
  cr_expect(joint.winsElection({"b", "c", "e"}), "a majority of the previous and of the new voters");
}

Test(membership, a_lease_needs_both_majorities_during_a_membership_change) {
  ReplicaHarness replica("a", {votersBefore, votersAfter});
  cr_assert(replica.winsElection({"b", "c", "d", "e", "f"}));
  replica.tick(2s);
  for (const char* id : {"b", "e"}) replica.renewLease(id);
  cr_expect_not(replica.log.leads(replica.now), "three new voters, but only two previous ones");
  replica.renewLease("d");
  cr_expect(replica.log.leads(replica.now));
}

Test(membership, entries_after_a_pending_membership_change_need_both_majorities) {
  ReplicaHarness replica("a", {votersBefore, votersAfter});
  cr_assert(replica.winsElection({"b", "c", "d", "e", "f"}));
  for (const char* id : {"b", "e"}) replica.acknowledge(id, 3);
  for (const char* id : {"c", "d"}) replica.acknowledge(id, 2);
  cr_expect_eq(replica.log.commit(), 0u,
               "only two of the previous voters have an entry of this term: a leader elected by the other three could "
               "overwrite it");
  replica.acknowledge("d", 3);
  cr_expect_eq(replica.log.commit(), 3u);
}

Test(membership, entries_before_a_pending_membership_change_need_both_majorities) {
  ReplicaHarness replica("a", {ReplicaHarness::voters({"a", "b", "c", "d"})});
  timing.setMembershipTimeouts(3s, 4s, 1);
  cr_assert(replica.winsElection({"b", "c", "d"}));
  for (const char* id : {"b", "c", "d"}) replica.acknowledge(id, 2);
  cr_assert_eq(replica.log.commit(), 2u);
  ChangeRequest change;
  change.requestId = change.changeId = "x";
  change.body = R"({"weights":{"x":{"model":"moss"}}})";
  change.ifRevision = -1;
  for (const char* id : {"b", "c", "d"}) replica.renewLease(id);
  replica.with([&](Effects& effects) { replica.log.proposeChange(effects, "operator", change); });
  cr_assert_eq(replica.log.logEnd(), 3u);
  for (int round = 0; round < 100 && replica.log.members().size() == 4; ++round) {
    replica.tick(100ms);
    for (const char* id : {"b", "c"}) {
      replica.renewLease(id);
      replica.acknowledge(id, 2);
    }
  }
  cr_assert_eq(replica.log.members().size(), 3u, "d is removed");
  replica.acknowledge("b", 4);
  cr_expect_eq(replica.log.commit(), 2u, "only two of the four previous voters have the change");
  replica.acknowledge("c", 4);
  cr_expect_geq(replica.log.commit(), 4u);
}

Test(membership, a_paused_leader_does_not_count_its_pause_as_silence_of_others) {
  ReplicaHarness replica("a", {ReplicaHarness::voters({"a", "b", "c", "d"})});
  timing.setMembershipTimeouts(3s, 4s, 1);
  cr_assert(replica.winsElection({"b", "c", "d"}));
  for (const char* id : {"b", "c", "d"}) replica.acknowledge(id, 2);
  replica.tick(20ms);
  replica.now += timing.memberRemovalTimeout + 200ms;
  for (const char* id : {"b", "c"}) replica.renewLease(id);
  replica.tick(20ms);
  cr_expect(replica.log.leads(replica.now));
  cr_expect_eq(replica.log.members().size(), 4u,
               "b and c answered, and the leader's own pause must not count as silence of d");
}

Test(membership, a_learner_that_does_not_know_of_its_promotion_grants_a_vote) {
  auto rows = ReplicaHarness::voters({"a", "b", "c"});
  rows.push_back(ReplicaHarness::member("e"));
  rows.back().votes = false;
  ReplicaHarness replica("e", {rows});
  replica.tick(2s);
  replica.handle("a", VoteRequest{"accord", 5, "a", false, 1, 2});
  bool granted = false;
  for (const auto& [to, message] : replica.sent)
    if (auto* reply = std::get_if<VoteResponse>(&message)) granted = granted || (to == "a:1" && reply->granted);
  cr_expect(granted, "the candidate knows the voters; only log and term decide");
}

Test(membership, after_a_restart_a_finalized_replacement_needs_no_previous_voters) {
  auto other = ReplicaHarness::voters({"a", "g", "h", "e", "f"});
  ReplicaHarness finalized("a", {votersBefore, other, other}), pending("a", {votersBefore, other});
  cr_expect(finalized.winsElection({"g", "e"}));
  cr_expect_not(pending.winsElection({"g", "e"}));
}

Test(membership, a_learner_that_lacks_a_committed_entry_is_not_promoted) {
  auto rows = ReplicaHarness::voters({"a", "b", "c", "d"});
  rows.push_back(ReplicaHarness::member("e"));
  rows.back().votes = false;
  ReplicaHarness replica("a", {rows});
  cr_assert(replica.winsElection({"b", "c", "d"}));
  for (const char* id : {"b", "c", "d"}) replica.acknowledge(id, 2);
  cr_assert_eq(replica.log.commit(), 2u);
  auto votes = [&] {
    for (const char* id : {"b", "c", "d"}) replica.renewLease(id);
    for (const auto& row : replica.log.members())
      if (row.id == "e") return row.votes;
    return false;
  };
  for (int round = 0; round < 100; ++round) {
    replica.tick(10ms);
    for (const char* id : {"b", "c", "d"}) replica.acknowledge(id, 2);
    replica.acknowledge("e", 1);
    cr_assert_not(votes(), "the learner lacks committed entry 2");
  }
  for (int round = 0; round < 100; ++round) {
    replica.tick(10ms);
    for (const char* id : {"b", "c", "d", "e"}) replica.acknowledge(id, 2);
    votes();
  }
  cr_expect(votes());
}

namespace {
/// Whether a reader is fresh that has applied only entry 1, which names the previous voters. The membership change at
/// entry 2 is on the disks in the bit mask `withEntry`, and the voters in `responding` answer the reader.
bool freshInOldView(const std::vector<Member>& voters, unsigned withEntry, unsigned responding, bool oldLeader) {
  TimePoint now{std::chrono::hours(3)};
  std::mt19937_64 randomSource{1};
  Journal journal;
  Configuration view;
  view.apply(LogEntry{1, 1, static_cast<int>(EntryKind::members), encodeMembers(voters), {}, 0});
  ClusterView reader(ReaderSettings{"reader", "reader:1", "north-a", {}, false, {}});
  Effects effects{now, randomSource, journal, {}, {}};
  reader.requestLogEnds(effects, 1, {}, view);
  for (const auto& [to, message] : effects.sends)
    for (std::size_t at = 0; at < voters.size(); ++at) {
      if (voters[at].address != to || !(responding & (1u << at))) continue;
      bool has = withEntry & (1u << at);
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

Test(membership, a_reader_that_knows_only_the_previous_voters_is_not_fresh_once_others_vote) {
  int fresh = 0;
  for (const Strings& ids : {Strings{"a", "b", "c", "d"}, Strings{"a", "b", "c", "d", "f"}}) {
    auto voters = ReplicaHarness::voters(ids);
    unsigned all = 1u << voters.size();
    for (unsigned withEntry = 0; withEntry < all; ++withEntry)
      for (unsigned responding = 0; responding < all; ++responding)
        for (bool oldLeader : {false, true}) {
          bool committed = 2u * static_cast<unsigned>(__builtin_popcount(withEntry)) > voters.size();
          bool isFresh = freshInOldView(voters, withEntry, responding, oldLeader);
          fresh += isFresh;
          if (committed)
            cr_expect_not(isFresh, "%zu voters, entry on %x, responding %x", voters.size(), withEntry, responding);
        }
  }
  cr_expect(fresh > 0, "the reader was never fresh, so the test proves nothing");
}
