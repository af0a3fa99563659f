#include "fleet_bench.hpp"
#include "routing_bench.hpp"

using namespace tt;

namespace {
/// How much older than it is a naming may be told to be.
constexpr Duration roundsSlack = 800ms;

/// Cores and agents that are asked when weights were named.
struct NamingBench : FleetHarness {
  struct Naming {
    std::string weights;
    TimePoint askedAt, ackedAt;
  };
  std::vector<Naming> namings;

  explicit NamingBench(std::uint64_t seed = 1) : FleetHarness(seed) {
    form(4);
    startAgent("edge-1");
    startAgent("edge-2");
    cr_assert(runUntil([&] { return agentFresh("edge-1") && agentFresh("edge-2"); }, 5s));
    run(1s);
  }
  void name(const std::string& weights) {
    TimePoint askedAt = now;
    auto requestId = askWith(
        leader(), weights,
        R"({"weights":{")" + weights + R"(":{"model":"moss"}},"models":{"moss":{"weights":")" + weights + R"("}}})");
    cr_assert(runUntil([&] { return acknowledged(requestId); }, 5s));
    namings.push_back(Naming{weights, askedAt, now});
  }
  template <class Reply>
  std::vector<WeightsAnnouncement> askedOf(const std::string& name, const Message& ask) {
    outside.clear();
    with(machines.at(name), [&](Effects& effects) { machines.at(name).node->handle(effects, "reader:1", ask); });
    for (const auto& [to, message] : outside)
      if (auto* reply = std::get_if<Reply>(&message)) return reply->namings;
    cr_assert_fail("%s does not answer", name.c_str());
    return {};
  }
  std::vector<WeightsAnnouncement> toldByAgent(const std::string& name) {
    FeedAsk ask;
    ask.sentAt = toNanoseconds(now);
    return askedOf<FeedReply>(name, ask);
  }
  std::vector<WeightsAnnouncement> toldByCore(const std::string& name) {
    LogEndRequest ask;
    ask.requestId = 1;
    ask.agent = "reader:1";
    return askedOf<LogEndResponse>(name, ask);
  }
  /// Each naming must be told, in order, and none as younger than it is or as much older.
  void expectTold(const std::vector<WeightsAnnouncement>& told, const std::string& teller,
                  Duration slack = roundsSlack) const {
    std::vector<WeightsAnnouncement> rows;
    for (const auto& row : told)
      if (row.model == "moss") rows.push_back(row);
    cr_assert_geq(rows.size(), namings.size(), "%s tells of %zu namings", teller.c_str(), rows.size());
    std::size_t first = rows.size() - namings.size();
    for (std::size_t at = 0; at < namings.size(); ++at) {
      const auto& row = rows[first + at];
      const auto& naming = namings[at];
      cr_expect_eq(row.weights, naming.weights, "%s", teller.c_str());
      cr_expect(row.age >= (now - naming.ackedAt).count(), "%s tells %s as younger than it is: %d ms of %d",
                teller.c_str(), row.weights.c_str(), static_cast<int>(row.age / 1000000),
                static_cast<int>(toMilliseconds(now - naming.ackedAt)));
      cr_expect(row.age <= (now - naming.askedAt + slack).count(), "%s tells %s as older than it is: %d ms of %d",
                teller.c_str(), row.weights.c_str(), static_cast<int>(row.age / 1000000),
                static_cast<int>(toMilliseconds(now - naming.ackedAt)));
    }
  }
  void expectToldByAll() {
    for (const auto& [name, machine] : machines) {
      if (machine.agent) expectTold(toldByAgent(name), name);
      if (machine.core) expectTold(toldByCore(name), name);
    }
  }
};
}  // namespace

Test(version_namings, all_tell_how_long_ago_weights_were_named) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    NamingBench bench(seed);
    for (const char* weights : {"moss/4", "moss/5", "moss/6"}) {
      bench.name(weights);
      bench.run(2s);
    }
    bench.expectToldByAll();
  }
}

Test(version_namings, an_agent_that_begins_anew_learns_how_long_ago_weights_were_named) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    NamingBench bench(seed);
    bench.name("moss/4");
    bench.run(2s);
    bench.name("moss/5");
    bench.run(2s);
    bench.stop("edge-1");
    bench.run(500ms);
    bench.startAgent("edge-1");
    cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 5s));
    bench.run(1s);
    bench.expectToldByAll();
  }
}

Test(version_namings, a_core_that_begins_anew_learns_how_long_ago_weights_were_named) {
  for (bool leads : {true, false}) {
    NamingBench bench;
    bench.name("moss/4");
    bench.run(2s);
    bench.name("moss/5");
    bench.run(1s);
    std::string restarted = leads ? bench.leader() : bench.followers()[0];
    bench.stop(restarted);
    bench.run(500ms);
    bench.startCore(restarted, false);
    bench.run(4s);
    bench.expectToldByAll();
  }
}

Test(version_namings, cores_that_all_begin_anew_learn_from_agents_how_long_ago_weights_were_named) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    NamingBench bench(seed);
    bench.name("moss/4");
    bench.run(1s);
    bench.name("moss/5");
    bench.run(1s);
    auto cores = bench.allBut("");
    for (const auto& core : cores) bench.stop(core);
    bench.run(300ms);
    for (const auto& core : cores) bench.startCore(core, false);
    cr_assert(bench.runUntil([&] { return !bench.leader().empty(); }, 10s));
    bench.run(3s);
    bench.expectToldByAll();
  }
}

