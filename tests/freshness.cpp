#include <algorithm>

#include "fleet_harness.hpp"
#include "members.hpp"
#include "node_host.hpp"

using namespace tt;

/// A core keeps only in memory which readers it has and what they have applied. If a restarted core, which has lost
/// this, counted as having no readers, a change could be acknowledged while a partitioned reader still counts as fresh.
Test(freshness, a_restarted_core_that_lost_its_readers_does_not_let_a_change_be_acknowledged) {
  FleetHarness fleet;
  fleet.form(4);
  std::string leader = fleet.leader();
  auto others = fleet.followers();
  std::string restarted = others[0], cutWithReader = others[1], third = others[2];
  fleet.startAgent("edge-1");
  cr_assert(fleet.runUntil([&] { return fleet.agentFresh("edge-1"); }, 5s));
  fleet.partition({"edge-1", cutWithReader}, {leader, third});
  fleet.run(4s);
  cr_assert(fleet.agentFresh("edge-1"), "two of four cores respond");
  fleet.partition({"edge-1", cutWithReader}, {restarted});
  fleet.stop(restarted);
  fleet.run(50ms);
  fleet.startCore(restarted, false);
  fleet.run(50ms);
  auto requestId = fleet.requestChange(leader, "late");
  cr_assert(fleet.runUntil([&] { return fleet.acknowledged(requestId); }, 5s));
  fleet.run(3s);
  cr_expect(fleet.staleReaders.empty(), "%d times an agent was fresh without an acknowledged change",
            static_cast<int>(fleet.staleReaders.size()));
}

/// As long as the removal of a member is not committed, readers still rely on the old members. If only the new ones
/// were counted, a change could be acknowledged that such a reader lacks.
Test(freshness, a_change_before_an_uncommitted_member_removal_needs_a_majority_of_the_old_members) {
  FleetHarness fleet;
  fleet.form(4);
  std::string leader = fleet.leader();
  auto others = fleet.followers();
  std::string near = others[0], far = others[1], gone = others[2];
  fleet.startAgent("edge-1");
  cr_assert(fleet.runUntil([&] { return fleet.agentFresh("edge-1"); }, 5s));
  fleet.partition({"edge-1", gone}, {leader, near});
  fleet.cut(gone, far);
  fleet.run(5600ms);
  cr_assert_eq(fleet.leader(), leader);
  fleet.cut(far, leader);
  fleet.cut(far, near);
  fleet.requestChange(leader, "lone");
  fleet.run(20s);
  cr_expect(fleet.staleReaders.empty(), "%d times an agent was fresh without an acknowledged change",
            static_cast<int>(fleet.staleReaders.size()));
}

/// A reader that does not know of a membership change stays fresh with responses of the old members. The time for which
/// the leader waits for it must start when the new members are committed, not when their entry is appended.
Test(freshness, readers_that_know_only_the_old_members_are_waited_for_after_a_membership_change) {
  FleetHarness fleet;
  fleet.form(4);
  fleet.startAgent("edge-1");
  cr_assert(fleet.runUntil([&] { return fleet.agentFresh("edge-1"); }, 5s));
  std::string leader = fleet.leader();
  auto others = fleet.followers();
  std::string near = others[0], far = others[1], farther = others[2];
  fleet.partition({"edge-1"}, {leader, near, "core-5"});
  fleet.startCore("core-5", false);
  cr_assert(fleet.runUntil([&] { return fleet.votersAt(leader) == 5; }, 15s));
  cr_assert_eq(fleet.leader(), leader);
  std::uint64_t membersIndex = fleet.logOf(leader).logEnd();
  fleet.partition({far, farther}, {leader, near, "core-5"});
  fleet.run(2s);
  cr_assert(fleet.agentFresh("edge-1"), "two of the four cores that it knows respond");
  cr_assert_lt(fleet.logOf(leader).commit(), membersIndex, "two of the four old members do not commit it");
  fleet.join(far, leader);
  cr_assert(fleet.runUntil([&] { return fleet.logOf(leader).commit() >= membersIndex; }, 2s));
  fleet.cut(far, leader);
  auto requestId = fleet.requestChange(leader, "late");
  cr_assert(fleet.runUntil([&] { return fleet.acknowledged(requestId); }, 5s));
  fleet.run(3s);
  cr_expect(fleet.staleReaders.empty(), "%d times an agent was fresh without an acknowledged change",
            static_cast<int>(fleet.staleReaders.size()));
}

