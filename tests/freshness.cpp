#include <algorithm>

#include "fleet_bench.hpp"
#include "host.hpp"
#include "members.hpp"

using namespace tt;

Test(freshness, a_core_that_restarted_does_not_vouch_for_the_readers_that_it_forgot) {
  FleetHarness bench;
  bench.form(4);
  std::string leader = bench.leader();
  auto others = bench.followers();
  std::string restarted = others[0], cutWithReader = others[1], third = others[2];
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
  bench.cutSides({"edge-1", cutWithReader}, {leader, third});
  bench.run(4s);
  cr_assert(bench.agentFresh("edge-1"), "two of four are heard");
  bench.cutSides({"edge-1", cutWithReader}, {restarted});
  bench.stop(restarted);
  bench.run(50ms);
  bench.startCore(restarted, false);
  bench.run(50ms);
  auto requestId = bench.ask(leader, "late");
  cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 5s));
  bench.run(3s);
  cr_expect(bench.staleReaders.empty(), "fresh without an acknowledged change on %d occasions",
            static_cast<int>(bench.staleReaders.size()));
}

Test(freshness, a_change_before_a_removal_that_is_not_agreed_needs_the_quorum_of_the_old_members) {
  FleetHarness bench;
  bench.form(4);
  std::string leader = bench.leader();
  auto others = bench.followers();
  std::string near = others[0], far = others[1], gone = others[2];
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
  bench.cutSides({"edge-1", gone}, {leader, near});
  bench.cut(gone, far);
  bench.run(5600ms);
  cr_assert_eq(bench.leader(), leader);
  bench.cut(far, leader);
  bench.cut(far, near);
  bench.ask(leader, "lone");
  bench.run(20s);
  cr_expect(bench.staleReaders.empty(), "fresh without an acknowledged change on %d occasions",
            static_cast<int>(bench.staleReaders.size()));
}

Test(freshness, readers_with_the_old_members_are_waited_for_from_when_the_new_ones_are_agreed) {
  FleetHarness bench;
  bench.form(4);
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
  std::string leader = bench.leader();
  auto others = bench.followers();
  std::string near = others[0], far = others[1], farther = others[2];
  bench.cutSides({"edge-1"}, {leader, near, "core-5"});
  bench.startCore("core-5", false);
  cr_assert(bench.runUntil([&] { return bench.votersAt(leader) == 5; }, 15s));
  cr_assert_eq(bench.leader(), leader);
  std::uint64_t membersIndex = bench.logOf(leader).logEnd();
  bench.cutSides({far, farther}, {leader, near, "core-5"});
  bench.run(2s);
  cr_assert(bench.agentFresh("edge-1"), "two of the four that it knows are heard");
  cr_assert_lt(bench.logOf(leader).commit(), membersIndex, "two of the four old members do not agree");
  bench.join(far, leader);
  cr_assert(bench.runUntil([&] { return bench.logOf(leader).commit() >= membersIndex; }, 2s));
  bench.cut(far, leader);
  auto requestId = bench.ask(leader, "late");
  cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 5s));
  bench.run(3s);
  cr_expect(bench.staleReaders.empty(), "fresh without an acknowledged change on %d occasions",
            static_cast<int>(bench.staleReaders.size()));
}

Test(freshness, a_core_that_is_cut_off_reads_back_nothing_older_than_what_was_acknowledged) {
  for (int cores : {4, 5, 8}) {
    FleetHarness bench;
    timing.maxStaleness = 4s;
    timing.readerAckTimeout = 666ms;
    bench.form(cores);
    bench.run(2s);
    for (int round = 0; round < 2; ++round) {
      std::string leader = bench.leader(), cutOff = bench.followers()[0], name = "late-" + std::to_string(round);
      cr_assert(bench.readThrough(cutOff).confirmed, "in touch it reads");
      bench.cutSides({cutOff}, bench.allBut(cutOff));
      auto requestId = bench.ask(leader, name);
      cr_assert(bench.runUntil([&] { return bench.acknowledged(requestId); }, 3s));
      cr_assert_not(bench.has(cutOff, name));
      cr_expect_not(bench.readThrough(cutOff).confirmed, "%d cores, round %d: no majority, no read", cores, round);
      auto kept = bench.readThrough(leader);
      cr_expect(kept.confirmed && kept.index >= bench.acknowledgedIndex);
      bench.cutLinks.clear();
      cr_assert(bench.runUntil([&] { return bench.has(cutOff, name); }, 5s));
      auto healed = bench.readThrough(cutOff);
      cr_expect(healed.confirmed && healed.index >= bench.acknowledgedIndex, "%d cores: back in touch it reads", cores);
    }
  }
}

