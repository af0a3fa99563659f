#include <algorithm>

#include "fleet_harness.hpp"
#include "members.hpp"
#include "node_host.hpp"

using namespace tt;

/// A core holds in memory which readers follow it and how far they are. If a core that lost this by a restart counted
/// as having no readers, a change could be acknowledged while a partitioned reader still counts itself as fresh.
Test(freshness, a_change_is_not_acknowledged_on_the_word_of_a_restarted_core_that_lost_its_readers) {
  FleetHarness bench;
  bench.form(4);
  std::string leader = bench.leader();
  auto others = bench.followers();
  std::string restarted = others[0], cutWithReader = others[1], third = others[2];
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
  bench.partition({"edge-1", cutWithReader}, {leader, third});
  bench.run(4s);
  cr_assert(bench.agentFresh("edge-1"), "two of four cores respond");
  bench.partition({"edge-1", cutWithReader}, {restarted});
  bench.stop(restarted);
  bench.run(50ms);
  bench.startCore(restarted, false);
  bench.run(50ms);
  auto requestId = bench.ask(leader, "late");
  cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 5s));
  bench.run(3s);
  cr_expect(bench.staleReaders.empty(), "%d times an agent was fresh without an acknowledged change",
            static_cast<int>(bench.staleReaders.size()));
}

/// While a member's removal is not committed, readers still rely on the old members. Counting only the new ones would
/// let a change be acknowledged that such a reader lacks.
Test(freshness, a_change_before_an_uncommitted_member_removal_needs_a_majority_of_the_old_members) {
  FleetHarness bench;
  bench.form(4);
  std::string leader = bench.leader();
  auto others = bench.followers();
  std::string near = others[0], far = others[1], gone = others[2];
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
  bench.partition({"edge-1", gone}, {leader, near});
  bench.cut(gone, far);
  bench.run(5600ms);
  cr_assert_eq(bench.leader(), leader);
  bench.cut(far, leader);
  bench.cut(far, near);
  bench.ask(leader, "lone");
  bench.run(20s);
  cr_expect(bench.staleReaders.empty(), "%d times an agent was fresh without an acknowledged change",
            static_cast<int>(bench.staleReaders.size()));
}

/// A reader that has not heard of a membership change stays fresh on responses of old members. The time for which the
/// leader waits for it begins when the new members are committed, not when the change was appended.
Test(freshness, readers_that_know_only_the_old_members_are_waited_for_after_a_membership_change) {
  FleetHarness bench;
  bench.form(4);
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
  std::string leader = bench.leader();
  auto others = bench.followers();
  std::string near = others[0], far = others[1], farther = others[2];
  bench.partition({"edge-1"}, {leader, near, "core-5"});
  bench.startCore("core-5", false);
  cr_assert(bench.runUntil([&] { return bench.votersAt(leader) == 5; }, 15s));
  cr_assert_eq(bench.leader(), leader);
  std::uint64_t membersIndex = bench.logOf(leader).logEnd();
  bench.partition({far, farther}, {leader, near, "core-5"});
  bench.run(2s);
  cr_assert(bench.agentFresh("edge-1"), "two of the four cores that it knows respond");
  cr_assert_lt(bench.logOf(leader).commit(), membersIndex, "two of the four old members do not commit it");
  bench.join(far, leader);
  cr_assert(bench.runUntil([&] { return bench.logOf(leader).commit() >= membersIndex; }, 2s));
  bench.cut(far, leader);
  auto requestId = bench.ask(leader, "late");
  cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 5s));
  bench.run(3s);
  cr_expect(bench.staleReaders.empty(), "%d times an agent was fresh without an acknowledged change",
            static_cast<int>(bench.staleReaders.size()));
}