/// A core without contact to a majority may lack acknowledged changes, so it must not confirm reads of operators.
Test(freshness, a_partitioned_core_confirms_no_read_older_than_an_acknowledged_change) {
  for (int cores : {4, 5, 8}) {
    FleetHarness fleet;
    timing.maxStaleness = 4s;
    timing.readerAckTimeout = 666ms;
    fleet.form(cores);
    fleet.run(2s);
    for (int round = 0; round < 2; ++round) {
      std::string leader = fleet.leader(), cutOff = fleet.followers()[0], name = "late-" + std::to_string(round);
      cr_assert(fleet.readFrom(cutOff).confirmed, "a connected core confirms reads");
      fleet.partition({cutOff}, fleet.coresExcept(cutOff));
      auto requestId = fleet.requestChange(leader, name);
      cr_assert(fleet.runUntil([&] { return fleet.acknowledged(requestId); }, 3s));
      cr_assert_not(fleet.has(cutOff, name));
      cr_expect_not(fleet.readFrom(cutOff).confirmed, "%d cores, round %d: confirmed without a majority", cores, round);
      auto connected = fleet.readFrom(leader);
      cr_expect(connected.confirmed && connected.index >= fleet.acknowledgedIndex);
      fleet.cutLinks.clear();
      cr_assert(fleet.runUntil([&] { return fleet.has(cutOff, name); }, 5s));
      auto healed = fleet.readFrom(cutOff);
      cr_expect(healed.confirmed && healed.index >= fleet.acknowledgedIndex,
                "%d cores: a reconnected core confirms reads", cores);
    }
  }
}

/// With four cores in two halves, neither half may confirm a read, although half of the voters suffices for freshness.
Test(freshness, a_read_needs_responses_of_a_majority_requested_after_it_arrived) {
  FleetHarness fleet;
  fleet.form(4);
  fleet.run(1s);
  fleet.partition({"core-1", "core-2"}, {"core-3", "core-4"});
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"})
    cr_expect_not(fleet.readFrom(name).confirmed, "%s has contact to two of four cores only", name);
  fleet.cutLinks.clear();
  cr_assert(fleet.runUntil([&] { return !fleet.leader().empty(); }, 10s));
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"}) cr_expect(fleet.readFrom(name).confirmed);
}

/// A leader that does not know that it was replaced has an outdated configuration. It must neither confirm reads nor
/// accept or reject changes by it, even while its own messages still reach the others.
Test(freshness, a_leader_that_receives_nothing_confirms_no_read_and_decides_no_change) {
  for (int cores : {4, 5, 8}) {
    for (bool hears : {false, true}) {
      FleetHarness fleet;
      fleet.form(cores);
      fleet.run(2s);
      std::string old = fleet.leader();
      for (const auto& other : fleet.coresExcept(old)) {
        fleet.cutLinks.insert({other, old});
        if (!hears) fleet.cutLinks.insert({old, other});
      }
      auto lone = fleet.requestChange(old, "lone");
      OperatorRequest stale;
      stale.requestId = "stale";
      stale.body = R"({"weights":{"stale":{"model":"moss"}}})";
      stale.ifRevision = 77;
      stale.changeId = "stale";
      fleet.run(1s);
      fleet.with(fleet.machines.at(old),
                 [&](Effects& effects) { fleet.machines.at(old).node->handle(effects, "operator", stale); });
      fleet.run(hears ? Duration(5s) : Duration(12s));
      cr_expect_not(fleet.readFrom(old).confirmed);
      for (const auto* requestId : {&lone, &stale.requestId}) {
        if (!fleet.replies.count(*requestId)) continue;
        auto code = static_cast<Code>(fleet.replies[*requestId].code);
        cr_expect(code == Code::changeUnsure || code == Code::notLeading, "%d cores: %s answered %s", cores,
                  requestId->c_str(), codeName(code));
      }
    }
  }
}