Test(freshness, a_read_needs_a_majority_asked_after_it_came) {
  FleetHarness bench;
  bench.form(4);
  bench.run(1s);
  bench.cutSides({"core-1", "core-2"}, {"core-3", "core-4"});
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"})
    cr_expect_not(bench.readThrough(name).confirmed, "%s hears two of four", name);
  bench.cutLinks.clear();
  cr_assert(bench.runUntil([&] { return !bench.leader().empty(); }, 10s));
  for (const char* name : {"core-1", "core-2", "core-3", "core-4"}) cr_expect(bench.readThrough(name).confirmed);
}

Test(freshness, a_leader_that_hears_nobody_reads_refuses_and_confirms_nothing) {
  for (int cores : {4, 5, 8}) {
    for (bool hears : {false, true}) {
      FleetHarness bench;
      bench.form(cores);
      bench.run(2s);
      std::string old = bench.leader();
      for (const auto& other : bench.allBut(old)) {
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
      cr_expect_not(bench.readThrough(old).confirmed);
      for (const auto* requestId : {&lone, &stale.requestId}) {
        if (!bench.replies.count(*requestId)) continue;
        auto code = static_cast<Code>(bench.replies[*requestId].code);
        cr_expect(code == Code::changeUnsure || code == Code::notLeading, "%d cores: %s answered %s", cores,
                  requestId->c_str(), codeName(code));
      }
    }
  }
}

Test(freshness, reads_while_links_come_and_go_are_never_older_than_what_was_acknowledged) {
  int confirmed = 0, deniedReads = 0, acked = 0;
  for (int cores : {4, 5, 8})
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      FleetHarness bench(seed);
      timing.maxStaleness = 4s;
      timing.readerAckTimeout = 666ms;
      bench.form(cores);
      std::map<std::string, std::uint64_t> openReads;
      Strings openChanges;
      auto names = bench.allBut({});
      for (int round = 0; round < 400; ++round) {
        const auto& one = names[bench.randomSource() % names.size()];
        const auto& other = names[bench.randomSource() % names.size()];
        auto randomBelow = bench.randomSource() % 12;
        if (randomBelow < 2 && one != other) bench.cutLinks.insert({one, other});
        if (randomBelow == 2) bench.cutSides({one}, bench.allBut(one));
        if (randomBelow == 3) bench.cutLinks.clear();
        if (randomBelow == 4) openChanges.push_back(bench.ask(one, "change-" + std::to_string(round)));
        openReads[bench.read(other)] = bench.acknowledgedIndex;
        bench.run(std::chrono::milliseconds(25 + bench.randomSource() % 100));
        for (auto open = openReads.begin(); open != openReads.end();) {
          auto found = bench.reads.find(open->first);
          if (found == bench.reads.end()) {
            ++open;
            continue;
          }
          confirmed += found->second.confirmed;
          deniedReads += !found->second.confirmed;
          cr_expect(!found->second.confirmed || found->second.index >= open->second,
                    "%d cores, seed %d, round %d: read %d after %d was acknowledged", cores, static_cast<int>(seed),
                    round, static_cast<int>(found->second.index), static_cast<int>(open->second));
          open = openReads.erase(open);
        }
      }
      for (const auto& requestId : openChanges) acked += bench.acknowledged(requestId);
    }
  cr_expect_gt(confirmed, 3000);
  cr_expect_gt(deniedReads, 1000);
  cr_expect_gt(acked, 100);
  cr_log_info("%d reads confirmed, %d turned away, %d changes acknowledged", confirmed, deniedReads, acked);
}

namespace {
/// The words of some voters about one log, as one reader hears them.
struct HeardVoters {
  std::size_t voters;
  Configuration view;
  ClusterView reader{ReaderSettings{"reader", "reader:1", "north-a", {}, true, {}}};
  Journal journal;
  std::mt19937_64 randomSource{1};
  TimePoint now{std::chrono::hours(3)};