/// A core without contact to a majority may lack acknowledged changes, so it must not confirm reads of operators.
Test(freshness, a_partitioned_core_confirms_no_read_older_than_an_acknowledged_change) {
  for (int cores : {4, 5, 8}) {
    FleetHarness bench;
    timing.maxStaleness = 4s;
    timing.readerAckTimeout = 666ms;
    bench.form(cores);
    bench.run(2s);
    for (int round = 0; round < 2; ++round) {
      std::string leader = bench.leader(), cutOff = bench.followers()[0], name = "late-" + std::to_string(round);
      cr_assert(bench.readFrom(cutOff).confirmed, "a connected core confirms reads");
      bench.partition({cutOff}, bench.coresExcept(cutOff));
      auto requestId = bench.ask(leader, name);
      cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 3s));
      cr_assert_not(bench.has(cutOff, name));
      cr_expect_not(bench.readFrom(cutOff).confirmed, "%d cores, round %d: confirmed without a majority", cores, round);
      auto kept = bench.readFrom(leader);
      cr_expect(kept.confirmed && kept.index >= bench.acknowledgedIndex);
      bench.cutLinks.clear();
      cr_assert(bench.runUntil([&] { return bench.has(cutOff, name); }, 5s));
      auto healed = bench.readFrom(cutOff);
      cr_expect(healed.confirmed && healed.index >= bench.acknowledgedIndex,
                "%d cores: a reconnected core confirms reads", cores);
    }
  }
}

/// With four cores in two halves, neither half may confirm a read, although half of the voters suffices for freshness.
Test(freshness, a_read_needs_responses_of_a_majority_requested_after_it_arrived) {
  FleetHarness bench;
  bench.form(4);
  bench.run(1s);
  bench.partition({"core-1", "core-2"}, {"core-3", "core-4"});
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"})
    cr_expect_not(bench.readFrom(name).confirmed, "%s has contact to two of four cores only", name);
  bench.cutLinks.clear();
  cr_assert(bench.runUntil([&] { return !bench.leader().empty(); }, 10s));
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"}) cr_expect(bench.readFrom(name).confirmed);
}