Test(freshness, under_random_link_failures_confirmed_reads_are_never_older_than_acknowledged_changes) {
  int confirmed = 0, rejectedReads = 0, acked = 0;
  for (int cores : {4, 5, 8})
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      FleetHarness fleet(seed);
      timing.maxStaleness = 4s;
      timing.readerAckTimeout = 666ms;
      fleet.form(cores);
      std::map<std::string, std::uint64_t> openReads;
      Strings openChanges;
      auto names = fleet.coresExcept({});
      for (int round = 0; round < 400; ++round) {
        const auto& one = names[fleet.randomSource() % names.size()];
        const auto& other = names[fleet.randomSource() % names.size()];
        auto action = fleet.randomSource() % 12;
        if (action < 2 && one != other) fleet.cutLinks.insert({one, other});
        if (action == 2) fleet.partition({one}, fleet.coresExcept(one));
        if (action == 3) fleet.cutLinks.clear();
        if (action == 4) openChanges.push_back(fleet.requestChange(one, "change-" + std::to_string(round)));
        openReads[fleet.read(other)] = fleet.acknowledgedIndex;
        fleet.run(std::chrono::milliseconds(25 + fleet.randomSource() % 100));
        for (auto open = openReads.begin(); open != openReads.end();) {
          auto found = fleet.reads.find(open->first);
          if (found == fleet.reads.end()) {
            ++open;
            continue;
          }
          confirmed += found->second.confirmed;
          rejectedReads += !found->second.confirmed;
          cr_expect(!found->second.confirmed || found->second.index >= open->second,
                    "%d cores, seed %d, round %d: read %d after %d was acknowledged", cores, static_cast<int>(seed),
                    round, static_cast<int>(found->second.index), static_cast<int>(open->second));
          open = openReads.erase(open);
        }
      }
      for (const auto& requestId : openChanges) acked += fleet.acknowledged(requestId);
    }
  cr_expect_gt(confirmed, 3000);
  cr_expect_gt(rejectedReads, 1000);
  cr_expect_gt(acked, 100);
  cr_log_info("%d reads confirmed, %d rejected, %d changes acknowledged", confirmed, rejectedReads, acked);
}

namespace {
/// A reader that has applied entry 5 and receives responses of some of the voters. Sets of voters are bit masks.
struct ReaderHarness {
  std::size_t voters;
  Configuration view;
  ClusterView reader{ReaderSettings{"reader", "reader:1", "north-a", {}, true, {}}};
  Journal journal;
  std::mt19937_64 randomSource{1};
  TimePoint now{std::chrono::hours(3)};

  explicit ReaderHarness(std::size_t count) : voters(count) {
    std::vector<Member> members;
    for (std::size_t at = 0; at < voters; ++at)
      members.push_back(Member{nameOf(at), nameOf(at), nameOf(at) + ":1", "north-a", true});
    view.apply(LogEntry{5, 1, static_cast<int>(EntryKind::members), encodeMembers(members), {}, 0});
  }
  static std::string nameOf(std::size_t at) { return "core-" + std::to_string(at); }
  /// Whether the reader counts its view as complete after responses of the voters in a set.
  bool completeAfter(unsigned responding, const std::function<LogEndResponse(std::size_t)>& responseOf) {
    reader = ClusterView(ReaderSettings{"reader", "reader:1", "north-a", {}, true, {}});
    Effects asking{now, randomSource, journal, {}, {}};
    reader.requestLogEnds(asking, 5, {}, view);
    for (const auto& [to, message] : asking.sends)
      for (std::size_t at = 0; at < voters; ++at) {
        if (to != nameOf(at) + ":1" || !(responding >> at & 1)) continue;
        auto response = responseOf(at);
        response.requestId = std::get<LogEndRequest>(message).requestId;
        response.core = nameOf(at);
        Effects handling{now, randomSource, journal, {}, {}};
        reader.handle(handling, to, response, view);
      }
    return reader.completeAsOf() != TimePoint{};
  }
};
std::size_t countOf(unsigned set) { return static_cast<std::size_t>(__builtin_popcount(set)); }
}  // namespace