  explicit HeardVoters(std::size_t count) : voters(count) {
    std::vector<Member> members;
    for (std::size_t at = 0; at < voters; ++at)
      members.push_back(Member{nameOf(at), nameOf(at), nameOf(at) + ":1", "north-a", true});
    view.apply(LogEntry{5, 1, static_cast<int>(EntryKind::members), encodeMembers(members), {}, 0});
  }
  static std::string nameOf(std::size_t at) { return "core-" + std::to_string(at); }
  /// Whether the reader, which has applied up to 5, thinks that complete after these words.
  bool completeAfter(unsigned heard, const std::function<LogEndResponse(std::size_t)>& wordOf) {
    reader = ClusterView(ReaderSettings{"reader", "reader:1", "north-a", {}, true, {}});
    Effects asking{now, randomSource, journal, {}, {}};
    reader.ask(asking, 5, {}, view);
    for (const auto& [to, message] : asking.sends)
      for (std::size_t at = 0; at < voters; ++at) {
        if (to != nameOf(at) + ":1" || !(heard >> at & 1)) continue;
        auto word = wordOf(at);
        word.requestId = std::get<LogEndRequest>(message).requestId;
        word.core = nameOf(at);
        Effects taking{now, randomSource, journal, {}, {}};
        reader.handle(taking, to, word, view);
      }
    return reader.completeAsOf() != TimePoint{};
  }
};
std::size_t countOf(unsigned set) { return static_cast<std::size_t>(__builtin_popcount(set)); }
}  // namespace

Test(freshness, no_subset_of_voters_makes_a_reader_complete_without_an_entry_that_a_quorum_has) {
  for (std::size_t voters : {3u, 4u, 5u, 8u}) {
    HeardVoters bench(voters);
    std::size_t quorum = voters / 2 + 1, complete = 0;
    for (unsigned having = 0; having < 1u << voters; ++having) {
      if (countOf(having) != quorum) continue;
      for (unsigned heard = 1; heard < 1u << voters; ++heard) {
        for (std::size_t deposed = 0; deposed <= voters; ++deposed) {
          if (deposed < voters && having >> deposed & 1) continue;
          bool done = bench.completeAfter(heard, [&](std::size_t at) {
            bool has = having >> at & 1;
            LogEndResponse word;
            word.term = has ? 2 : 1;
            word.leads = at == deposed;
            word.lastIndex = has ? 6 : 5;
            word.commit = 5;
            return word;
          });
          complete += done;
          cr_expect_not(done, "%d voters, entry 6 on %x, heard %x, deposed leader %d", static_cast<int>(voters), having,
                        heard, static_cast<int>(deposed));
        }
      }
    }
    for (unsigned heard = 1; heard < 1u << voters; ++heard) {
      bool done = bench.completeAfter(heard, [](std::size_t) {
        LogEndResponse word;
        word.term = 1;
        word.lastIndex = word.commit = 5;
        return word;
      });
      cr_expect_eq(done, countOf(heard) + quorum > voters, "%d voters, nothing beyond, heard %x",
                   static_cast<int>(voters), heard);
    }
  }
}

Test(freshness, an_agent_that_restarted_does_not_speak_for_proxies_that_it_has_not_heard) {
  TimingGuard kept;
  AgentSettings settings;
  settings.name = "edge-1";
  settings.address = "edge-1:1";
  settings.seeds = {"core-1:1"};
  Agent agent(settings);
  std::mt19937_64 randomSource(1);
  TimePoint now{std::chrono::hours(3)};
  std::optional<Uint64> told;
  auto with = [&](const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, agent.journal, {}, {}};
    action(effects);
    for (const auto& [to, message] : effects.sends)
      if (auto* ask = std::get_if<LogEndRequest>(&message)) told = ask->applied;
  };
  auto passTime = [&](Duration span) {
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
  passTime(300ms);
  cr_expect_eq(told.value_or(9), 0u, "proxy-2 may still be fresh by the word of this agent's earlier run");
  passTime(timing.readerAckTimeout);
  feedFrom("proxy-1", 1);
  passTime(300ms);
  cr_expect_eq(told.value_or(9), 1u);
}

Test(freshness, logic_is_given_a_moment_read_after_it_may_run) {
  struct Clocked : Node {
    std::vector<TimePoint> moments;
    void handle(Effects& effects, const std::string&, const Message&) override { moments.push_back(effects.now); }
    void tick(Effects&) override {}
  };
  Clocked node;
  asio::io_context context;
  NodeHost host(node, context, 20ms);
  host.sendMessage = [](const std::string&, Message&&) {};
  std::atomic<bool> comes{false};
  TimePoint released{};
  std::thread late;
  host.with([&](Effects&) {
    late = std::thread([&] {
      comes = true;
      host.handle("peer", FeedReply{});
    });
    while (!comes) std::this_thread::yield();
    for (int round = 0; round < 1000; ++round) std::this_thread::yield();
    released = Clock::now();
  });
  late.join();
  cr_assert_eq(node.moments.size(), 1u);
  cr_expect(node.moments[0] >= released, "a lease is never judged by a moment from before the wait for the lock");
}