/// A leader that was replaced without its knowledge has an outdated configuration. It must neither confirm reads nor
/// judge changes by it, also while its own messages still arrive at others.
Test(freshness, a_leader_that_receives_nothing_confirms_no_read_and_decides_no_change) {
  for (int cores : {4, 5, 8}) {
    for (bool hears : {false, true}) {
      FleetHarness bench;
      bench.form(cores);
      bench.run(2s);
      std::string old = bench.leader();
      for (const auto& other : bench.coresExcept(old)) {
        bench.cutLinks.insert({other, old});
        if (!hears) bench.cutLinks.insert({old, other});
      }
      auto lone = bench.ask(old, "lone");
      OperatorRequest stale;
      stale.requestId = "stale";
      stale.body = R"({"weights":{"stale":{"model":"moss"}}})";
      stale.ifRevision = 77;
      stale.changeId = "stale";
      bench.run(1s);
      bench.with(bench.machines.at(old),
                 [&](Effects& effects) { bench.machines.at(old).node->handle(effects, "operator", stale); });
      bench.run(hears ? Duration(5s) : Duration(12s));
      cr_expect_not(bench.readFrom(old).confirmed);
      for (const auto* requestId : {&lone, &stale.requestId}) {
        if (!bench.replies.count(*requestId)) continue;
        auto code = static_cast<Code>(bench.replies[*requestId].code);
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
      FleetHarness bench(seed);
      timing.maxStaleness = 4s;
      timing.readerAckTimeout = 666ms;
      bench.form(cores);
      std::map<std::string, std::uint64_t> openReads;
      Strings openChanges;
      auto names = bench.coresExcept({});
      for (int round = 0; round < 400; ++round) {
        const auto& one = names[bench.randomSource() % names.size()];
        const auto& other = names[bench.randomSource() % names.size()];
        auto dice = bench.randomSource() % 12;
        if (dice < 2 && one != other) bench.cutLinks.insert({one, other});
        if (dice == 2) bench.partition({one}, bench.coresExcept(one));
        if (dice == 3) bench.cutLinks.clear();
        if (dice == 4) openChanges.push_back(bench.ask(one, "change-" + std::to_string(round)));
        openReads[bench.read(other)] = bench.acknowledgedIndex;
        bench.run(std::chrono::milliseconds(25 + bench.randomSource() % 100));
        for (auto open = openReads.begin(); open != openReads.end();) {
          auto found = bench.reads.find(open->first);
          if (found == bench.reads.end()) {
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
      for (const auto& requestId : openChanges) acked += bench.acknowledged(requestId);
    }
  cr_expect_gt(confirmed, 3000);
  cr_expect_gt(rejectedReads, 1000);
  cr_expect_gt(acked, 100);
  cr_log_info("%d reads confirmed, %d rejected, %d changes acknowledged", confirmed, rejectedReads, acked);
}

namespace {
/// A reader that has applied entry 5, and gets responses of a subset of the voters. Sets of voters are bit masks.
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
  /// Whether the reader counts its view as complete after the responses of the voters in `heard`.
  bool completeAfter(unsigned heard, const std::function<LogEndResponse(std::size_t)>& responseOf) {
    reader = ClusterView(ReaderSettings{"reader", "reader:1", "north-a", {}, true, {}});
    Effects asking{now, randomSource, journal, {}, {}};
    reader.ask(asking, 5, {}, view);
    for (const auto& [to, message] : asking.sends)
      for (std::size_t at = 0; at < voters; ++at) {
        if (to != nameOf(at) + ":1" || !(heard >> at & 1)) continue;
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

/// Tries all combinations: which majority has entry 6, which voters respond, and which other voter still counts itself
/// as leader of the older term. A reader that has applied entry 5 must never count as complete. Without entry 6 it must
/// count as complete just when enough voters respond.
Test(freshness, no_set_of_responses_makes_a_reader_complete_without_an_entry_that_a_majority_has) {
  for (std::size_t voters : {3u, 4u, 5u, 8u}) {
    ReaderHarness bench(voters);
    std::size_t quorum = voters / 2 + 1, complete = 0;
    for (unsigned holders = 0; holders < 1u << voters; ++holders) {
      if (countOf(holders) != quorum) continue;
      for (unsigned heard = 1; heard < 1u << voters; ++heard) {
        for (std::size_t oldLeader = 0; oldLeader <= voters; ++oldLeader) {
          if (oldLeader < voters && holders >> oldLeader & 1) continue;
          bool done = bench.completeAfter(heard, [&](std::size_t at) {
            bool has = holders >> at & 1;
            LogEndResponse response;
            response.term = has ? 2 : 1;
            response.leads = at == oldLeader;
            response.lastIndex = has ? 6 : 5;
            response.commit = 5;
            return response;
          });
          complete += done;
          cr_expect_not(done, "%d voters, entry 6 on %x, heard %x, old leader %d", static_cast<int>(voters), holders,
                        heard, static_cast<int>(oldLeader));
        }
      }
    }
    for (unsigned heard = 1; heard < 1u << voters; ++heard) {
      bool done = bench.completeAfter(heard, [](std::size_t) {
        LogEndResponse response;
        response.term = 1;
        response.lastIndex = response.commit = 5;
        return response;
      });
      cr_expect_eq(done, countOf(heard) + quorum > voters, "%d voters, no entry 6, heard %x", static_cast<int>(voters),
                   heard);
    }
  }
}

/// After a restart an agent does not know its proxies. One that it has not heard yet may still be fresh by a response
/// of the earlier run, so the agent must not tell the cores that all its proxies have applied an index.
Test(freshness, a_restarted_agent_reports_index_0_while_unheard_proxies_may_be_fresh) {
  TimingGuard kept;
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
      if (auto* ask = std::get_if<LogEndRequest>(&message)) reportedIndex = ask->applied;
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

/// If the host read the clock before waiting for the lock, the node could take an expired lease for valid.
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