/// Tries all combinations of the majority that has entry 6, the voters that respond, and another voter that still
/// counts itself as the leader of the older term. A reader that has applied only entry 5 must never count as complete.
/// If there is no entry 6, it must count as complete if and only if enough voters respond.
Test(freshness, no_set_of_responses_makes_a_reader_complete_without_an_entry_that_a_majority_has) {
  for (std::size_t voters : {3u, 4u, 5u, 8u}) {
    ReaderHarness fleet(voters);
    std::size_t quorum = voters / 2 + 1, complete = 0;
    for (unsigned holders = 0; holders < 1u << voters; ++holders) {
      if (countOf(holders) != quorum) continue;
      for (unsigned responding = 1; responding < 1u << voters; ++responding) {
        for (std::size_t oldLeader = 0; oldLeader <= voters; ++oldLeader) {
          if (oldLeader < voters && holders >> oldLeader & 1) continue;
          bool done = fleet.completeAfter(responding, [&](std::size_t at) {
            bool has = holders >> at & 1;
            LogEndResponse response;
            response.term = has ? 2 : 1;
            response.leads = at == oldLeader;
            response.lastIndex = has ? 6 : 5;
            response.commit = 5;
            return response;
          });
          complete += done;
          cr_expect_not(done, "%d voters, entry 6 on %x, responding %x, old leader %d", static_cast<int>(voters),
                        holders, responding, static_cast<int>(oldLeader));
        }
      }
    }
    for (unsigned responding = 1; responding < 1u << voters; ++responding) {
      bool done = fleet.completeAfter(responding, [](std::size_t) {
        LogEndResponse response;
        response.term = 1;
        response.lastIndex = response.commit = 5;
        return response;
      });
      cr_expect_eq(done, countOf(responding) + quorum > voters, "%d voters, no entry 6, responding %x",
                   static_cast<int>(voters), responding);
    }
  }
}

/// After a restart an agent does not know its proxies. A proxy that has not contacted it yet may still be fresh because
/// of a response of the previous run, so the agent must not report to the cores that all its proxies have applied an
/// index.
Test(freshness, a_restarted_agent_reports_index_0_while_unheard_proxies_may_be_fresh) {
  TimingGuard timingGuard;
  AgentSettings settings;
  settings.name = "edge-1";
  settings.address = "edge-1:1";
  settings.seeds = {"core-1:1"};
  Agent agent(settings);
  std::mt19937_64 randomSource(1);
  TimePoint now{std::chrono::hours(3)};
  std::optional<Uint64> reportedIndex;
  auto with = [&](const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, agent.journal, {}, {}};
    action(effects);
    for (const auto& [to, message] : effects.sends)
      if (auto* request = std::get_if<LogEndRequest>(&message)) reportedIndex = request->applied;
  };
  auto advance = [&](Duration span) {
    for (TimePoint until = now + span; now < until; now += 10ms) with([&](Effects& effects) { agent.tick(effects); });
  };
  with([&](Effects& effects) { agent.tick(effects); });
  NewsMsg news;
  news.commit = 1;
  news.entries.push_back(LogEntry{
      1, 1, static_cast<int>(EntryKind::members), encodeMembers({Member{"a", "a", "core-1:1", "n", true}}), {}, 0});
  with([&](Effects& effects) { agent.handle(effects, "core-1:1", news); });
  auto feedFrom = [&](const std::string& proxy, Uint64 applied) {
    with([&](Effects& effects) { agent.handle(effects, proxy, FeedAsk{toNanoseconds(now), applied, {}, 0}); });
  };
  feedFrom("proxy-1", 1);
  advance(300ms);
  cr_expect_eq(reportedIndex.value_or(9), 0u, "proxy-2 may still be fresh by a response of the agent's earlier run");
  advance(timing.readerAckTimeout);
  feedFrom("proxy-1", 1);
  advance(300ms);
  cr_expect_eq(reportedIndex.value_or(9), 1u);
}

/// If the host read the clock before it waits for the lock, the node could regard an expired lease as valid.
Test(freshness, a_node_is_given_a_time_read_after_the_wait_for_the_lock) {
  struct TimeRecorder : Node {
    std::vector<TimePoint> times;
    void handle(Effects& effects, const std::string&, const Message&) override { times.push_back(effects.now); }
    void tick(Effects&) override {}
  };
  TimeRecorder node;
  asio::io_context context;
  NodeHost host(node, context, 20ms);
  host.sendMessage = [](const std::string&, Message&&) {};
  std::atomic<bool> started{false};
  TimePoint released{};
  std::thread late;
  host.with([&](Effects&) {
    late = std::thread([&] {
      started = true;
      host.handle("peer", FeedReply{});
    });
    while (!started) std::this_thread::yield();
    for (int round = 0; round < 1000; ++round) std::this_thread::yield();
    released = Clock::now();
  });
  late.join();
  cr_assert_eq(node.times.size(), 1u);
  cr_expect(node.times[0] >= released, "the time given to the node is from before the wait for the lock");
}