Test(version_namings, what_is_told_to_an_agent_after_both_sides_began_anew_is_never_too_young) {
  NamingBench bench;
  bench.name("moss/4");
  bench.run(1s);
  auto cores = bench.allBut("");
  for (const auto& core : cores) bench.stop(core);
  bench.run(300ms);
  for (const auto& core : cores) bench.startCore(core, false);
  bench.stop("edge-1");
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 10s));
  bench.run(3s);
  bench.expectToldByAll();
}

namespace {
constexpr Duration useMost = 4s;

/// A proxy that began after moss/4 was named, and is told how long ago by its agent.
struct ToldBench : ProxyBench {
  TimingGuard kept;
  std::vector<WeightsAnnouncement> namings;
  TimePoint toldAt{};
  Duration replyLate{0};
  std::vector<std::pair<TimePoint, FeedReply>> replies;
  int prompts{0};
  TimePoint lastOld{};

  ToldBench() {
    timing.oldWeightsOrderTimeout = useMost;
    feeds = false;
    declared.change(R"({"models":{"moss":{"weights":"moss/4"}}})");
    edge = std::make_unique<ProxyRouter>(pathSettings("proxy-1"));
    sent.clear();
    adoptSnapshot();
    worker("w3");
    worker("w4", "north-a", "moss/4");
    tell();
    toldAt = now;
  }
  /// Answers what the proxy has asked, with ages as of now.
  void answerFeeds() {
    for (const auto& ask : all<FeedAsk>()) {
      FeedReply reply{ask.sentAt, 0, declared.view.index(), true};
      for (auto naming : namings) {
        if (naming.age >= 0) naming.age += (now - toldAt).count();
        reply.namings.push_back(naming);
      }
      replies.emplace_back(now + replyLate, reply);
    }
    sent.clear();
    for (auto& row : std::exchange(replies, {})) {
      if (row.first <= now)
        give(agentAddress, row.second);
      else
        replies.push_back(row);
    }
  }
  void serve(Duration span) {
    for (TimePoint until = now + span; now < until;) {
      run(10ms);
      answerFeeds();
      auto orderId = place("/once/x", "key-a", promptOf(++prompts));
      for (const auto& made : sendsOf(orderId)) {
        if (made.weights == "moss/3") lastOld = now;
        end(made.orderId, OrderOutcome::done);
      }
    }
  }
};
}  // namespace

Test(version_namings, a_proxy_that_is_told_a_namings_age_uses_the_older_version_until_its_end) {
  for (Duration late : {0ms, 300ms}) {
    ToldBench bench;
    bench.replyLate = late;
    bench.namings = {WeightsAnnouncement{"moss", "moss/3", -1},
                     WeightsAnnouncement{"moss", "moss/4", Duration(1500ms).count()}};
    TimePoint endsAt = bench.now - 1500ms + useMost;
    bench.serve(5s);
    cr_expect(bench.lastOld < endsAt, "used %d ms too long", static_cast<int>(toMilliseconds(bench.lastOld - endsAt)));
    cr_expect(bench.lastOld > endsAt - 700ms, "its use ended %d ms early",
              static_cast<int>(toMilliseconds(endsAt - bench.lastOld)));
  }
}

Test(version_namings, a_proxy_that_is_told_that_nobody_knows_the_age_uses_no_older_version) {
  for (const auto& told : {std::vector<WeightsAnnouncement>{WeightsAnnouncement{"moss", "moss/4", -1}},
                           {WeightsAnnouncement{"moss", "moss/3", 0}},
                           {WeightsAnnouncement{"moss", "moss/5", 0}},
                           {WeightsAnnouncement{"fern", "moss/4", 0}},
                           {WeightsAnnouncement{"moss", "moss/4", Duration(useMost).count()}}}) {
    ToldBench bench;
    bench.namings = told;
    bench.serve(2s);
    cr_expect(bench.lastOld == TimePoint{}, "an older version was used");
  }
}

Test(version_namings, no_naming_is_told_as_younger_than_it_is_while_who_remembers_it_is_out_of_touch) {
  NamingBench bench;
  bench.name("moss/4");
  bench.run(4s);
  auto cores = bench.allBut("");
  for (const auto& core : cores) bench.stop(core);
  bench.cutSides({"edge-2"}, cores);
  bench.run(300ms);
  for (const auto& core : cores) bench.startCore(core, false);
  bench.stop("edge-1");
  bench.startAgent("edge-1");
  cr_assert(bench.runUntil([&] { return bench.agentFresh("edge-1"); }, 10s));
  bench.run(4s);
  for (const auto& told : {bench.toldByAgent("edge-1"), bench.toldByCore(cores[0])})
    for (const auto& row : told)
      if (row.weights == "moss/4" && row.age >= 0)
        cr_expect(row.age >= (bench.now - bench.namings[0].ackedAt).count(),
                  "told as %d ms old, %d ms after it was made", static_cast<int>(row.age / 1000000),
                  static_cast<int>(toMilliseconds(bench.now - bench.namings[0].ackedAt)));
  for (const auto& core : cores) bench.join("edge-2", core);
  bench.run(4s);
  bench.expectToldByAll();
}
